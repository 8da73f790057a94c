package schedule

import (
	"slices"
	"time"
)

// ShortageCounts counts requests under exact shares.
type ShortageCounts struct {
	Starved  int64 // started before others because their organisation or route priority was starved
	Borrowed int64 // started beyond this gateway's share of a server's slots
	Deferred int64 // queued while a server had a free slot that belongs to another gateway
}

// ServedRate is how often requests of an organisation or route priority are started at this
// gateway.
type ServedRate struct {
	Organisation                           string
	RoutePriority                          int
	OfRoute                                bool // the rate is that of RoutePriority, not of Organisation
	AskedPerSecond, StartedPerSecond       float64
	AllAskedPerSecond, AllStartedPerSecond float64 // of all requests
	Starved                                bool
}

// TakeShortageCounts returns the counts since the last call.
func (p *Pool) TakeShortageCounts() ShortageCounts {
	counts := p.shortage
	p.shortage = ShortageCounts{}
	return counts
}

// ServedRates returns the rates of all known organisations and route priorities. Without
// exact shares there are none.
func (p *Pool) ServedRates(now time.Time) []ServedRate {
	if !p.exactShares() {
		return nil
	}
	var out []ServedRate
	all := &p.starvation.all
	for priority, rates := range p.starvation.rates {
		rate := rates.servedRate(now, time.Second, all)
		rate.RoutePriority, rate.OfRoute, rate.Starved = priority, true, p.starvation.starved(now, priority)
		out = append(out, rate)
	}
	organisations := &p.starvation.organisations
	for name, rates := range organisations.rates {
		rate := organisations.servedRate(now, rates, all)
		rate.Organisation, rate.Starved = name, organisations.starved(name)
		out = append(out, rate)
	}
	return out
}

// countStarvedStart counts a queued request that starts if it precedes one of those behind it
// only because its organisation or route priority is starved.
func (p *Pool) countStarvedStart(now time.Time, r Request, behind []Request) {
	if !r.starved && r.rank != mostUrgentRank {
		return
	}
	r.starved, r.rank = false, r.RoutePriority
	if slices.ContainsFunc(behind, func(q Request) bool { return compareRequests(now, q, r) < 0 }) {
		p.shortage.Starved++
	}
}

// countBorrowed counts a request that starts at a server.
func (p *Pool) countBorrowed(s *server, r Request) {
	if r.Generates && p.exactShares() && s.ownRunning >= p.slotShare(s) {
		p.shortage.Borrowed++
	}
}

// countShareWait counts a request that was queued.
func (p *Pool) countShareWait(now time.Time, r Request) {
	if !r.Generates || !p.exactShares() {
		return
	}
	if slices.ContainsFunc(p.order, func(s *server) bool {
		return s.ownRunning+s.otherRunning < s.Slots && s.ownRunning >= p.slotShare(s) && p.available(now, s, r)
	}) {
		p.shortage.Deferred++
	}
}
