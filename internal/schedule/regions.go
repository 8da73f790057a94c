package schedule

import (
	"slices"
	"time"
)

// allows reports whether the request may run in a region. The region of a server in a
// data centre that the settings do not list is unknown and allowed to no bound request.
func (r *Request) allows(region string) bool {
	return !r.Bound || region != "" && slices.Contains(r.Regions, region)
}

// serving reports whether the server accepts new requests, apart from busy times and
// backoff.
func (s *server) serving() bool { return s.Ready && !s.departing && !s.superseded }

// Permits reports whether a request that was given a slot on server id may still be sent
// there.
func (p *Pool) Permits(now time.Time, id string, r Request) bool {
	s, ok := p.servers[id]
	return (!ok || s.permits(&r)) && !p.outdated(now)
}

// SetRegions replaces the regions of the queued requests by what home returns for their
// IDs.
func (p *Pool) SetRegions(now time.Time, home func(id int64) (regions []string, bound bool)) []Resolved {
	for i := range p.queue {
		p.queue[i].Regions, p.queue[i].Bound = home(p.queue[i].ID)
	}
	return p.Tick(now)
}

// regionRates counts what happens in a region.
type regionRates struct {
	completions rateWindow
	starts      rateWindow
	boundStarts rateWindow // of starts, those of bound requests
}

func (p *Pool) ratesOf(region string) *regionRates {
	rates, ok := p.regions[region]
	if !ok {
		rates = &regionRates{}
		p.regions[region] = rates
	}
	return rates
}

// countStart counts a request that starts in a region.
func (p *Pool) countStart(now time.Time, region string, r Request) {
	rates := p.ratesOf(region)
	rates.starts.add(now)
	if r.Bound {
		rates.boundStarts.add(now)
	}
}

// reservedLoad is the most that is added to the load of a region's servers for unbound
// requests: other regions are used first until their servers have half of their slots
// more in use.
const reservedLoad = 0.5

// minReservedShare is the least share of reservedLoad while bound requests started lately:
// one or two of a server's usual twelve slots.
const minReservedShare = 0.25

// reservations returns what is added to the load of servers for a request, by region. While
// requests that are bound to a region wait for it, that is reservedLoad for requests that
// may run anywhere, and otherwise in proportion to the share of bound requests among those
// that started there lately.
func (p *Pool) reservations(now time.Time, r Request) map[string]float64 {
	if r.Bound {
		return nil
	}
	var reserved map[string]float64
	reserve := func(region string, load float64) {
		if reserved == nil {
			reserved = map[string]float64{}
		}
		reserved[region] = load
	}
	for region, rates := range p.regions {
		if bound := rates.boundStarts.perSecond(now); bound > 0 {
			reserve(region, reservedLoad*min(1, max(minReservedShare, bound/rates.starts.perSecond(now))))
		}
	}
	for _, queued := range p.queue {
		if queued.Bound {
			for _, region := range queued.Regions {
				reserve(region, reservedLoad)
			}
		}
	}
	return reserved
}

// competes reports whether a queued request may take a slot that r waits for. An unbound
// request has other regions than a bound one.
func competes(queued, r Request) bool {
	if !queued.Bound || !r.Bound {
		return !queued.Bound
	}
	return slices.ContainsFunc(queued.Regions, r.allows)
}

// completionRate returns the completions per second of requests on the servers that may
// run r.
func (p *Pool) completionRate(now time.Time, r Request) float64 {
	if !r.Bound {
		return p.completions.perSecond(now)
	}
	sum := 0.0
	for region, rates := range p.regions {
		if r.allows(region) {
			sum += rates.completions.perSecond(now)
		}
	}
	return sum
}

// blocked holds the queued requests that could not start. Those behind them, which would
// use the same servers, wait for their turn.
type blocked struct {
	all     bool       // an unbound one could not start
	regions [][]string // of the bound ones
}

func (b *blocked) add(r Request) {
	if !r.Bound {
		b.all = true
		return
	}
	b.regions = append(b.regions, r.Regions)
}

func (b *blocked) covers(r Request) bool {
	return b.all || r.Bound && slices.ContainsFunc(b.regions, func(regions []string) bool { return slices.Equal(regions, r.Regions) })
}
