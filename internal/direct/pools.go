package direct

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/schedule"
)

// tickTime is how often waiting requests are looked at: a fraction of the least
// time that one may wait.
const tickTime = 10 * time.Millisecond

// Pools holds a schedule for each service and wakes the requests that it
// settles. It is safe for concurrent use.
type Pools struct {
	mu      sync.Mutex
	options schedule.Options
	pools   map[string]*schedule.Pool
	tickets map[int64]chan schedule.Verdict
	last    atomic.Int64
}

// NewPools returns pools without servers.
func NewPools(o schedule.Options) *Pools {
	return &Pools{options: o, pools: map[string]*schedule.Pool{}, tickets: map[int64]chan schedule.Verdict{}}
}

// SetServers replaces the servers of every service.
func (p *Pools) SetServers(now time.Time, services map[string][]schedule.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range services {
		p.pool(name)
	}
	for name, pool := range p.pools {
		p.settle(pool.SetServers(now, services[name]))
	}
}

// SetOthers takes what other gateways have running, by server.
func (p *Pools) SetOthers(now time.Time, running map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		p.settle(pool.SetOthers(now, running))
	}
}

// Running returns what this gateway has running, by server.
func (p *Pools) Running() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := map[string]int{}
	for _, pool := range p.pools {
		pool.Running(running)
	}
	return running
}

// Run looks at waiting requests until ctx ends.
func (p *Pools) Run(ctx context.Context) error {
	return pause.Each(ctx, tickTime, func() { p.tick(time.Now()) })
}

func (p *Pools) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		if pool.Waiting() > 0 {
			p.settle(pool.Tick(now))
		}
	}
}

// acquire waits for a place. The verdict is a Start or a Refuse; it is nil if
// ctx ended first.
func (p *Pools) acquire(ctx context.Context, service string, a schedule.Ask) schedule.Verdict {
	a.ID = p.last.Add(1)
	began := time.Now()
	p.mu.Lock()
	verdict, others := p.pool(service).Arrive(began, a)
	p.settle(others)
	ticket := make(chan schedule.Verdict, 1)
	if _, waits := verdict.(schedule.Wait); waits {
		p.tickets[a.ID] = ticket
	}
	p.mu.Unlock()
	if _, waits := verdict.(schedule.Wait); !waits {
		return verdict
	}
	defer func() { counter.Observe("QueueMilliseconds", time.Since(began).Milliseconds()) }()
	select {
	case verdict = <-ticket:
		return verdict
	case <-ctx.Done():
	}
	return p.withdraw(service, a.ID, ticket)
}

// withdraw gives up a ticket; a place that came meanwhile is given back.
func (p *Pools) withdraw(service string, id int64, ticket chan schedule.Verdict) schedule.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.tickets, id)
	pool := p.pool(service)
	pool.Withdraw(id)
	select {
	case verdict := <-ticket:
		if s, ok := verdict.(schedule.Start); ok {
			p.settle(pool.Ended(time.Now(), s.Server.ID, schedule.Left, 0))
		}
	default:
	}
	return nil
}

func (p *Pools) answered(service, server string, milliseconds, promptMS float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).Answered(server, milliseconds, promptMS)
}

func (p *Pools) ended(service, server string, end schedule.End, promptMS float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle(p.pool(service).Ended(time.Now(), server, end, promptMS))
}

// usualMS is the milliseconds within which most answers of a service begin.
func (p *Pools) usualMS(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).UsualMS()
}

// rest keeps requests from a server that wants none until a moment.
func (p *Pools) rest(service, server string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).Rest(time.Now(), server, until)
}

// Depart keeps new requests from a server of a service that is about to end,
// and reports whether that was news.
func (p *Pools) Depart(service string, d schedule.Departure) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).Depart(time.Now(), d)
}

// Departures returns the servers that are about to end, by service.
func (p *Pools) Departures() map[string][]schedule.Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]schedule.Departure{}
	for name, pool := range p.pools {
		if all := pool.Departures(); len(all) > 0 {
			out[name] = all
		}
	}
	return out
}

// refusal names a time to come back for a request that a server turned away.
func (p *Pools) refusal(service string, reason outcome.Reason, a schedule.Ask) outcome.Refused {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.pool(service).Turn(time.Now(), reason, a)
	return outcome.Refused{Reason: r.Reason, RetryAt: r.RetryAt}
}

func (p *Pools) pool(service string) *schedule.Pool {
	pool, ok := p.pools[service]
	if !ok {
		pool = schedule.NewPool(p.options)
		p.pools[service] = pool
	}
	return pool
}

func (p *Pools) settle(all []schedule.Settled) {
	for _, s := range all {
		if ticket, ok := p.tickets[s.ID]; ok {
			delete(p.tickets, s.ID)
			ticket <- s.Verdict
		}
	}
}
