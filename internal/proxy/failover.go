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
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/silence"
	"almondreel.example/almondreel/pkg/quarantine"
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
	runs        int              // servers that may have run the request, without current and successors
	silent      bool             // the server of current counts as silent
	opened      *attempt         // successor that goes on in place of current
	successors  []*successor     // all but the one that went on
	nextStartAt time.Time        // of a successor
}

// successor is an attempt beside one whose server is silent.
type successor struct {
	*attempt
	start schedule.Start
	done  chan struct{} // closed when its response has been opened or it has ended
	end   result        // nil while it opens its response
}

// begin allows successors of an attempt. runs is the number of servers that may have run
// the request before.
func (f *failover) begin(a *attempt, request schedule.Request, runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.request, f.runs, f.silent = a, request, runs, false
}

// onSilence starts a successor of the current attempt, whose server has been silent since a
// time.
func (f *failover) onSilence(ctx context.Context, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil {
		f.startSuccessor(ctx, since)
	}
}

// startSuccessor starts a successor unless another one may still go on, if the request may
// run at one more server and one has a slot. Callers hold mu.
func (f *failover) startSuccessor(ctx context.Context, since time.Time) {
	e, now, runs := f.exchange, time.Now(), f.runs+f.successorRuns()
	if f.current != nil {
		runs++
	}
	switch {
	case f.opened != nil, now.Before(f.nextStartAt), !e.response.resumable():
		return
	case runs >= e.route.MaxAttempts:
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
	f.markSilent()
	f.nextStartAt = silence.SuccessorAfter(now, len(f.successors))
	s := &successor{attempt: e.newAttempt(ctx, start.Server, quarantine.Clear), start: start, done: make(chan struct{})}
	f.successors = append(f.successors, s)
	counter.Add("SuccessorsStarted", 1)
	event.Log(event.SuccessorStarted, "Request", e.info.AttemptID, "Server", s.server.ID, "Silent", e.lastServer, "AfterEvent", s.from.lastEventID, "SilentMS", now.Sub(since).Milliseconds())
	go f.open(s, f.current)
}

// markSilent stops new requests to the server of the current attempt, once. Callers hold mu.
func (f *failover) markSilent() {
	if f.current == nil || f.silent {
		return
	}
	f.silent = true
	f.exchange.handler.Pools.markSilent(f.exchange.service.Name, f.current.server.ID)
}

// slotRequest returns the request for a successor's slot. Callers hold mu.
func (f *failover) slotRequest() schedule.Request {
	r := f.exchange.bind(f.request)
	r.Resumed, r.Retried = true, true
	if f.exchange.response.begun() {
		r.AnswerMS = 0 // a gateway that stops does not cut it sooner than it must
	}
	r.Rejected = slices.Clone(r.Rejected)
	r.Failed = slices.Clone(r.Failed)
	if f.current != nil {
		r.Failed = append(r.Failed, f.current.server.ID)
	}
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
// running it, with the one that goes on until it is the current attempt.
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
func (f *failover) open(s *successor, current *attempt) {
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
		if end.schedulerEnd() == schedule.Withdrawn {
			e.handler.Pools.returnSlot(e.service.Name, s.start, schedule.Withdrawn, e.promptMS())
		} else {
			s.release(s.schedulerEnd(end))
		}
	}()
	switch permitted := e.permitted(s.server); {
	case !permitted:
		end = notPermitted()
	case s.start.Late(time.Now()):
		end = notSent()
	default:
		end = s.open()
	}
	if end == nil && s.empty && current != nil {
		s.waitBehind(current)
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

// emptyStreamDelay is the time for which a stream without an event waits for the silent
// server, which may have one. Callers disconnect after two seconds without an event.
const emptyStreamDelay = 800 * time.Millisecond

// waitBehind waits until the current attempt has ended, or for emptyStreamDelay.
func (s *successor) waitBehind(current *attempt) {
	timer := time.NewTimer(emptyStreamDelay)
	defer timer.Stop()
	select {
	case <-current.ctx.Done():
	case <-s.ctx.Done():
	case <-timer.C:
	}
}

// schedulerEnd returns how the scheduler records the end of a successor. One that was
// cancelled freed no slot for waiting requests before its time.
func (s *successor) schedulerEnd(end result) schedule.End {
	if errors.Is(context.Cause(s.ctx), errSuperseded) {
		return schedule.Superseded
	}
	return end.schedulerEnd()
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

// await returns the successor that goes on after the current attempt has ended, or nil if
// all have ended. It starts another one while they are silent. request is for the slot of
// that one, and runs the number of servers that may have run the request.
func (f *failover) await(ctx context.Context, request schedule.Request, runs int) *attempt {
	f.mu.Lock()
	f.request, f.runs = request, runs
	f.mu.Unlock()
	began := time.Now()
	for {
		opened, opening := f.next(ctx, began)
		if opened != nil || opening == nil {
			return opened
		}
		select {
		case <-opening.done:
		case <-time.After(silence.CheckInterval):
		}
	}
}

// next returns the successor that goes on, or one that opens its response.
func (f *failover) next(ctx context.Context, since time.Time) (opened *attempt, opening *successor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	opened, f.opened = f.opened, nil
	if opening = f.opening(); opened == nil && opening != nil && ctx.Err() == nil {
		f.startSuccessor(ctx, since)
	}
	return opened, opening
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
		opened.release(schedule.Abandoned)
	}
	for _, s := range successors {
		<-s.done
	}
}
