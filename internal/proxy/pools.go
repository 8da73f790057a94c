package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/coldstart"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/homeregion"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/schedule"
)

// tickInterval is the interval at which the queues are re-evaluated: a fraction of
// the shortest time that a request may be queued.
const tickInterval = 10 * time.Millisecond

// Pools holds a schedule.Pool for each service and delivers its decisions to the
// requests that wait for a slot. It is safe for concurrent use.
type Pools struct {
	mu      sync.Mutex
	options schedule.Options
	pools   map[string]*schedule.Pool
	waiters map[int64]waiter
	lastID  atomic.Int64
	endsAt  time.Time // when this gateway ends what still runs; zero: it is not stopping
	// startsUntil is when the servers may be out of date; zero: no limit.
	startsUntil time.Time
	// ownName and gateways are the gateways that share rate limits.
	ownName  string
	gateways []string
	sharers  []string // gateways among which the slots of engines are divided
	// coldGateways are those that share the rates of cold servers.
	coldGateways coldstart.Gateways
}

// NewPools returns an empty set of pools. Each pool is created with o.
func NewPools(o schedule.Options) *Pools {
	return &Pools{options: o, pools: map[string]*schedule.Pool{}, waiters: map[int64]waiter{}}
}

// SetServers replaces the servers of every service.
func (p *Pools) SetServers(now time.Time, services map[string][]schedule.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range services {
		p.pool(name)
	}
	for name, pool := range p.pools {
		p.deliver(pool.SetServers(now, services[name]))
	}
}

// SetOtherLoad sets the number of requests that other gateways have in progress,
// by server.
func (p *Pools) SetOtherLoad(now time.Time, running map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		p.deliver(pool.SetOtherLoad(now, running))
	}
}

// Running returns the number of requests that this gateway has in progress, by
// server.
func (p *Pools) Running() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := map[string]int{}
	for _, pool := range p.pools {
		pool.AddRunning(running)
	}
	return running
}

// Run re-evaluates the queues every tickInterval until ctx ends.
func (p *Pools) Run(ctx context.Context) error {
	return pause.Every(ctx, tickInterval, func() { p.tick(time.Now()) })
}

func (p *Pools) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		if pool.Waiting() > 0 {
			p.deliver(pool.Tick(now))
		}
	}
}

// acquire waits for a slot on a server in the regions that home returns. It returns a
// schedule.Start or schedule.Refuse, or nil if ctx ended first.
func (p *Pools) acquire(ctx context.Context, service string, request schedule.Request, home func() homeregion.Allowed) schedule.Decision {
	request.ID = p.lastID.Add(1)
	queuedAt := time.Now()
	p.mu.Lock()
	allowed := home() // RefreshRegions, which has not seen this request, may have run before
	request.Regions, request.Bound = allowed.Regions, allowed.Bound
	decision, resolved := p.pool(service).Submit(queuedAt, request)
	p.deliver(resolved)
	granted := make(chan schedule.Decision, 1)
	if _, waits := decision.(schedule.Wait); waits {
		p.waiters[request.ID] = waiter{granted, home}
	}
	p.mu.Unlock()
	if _, waits := decision.(schedule.Wait); !waits {
		return decision
	}
	defer func() { counter.Observe("QueueMilliseconds", time.Since(queuedAt).Milliseconds()) }()
	select {
	case decision = <-granted:
		return decision
	case <-ctx.Done():
	}
	return p.cancelWait(service, request, granted)
}

// startElsewhere takes a slot for a request at once, at a server that did not fail it. It
// reports false if there is none, or if permitted, which it calls if there is one, returns
// false. permitted must not use p.
func (p *Pools) startElsewhere(service string, request schedule.Request, permitted func() bool) (schedule.Start, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, now := p.pool(service), time.Now()
	if !pool.MayStartElsewhere(now, request) || !permitted() {
		return schedule.Start{}, false
	}
	return pool.StartElsewhere(now, request)
}

// markSilent stops sending requests to a server for a time, since one of its responses has
// stalled.
func (p *Pools) markSilent(service, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).MarkSilent(time.Now(), server)
}

// markResponsive ends that time, since the response goes on.
func (p *Pools) markResponsive(service, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.pool(service).MarkResponsive(time.Now(), server))
}

