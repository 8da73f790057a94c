package dispatch_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/pkg/quarantine"
)

// stayIdle waits for a time, or until the dispatch is cancelled. It reports whether the
// time has passed.
func stayIdle(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// slowStart returns a script that completes an answer after a delay. It sends when a
// dispatch is cancelled before.
func slowStart(delay time.Duration, cancelled chan<- time.Time) script {
	return func(w http.ResponseWriter, r *http.Request, a answerWriter) {
		a.start()
		a.w.(http.Flusher).Flush()
		if !stayIdle(r, delay) {
			cancelled <- time.Now()
			return
		}
		completeAnswer(w, r, a)
	}
}

// counted returns a script that counts the dispatches that it answers by s.
func counted(s script, dispatches *atomic.Int64) script {
	return func(w http.ResponseWriter, r *http.Request, a answerWriter) {
		dispatches.Add(1)
		s(w, r, a)
	}
}

func requireAnswered(t *testing.T, o outcome.Outcome, sink *tokenRecorder) {
	t.Helper()
	require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o)
	require.Equal(t, []int{0, 1, 2, 3}, sink.indices)
}

// A silent agent that goes on first keeps the answer, and its successor is cancelled at
// once: it would hold a slot for an answer that nobody reads.
func TestSuccessorIsCancelledWhenSilentAgentGoesOn(t *testing.T) {
	t.Parallel()
	const pause = 1300 * time.Millisecond
	request := completionRequest()
	cancelled := make(chan time.Time, 8)
	d := newSilenceDispatcher(t, request, pauses(pause, 2), slowStart(4*time.Second, cancelled))
	var sink tokenRecorder
	start := time.Now()
	_, o := d.Stream(context.Background(), request, &sink)
	requireAnswered(t, o, &sink)
	require.Less(t, time.Since(start), pause+time.Second)
	select {
	case at := <-cancelled:
		require.Less(t, at.Sub(start), pause+time.Second)
	case <-time.After(2 * time.Second):
		require.Fail(t, "the successor was not cancelled")
	}
	_, retries := d.Retries(request.Class.Name)
	require.EqualValues(t, 1, retries)
}

// The silent agent is cancelled once its successor goes on, and tokens of one only reach
// the caller.
func TestSilentAgentIsCancelledWhenSuccessorGoesOn(t *testing.T) {
	t.Parallel()
	cancelled := make(chan struct{})
	silent := func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
		a.start()
		a.tokens(0, 1)
		<-r.Context().Done()
		close(cancelled)
	}
	request := completionRequest()
	d := newSilenceDispatcher(t, request, silent, completeAnswer)
	var sink tokenRecorder
	_, o := d.Stream(context.Background(), request, &sink)
	requireAnswered(t, o, &sink)
	select {
	case <-cancelled:
	case <-time.After(2 * time.Second):
		require.Fail(t, "the silent agent was not cancelled")
	}
}

// A silent agent that ends while its successor opens its answer must not cost the
// successor: that is the retry.
func TestSuccessorGoesOnWhenSilentAgentEnds(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]script{
		"cut": func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
			a.start()
			a.tokens(0, 1)
			stayIdle(r, 1200*time.Millisecond)
			panic(http.ErrAbortHandler)
		},
		"refused late": func(w http.ResponseWriter, r *http.Request, a answerWriter) {
			stayIdle(r, 1200*time.Millisecond)
			refuse(outcome.ReplicaBusy)(w, r, a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			request := completionRequest()
			var dispatches atomic.Int64
			d := newSilenceDispatcher(t, request, end, counted(slowStart(700*time.Millisecond, make(chan time.Time, 8)), &dispatches))
			var sink tokenRecorder
			_, o := d.Stream(context.Background(), request, &sink)
			requireAnswered(t, o, &sink)
			require.EqualValues(t, 1, dispatches.Load())
		})
	}
}

// A successor that is silent as well has a successor beside it.
func TestSilentSuccessorIsSucceeded(t *testing.T) {
	t.Parallel()
	silent := func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
		a.start()
		a.tokens(0)
		<-r.Context().Done()
	}
	var dispatches atomic.Int64
	other := func(w http.ResponseWriter, r *http.Request, a answerWriter) {
		if dispatches.Add(1) == 1 {
			a.start()
			a.w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		completeAnswer(w, r, a)
	}
	request := completionRequest()
	d := newSilenceDispatcher(t, request, silent, other)
	var sink tokenRecorder
	_, o := d.Stream(context.Background(), request, &sink)
	requireAnswered(t, o, &sink)
	require.EqualValues(t, 2, dispatches.Load())
}

