package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	// successorDelay is the time from one successor to the next. It doubles with each, so
	// that a long silence takes few retries from the budget.
	successorDelay = stallCheckInterval
	// maxSuccessorDoublings limits successorDelay to a few seconds.
	maxSuccessorDoublings = 5
)

// errSuperseded cancels an attempt because another one goes on with the response.
var errSuperseded = errors.New("another server goes on with the response")

// failover starts successors of an attempt whose server is silent: attempts at other
// servers beside it, since the silent server may still answer. The first attempt that has
// what the caller needs next goes on with the response, and the others are cancelled. It
// is safe for concurrent use.
type failover struct {
	exchange *exchange

	mu          sync.Mutex
	current     *attempt         // whose response is forwarded; nil: none is
	request     schedule.Request // for the slot of current
	runs        int              // servers that may have run the request before current
	silent      bool             // the server of current counts as silent
	opened      *attempt         // successor that goes on in place of current
	successors  []*successor     // all but the one that went on
	nextStartAt time.Time        // of a successor
}

// successor is an attempt beside one whose server is silent.
type successor struct {
	*attempt
	done chan struct{} // closed when its response has been opened or it has ended
	end  result        // nil while it opens its response
}

// begin allows successors of an attempt. runs is the number of servers that may have run
// the request before.
func (f *failover) begin(a *attempt, request schedule.Request, runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.request, f.runs, f.silent = a, request, runs, false
}

// startSuccessor starts a successor unless one is opening its response, if the request
// may run at one more server and another one has a slot. The current server has been silent
// since a time.
func (f *failover) startSuccessor(ctx context.Context, since time.Time) {
	e, now := f.exchange, time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.current == nil, f.opened != nil, now.Before(f.nextStartAt), !e.response.resumable():
		return
	case f.runs+1+f.successorRuns() >= e.route.MaxAttempts:
		return
	case slices.ContainsFunc(f.successors, func(s *successor) bool { return s.end == nil && !s.stalled(now) }):
		return
	case e.handler.CrashDetector.Verdict(e.suspect) != quarantine.Clear:
		return // a suspect runs at one server at a time
	}
	start, ok := e.handler.Pools.startElsewhere(e.service.Name, f.slotRequest(), func() bool { return e.handler.takeRetry(e.service.Name) })
	if !ok {
		return
	}
	if !f.silent {
		f.silent = true
		e.handler.Pools.markSilent(e.service.Name, f.current.server.ID)
	}
	f.nextStartAt = now.Add(successorDelay << min(len(f.successors), maxSuccessorDoublings))
	s := &successor{attempt: e.newAttempt(ctx, start.Server, quarantine.Clear), done: make(chan struct{})}
	f.successors = append(f.successors, s)
	counter.Add("SuccessorsStarted", 1)
	event.Log(event.SuccessorStarted, "Request", e.info.AttemptID, "Server", s.server.ID, "Silent", f.current.server.ID, "AfterEvent", s.from.lastEventID, "SilentMS", now.Sub(since).Milliseconds())
	go f.open(s)
}

// slotRequest returns the request for a successor's slot. Callers hold mu.
func (f *failover) slotRequest() schedule.Request {
	r := f.request
	r.Resumed, r.Retried = true, true
	r.Rejected = slices.Clone(r.Rejected)
	r.Failed = append(slices.Clone(r.Failed), f.current.server.ID)
	for _, s := range f.successors {
		if s.mayHaveRun() {
			r.Failed = append(r.Failed, s.server.ID)
		} else {
			r.Rejected = append(r.Rejected, s.server.ID)
		}
	}
	return r
}

// mayHaveRun reports whether the server may have run the request.
func (s *successor) mayHaveRun() bool {
	switch r := s.end.(type) {
	case rejected:
		return false
	case cancelled:
		return !r.notRun
	}
	return true
}

// possibleRuns returns the number of successors that may have run the request, or be
// running it, without the one that went on.
func (f *failover) possibleRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := f.successorRuns()
	if f.opened != nil {
		runs++
	}
	return runs
}

// successorRuns returns the number of successors that may have run the request. Callers
// hold mu.
func (f *failover) successorRuns() int {
	runs := 0
	for _, s := range f.successors {
		if s.mayHaveRun() {
			runs++
		}
	}
	return runs
}

