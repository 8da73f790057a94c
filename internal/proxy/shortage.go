package proxy

import (
	"time"

	"almondreel.example/almondreel/internal/schedule"
)

// TakeShortageCounts returns the counts of all services since the last call.
func (p *Pools) TakeShortageCounts() schedule.ShortageCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	var total schedule.ShortageCounts
	for _, pool := range p.pools {
		counts := pool.TakeShortageCounts()
		total.Starved += counts.Starved
		total.Borrowed += counts.Borrowed
		total.Deferred += counts.Deferred
	}
	return total
}

// ServedRates returns how often requests of each organisation and route priority are started,
// by service.
func (p *Pools) ServedRates(now time.Time) map[string][]schedule.ServedRate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]schedule.ServedRate{}
	for name, pool := range p.pools {
		if rates := pool.ServedRates(now); len(rates) > 0 {
			out[name] = rates
		}
	}
	return out
}
