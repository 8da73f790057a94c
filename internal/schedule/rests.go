package schedule

import (
	"slices"
	"time"
)

// longestRest bounds the time for which a server that is full is left alone:
// many times what callers wait, and a server that named a day is tried again.
const longestRest = time.Minute

// Rest keeps requests from a server that turned one away and named the moment
// until which it wants none. Answers to requests that it took before do not end
// that.
func (p *Pool) Rest(now time.Time, id string, until time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	if latest := now.Add(longestRest); until.After(latest) {
		until = latest
	}
	if until.After(s.restsUntil) {
		s.restsUntil = until
	}
}

// returnsAt is the first moment at which a server that could run the request
// takes requests again; zero if none will.
func (p *Pool) returnsAt(now time.Time, a Ask) time.Time {
	var first time.Time
	for _, s := range p.order {
		if !s.serves(a) {
			continue
		}
		if !s.restsUntil.After(now) {
			return now
		}
		if first.IsZero() || s.restsUntil.Before(first) {
			first = s.restsUntil
		}
	}
	return first
}

// usable reports whether any server could run the request, now or while it may wait.
func (p *Pool) usable(a Ask) bool {
	patience := p.patience(a)
	return slices.ContainsFunc(p.order, func(s *server) bool {
		return s.serves(a) && !s.restsUntil.After(patience)
	})
}

// allRest reports whether every server that could run the request rests for
// longer than it may wait.
func (p *Pool) allRest(now time.Time, a Ask) bool {
	return p.returnsAt(now, a).After(p.patience(a))
}

// notBefore is the refusal with a time to come back that is no earlier than at.
func (r Refuse) notBefore(at time.Time) Refuse {
	if at.After(r.RetryAt) {
		r.RetryAt = at
	}
	return r
}
