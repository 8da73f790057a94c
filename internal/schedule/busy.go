package schedule

import (
	"slices"
	"time"
)

// maxBusy limits how long a server that reported itself busy gets no requests, even if
// it asked for a whole day. It is many times longer than callers wait.
const maxBusy = time.Minute

// MarkBusy stops sending requests to a server that rejected one, until the time that
// the server asked for. Responses to earlier requests do not shorten that time.
func (p *Pool) MarkBusy(now time.Time, id string, until time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	if latest := now.Add(maxBusy); until.After(latest) {
		until = latest
	}
	if until.After(s.busyUntil) {
		s.busyUntil = until
	}
}

// availableAt returns the earliest time at which an eligible server accepts
// requests again, or zero if no server is eligible.
func (p *Pool) availableAt(now time.Time, r Request) time.Time {
	var first time.Time
	for _, s := range p.order {
		if !p.eligible(now, s, r) {
			continue
		}
		until := s.restsUntil(now)
		if !until.After(now) {
			return now
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// canServe reports whether an eligible server accepts requests by the request's
// wait deadline.
func (p *Pool) canServe(now time.Time, r Request) bool {
	deadline := p.waitDeadline(r)
	return slices.ContainsFunc(p.order, func(s *server) bool {
		return p.eligible(now, s, r) && !s.restsUntil(now).After(deadline)
	})
}

// allBusy reports whether all eligible servers are busy past the request's wait
// deadline.
func (p *Pool) allBusy(now time.Time, r Request) bool {
	return p.availableAt(now, r).After(p.waitDeadline(r))
}

// notBefore returns r with RetryAt moved to at if it is earlier.
func (r Refuse) notBefore(at time.Time) Refuse {
	if at.After(r.RetryAt) {
		r.RetryAt = at
	}
	return r
}
