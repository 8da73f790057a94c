// Package dispatch takes a gateway's admitted requests to agents and ends each
// in exactly one outcome.
//
// A request is sent again only when it was certainly not run or its class is
// idempotent. Refused is said only when no dispatch was accepted.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/route"
	"almondreel.example/almondreel/internal/transmit"
	"almondreel.example/almondreel/pkg/limit"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	maxBreaks     = 4   // attempts of a request that may have run
	maxDeclines   = 8   // attempts of a request that were not run
	retryShare    = 0.1 // of the requests that may be sent again
	noReplicaWait = time.Second
	plainCost     = 16 // tokens that a plain call counts as
)

// Options of a Dispatcher.
type Options struct {
	Gateway    string // this gateway's name
	Desired    *desired.State
	Members    *membership.Table
	Gateways   func() []string // names of the gateways; nil: only this one
	Quarantine *quarantine.Table
	Suspected  func(context.Context, quarantine.Entry) // tells the other gateways; may be nil
	Claims     Claims                                  // nil refuses the calls that may not be repeated
}

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	client  *transmit.Client
	router  *route.Router
	gone    *route.Unreachable
	subsets *route.Subsets

	mu      sync.Mutex
	queues  map[string]*limit.Queue  // by service
	budgets map[string]*limit.Budget // by class
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewTable()
	}
	if o.Gateways == nil {
		o.Gateways = func() []string { return []string{o.Gateway} }
	}
	return &Dispatcher{
		options: o,
		client:  transmit.NewClient(),
		router:  route.NewRouter(),
		gone:    route.NewUnreachable(),
		subsets: route.NewSubsets(o.Members, o.Gateways, o.Gateway),
		queues:  map[string]*limit.Queue{},
		budgets: map[string]*limit.Budget{},
	}
}

// Stream runs a completion and passes its tokens to sink. Of the answer only
// Repeat is set.
func (d *Dispatcher) Stream(ctx context.Context, r attempt.Request, sink attempt.Sink) (attempt.Answer, outcome.Outcome) {
	return d.run(ctx, r, sink)
}

// Call runs a plain call.
func (d *Dispatcher) Call(ctx context.Context, r attempt.Request) (attempt.Answer, outcome.Outcome) {
	return d.run(ctx, r, nil)
}

func (d *Dispatcher) run(ctx context.Context, r attempt.Request, sink attempt.Sink) (attempt.Answer, outcome.Outcome) {
	l := newLife()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	f := &flight{dispatcher: d, request: r, sink: sink, life: l, tried: map[string]bool{}, last: outcome.NoReplica, budget: d.budget(r.Class.Name)}
	o := f.admitted(ctx)
	return f.progress.Answer, l.finish(r.ID, o)
}

// admitted waits for a permit and runs the request with it.
func (f *flight) admitted(ctx context.Context) outcome.Outcome {
	d, r := f.dispatcher, f.request
	if d.options.Quarantine.Judge(r.Fingerprint, time.Now()) == quarantine.Convicted {
		return outcome.Refused{Reason: outcome.Quarantined}
	}
	if !f.pin() {
		return outcome.Refused{Reason: outcome.NoReplica, RetryAt: f.comeBack()}
	}
	queue := d.queue(r.Class.Service, f.members(time.Now()))
	permit, err := queue.Acquire(ctx, f.ask())
	var refusal *limit.Refusal
	if errors.As(err, &refusal) {
		return notAdmitted(ctx, refusal)
	}
	defer permit.Return()
	f.queue, f.permit = queue, permit
	f.life.fire("Admit")
	f.budget.Request()
	if r.Class.Idempotent {
		return f.repeat(ctx)
	}
	return f.claimed(ctx)
}

func notAdmitted(ctx context.Context, r *limit.Refusal) outcome.Outcome {
	switch r.Cause {
	case limit.QueueFull:
		return outcome.Refused{Reason: outcome.QueueFull, RetryAt: r.RetryAt}
	case limit.Gone:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return outcome.Refused{Reason: outcome.DeadlinePassed}
		}
		return outcome.Cancelled{}
	}
	return outcome.Refused{Reason: outcome.WaitTooLong, RetryAt: r.RetryAt}
}