// A long silence beside agents that refuse must not spend the budget for retries: the
// pauses between its successors grow.
func TestLongSilenceTakesFewRetries(t *testing.T) {
	t.Parallel()
	request := completionRequest()
	d := newSilenceDispatcher(t, request, pauses(3*time.Second, 2), refuse(outcome.ReplicaBusy))
	var sink tokenRecorder
	_, o := d.Stream(context.Background(), request, &sink)
	requireAnswered(t, o, &sink)
	_, retries := d.Retries(request.Class.Name)
	require.Positive(t, retries)
	require.LessOrEqual(t, retries, int64(5)) // after 1.0, 1.1, 1.3, 1.7 and 2.5 s
}

// A suspect may crash its engine, and must not run at two at once.
func TestSuspectHasNoSuccessor(t *testing.T) {
	t.Parallel()
	request := completionRequest()
	table := quarantine.NewTable()
	require.Equal(t, quarantine.Suspect, table.RecordCrash(request.Fingerprint, "another", false, time.Now().Add(time.Minute)))
	var running, most, dispatches atomic.Int64
	answer := func(w http.ResponseWriter, r *http.Request, a answerWriter) {
		most.Store(max(most.Load(), running.Add(1)))
		dispatches.Add(1)
		defer running.Add(-1)
		pauses(1500*time.Millisecond, 2)(w, r, a)
	}
	d := newQuarantineDispatcher(t, request, answer, answer, table)
	var sink tokenRecorder
	_, o := d.Stream(context.Background(), request, &sink)
	requireAnswered(t, o, &sink)
	require.EqualValues(t, 1, most.Load())
	require.EqualValues(t, 1, dispatches.Load())
}

// A completion that is not idempotent must run once, however long its agent is silent.
func TestNonIdempotentCompletionHasNoSuccessor(t *testing.T) {
	t.Parallel()
	request := completionRequest()
	request.IdempotencyKey, request.Class.Idempotent = "k", false
	var dispatches atomic.Int64
	d := newSilenceDispatcher(t, request, counted(pauses(1500*time.Millisecond, 2), &dispatches), counted(completeAnswer, &dispatches))
	var sink tokenRecorder
	_, o := d.Stream(context.Background(), request, &sink)
	requireAnswered(t, o, &sink)
	require.EqualValues(t, 1, dispatches.Load())
}

// slowCaller takes a while to read a token.
type slowCaller struct {
	tokenRecorder
	pause time.Duration
}

func (c *slowCaller) Token(t engine.Token) error {
	if t.Index == 1 {
		time.Sleep(c.pause)
	}
	return c.tokenRecorder.Token(t)
}

// A caller that reads slowly made its agent look silent, and a sound agent was left.
func TestSlowCallerDoesNotMakeItsAgentSilent(t *testing.T) {
	t.Parallel()
	request := completionRequest()
	var dispatches atomic.Int64
	pausing := func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
		a.start()
		a.tokens(0, 1)
		stayIdle(r, 1600*time.Millisecond)
		a.tokens(2, 3)
		a.end(agent.EndWhole)
	}
	d := newSilenceDispatcher(t, request, counted(pausing, &dispatches), counted(completeAnswer, &dispatches))
	sink := slowCaller{pause: 1500 * time.Millisecond}
	_, o := d.Stream(context.Background(), request, &sink)
	requireAnswered(t, o, &sink.tokenRecorder)
	require.EqualValues(t, 1, dispatches.Load())
}

// An answer that lacks only its end marker is whole, and no other agent can go on with it.
func TestAnswerWithoutEndMarkerIsWhole(t *testing.T) {
	t.Parallel()
	request := completionRequest()
	var dispatches atomic.Int64
	noEnd := func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
		a.start()
		a.tokens(0, 1, 2, 3)
		<-r.Context().Done()
	}
	d := newSilenceDispatcher(t, request, noEnd, counted(refuse(outcome.ReplicaBusy), &dispatches))
	var sink tokenRecorder
	start := time.Now()
	_, o := d.Stream(context.Background(), request, &sink)
	requireAnswered(t, o, &sink)
	require.Zero(t, dispatches.Load())
	require.Less(t, time.Since(start), 2*time.Second)
}

