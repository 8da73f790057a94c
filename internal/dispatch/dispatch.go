// Package dispatch admits a gateway's requests, sends them to agents and ends
// each with exactly one outcome.
//
// A request is retried only when it was certainly not run or its class is
// idempotent. An outcome is Refused only when no agent accepted the request.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/ending"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/route"
	"almondreel.example/almondreel/pkg/limit"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	maxInterrupted     = 4           // attempts of one request that may have run
	maxNotRun          = 8           // attempts of one request that were not run
	retryRatio         = 0.1         // retries added to the class's budget by each request
	unqueuedRetryDelay = time.Second // before jitter, for a request that was refused before it was queued
	plainCallCost      = 16          // cost of a plain call, in tokens
)

// Options of a Dispatcher.
type Options struct {
	Gateway       string // this gateway's name
	Desired       *desired.State
	Members       *membership.Table
	Gateways      func() []string                         // names of all gateways; nil: only this one
	Quarantine    *quarantine.Table                       // nil: a new, empty table
	Parts         *quarantine.Parts                       // that adds to Quarantine; nil: a new one
	ReportSuspect func(context.Context, quarantine.Entry) // sends the entry to the other gateways; may be nil
	// ReportCrash sends a crash to the other gateways and merges their answers; may be nil.
	ReportCrash func(context.Context, quarantine.PartCrash)
	Claims      Claims // nil: non-idempotent requests are refused
}

// Dispatcher sends requests to agents. It is safe for concurrent use.
type Dispatcher struct {
	options     Options
	client      *atmostonce.Client
	router      *route.Router
	unreachable *route.Unreachable
	subsets     *route.SubsetCache
	ending      ending.Ending

	mu      sync.Mutex
	queues  map[string]*limit.Queue       // by service
	budgets map[string]*limit.RetryBudget // by class
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewTable()
	}
	if o.Parts == nil {
		o.Parts = quarantine.NewParts(o.Quarantine)
	}
	if o.ReportSuspect == nil {
		o.ReportSuspect = func(context.Context, quarantine.Entry) {}
	}
	if o.ReportCrash == nil {
		o.ReportCrash = func(context.Context, quarantine.PartCrash) {}
	}
	if o.Gateways == nil {
		o.Gateways = func() []string { return []string{o.Gateway} }
	}
	return &Dispatcher{
		options:     o,
		client:      atmostonce.NewClient(),
		router:      route.NewRouter(),
		unreachable: route.NewUnreachable(),
		subsets:     route.NewSubsetCache(o.Members, o.Gateways, o.Gateway),
		ending:      ending.New(),
		queues:      map[string]*limit.Queue{},
		budgets:     map[string]*limit.RetryBudget{},
	}
}

// End ends the requests in progress. Each gets its final outcome.
func (d *Dispatcher) End() { d.ending.End() }

// Stream runs a completion and passes its tokens to sink. Of the returned
// Answer only Repeat is set.
func (d *Dispatcher) Stream(ctx context.Context, r attempt.Request, sink attempt.Sink) (attempt.Answer, outcome.Outcome) {
	return d.run(ctx, r, sink)
}

// Call runs a plain call and returns its answer.
func (d *Dispatcher) Call(ctx context.Context, r attempt.Request) (attempt.Answer, outcome.Outcome) {
	return d.run(ctx, r, nil)
}

func (d *Dispatcher) run(ctx context.Context, r attempt.Request, sink attempt.Sink) (attempt.Answer, outcome.Outcome) {
	lifecycle := newRequestLifecycle()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, release := d.ending.Bind(ctx)
	defer release()
	f := &inflight{dispatcher: d, request: r, sink: sink, lifecycle: lifecycle, parts: r.PromptParts(), tried: map[string]bool{}, declined: map[string]bool{}, lastReason: outcome.NoReplicaServing, budget: d.budget(r.Class.Name)}
	f.failover = &failover{request: f}
	result := f.admitAndRun(ctx)
	return f.progress.Answer, lifecycle.finish(r.ID, result)
}

// admitAndRun waits in the service's queue for a permit, then runs the request.
func (f *inflight) admitAndRun(ctx context.Context) outcome.Outcome {
	d, r := f.dispatcher, f.request
	if f.verdict() == quarantine.Quarantined {
		return outcome.Refused{Reason: outcome.Quarantined}
	}
	if !f.pinVersion() {
		return outcome.Refused{Reason: outcome.NoReplicaServing, RetryAt: f.retryAt()}
	}
	queue := d.queue(r.Class.Service, f.members(time.Now()))
	permit, err := queue.Acquire(ctx, f.admissionRequest())
	var refusal *limit.Refusal
	if errors.As(err, &refusal) {
		return admissionOutcome(ctx, refusal)
	}
	defer permit.Release()
	f.queue, f.permit = queue, permit
	f.lifecycle.fire("Admit")
	f.budget.CountRequest()
	if r.Class.Idempotent {
		return f.runIdempotent(ctx)
	}
	return f.runClaimed(ctx)
}