// ask is for a start that leaves time to meet the class's target.
func (f *flight) ask() limit.Ask {
	r := f.request
	target := r.Class.Target
	startBy := r.Deadline.Add(-time.Until(r.Deadline) / 2)
	if target.FirstTokenMilliseconds > 0 {
		startBy = time.Now().Add(time.Duration(target.FirstTokenMilliseconds) * time.Millisecond / 2)
	}
	if startBy.After(r.Deadline) {
		startBy = r.Deadline
	}
	return limit.Ask{
		Organisation: r.Organisation,
		Weight:       float64(max(1, r.Weight)),
		Cost:         float64(len(r.Body)/4 + max(r.Tokens, plainCost)),
		Priority:     r.Class.Priority,
		StartBy:      startBy,
	}
}

func (d *Dispatcher) queue(service string, members []gateway.Member) *limit.Queue {
	slots := d.router.Room(members)
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

func (d *Dispatcher) budget(class string) *limit.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[class]
	if !ok {
		b = limit.NewBudget(retryShare)
		d.budgets[class] = b
	}
	return b
}

// Retries returns the requests and retries of a class so far.
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

// flight is one request on its way.
type flight struct {
	dispatcher *Dispatcher
	request    attempt.Request
	sink       attempt.Sink
	life       *life
	queue      *limit.Queue
	permit     *limit.Permit
	budget     *limit.Budget
	progress   attempt.Progress
	tried      map[string]bool
	accepted   bool // an attempt may have run
	began      bool // an agent took an attempt to its backend server
	startedAt  time.Time
	last       outcome.Reason // why the last attempt failed
	lastTried  string
	suspect    bool // the last attempt ran as a suspect
	breaks     int
	declines   int
}

// pin fixes the version that must answer.
func (f *flight) pin() bool {
	snapshot, _ := f.dispatcher.options.Desired.Current()
	a, ok := snapshot.Placement.Of(f.request.Class.Name)
	if !ok {
		return false
	}
	if f.request.Class.Kind != operator.Model {
		return true
	}
	f.progress.Digest = chooseVersion(a, f.subset(time.Now()))
	return f.progress.Digest != ""
}

// subset returns the class's agents that this gateway uses.
func (f *flight) subset(now time.Time) []gateway.Member {
	return f.dispatcher.subsets.Of(f.request.Class.Service, now)
}

// members returns the agents that may run the request now.
func (f *flight) members(now time.Time) []gateway.Member {
	subset := f.subset(now)
	if f.request.Class.Kind != operator.Model {
		return f.dispatcher.gone.Without(subset, now)
	}
	var out []gateway.Member
	for _, m := range subset {
		if m.Digest == f.progress.Digest && m.Digest != "" {
			out = append(out, m)
		}
	}
	return f.dispatcher.gone.Without(out, now)
}

// repeat sends an idempotent request until an attempt brings the whole answer.
func (f *flight) repeat(ctx context.Context) outcome.Outcome {
	for {
		if ctx.Err() != nil {
			return f.giveUp(ctx, outcome.DeadlinePassed)
		}
		r, ok := f.try(ctx)
		if !ok {
			return f.giveUp(ctx, f.last)
		}
		switch r := r.(type) {
		case attempt.Whole:
			f.dispatcher.options.Quarantine.Completed(f.request.Fingerprint)
			return outcome.Answered{Digest: string(f.progress.Digest), Tokens: f.progress.Tokens}
		case attempt.Gone:
			return outcome.Cancelled{Tokens: f.progress.Tokens}
		case attempt.Broken:
			if f.convicted(ctx, r) {
				return outcome.Failed{Reason: outcome.Quarantined, Tokens: f.progress.Tokens}
			}
		}
		if reason := f.next(ctx, r); reason != "" {
			return f.giveUp(ctx, reason)
		}
	}
}