// A slot that is released twice or never makes the router send too many or too few
// requests to the agent.
func TestSlotsOfSuccessorsAreReleasedOnce(t *testing.T) {
	t.Parallel()
	never := func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
		a.start()
		a.tokens(0, 1)
		<-r.Context().Done()
	}
	cut := func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
		a.start()
		a.tokens(0, 1)
		stayIdle(r, 1200*time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	for name, c := range map[string]struct{ silent, other script }{
		"refused":     {pauses(1500*time.Millisecond, 2), refuse(outcome.ReplicaBusy)},
		"unreachable": {pauses(1500*time.Millisecond, 2), nil},
		"cut":         {pauses(1500*time.Millisecond, 2), acceptAndCut},
		"cancelled":   {pauses(1500*time.Millisecond, 2), slowStart(4*time.Second, make(chan time.Time, 8))},
		"went on":     {never, completeAnswer},
		"retry":       {cut, slowStart(700*time.Millisecond, make(chan time.Time, 8))},
		"all cut":     {cut, acceptAndCut},
		"deadline":    {never, never},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			request := completionRequest()
			request.Deadline = time.Now().Add(3 * time.Second)
			d := newSilenceDispatcher(t, request, c.silent, c.other)
			_, _ = d.Stream(context.Background(), request, &tokenRecorder{})
			router := dispatch.RouterOf(d)
			for _, m := range silenceMembers() {
				free := 0
				for ; router.HasRoom([]gateway.Member{m}, nil); free++ {
					router.Start(m)
				}
				require.Equal(t, m.Slots, free, m.Name)
			}
		})
	}
}

// Successors that may have run count as runs of the request, which ends after four.
func TestSuccessorsCountAsRuns(t *testing.T) {
	t.Parallel()
	request := completionRequest()
	var dispatches atomic.Int64
	cut := func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
		a.start()
		a.tokens(0, 1)
		stayIdle(r, 2500*time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	d := newSilenceDispatcher(t, request, cut, counted(acceptAndCut, &dispatches))
	_, o := d.Stream(context.Background(), request, &tokenRecorder{})
	require.Equal(t, outcome.Failed{Reason: outcome.StreamCut, Tokens: 2}, o)
	require.EqualValues(t, 3, dispatches.Load())
}

// The caller of a silent agent that never accepted the request is told that it may have
// run if a successor may have run it.
func TestRunOfSuccessorMakesOutcomeUnknown(t *testing.T) {
	t.Parallel()
	request := completionRequest()
	lateRefusal := func(w http.ResponseWriter, r *http.Request, a answerWriter) {
		stayIdle(r, 2500*time.Millisecond)
		refuse(outcome.ReplicaBusy)(w, r, a)
	}
	breakOff := func(http.ResponseWriter, *http.Request, answerWriter) { panic(http.ErrAbortHandler) }
	d := newSilenceDispatcher(t, request, lateRefusal, breakOff)
	_, o := d.Stream(context.Background(), request, &tokenRecorder{})
	require.IsType(t, outcome.Unknown{}, o)
}

// A caller that leaves while a successor opens its answer ends both.
func TestCallerThatLeavesEndsSuccessors(t *testing.T) {
	t.Parallel()
	request := completionRequest()
	cancelled := make(chan time.Time, 8)
	idle := slowStart(4*time.Second, cancelled)
	d := newSilenceDispatcher(t, request, idle, idle)
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	leave, gone := context.WithCancel(ctx)
	time.AfterFunc(1300*time.Millisecond, gone)
	_, o := d.Stream(leave, request, &tokenRecorder{})
	require.IsType(t, outcome.Cancelled{}, o)
	<-cancelled
	<-cancelled
}

// panickingSink panics at a token.
type panickingSink struct{ tokenRecorder }

func (s *panickingSink) Token(t engine.Token) error {
	if t.Index == 2 && len(s.indices) == 2 {
		s.indices = append(s.indices, -1)
		panic("sink")
	}
	return s.tokenRecorder.Token(t)
}

// A panic in a successor must not end the gateway.
func TestPanicInSuccessorIsRecovered(t *testing.T) {
	t.Parallel()
	request := completionRequest()
	silent := func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
		a.start()
		a.tokens(0, 1)
		<-r.Context().Done()
	}
	d := newSilenceDispatcher(t, request, silent, completeAnswer)
	var sink panickingSink
	_, o := d.Stream(context.Background(), request, &sink)
	require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o)
	require.Equal(t, []int{0, 1, -1, 2, 3}, sink.indices)
}
