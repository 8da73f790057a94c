package hosting_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/standin/faultproxy"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const (
	// sendInterval is the time between requests of each kind during a stop.
	sendInterval = 100 * time.Millisecond
	// sendBefore is how long before the signal requests are sent.
	sendBefore = 300 * time.Millisecond
	// acceptTime is the time after SIGTERM in which a gateway with the standard grace
	// period takes new requests: some come from callers that have not heard of the stop.
	acceptTime = 2500 * time.Millisecond
	// longGrace is a grace period in which all requests sent before the signal can be
	// answered.
	longGrace = 5 * time.Second
)

// sendThroughout sends streams and calls that run at most once, over new and kept
// connections, from sendBefore before the signal until the gateway has ended.
// atSignal is called just after the signal.
func (r *graceRun) sendThroughout(atSignal func()) {
	r.t.Helper()
	kept := []*caller.Caller{caller.New(r.gateways[0].callerAddress), caller.New(r.gateways[0].callerAddress)}
	var ended <-chan error
	began := time.Now()
	for n := 0; ; n++ {
		if ended == nil && time.Since(began) >= sendBefore {
			ended = r.stop()
			r.wait.Go(atSignal)
		}
		for kind, path := range []string{standin.StreamPath, standin.OncePath} {
			fresh := caller.New(r.gateways[0].callerAddress)
			r.t.Cleanup(fresh.Close)
			r.send(fresh, path, fmt.Sprintf("new-%d-%d", kind, n))
			r.send(kept[kind], path, fmt.Sprintf("kept-%d-%d", kind, n))
		}
		select {
		case err := <-ended:
			r.wait.Wait()
			require.NoError(r.t, err)
			return
		case <-time.After(sendInterval):
		}
	}
}

// check requires that every request sent after the start of the drain was answered whole,
// refused as not run, or not read, and that every one sent before it got a final answer or a stream
// that does not look complete. It returns the number of refused ones.
func (r *graceRun) check() (refused int) {
	r.t.Helper()
	ledger, engines := runCounts{}, runCounts{}
	for _, run := range r.ledger.Runs() {
		ledger[run.Attempt]++
	}
	for _, run := range r.engines[0].Runs() {
		engines[run.Attempt]++
	}
	var problems []string
	answered, unread, unknown := 0, 0, 0
	for _, o := range r.outcomes {
		before := o.began.Before(r.drainAt)
		problem := o.problem(ledger, engines)
		switch {
		case o.answered():
			answered++
		case o.Status > 0 && o.NotRun():
			refused++
		case before && o.Status == http.StatusBadGateway && o.Err == nil:
			unknown++ // it ran for longer than the grace period
			problem = ""
		case before && o.path == standin.StreamPath && o.Status == http.StatusOK && o.Err != nil:
			unknown++
			problem = ""
		case o.Status == 0:
			unread++
		}
		if problem != "" {
			problems = append(problems, fmt.Sprintf("%s: %s: status %d, %v, body %q, sent %v and ended %v after SIGTERM", o.Attempt, problem, o.Status, o.Err, o.Body, o.began.Sub(r.signalAt), o.ended.Sub(r.signalAt)))
		}
	}
	r.t.Logf("%d requests: %d answered, %d refused, %d not read, %d cut or unknown that were sent before SIGTERM, %d problems", len(r.outcomes), answered, refused, unread, unknown, len(problems))
	for _, p := range problems[:min(maxShownProblems, len(problems))] {
		r.t.Log(p)
	}
	require.Empty(r.t, problems)
	if r.grace >= longGrace {
		require.Zero(r.t, unknown, "all answers fit into the grace period")
	}
	return refused
}

// A request that came late in the grace period was passed on although its answer could
// not be complete by its end, and was cut there without an answer.
func TestRequestsThroughoutGracePeriodAreWholeOrRefused(t *testing.T) {
	graces := []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, graceTime}
	if os.Getenv("SOAK") != "" {
		graces = append(graces, 20*time.Second)
	}
	for _, grace := range graces {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			for _, c := range []struct {
				engine  string
				eventMS int
				silent  bool
			}{{"fast", 1, false}, {"slow", 200, false}, {"silent", 100, true}} {
				t.Run(c.engine+" engine", func(t *testing.T) { testGracePeriod(t, grace, c.eventMS, c.silent) })
			}
		})
	}
}