// next reports why the request may not be sent again after r, or "".
func (f *flight) next(ctx context.Context, r attempt.Result) outcome.Reason {
	switch r := r.(type) {
	case attempt.Declined:
		f.last = r.Reason
		f.declines++
		if r.Reason == outcome.ReplicaOther || r.Reason == outcome.NoReplica {
			f.pinAnew()
		}
		if f.suspect && r.Reason == outcome.ReplicaBusy {
			delete(f.tried, f.lastTried) // another gateway's suspect runs there
			f.declines--
			f.wait(ctx, suspectPause)
			return ""
		}
		f.awaitNews(ctx, r.Reason)
	case attempt.Broken:
		f.last = r.Reason
		f.breaks++
	}
	if f.breaks >= maxBreaks || f.declines >= maxDeclines {
		return f.last
	}
	if !f.mayRetry(f.last) {
		return outcome.BudgetSpent
	}
	return ""
}

func (f *flight) mayRetry(reason outcome.Reason) bool {
	if !f.budget.Retry() {
		counter.Add("RetryRefused."+string(outcome.BudgetSpent), 1)
		return false
	}
	counter.Add("Retried."+string(reason), 1)
	event.Log(event.RequestRetried, "Request", f.request.ID, "Reason", string(reason))
	return true
}

// giveUp ends a request that has no more attempts.
func (f *flight) giveUp(ctx context.Context, reason outcome.Reason) outcome.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.Cancelled{Tokens: f.progress.Tokens}
	}
	if f.began {
		return outcome.Failed{Reason: reason, Tokens: f.progress.Tokens}
	}
	if f.accepted {
		return outcome.Unknown{Reason: reason}
	}
	return outcome.Refused{Reason: reason, RetryAt: f.comeBack()}
}

func (f *flight) comeBack() time.Time {
	if f.queue == nil {
		return limit.Jittered(time.Now(), noReplicaWait)
	}
	return f.queue.RetryAt(time.Now())
}

// try sends the request once to an agent that was not tried; it reports
// false when there is none.
func (f *flight) try(ctx context.Context) (attempt.Result, bool) {
	m, suspect, ok := f.choose(ctx)
	if !ok {
		return nil, false
	}
	defer f.dispatcher.router.Ended(m.Name)
	if suspect {
		defer f.dispatcher.options.Quarantine.Leave(f.request.Fingerprint, m.Name)
	}
	f.tried[m.Name] = true
	f.lastTried, f.suspect = m.Name, suspect
	f.startedAt = time.Now()
	invariant.Assert(f.request.Class.Idempotent || !f.accepted, invariant.OneDispatchOfClaim, "request %s is dispatched again", f.request.ID)
	f.life.fire("Dispatch")
	a := &attempt.Attempt{
		Client:   f.dispatcher.client,
		Told:     f.dispatcher.router.Told,
		Request:  f.request,
		Member:   m,
		Suspect:  suspect,
		Progress: &f.progress,
		Sink:     f.sink,
		Begun:    f.begun,
	}
	r := a.Run(ctx)
	f.note(r, m, suspect)
	return r, true
}

func (f *flight) begun() {
	f.life.fire("Begin")
	f.began = true
	took := int(time.Since(f.startedAt).Milliseconds())
	f.permit.Observed(took, f.request.Class.Target.FirstTokenMilliseconds)
	counter.Observe("FirstTokenMilliseconds."+f.request.Class.Name, int64(took))
}

// note walks the chart and tells counters, events and limits of an attempt's end.
func (f *flight) note(r attempt.Result, m gateway.Member, suspect bool) {
	switch r := r.(type) {
	case attempt.Declined:
		f.life.fire("Decline")
		counter.Add("Declined."+string(r.Reason), 1)
		event.Log(event.DispatchRefused, "Request", f.request.ID, "Reason", string(r.Reason), "Peer", m.Name)
		if r.Reason == outcome.ReplicaBusy {
			f.permit.Overloaded()
		}
	case attempt.Broken:
		f.accepted = true
		f.life.fire("Interrupt")
		counter.Add("Broken."+string(r.Reason), 1)
		f.diedOn(r, m, suspect)
	}
}
