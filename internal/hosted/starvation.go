package hosted

import (
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/schedule"
)

// starvationLogInterval is the least time between two events about starvation, so that
// organisations that are starved again and again do not fill the log.
const starvationLogInterval = time.Second

// starvationKey names an organisation or route priority of a service.
type starvationKey struct {
	service, organisation string
	routePriority         int
	ofRoute               bool
}

// starvationLog determines which changes of starvation are logged.
type starvationLog struct {
	starved map[starvationKey]bool // as last logged
	nextAt  time.Time              // of the next event
}

// starvationChange is a change to be logged.
type starvationChange struct {
	number  event.Number
	service string
	rate    schedule.ServedRate
	others  int // further organisations and route priorities that changed in the same way
}

// due reports whether an event may be logged.
func (l *starvationLog) due(now time.Time) bool { return !now.Before(l.nextAt) }

// next returns the change to be logged, and false if there is none. If some became starved and
// others have caught up, the latter are left to the next call. Those without a rate have been
// dropped and are not starved.
func (l *starvationLog) next(now time.Time, services map[string][]schedule.ServedRate) (starvationChange, bool) {
	began, ended := starvationChange{number: event.StarvationBegan, others: -1}, starvationChange{number: event.StarvationEnded, others: -1}
	starved, known := map[starvationKey]bool{}, map[starvationKey]bool{}
	for service, rates := range services {
		for _, rate := range rates {
			key := starvationKey{service, rate.Organisation, rate.RoutePriority, rate.OfRoute}
			known[key] = true
			if rate.Starved {
				starved[key] = true
			}
			switch {
			case rate.Starved && !l.starved[key]:
				began = began.with(service, rate)
			case !rate.Starved && l.starved[key]:
				ended = ended.with(service, rate)
			}
		}
	}
	for key := range l.starved {
		if !known[key] {
			ended = ended.with(key.service, schedule.ServedRate{Organisation: key.organisation, RoutePriority: key.routePriority, OfRoute: key.ofRoute})
		}
	}
	switch {
	case began.others >= 0:
		for key := range l.starved {
			starved[key] = true // until its end is logged
		}
		l.starved, l.nextAt = starved, now.Add(starvationLogInterval)
		return began, true
	case ended.others >= 0:
		l.starved, l.nextAt = starved, now.Add(starvationLogInterval)
		return ended, true
	}
	return starvationChange{}, false
}

// with returns c with one more organisation or route priority, of which c names the first.
func (c starvationChange) with(service string, rate schedule.ServedRate) starvationChange {
	c.others++
	if c.others == 0 {
		c.service, c.rate = service, rate
	}
	return c
}

// recordShortage updates the metrics of exact shares and logs the changes of starvation.
func (t *serverTable) recordShortage(now time.Time) {
	counts := t.pools.TakeShortageCounts()
	counter.Add("StarvedStarts", counts.Starved)
	counter.Add("BorrowedStarts", counts.Borrowed)
	counter.Add("ShareDeferred", counts.Deferred)
	if !t.starvationLog.due(now) {
		return
	}
	c, ok := t.starvationLog.next(now, t.pools.ServedRates(now))
	if !ok {
		return
	}
	pairs := []any{"Service", c.service, "Organisation", c.rate.Organisation}
	if c.rate.OfRoute {
		pairs = []any{"Service", c.service, "RoutePriority", c.rate.RoutePriority}
	}
	event.Log(c.number, append(pairs, "AskedPerSecond", c.rate.AskedPerSecond, "StartedPerSecond", c.rate.StartedPerSecond,
		"AllAskedPerSecond", c.rate.AllAskedPerSecond, "AllStartedPerSecond", c.rate.AllStartedPerSecond, "Others", c.others)...)
}