// open opens a successor's response, which goes on with that of the current attempt, or
// ends the successor. The current attempt stays as it is if the successor fails.
func (f *failover) open(s *successor) {
	defer close(s.done)
	e := f.exchange
	end := result(cancelled{})
	defer func() {
		if cause := recover(); cause != nil {
			counter.Add("HandlerPanics", 1)
			event.Fail(event.HandlerPanicked, errs.New("open response", s.server.Address, "%v", cause), "Request", e.info.AttemptID, "Route", e.route.Name)
		}
		if end == nil && f.goOn(s) {
			return
		}
		if end == nil {
			end = cancelled{}
		}
		f.mu.Lock()
		s.end = end // before its context ends, so that a refusal never counts as a run
		f.mu.Unlock()
		s.close()
		s.release(end)
	}()
	end = s.open()
	if end == nil && s.empty {
		end = failed{reason: outcome.StreamCut, endState: schedule.Incomplete, detail: errNoEvent.Error()}
	}
	switch r := end.(type) {
	case rejected:
		event.Log(event.SuccessorEnded, "Request", e.info.AttemptID, "Server", s.server.ID, "Reason", string(r.reason), "Detail", r.detail)
	case failed:
		event.Log(event.SuccessorEnded, "Request", e.info.AttemptID, "Server", s.server.ID, "Reason", string(r.reason), "Detail", r.detail)
		if r.mayHaveCrashed {
			e.handler.CrashDetector.ReportInterrupted(interruptedResponse{e.suspect, time.Now(), r.survived, s.server, s.verdict})
		}
	}
}

// goOn makes a successor whose response is open the one that goes on, unless another
// attempt has. It cancels the others.
func (f *failover) goOn(s *successor) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opened != nil || s.ctx.Err() != nil {
		return false
	}
	f.opened = s.attempt
	f.successors = slices.DeleteFunc(f.successors, func(other *successor) bool { return other == s })
	f.cancelSuccessors()
	if f.current != nil {
		f.current.cancel(errStalled)
	}
	return true
}

// cancelSuccessors cancels the successors that open their responses. Callers hold mu.
func (f *failover) cancelSuccessors() {
	for _, s := range f.successors {
		if s.end == nil {
			s.cancel(errSuperseded)
		}
	}
}

// progressed is called before more of the current response is sent to the caller. It
// cancels the successors, or reports false if one of them goes on.
func (f *failover) progressed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opened != nil {
		return false
	}
	f.cancelSuccessors()
	if f.silent && f.current != nil {
		f.silent = false
		f.exchange.handler.Pools.markResponsive(f.exchange.service.Name, f.current.server.ID)
	}
	return true
}

// endCurrent ends the current attempt. It reports whether a successor goes on, or has not
// ended.
func (f *failover) endCurrent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = nil
	return f.opened != nil || f.opening() != nil
}

// opening returns a successor that opens its response, or that was cancelled and has not
// ended, or nil. Callers hold mu.
func (f *failover) opening() *successor {
	for _, s := range f.successors {
		if s.end == nil {
			return s
		}
	}
	return nil
}

// await returns the successor that goes on, once there is one, or nil if all have ended.
func (f *failover) await() *attempt {
	for {
		f.mu.Lock()
		opened, opening := f.opened, f.opening()
		f.opened = nil
		f.mu.Unlock()
		if opened != nil || opening == nil {
			return opened
		}
		<-opening.done
	}
}

// ended returns the servers of successors that rejected the request, and of those that
// may have run it.
func (f *failover) ended() (rejectedBy, failedBy []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.successors {
		if s.mayHaveRun() {
			failedBy = append(failedBy, s.server.ID)
		} else {
			rejectedBy = append(rejectedBy, s.server.ID)
		}
	}
	return rejectedBy, failedBy
}

// stop cancels the successors and waits for their end.
func (f *failover) stop() {
	f.mu.Lock()
	f.current = nil
	opened := f.opened
	f.opened = nil
	f.cancelSuccessors()
	successors := slices.Clone(f.successors)
	f.mu.Unlock()
	if opened != nil {
		opened.close()
		opened.release(cancelled{})
	}
	for _, s := range successors {
		<-s.done
	}
}
