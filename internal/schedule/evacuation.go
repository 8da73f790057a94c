package schedule

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/outcome"
)

// hasEvacuated reports whether a server is in an evacuated data centre.
func hasEvacuated(list []Server) bool {
	return slices.ContainsFunc(list, func(s Server) bool { return s.Evacuated })
}

// permits reports whether the request may be sent to the server at all.
func (s *server) permits(r *Request) bool { return !s.Evacuated && r.allows(s.Region) }

// SetStartsUntil sets the time from which on no request is started until it is set again,
// since evacuations may have been missed.
func (p *Pool) SetStartsUntil(now, until time.Time) []Resolved {
	p.startsUntil = until
	return p.dispatch(now)
}

// outdated reports whether no request may be started now.
func (p *Pool) outdated(now time.Time) bool {
	return !p.startsUntil.IsZero() && now.After(p.startsUntil)
}

// excluded reports whether no server that may run the request is serving, and why: its
// regions, or that the data centres of the others are evacuated. A resumed request, which
// would be cut, is excluded only if no region is allowed: servers may come back while it
// waits.
func (p *Pool) excluded(r Request) (outcome.Reason, bool) {
	if !r.Bound && !p.evacuation || r.Resumed && !(r.Bound && len(r.Regions) == 0) {
		return "", false
	}
	evacuated := false
	for _, s := range p.order {
		if !s.serving() || !r.allows(s.Region) {
			continue
		}
		if !s.Evacuated {
			return "", false
		}
		evacuated = true
	}
	switch {
	case evacuated:
		return outcome.DataCentreEvacuated, true
	case r.Bound:
		return outcome.NoAllowedRegion, true
	}
	return "", false
}

const (
	// excludedSpread times the ID of a request, modulo excludedTurns, is added to the retry
	// delay, so that callers that were refused together do not return together.
	excludedSpread = 25 * time.Millisecond
	excludedTurns  = 16
	// evacuationRetryDelay is the retry delay while the only servers are evacuated. It is
	// about the time in which the end of an evacuation reaches all gateways.
	evacuationRetryDelay = time.Second
)

// refuseExcluded refuses a request that is excluded. It takes no turn of the retry times
// of other refusals, whose callers wait for slots. Without an allowed region only another
// configuration helps.
func refuseExcluded(now time.Time, r Request, reason outcome.Reason) Refuse {
	delay := noReplicaDelay
	switch {
	case r.Bound && len(r.Regions) == 0:
		return Refuse{Reason: reason, RetryAt: now.Add(maxRetryDelay)}
	case reason == outcome.DataCentreEvacuated:
		delay = evacuationRetryDelay
	}
	return Refuse{Reason: reason, RetryAt: now.Add(delay + excludedSpread*time.Duration(r.ID%excludedTurns))}
}
