package schedule

import "time"

// With exact shares the queue is ordered by the priority of the organisation, then by that of
// the route. Under a long overload the least urgent ones would then get nothing. Therefore an
// organisation that is served much less often than all others goes first until it has caught
// up, and so does a route priority among requests of equal priority of the organisation.

const (
	// starvedShare is the fraction of the rate at which all requests are started, below
	// which those of one route priority go first.
	starvedShare = 0.6
	// minAskedPerSecond is the rate of a route priority below which its counts say nothing.
	minAskedPerSecond = 4
)

// routeRates counts the requests of one route priority.
type routeRates struct{ asked, started rateWindow }

// starvation tells which route priorities and organisations are starved. It counts requests
// once, whatever number of servers they are sent to.
type starvation struct {
	rates         map[int]*routeRates // by route priority
	all           routeRates
	organisations organisationTable
}

func (s *starvation) count(now time.Time, r Request, started bool) {
	if !r.Generates || r.Retried || r.Resumed || r.Requeued {
		return
	}
	if s.rates == nil {
		s.rates = map[int]*routeRates{}
	}
	rates, ok := s.rates[r.RoutePriority]
	if !ok {
		rates = &routeRates{}
		s.rates[r.RoutePriority] = rates
	}
	for _, counted := range []*routeRates{rates, &s.all} {
		if started {
			counted.started.add(now)
		} else {
			counted.asked.add(now)
		}
	}
	s.organisations.count(now, r.Organisation, started)
}

// starved reports whether requests of a route priority are started much less often than
// all requests.
func (s *starvation) starved(now time.Time, routePriority int) bool {
	rates, ok := s.rates[routePriority]
	if !ok {
		return false
	}
	asked, all := rates.asked.perSecond(now), s.all.asked.perSecond(now)
	if asked < minAskedPerSecond || all <= 0 {
		return false
	}
	return rates.started.perSecond(now)/asked < starvedShare*s.all.started.perSecond(now)/all
}

// countForRank counts a request for the ranks, which only exact shares use.
func (p *Pool) countForRank(now time.Time, r Request, started bool) {
	if p.exactShares() {
		p.starvation.count(now, r, started)
	}
}

// rankQueue ranks the queued requests.
func (p *Pool) rankQueue(now time.Time) {
	if !p.exactShares() {
		return
	}
	for i := range p.queue {
		p.queue[i] = p.ranked(now, p.queue[i])
	}
}

// ranked returns a request with its rank, and with whether its organisation is starved.
func (p *Pool) ranked(now time.Time, r Request) Request {
	r.rank = p.rankOf(now, r)
	r.starved = p.exactShares() && p.starvation.organisations.starved(r.Organisation)
	return r
}

// rankOf returns the rank of a request among those of equal priority: 0 without exact
// shares.
func (p *Pool) rankOf(now time.Time, r Request) int {
	switch {
	case !p.exactShares():
		return 0
	case p.starvation.starved(now, r.RoutePriority):
		return mostUrgentRank
	}
	return r.RoutePriority
}

// mostUrgentRank is before all priorities of routes.
const mostUrgentRank = -1 << 20
