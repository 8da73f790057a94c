package proxy

import (
	"time"

	"almondreel.example/almondreel/internal/coldstart"
	"almondreel.example/almondreel/internal/schedule"
)

// returnSlot frees the slot of a request that was not sent. promptMS is the PromptMS of the
// request.
func (p *Pools) returnSlot(service string, start schedule.Start, end schedule.End, promptMS float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takeBack(service, start, end, promptMS)
}

// takeBack is returnSlot for callers that hold mu.
func (p *Pools) takeBack(service string, start schedule.Start, end schedule.End, promptMS float64) {
	pool, now := p.pool(service), time.Now()
	if !start.SendBy.IsZero() {
		pool.ReturnColdSend(now, start.Server.ID)
	}
	p.deliver(pool.Ended(now, start.Server.ID, end, promptMS))
}

// markCold records that a server stated in a response until when it is cold.
func (p *Pools) markCold(service, server string, startUnixMS int64, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).MarkCold(time.Now(), server, startUnixMS, until)
}

// SetColdGateways sets the gateways that share the rates of cold servers.
func (p *Pools) SetColdGateways(now time.Time, g coldstart.Gateways) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldGateways = g
	for _, pool := range p.pools {
		pool.SetColdGateways(now, g)
	}
}

// ColdServers returns the servers that are cold, by service, and the counts of requests to
// cold servers since the last call.
func (p *Pools) ColdServers(now time.Time) (map[string][]coldstart.ColdEngine, coldstart.Counts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers, total := map[string][]coldstart.ColdEngine{}, coldstart.Counts{}
	for name, pool := range p.pools {
		if cold := pool.ColdServers(now); len(cold) > 0 {
			servers[name] = cold
		}
		counts := pool.TakeColdCounts()
		total.Sends += counts.Sends
		total.Deferred += counts.Deferred
	}
	return servers, total
}
