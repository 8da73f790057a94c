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

// requestRates counts requests that were asked for and started, over windows of one length.
type requestRates struct{ asked, started rateWindow }

func (r *requestRates) count(now time.Time, length time.Duration, started bool) {
	if started {
		r.started.addOver(now, length)
	} else {
		r.asked.addOver(now, length)
	}
}

// servedRate returns the rates to be logged, beside those of all requests.
func (r *requestRates) servedRate(now time.Time, length time.Duration, all *requestRates) ServedRate {
	return ServedRate{
		AskedPerSecond: r.asked.perSecondOver(now, length), StartedPerSecond: r.started.perSecondOver(now, length),
		AllAskedPerSecond: all.asked.perSecondOver(now, length), AllStartedPerSecond: all.started.perSecondOver(now, length),
	}
}

// startedShare returns the fraction of the requests of the last second that were started.
func (r *requestRates) startedShare(now time.Time) float64 {
	asked := r.asked.perSecond(now)
	if asked <= 0 {
		return 1
	}
	return min(1, r.started.perSecond(now)/asked)
}

// starvation tells which route priorities and organisations are starved. It counts requests
// once, whatever number of servers they are sent to.
type starvation struct {
	rates         map[int]*requestRates // by route priority, of the last second
	all           requestRates          // of the last second
	organisations organisationTable
}

func (s *starvation) count(now time.Time, r Request, started bool) {
	if !r.Generates || r.Retried || r.Resumed || r.Requeued {
		return
	}
	if s.rates == nil {
		s.rates = map[int]*requestRates{}
	}
	rates, ok := s.rates[r.RoutePriority]
	if !ok {
		rates = &requestRates{}
		s.rates[r.RoutePriority] = rates
	}
	rates.count(now, time.Second, started)
	s.all.count(now, time.Second, started)
	s.organisations.count(now, r.Organisation, started, s.all.startedShare(now))
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
