package dispatch

import (
	"context"
	"errors"
	"time"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/outcome"
)

// reasonSuperseded is the reason in the log for an attempt that was superseded.
const reasonSuperseded outcome.Reason = "Superseded"

// run is an attempt of a request at one agent.
type run struct {
	*attempt.Attempt
	ctx          context.Context
	cancel       context.CancelCauseFunc
	startedAt    time.Time
	acceptedAt   time.Time // zero: not accepted
	tokensBefore int       // tokens passed to the caller before

	next *run // went on in its place; guarded by failover.mu

	// Of a successor:
	accepted chan struct{}  // closed when its agent has accepted it
	done     chan struct{}  // closed at its end; nil: no successor
	result   attempt.Result // set before done is closed
	ended    bool           // guarded by failover.mu, as are the following
	stalled  bool           // its agent is silent as well
}

// newRun returns an attempt at an agent on which the router counts it. It goes on from
// progress.
func (f *inflight) newRun(ctx context.Context, m gateway.Member, suspect bool, progress attempt.Progress) *run {
	invariant.Assert(f.request.Class.Idempotent || !f.mayHaveRun, invariant.OneDispatchOfClaim, "request %s is not idempotent and is dispatched again", f.request.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	r := &run{ctx: ctx, cancel: cancel, startedAt: time.Now(), tokensBefore: progress.Tokens}
	r.Attempt = &attempt.Attempt{
		Client:     f.dispatcher.client,
		ReportLoad: f.dispatcher.router.UpdateLoad,
		Request:    f.request,
		Member:     m,
		Suspect:    suspect,
		Progress:   &progress,
		Sink:       f.sink,
		GoOn:       func() bool { return f.failover.goOn(r) },
		OnSilence:  func(since time.Time) { f.failover.onSilence(r, since) },
	}
	return r
}

// release ends what chooseAgent or the start of a successor counted.
func (f *inflight) release(r *run) {
	r.cancel(nil)
	if r.Suspect {
		f.dispatcher.options.Quarantine.EndSuspect(f.request.Fingerprint, r.Member.Name)
	}
	f.dispatcher.router.Finish(r.Member.Name)
}

// superseded reports whether the attempt was cancelled because another one goes on.
func (r *run) superseded() bool { return errors.Is(context.Cause(r.ctx), attempt.ErrSuperseded) }

// mayHaveRun reports whether the request may have run in an attempt with this result.
func mayHaveRun(r attempt.Result) bool {
	_, notRun := r.(attempt.NotRun)
	return !notRun
}

// tryAgent sends the request to an agent that was not tried before, and to successors
// while that agent is silent. It returns the result of the attempt that went on last, or
// false if there is no agent.
func (f *inflight) tryAgent(ctx context.Context) (attempt.Result, bool) {
	m, suspect, ok := f.chooseAgent(ctx)
	if !ok {
		return nil, false
	}
	f.tried[m.Name] = true
	r := f.newRun(ctx, m, suspect, f.progress)
	f.failover.begin(ctx, r)
	defer f.failover.stop()
	f.lifecycle.fire("Dispatch")
	result := f.runFirst(r)
	for {
		if interrupted, ok := result.(attempt.Interrupted); ok {
			f.syncQuarantine(ctx, r, interrupted)
		}
		next := f.failover.endCurrent(r, result)
		if next == nil {
			break
		}
		f.recordRetry(r, f.countEnd(result))
		f.settleSuccessors()
		f.lifecycle.fire("Dispatch")
		r = next
		result = f.recordResult(r, f.await(r))
	}
	f.tried = f.failover.stop()
	f.last, f.progress = r, *r.Progress
	switch result.(type) {
	case attempt.NotRun, attempt.Interrupted:
		f.settleSuccessors()
	}
	return result, true
}

// countEnd counts the end of an attempt in whose place a successor goes on, and returns
// the reason.
func (f *inflight) countEnd(r attempt.Result) outcome.Reason {
	if notRun, ok := r.(attempt.NotRun); ok {
		f.notRunCount++
		return notRun.Reason
	}
	f.interruptedCount++
	if interrupted, ok := r.(attempt.Interrupted); ok {
		return interrupted.Reason
	}
	return reasonSuperseded
}

// recordRetry records that the request goes on after an attempt that ended for a reason.
func (f *inflight) recordRetry(r *run, reason outcome.Reason) {
	counter.Add("Retried."+string(reason), 1)
	event.Log(event.RequestRetried, "Request", f.request.ID, "Peer", r.Member.Name, "Reason", string(reason), "Tokens", r.Progress.Tokens)
}

// runFirst runs an attempt that is no successor.
func (f *inflight) runFirst(r *run) attempt.Result {
	defer f.release(r)
	r.OnAccepted = func() {
		r.acceptedAt = time.Now()
		f.onAccepted(r)
	}
	return f.recordResult(r, r.Run(r.ctx))
}

// await returns the result of a successor that goes on.
func (f *inflight) await(r *run) attempt.Result {
	select {
	case <-r.accepted:
	case <-r.done:
	}
	select {
	case <-r.accepted:
		f.onAccepted(r)
	default:
	}
	<-r.done
	return r.result
}

// settleSuccessors counts the ended successors that did not go on but may have run.
func (f *inflight) settleSuccessors() {
	for _, s := range f.failover.takeEnded() {
		if !mayHaveRun(s.result) {
			continue
		}
		f.lifecycle.fire("Dispatch")
		if !s.acceptedAt.IsZero() {
			f.lifecycle.fire("Begin")
			f.accepted = true
		}
		f.lifecycle.fire("Interrupt")
		f.mayHaveRun = true
		f.interruptedCount++
	}
}

// onAccepted records that an agent accepted an attempt.
func (f *inflight) onAccepted(r *run) {
	f.lifecycle.fire("Begin")
	f.accepted = true
	f.askAgainUntil, f.askedAgain = time.Time{}, 0
	milliseconds := int(r.acceptedAt.Sub(r.startedAt).Milliseconds())
	f.permit.ObserveLatency(milliseconds, f.request.Class.Target.FirstTokenMilliseconds)
	counter.Observe("FirstTokenMilliseconds."+f.request.Class.Name, int64(milliseconds))
}

// recordResult updates the state machine, counters, events and concurrency
// limit with an attempt's result, and returns it.
func (f *inflight) recordResult(attempted *run, r attempt.Result) attempt.Result {
	if _, gone := r.(attempt.CallerGone); gone && f.failover.replaced(attempted) {
		r = attempt.Superseded{}
	}
	switch r := r.(type) {
	case attempt.Completed:
		f.dispatcher.options.Parts.RecordAnswer(f.parts, time.Now())
	case attempt.NotRun:
		f.lifecycle.fire("Decline")
		if !attempted.superseded() {
			event.Log(event.DispatchRefused, "Request", f.request.ID, "Reason", string(r.Reason), "Peer", attempted.Member.Name)
			f.countRefusal(r)
		}
	case attempt.Superseded:
		f.mayHaveRun = true
		f.lifecycle.fire("Interrupt")
	case attempt.Interrupted:
		f.mayHaveRun = true
		f.lifecycle.fire("Interrupt")
		counter.Add("Broken."+string(r.Reason), 1)
		f.recordDeath(attempted, r)
	}
	return r
}

func (f *inflight) countRefusal(r attempt.NotRun) {
	counter.Add("Declined."+string(r.Reason), 1)
	if r.Reason == outcome.ReplicaBusy {
		f.permit.ReportOverload()
	}
}
