package dispatch

import (
	"context"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/silence"
	"almondreel.example/almondreel/pkg/quarantine"
)

// failover starts successors of an attempt whose agent is silent: attempts at other agents
// beside it, since the silent agent may still answer. The first attempt that has the next
// token goes on with the answer, and the others are cancelled. It is safe for concurrent
// use.
type failover struct {
	request *inflight

	mu          sync.Mutex
	ctx         context.Context // of the request
	current     *run            // whose tokens are passed on; nil: none is
	runs        int             // ended attempts that may have run
	successors  []*run          // those that did not go on and are not counted in runs
	all         []*run          // every successor
	tried       map[string]bool // agents
	declined    map[string]bool // agents that did not run a successor of this silence
	started     int             // successors of this silence
	nextStartAt time.Time       // of a successor
}

// begin allows successors of an attempt.
func (f *failover) begin(ctx context.Context, r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ctx, f.current, f.runs = ctx, r, f.request.interruptedCount
	f.successors, f.all = nil, nil
	f.tried = maps.Clone(f.request.tried)
	f.endSilence()
}

// endSilence begins to count the successors of the next silence. Callers hold mu.
func (f *failover) endSilence() {
	f.declined, f.started, f.nextStartAt = map[string]bool{}, 0, time.Time{}
}

// onSilence is called while the agent of an attempt is silent since a time. It starts a
// successor of the current attempt.
func (f *failover) onSilence(r *run, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == r {
		f.startSuccessor(since)
		return
	}
	r.stalled = true
}

// startSuccessor starts a successor unless one is opening its answer, if the request may
// run once more and another agent has room. Callers hold mu.
func (f *failover) startSuccessor(since time.Time) {
	q, router, now := f.request, f.request.dispatcher.router, time.Now()
	switch {
	case now.Before(f.nextStartAt), f.ctx.Err() != nil:
		return
	case f.runs+1+f.possibleRuns() >= maxInterrupted:
		return
	case slices.ContainsFunc(f.successors, func(s *run) bool { return !s.ended && !s.stalled }):
		return
	case q.verdict() != quarantine.Clear:
		return // a suspect runs at one agent at a time
	}
	exclude := maps.Clone(f.tried)
	maps.Copy(exclude, f.declined)
	members := q.members(now)
	if !router.HasRoom(members, exclude) {
		clear(f.declined) // each may be asked once more
		return
	}
	if !q.budget.TakeRetry() {
		return
	}
	m, ok := router.Pick(members, q.criteria(exclude))
	if !ok {
		return
	}
	f.nextStartAt = silence.SuccessorAfter(now, f.started)
	f.started++
	f.tried[m.Name] = true
	s := q.newRun(f.ctx, m, false, *f.current.Progress)
	s.accepted, s.done = make(chan struct{}), make(chan struct{})
	s.OnAccepted = func() {
		s.acceptedAt = time.Now()
		close(s.accepted)
	}
	f.successors, f.all = append(f.successors, s), append(f.all, s)
	counter.Add("SuccessorsStarted", 1)
	event.Log(event.SuccessorStarted, "Request", q.request.ID, "Peer", m.Name, "Silent", f.current.Member.Name, "Tokens", s.tokensBefore, "SilentMS", now.Sub(since).Milliseconds())
	go f.runSuccessor(s)
}

// possibleRuns returns the number of successors that may have run the request, or be
// running it. Callers hold mu.
func (f *failover) possibleRuns() int {
	runs := 0
	for _, s := range f.successors {
		if !s.ended || mayHaveRun(s.result) {
			runs++
		}
	}
	return runs
}

// runSuccessor runs a successor. The current attempt stays as it is if the successor ends.
func (f *failover) runSuccessor(s *run) {
	defer close(s.done)
	defer f.request.release(s)
	s.result = f.send(s)
	if f.endBeside(s) {
		f.recordEnd(s)
	}
}

