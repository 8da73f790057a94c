package proxy

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/homeregion"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
)

// homeLimits are the regions to which a request's route and organisation limit it, as the
// last configuration that has them states. It is safe for concurrent use.
type homeLimits struct {
	mu                  sync.Mutex
	route, organisation homeregion.Allowed
	// served is the limit of another route that serves the request's path now.
	served homeregion.Allowed
}

// update sets the limits that a configuration states for a request. A route or an
// organisation that the configuration no longer has keeps its limit. If another route serves
// the request's path now, both limits apply.
func (l *homeLimits) update(c *site.Configuration, e *exchange) homeregion.Allowed {
	l.mu.Lock()
	defer l.mu.Unlock()
	served, isServed := c.Route(hostname(e.r.Host), e.r.URL.EscapedPath())
	if isServed && served.Same(e.route) {
		l.route, l.served = homeregion.Of(served.Regions), homeregion.Allowed{}
	} else {
		if own, ok := c.CurrentRoute(e.route); ok {
			l.route = homeregion.Of(own.Regions)
		}
		if isServed {
			l.served = homeregion.Of(served.Regions)
		}
	}
	organisation, ok := c.OrganisationByKey(e.info.Credential)
	if !ok && e.organisation != "" { // its key was removed while the request runs
		organisation, ok = c.OrganisationByName(e.organisation)
	}
	if ok {
		l.organisation = homeregion.Of(organisation.Regions)
	}
	return l.route.And(l.served).And(l.organisation)
}

// homeRegions returns the regions in which the request may run, as the current
// configuration states. The organisation counts if the caller is known.
func (e *exchange) homeRegions() homeregion.Allowed {
	return e.home.update(e.handler.View.Configuration(), e) // one is known since the request was admitted
}

// bind returns r with the regions in which the request may run now.
func (e *exchange) bind(r schedule.Request) schedule.Request {
	home := e.homeRegions()
	r.Regions, r.Bound = home.Regions, home.Bound
	return r
}

// withdraw gives a slot back if the request may no longer be sent to its server: the
// configuration changed or its data centre was evacuated after the slot was granted, or the
// time by which it had to be sent to a cold server has passed, as after a suspension of the
// process. It reports whether it did.
func (e *exchange) withdraw(s schedule.Start) bool {
	if e.permitted(s.Server) && !s.Late(time.Now()) {
		return false
	}
	e.handler.Pools.returnSlot(e.service.Name, s, schedule.Withdrawn, e.promptMS())
	e.slot.Requeued = true
	return true
}

// permitted reports whether the request may still be sent to a server that has a slot for
// it.
func (e *exchange) permitted(s schedule.Server) bool {
	if e.handler.Pools.permits(e.service.Name, s.ID, e.bind(schedule.Request{})) {
		return true
	}
	counter.Add("SlotsWithdrawn", 1)
	event.Log(event.SlotWithdrawn, "Request", e.info.AttemptID, "Server", s.ID, "Region", s.Region)
	return false
}

// notPermitted is the result of a successor whose server may no longer be sent the request.
func notPermitted() result {
	return rejected{reason: outcome.BackendRefused, endState: schedule.Withdrawn, detail: "server is no longer permitted"}
}

// notSent is the result of a successor that was not sent by its SendBy.
func notSent() result {
	return rejected{reason: outcome.BackendRefused, endState: schedule.Withdrawn, detail: "the time by which it had to be sent has passed"}
}

// countRefusal counts a refusal because of regions or evacuations.
func countRefusal(r schedule.Refuse) {
	switch r.Reason {
	case outcome.NoAllowedRegion:
		counter.Add("HomeRefusals", 1)
	case outcome.DataCentreEvacuated:
		counter.Add("EvacuationRefusals", 1)
	}
}

// waiter is a request that waits for a slot.
type waiter struct {
	decision chan schedule.Decision
	home     func() homeregion.Allowed // regions in which it may run now; must not use Pools
}

// RefreshRegions applies the current configuration to the requests that wait for a slot.
// It must be called after each change.
func (p *Pools) RefreshRegions(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		p.deliver(pool.SetRegions(now, func(id int64) ([]string, bool) {
			home := p.waiters[id].home()
			return home.Regions, home.Bound
		}))
	}
}

// SetStartsUntil sets the time from which on no request is sent to a server until it is
// set again; zero: no limit.
func (p *Pools) SetStartsUntil(now, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startsUntil = until
	for _, pool := range p.pools {
		p.deliver(pool.SetStartsUntil(now, until))
	}
}

// permits reports whether a request may still be sent to a server that has a slot for it.
func (p *Pools) permits(service, server string, request schedule.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).Permits(time.Now(), server, request)
}
