package hosting_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const (
	// callerPatience is the deadline that callers set. It passes after every grace period.
	callerPatience = 30 * time.Second
	// onceMS is the time that a call to the plain service takes, in milliseconds.
	onceMS = 150
)

// graceRun is a site whose only gateway is stopped and, like on the platform, killed at
// the end of its grace period.
type graceRun struct {
	*site
	grace    time.Duration
	killAt   time.Time
	signalAt time.Time
	drainAt  time.Time // the gateway has handled the signal

	mu       sync.Mutex
	outcomes []plannedOutcome
	wait     sync.WaitGroup
}

// startGraceRun starts a site that has answered a stream with eventMS between its events.
func startGraceRun(t *testing.T, grace time.Duration, eventMS int) *graceRun {
	t.Helper()
	r := &graceRun{site: startSite(t, options{gateways: 1, engines: 1, firstVersion: 1}), grace: grace}
	r.waitForVersion(0, 1, 10*time.Second)
	r.restartWith(0, "GraceSeconds: 8", fmt.Sprintf("GraceSeconds: %g", grace.Seconds()))
	r.setRouteTimeout(callerPatience)
	r.engines[0].SetEventMS(eventMS)
	r.ledger.SetDelayMS(onceMS)
	for n, path := range []string{standin.StreamPath, standin.OncePath} {
		c := caller.New(r.gateways[0].callerAddress)
		o := c.Send(t.Context(), path+"x", fmt.Sprint("first-", n), apiKey, time.Now().Add(callerPatience))
		c.Close()
		require.Equal(t, http.StatusOK, o.Status)
	}
	return r
}

// send sends one request over a caller's connections and records its outcome.
func (r *graceRun) send(c *caller.Caller, path, attempt string) {
	r.wait.Go(func() {
		o := plannedOutcome{path: path, gateway: r.gateways[0].name, began: time.Now(), deadline: time.Now().Add(callerPatience)}
		o.Outcome = c.Send(r.t.Context(), path+"x", attempt, apiKey, o.deadline)
		o.ended = time.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.outcomes = append(r.outcomes, o)
	})
}

// stop sends SIGTERM and waits until the gateway has handled it. At the end of the grace
// period it kills the gateway.
func (r *graceRun) stop() <-chan error {
	g := r.gateways[0]
	r.signalAt = time.Now()
	r.killAt = r.signalAt.Add(r.grace)
	require.NoError(r.t, g.command.Process.Signal(syscall.SIGTERM))
	ended, result := make(chan error, 1), make(chan error, 1)
	go func() { ended <- g.command.Wait() }()
	go func() {
		select {
		case err := <-ended:
			result <- err
		case <-time.After(time.Until(r.killAt)):
			_ = g.command.Process.Kill() // it may end at this moment
			<-ended
			result <- fmt.Errorf("the gateway was killed %v after SIGTERM", r.grace)
		}
	}()
	r.eventuallyAtOnce(r.grace, "the drain starts", func() bool {
		time.Sleep(time.Millisecond)
		return strings.Contains(g.log.String(), "drain started")
	})
	r.drainAt = time.Now()
	return result
}

// What still ran at the end of the grace period was cut without an answer.
func TestRequestsThatOutlastGracePeriodGetFinalAnswer(t *testing.T) {
	const each = 4
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			r := startGraceRun(t, grace, 1)
			r.ledger.SetDelayMS(4000)
			r.engines[0].SetEventMS(1000)
			for n := range each {
				r.send(caller.New(r.gateways[0].callerAddress), standin.OncePath, fmt.Sprint("once-", n))
				r.send(caller.New(r.gateways[0].callerAddress), standin.StreamPath, fmt.Sprint("stream-", n))
			}
			r.eventuallyAtOnce(time.Second, "all run", func() bool {
				return len(r.ledger.Runs()) == 1+each && len(r.runsOf("stream-")) == each
			})
			ended := r.stop()
			r.wait.Wait()
			require.NoError(t, <-ended)
			for _, o := range r.outcomes {
				require.True(t, o.ended.Before(r.killAt))
				if o.Status == http.StatusOK {
					require.True(t, strings.HasPrefix(o.Attempt, "stream-"), o.Attempt)
					require.Error(t, o.Err, "a stream that was cut looks complete: %q", o.Body)
					continue
				}
				require.Equal(t, http.StatusBadGateway, o.Status, "%s: %v", o.Attempt, o.Err)
				require.NoError(t, o.Err)
			}
		})
	}
}