func testGracePeriod(t *testing.T, grace time.Duration, eventMS int, silent bool) {
	r := startGraceRun(t, grace, eventMS)
	r.sendThroughout(func() {
		if silent {
			time.Sleep(min(r.grace/6, time.Second))
			r.silence()
		}
	})
	require.NotZero(t, r.check())
	for _, o := range r.outcomes {
		if grace >= graceTime && o.began.Before(r.signalAt.Add(acceptTime)) {
			require.NotContains(t, o.Body, outcome.ShuttingDown, "sent %v after SIGTERM", o.began.Sub(r.signalAt))
		}
	}
}

// silence makes the engine pause for a moment.
func (r *graceRun) silence() {
	if err := r.engines[0].route.Set(faultproxy.Faults{ToCaller: faultproxy.Stall{}}); err != nil {
		r.t.Error(err)
	}
	time.Sleep(silence)
	if err := r.engines[0].route.Set(faultproxy.Faults{}); err != nil {
		r.t.Error(err)
	}
}

// Calls that waited in the gateway's queue at the signal were passed on when a slot became
// free, although the gateway would end before their answers.
func TestQueuedCallsAreRefusedIfTheirTurnComesTooLate(t *testing.T) {
	const calls, slots = 30, 10
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			r := startGraceRun(t, grace, 1)
			for n := range calls {
				r.send(caller.New(r.gateways[0].callerAddress), standin.OncePath, fmt.Sprint("queued-", n))
			}
			r.eventuallyAtOnce(time.Second, "calls run", func() bool { return len(r.ledger.Runs()) > slots })
			r.ledger.SetDelayMS(int(grace.Milliseconds()))
			ended := r.stop()
			r.wait.Wait()
			require.NoError(t, <-ended)
			passedOn := map[string]bool{} // after the start of the drain
			for _, run := range r.ledger.Runs() {
				passedOn[run.Attempt] = run.At.After(r.drainAt)
			}
			for _, o := range r.outcomes {
				require.True(t, !passedOn[o.Attempt] || o.answered(), "%s: status %d, %v", o.Attempt, o.Status, o.Err)
			}
			require.NotZero(t, r.check())
		})
	}
}

// Requests of which the gateway had read a part at the signal are answered if their rest
// arrives early enough, and are refused otherwise.
func TestBodiesThatArriveDuringStopAreAnsweredOrRefused(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			r := startGraceRun(t, grace, 1)
			const parts = 5
			outcomes := make(chan plannedOutcome, parts)
			for n := range parts {
				o := plannedOutcome{path: standin.OncePath, began: time.Now(), deadline: time.Now().Add(callerPatience)}
				o.Attempt = fmt.Sprint("part-", n)
				var request bytes.Buffer
				require.NoError(t, caller.New(r.gateways[0].callerAddress).Write(&request, o.path+"x", o.Attempt, apiKey, o.deadline))
				conn, err := net.Dial("tcp", r.gateways[0].callerAddress)
				require.NoError(t, err)
				defer conn.Close()
				_, err = conn.Write(request.Next(request.Len() - 1))
				require.NoError(t, err)
				go func() {
					time.Sleep(grace*time.Duration(n)/parts + 50*time.Millisecond)
					o.Sent = time.Now()
					_, o.Err = conn.Write(request.Bytes())
					if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
						body, err := io.ReadAll(response.Body)
						o.Status, o.Body, o.Err = response.StatusCode, string(body), err
					}
					o.ended = time.Now()
					outcomes <- o
				}()
			}
			ended := r.stop()
			for range parts {
				r.outcomes = append(r.outcomes, <-outcomes)
			}
			r.drainAt = time.Time{} // none of them was sent before the drain
			require.NoError(t, <-ended)
			r.check()
		})
	}
}