// admissionOutcome returns the outcome of a request that got no permit.
func admissionOutcome(ctx context.Context, r *limit.Refusal) outcome.Outcome {
	switch r.Cause {
	case limit.QueueFull:
		return outcome.Refused{Reason: outcome.QueueFull, RetryAt: r.RetryAt}
	case limit.Cancelled:
		if ending.Ended(ctx) {
			return outcome.Refused{Reason: outcome.ShuttingDown, RetryAt: limit.Jittered(time.Now(), unqueuedRetryDelay)}
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return outcome.Refused{Reason: outcome.DeadlinePassed}
		}
		return outcome.Refused{Reason: callerconn.EndReason(ctx), RetryAt: limit.Jittered(time.Now(), unqueuedRetryDelay)}
	}
	return outcome.Refused{Reason: outcome.ProjectedWaitTooLong, RetryAt: r.RetryAt}
}

// admissionRequest returns the request for a permit. It asks to start within
// half of the first-token target, or within half of the time to the deadline
// if the class has no such target.
func (f *inflight) admissionRequest() limit.Request {
	r := f.request
	target := r.Class.Target
	startBy := r.Deadline.Add(-time.Until(r.Deadline) / 2)
	if target.FirstTokenMilliseconds > 0 {
		startBy = time.Now().Add(time.Duration(target.FirstTokenMilliseconds) * time.Millisecond / 2)
	}
	if startBy.After(r.Deadline) {
		startBy = r.Deadline
	}
	return limit.Request{
		Organisation: r.Organisation,
		Weight:       float64(max(1, r.Weight)),
		Cost:         float64(len(r.Body)/4 + max(r.MaxTokens, plainCallCost)),
		Priority:     r.Class.Priority,
		StartBy:      startBy,
	}
}

// queue returns the service's queue, its ceiling set to the members' free slots.
func (d *Dispatcher) queue(service string, members []gateway.Member) *limit.Queue {
	slots := d.router.FreeSlots(members)
	d.mu.Lock()
	defer d.mu.Unlock()
	q, ok := d.queues[service]
	if !ok {
		q = limit.NewQueue(limit.Options{Ceiling: slots})
		d.queues[service] = q
		return q
	}
	q.SetCeiling(slots)
	return q
}

func (d *Dispatcher) budget(class string) *limit.RetryBudget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[class]
	if !ok {
		b = limit.NewRetryBudget(retryRatio)
		d.budgets[class] = b
	}
	return b
}

// Retries returns the numbers of requests and retries of a class so far.
func (d *Dispatcher) Retries(class string) (requests, retries int64) {
	return d.budget(class).Counts()
}

// Load returns the state of a service's queue.
func (d *Dispatcher) Load(service string) limit.State {
	d.mu.Lock()
	q, ok := d.queues[service]
	d.mu.Unlock()
	if !ok {
		return limit.State{}
	}
	return q.State()
}

// inflight is a request in progress and the state of its attempts.
type inflight struct {
	dispatcher       *Dispatcher
	request          attempt.Request
	sink             attempt.Sink
	lifecycle        *requestLifecycle
	queue            *limit.Queue
	permit           *limit.Permit
	budget           *limit.RetryBudget
	failover         *failover
	progress         attempt.Progress
	tried            map[string]bool
	declined         map[string]bool // of tried: agents that did not run the request
	askAgainUntil    time.Time       // see askAgain; zero: not called since an agent accepted
	askedAgain       int             // successful calls of askAgain since
	mayHaveRun       bool            // an attempt was interrupted and may have run
	accepted         bool            // an agent accepted an attempt and passed it to its backend server
	parts            []string        // of the prompt
	last             *run            // last attempt
	lastReason       outcome.Reason  // why it failed
	interruptedCount int
	notRunCount      int
}

// pinVersion fixes the model version that must answer. It reports false if the
// class is not placed or no version can be chosen.
func (f *inflight) pinVersion() bool {
	snapshot, _ := f.dispatcher.options.Desired.Current()
	a, ok := snapshot.Placement.Assignment(f.request.Class.Name)
	if !ok {
		return false
	}
	if f.request.Class.Kind != operator.Model {
		return true
	}
	f.progress.Digest = chooseVersion(a, f.subset(time.Now()))
	return f.progress.Digest != ""
}

// subset returns the agents of the class's service that this gateway uses.
func (f *inflight) subset(now time.Time) []gateway.Member {
	return f.dispatcher.subsets.Get(f.request.Class.Service, now)
}