// cancelWait removes a request from the queue. A slot that it was given in the
// meantime is released.
func (p *Pools) cancelWait(service string, request schedule.Request, granted <-chan schedule.Decision) schedule.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, request.ID)
	pool := p.pool(service)
	pool.Withdraw(request.ID)
	select {
	case decision := <-granted:
		if s, ok := decision.(schedule.Start); ok {
			p.takeBack(service, s, schedule.Abandoned, request.PromptMS)
		}
	default:
	}
	return nil
}

// responseBegan records the time from sending a request until its response began.
func (p *Pools) responseBegan(service, server string, milliseconds, promptMS float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).ResponseStarted(time.Now(), server, milliseconds, promptMS)
}

// release frees the server's slot and records how the attempt ended. promptMS is 0
// if the response had begun.
func (p *Pools) release(service, server string, end schedule.End, promptMS float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.pool(service).Ended(time.Now(), server, end, promptMS))
}

// markBusy stops sending requests to a server until the time that it asked for.
func (p *Pools) markBusy(service, server string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).MarkBusy(time.Now(), server, until)
}

// MarkDeparting stops sending new requests to a server that is about to shut down. It
// reports whether that was not known before.
func (p *Pools) MarkDeparting(service string, d schedule.Departure) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).MarkDeparting(time.Now(), d)
}

// Departures returns the servers that are about to shut down, by service.
func (p *Pools) Departures() map[string][]schedule.Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]schedule.Departure{}
	for name, pool := range p.pools {
		if departures := pool.Departures(); len(departures) > 0 {
			out[name] = departures
		}
	}
	return out
}

// RecordRateLimit applies what a server, or another gateway about it, states of its
// rate limit. It reports whether the rate changed.
func (p *Pools) RecordRateLimit(service string, l schedule.RateLimit, sentAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).RecordRateLimit(time.Now(), l, sentAt)
}

// RateLimits returns what servers stated lately of their rate limits, by service.
func (p *Pools) RateLimits(now time.Time) map[string][]schedule.RateLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]schedule.RateLimit{}
	for name, pool := range p.pools {
		if limits := pool.RateLimits(now); len(limits) > 0 {
			out[name] = limits
		}
	}
	return out
}

// SetSlotSharers sets the gateways among which the slots of engines are divided.
func (p *Pools) SetSlotSharers(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sharers = names
	for _, pool := range p.pools {
		pool.SetSlotSharers(names)
	}
}

// SetGateways sets the gateways that share rate limits, and which of them this one is.
func (p *Pools) SetGateways(own string, all []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownName, p.gateways = own, all
	for _, pool := range p.pools {
		pool.SetGateways(own, all)
	}
}

// RecordSlowStart applies another gateway's report of a response that started late.
func (p *Pools) RecordSlowStart(now time.Time, service string, start schedule.SlowStart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).RecordSlowStart(now, start)
}

// SlowStarts returns the responses that started late on servers whose model version
// expires soon, by service.
func (p *Pools) SlowStarts(now time.Time) map[string][]schedule.SlowStart {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]schedule.SlowStart{}
	for name, pool := range p.pools {
		if starts := pool.SlowStarts(now); len(starts) > 0 {
			out[name] = starts
		}
	}
	return out
}

// refusal returns the refusal of a request that servers rejected, with a time to
// retry.
func (p *Pools) refusal(service string, reason outcome.Reason, request schedule.Request) outcome.Refused {
	p.mu.Lock()
	defer p.mu.Unlock()
	refusal := p.pool(service).Refusal(time.Now(), reason, request)
	return outcome.Refused{Reason: refusal.Reason, RetryAt: refusal.RetryAt}
}

// pool returns a service's pool and creates it if needed. Callers hold mu.
func (p *Pools) pool(service string) *schedule.Pool {
	pool, ok := p.pools[service]
	if !ok {
		pool = schedule.NewPool(p.options)
		pool.SetGateways(p.ownName, p.gateways)
		pool.SetSlotSharers(p.sharers)
		pool.SetColdGateways(time.Now(), p.coldGateways)
		pool.SetStartsUntil(time.Now(), p.startsUntil)
		if !p.endsAt.IsZero() {
			pool.Stop(time.Now(), p.endsAt) // nothing is queued in a new pool
		}
		p.pools[service] = pool
	}
	return pool
}

// deliver sends decisions to the requests that wait for them. Callers hold mu.
func (p *Pools) deliver(resolved []schedule.Resolved) {
	for _, r := range resolved {
		if w, ok := p.waiters[r.ID]; ok {
			delete(p.waiters, r.ID)
			w.decision <- r.Decision
		}
	}
}