// send sends a successor. A panic ends it and not the gateway.
func (f *failover) send(s *run) (result attempt.Result) {
	defer func() {
		if cause := recover(); cause != nil {
			err := errs.New("run successor", s.Member.Address, "%v", cause)
			counter.Add("HandlerPanics", 1)
			event.Fail(event.HandlerPanicked, err, "Request", s.Request.ID, "Class", s.Request.Class.Name, "Stack", string(debug.Stack()))
			result = attempt.Interrupted{Reason: outcome.StreamCut, Cause: err}
		}
	}()
	return s.Run(s.ctx)
}

// endBeside notes the end of a successor and reports whether it did not go on.
func (f *failover) endBeside(s *run) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.ended = true
	if !slices.Contains(f.successors, s) {
		return false
	}
	if !mayHaveRun(s.result) {
		delete(f.tried, s.Member.Name)
		f.declined[s.Member.Name] = true
	}
	return true
}

// recordEnd updates counters, events and quarantine with the result of a successor that
// did not go on.
func (f *failover) recordEnd(s *run) {
	q := f.request
	if s.superseded() {
		return
	}
	switch r := s.result.(type) {
	case attempt.NotRun:
		event.Log(event.SuccessorEnded, "Request", q.request.ID, "Peer", s.Member.Name, "Reason", string(r.Reason))
		q.countRefusal(r)
		if r.Reason == outcome.BackendUnreachable || r.Reason == outcome.ReplicaUnreachable {
			q.dispatcher.unreachable.Add(s.Member.Name, time.Now())
		}
	case attempt.Interrupted:
		event.Fail(event.SuccessorEnded, r.Cause, "Request", q.request.ID, "Peer", s.Member.Name, "Reason", string(r.Reason))
		counter.Add("Broken."+string(r.Reason), 1)
		q.recordDeath(s, r)
		q.syncQuarantine(f.ctx, s, r)
	}
}

// goOn is called before an attempt passes a token on. The successors of the current
// attempt are cancelled, or a successor goes on in its place. It reports false if another
// attempt goes on.
func (f *failover) goOn(r *run) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != r {
		if f.current == nil || r.ctx.Err() != nil {
			return false
		}
		previous := f.current
		f.promote(r)
		previous.cancel(attempt.ErrSuperseded)
	}
	for _, s := range f.successors {
		s.cancel(attempt.ErrSuperseded)
	}
	f.endSilence()
	return true
}

// promote makes a successor the current attempt. Callers hold mu.
func (f *failover) promote(s *run) {
	f.successors = slices.DeleteFunc(f.successors, func(other *run) bool { return other == s })
	f.current.next, f.current = s, s
}

// replaced reports whether a successor has gone on in place of an attempt.
func (f *failover) replaced(r *run) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.next != nil
}

// endCurrent ends an attempt with a result. It returns the successor that has gone on in
// its place, or one that is opening its answer and goes on as the retry, or nil.
func (f *failover) endCurrent(r *run, result attempt.Result) *run {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.next == nil {
		switch result.(type) {
		case attempt.NotRun, attempt.Interrupted:
			i := slices.IndexFunc(f.successors, func(s *run) bool { return !s.ended && s.ctx.Err() == nil })
			if i >= 0 {
				f.promote(f.successors[i])
				f.endSilence()
			}
		}
	}
	if r.next == nil {
		f.current = nil
	} else if mayHaveRun(result) {
		f.runs++
	}
	return r.next
}

// takeEnded removes the successors that have ended and returns them.
func (f *failover) takeEnded() []*run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ended []*run
	f.successors = slices.DeleteFunc(f.successors, func(s *run) bool {
		if s.ended {
			ended = append(ended, s)
			if mayHaveRun(s.result) {
				f.runs++
			}
		}
		return s.ended
	})
	return ended
}

// stop cancels the successors, waits for their end and returns the agents that were tried.
func (f *failover) stop() map[string]bool {
	f.mu.Lock()
	f.current = nil
	all := f.all
	f.mu.Unlock()
	for _, s := range all {
		s.cancel(attempt.ErrSuperseded)
		<-s.done
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tried
}