// members returns the agents that may run the request: those of the subset that
// serve the pinned version (any for a plain service), without the unreachable.
func (f *inflight) members(now time.Time) []gateway.Member {
	return f.dispatcher.unreachable.Filter(f.serving(now), now)
}

// serving returns the agents that may run the request, unreachable ones included.
func (f *inflight) serving(now time.Time) []gateway.Member {
	subset := f.subset(now)
	if f.request.Class.Kind != operator.Model {
		return subset
	}
	var out []gateway.Member
	for _, m := range subset {
		if m.Digest == f.progress.Digest && m.Digest != "" {
			out = append(out, m)
		}
	}
	return out
}

// runIdempotent retries an idempotent request until an attempt completes the
// answer or no further attempt is allowed.
func (f *inflight) runIdempotent(ctx context.Context) outcome.Outcome {
	for {
		if ctx.Err() != nil {
			return f.giveUp(ctx, outcome.DeadlinePassed)
		}
		r, ok := f.tryAgent(ctx)
		if !ok && f.askAgain(ctx) {
			continue
		}
		if !ok {
			return f.giveUp(ctx, f.lastReason)
		}
		switch r.(type) {
		case attempt.Completed:
			f.dispatcher.options.Quarantine.RecordCompletion(f.request.Fingerprint)
			return outcome.Answered{Digest: string(f.progress.Digest), Tokens: f.progress.Tokens}
		case attempt.CallerGone:
			return f.cancelled(ctx)
		case attempt.Interrupted:
			if f.verdict() == quarantine.Quarantined {
				return outcome.Failed{Reason: outcome.Quarantined, Tokens: f.progress.Tokens}
			}
		}
		if reason := f.checkRetry(ctx, r); reason != "" {
			return f.giveUp(ctx, reason)
		}
	}
}

// checkRetry updates the request's state after r, waits for the retry delay and
// returns why the request may not be retried, or "" if it may.
func (f *inflight) checkRetry(ctx context.Context, r attempt.Result) outcome.Reason {
	switch r := r.(type) {
	case attempt.NotRun:
		f.lastReason = r.Reason
		f.declined[f.last.Member.Name] = true
		f.notRunCount++
		if r.Reason == outcome.ReplicaServesOtherVersion || r.Reason == outcome.NoReplicaServing {
			f.repin()
		}
		if f.last.Suspect && r.Reason == outcome.ReplicaBusy {
			delete(f.tried, f.last.Member.Name) // the agent runs another gateway's suspect
			f.notRunCount--
			f.waitJittered(ctx, suspectDelay)
			return ""
		}
		f.delayAfterNotRun(ctx, r.Reason)
		if (f.askedAgain > 0 || f.notRunCount >= maxNotRun) && !f.askAgain(ctx) {
			return f.lastReason
		}
	case attempt.Interrupted:
		f.lastReason = r.Reason
		f.interruptedCount++
	}
	if f.interruptedCount >= maxInterrupted {
		return f.lastReason
	}
	if !f.takeRetry(f.lastReason) {
		return outcome.RetryBudgetSpent
	}
	return ""
}

// takeRetry takes a retry from the class's budget. It reports false if the budget is spent.
func (f *inflight) takeRetry(reason outcome.Reason) bool {
	if !f.budget.TakeRetry() {
		counter.Add("RetryRefused."+string(outcome.RetryBudgetSpent), 1)
		return false
	}
	f.recordRetry(f.last, reason)
	return true
}

// giveUp returns the outcome of a request that gets no further attempt.
func (f *inflight) giveUp(ctx context.Context, reason outcome.Reason) outcome.Outcome {
	switch {
	case ending.Ended(ctx):
		reason = outcome.ShuttingDown
	case errors.Is(ctx.Err(), context.Canceled) && (f.accepted || f.mayHaveRun):
		return f.cancelled(ctx)
	case errors.Is(ctx.Err(), context.Canceled):
		reason = callerconn.EndReason(ctx)
	}
	if f.accepted {
		return outcome.Failed{Reason: reason, Tokens: f.progress.Tokens}
	}
	if f.mayHaveRun {
		return outcome.Unknown{Reason: reason}
	}
	return outcome.Refused{Reason: reason, RetryAt: f.retryAt()}
}

func (f *inflight) cancelled(ctx context.Context) outcome.Outcome {
	return outcome.Cancelled{Reason: callerconn.EndReason(ctx), Tokens: f.progress.Tokens}
}

// retryAt returns when the caller of a refused request should retry.
func (f *inflight) retryAt() time.Time {
	if f.queue == nil {
		return limit.Jittered(time.Now(), unqueuedRetryDelay)
	}
	return f.queue.RetryAt(time.Now())
}
