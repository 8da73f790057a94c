package schedule

import "time"

// RateLimit is the rate of requests that a server accepts from all gateways together. It
// applies to one start of the server.
type RateLimit struct {
	Server      string
	StartUnixMS int64     // Unix milliseconds of the server's start
	Limited     bool      // false: the server has no limit any more
	PerSecond   float64   // requests, if Limited
	At          time.Time // when the server stated it
}

// RecordRateLimit records what a server, or another gateway about it, states at l.At.
// sentAt is when the request was sent whose response states it. It reports whether the
// rate changed.
func (p *Pool) RecordRateLimit(l RateLimit, sentAt time.Time) bool {
	s, ok := p.servers[l.Server]
	if !ok || l.StartUnixMS != s.StartUnixMS || !l.At.After(s.rateLimit.At) {
		return false
	}
	old := s.rateLimit
	if !l.Limited && (!old.Limited || sentAt.Before(s.limitedSince)) {
		return false // responses may overtake each other
	}
	s.rateLimit = l
	if !old.Limited {
		s.limitedSince = l.At
	}
	return l.Limited != old.Limited || l.PerSecond != old.PerSecond
}
