package schedule

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/rendezvous"
)

// RateLimit is the rate of requests that a server accepts from all gateways together. It
// applies to one start of the server.
type RateLimit struct {
	Server      string
	StartUnixMS int64     // Unix milliseconds of the server's start
	Limited     bool      // false: the server has no limit any more
	PerSecond   float64   // requests, if Limited
	At          time.Time // when the server stated it
}

const (
	// minPerSecond is the least rate at which a limited server gets requests. Their
	// responses show when the limit ends.
	minPerSecond = 0.05
	// rateLimitTTL is how long a limit holds without another response that states it.
	rateLimitTTL = time.Minute
	// rateLimitReportTTL is how long a statement is reported to other gateways.
	rateLimitReportTTL = 2 * time.Second
	// sameStatement is the time within which equal statements count as one. Reports make
	// the time of a statement a little later each time.
	sameStatement = 250 * time.Millisecond
	// sendTolerance is how much earlier than its share allows a gateway may send, so that
	// requests that arrive together need not wait.
	sendTolerance = 250 * time.Millisecond
	// At most minLimitSharers plus limitSharersPerRate times the limit of the gateways send
	// requests to a limited server. After a pause all of them may send one at the same
	// time, which must not exceed the limit by much.
	minLimitSharers     = 3
	limitSharersPerRate = 1.5
)

// SetGateways sets the gateways that share the rate limits of servers, and which of them
// has this pool.
func (p *Pool) SetGateways(own string, all []string) {
	if own == p.ownName && slices.Equal(all, p.gateways) {
		return
	}
	p.ownName, p.gateways = own, all
	for _, s := range p.servers {
		s.share, s.preference = p.shareOf(s.rateLimit), 0
	}
}

// RecordRateLimit records what a server, or another gateway about it, states at l.At.
// sentAt is when the request was sent whose response states it. It reports whether the
// limit changed.
func (p *Pool) RecordRateLimit(now time.Time, l RateLimit, sentAt time.Time) bool {
	s, ok := p.servers[l.Server]
	if !ok || l.StartUnixMS != s.StartUnixMS || !l.At.After(s.rateLimit.At) {
		return false
	}
	old := s.rateLimit
	changed := l.Limited != old.Limited || l.PerSecond != old.PerSecond
	if !changed && l.At.Sub(old.At) < sameStatement {
		return false
	}
	if !l.Limited && (!old.Limited || sentAt.Before(s.limitedSince)) {
		return false // responses may overtake each other
	}
	s.rateLimit, s.share = l, p.shareOf(l)
	if l.Limited && !old.Limited {
		s.limitedSince, s.nextSendAt = l.At, time.Time{}
	}
	s.pace(now)
	return changed
}

// pace sets when a limited server may get the next request, at the latest one turn
// from now: its limit may have been lower before.
func (s *server) pace(now time.Time) {
	if s.share.perSecond == 0 {
		return
	}
	latest := now.Add(sendTolerance + s.share.interval())
	switch {
	case s.nextSendAt.IsZero():
		s.nextSendAt = now.Add(sendTolerance + s.share.firstWait())
	case s.nextSendAt.After(latest):
		s.nextSendAt = latest
	}
}

// RateLimits returns what servers stated lately, to be sent to other gateways.
func (p *Pool) RateLimits(now time.Time) []RateLimit {
	var out []RateLimit
	for _, s := range p.order {
		if now.Sub(s.rateLimit.At) < rateLimitReportTTL {
			out = append(out, s.rateLimit)
		}
	}
	return out
}

// limited reports whether a rate limit of the server holds.
func (s *server) limited(now time.Time) bool {
	return s.rateLimit.Limited && now.Sub(s.rateLimit.At) < rateLimitTTL
}

// limitShare is a gateway's share of a server's rate limit.
type limitShare struct {
	perSecond float64 // requests of this gateway; 0: it sends none
	turn      int     // among the gateways that share the limit, from 0
	sharers   int
}

func (p *Pool) shareOf(l RateLimit) limitShare {
	if !l.Limited {
		return limitShare{}
	}
	perSecond := max(minPerSecond, l.PerSecond)
	sharers := int(min(float64(max(1, len(p.gateways))), minLimitSharers+limitSharersPerRate*perSecond))
	turn := slices.Index(rendezvous.Top(l.Server, p.gateways, sharers), p.ownName)
	if turn < 0 && len(p.gateways) > 0 {
		return limitShare{}
	}
	return limitShare{perSecond: perSecond / float64(sharers), turn: max(0, turn), sharers: sharers}
}

// interval returns the time between two requests of this gateway.
func (l limitShare) interval() time.Duration {
	return time.Duration(float64(time.Second) / l.perSecond)
}

// firstWait returns the time before its first request, so that the gateways take turns.
func (l limitShare) firstWait() time.Duration {
	return l.interval() * time.Duration(l.turn) / time.Duration(l.sharers)
}

// hasShare reports whether this gateway may send requests to a server, as far as its rate
// limit and its rate while it is cold are concerned.
func (s *server) hasShare(now time.Time) bool {
	return (!s.limited(now) || s.share.perSecond > 0) && s.hasColdShare(now)
}

// restsUntil returns the time until which a server is to get no requests from this
// gateway, because it asked for that, because of its rate limit or because it is cold. If
// several apply, the lower rate counts.
func (s *server) restsUntil(now time.Time) time.Time {
	until := s.busyUntil
	if sendAt := s.nextSendAt.Add(-sendTolerance); s.limited(now) && sendAt.After(until) {
		until = sendAt
	}
	if coldUntil := s.coldUntil(now); coldUntil.After(until) {
		until = coldUntil
	}
	return until
}

// countSend takes a request from this gateway's share of a server's rate.
func (s *server) countSend(now time.Time) {
	if !s.limited(now) || s.share.perSecond == 0 {
		return
	}
	if s.nextSendAt.Before(now) {
		s.nextSendAt = now
	}
	s.nextSendAt = s.nextSendAt.Add(s.share.interval())
}
