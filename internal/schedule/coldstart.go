package schedule

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/coldstart"
)

// SetColdGateways sets the gateways that share the rates of cold servers.
func (p *Pool) SetColdGateways(now time.Time, g coldstart.Gateways) { p.cold.SetGateways(now, g) }

// MarkCold records that a server stated in a response until when it is cold. startUnixMS is
// the start of the server that the request was sent to.
func (p *Pool) MarkCold(now time.Time, id string, startUnixMS int64, until time.Time) {
	if s, ok := p.servers[id]; ok && s.cold != nil && s.StartUnixMS == startUnixMS {
		s.cold.Extend(now, until)
	}
}

// ColdServers returns the servers that are cold.
func (p *Pool) ColdServers(now time.Time) []coldstart.ColdEngine { return p.cold.Cold(now) }

// TakeColdCounts returns the counts of requests to cold servers since the last call.
func (p *Pool) TakeColdCounts() coldstart.Counts { return p.cold.TakeCounts() }

// setCold applies until when a listed server is cold.
func (p *Pool) setCold(now time.Time, s *server) {
	s.cold = p.cold.Update(now, s.ID, s.ColdPerSecond, s.ColdUntil)
}

// countDeferred counts a request that a cold server could run if its rate allowed it now.
func (p *Pool) countDeferred(now time.Time, r Request) {
	if !p.options.ColdStart.Enabled() {
		return
	}
	deferred := slices.ContainsFunc(p.order, func(s *server) bool {
		return s.cold != nil && s.cold.Cold(now) && s.Ready && s.cold.SendAt(now).After(now) && !p.full(now, s, r)
	})
	if deferred {
		p.cold.CountDeferred()
	}
}

// ReturnColdSend takes back the start of a request at a server, which had a SendBy and was
// not sent.
func (p *Pool) ReturnColdSend(now time.Time, id string) {
	if s, ok := p.servers[id]; ok && s.cold != nil {
		s.cold.ReturnSend(now)
	}
}

// startRate estimates how many queued requests start per second: as many as complete, or as
// the rates of the servers allow if all that can run r are cold. When servers have just
// become cold, the completions are those of before.
func (p *Pool) startRate(now time.Time, r Request) float64 {
	completions := p.completionRate(now, r)
	if !p.options.ColdStart.Enabled() {
		return completions
	}
	sum := 0.0
	for _, s := range p.order {
		if !p.eligible(now, s, r) {
			continue
		}
		rate, limited := s.cold.ShareRate(now)
		if !limited {
			return completions
		}
		sum += rate
	}
	if sum == 0 {
		return completions
	}
	return sum
}

// countColdSend counts a request that is sent to a server, and returns the time by which it
// must be on its way; zero: any time.
func (s *server) countColdSend(now time.Time) time.Time {
	if s.cold == nil {
		return time.Time{}
	}
	return s.cold.CountSend(now)
}

// hasColdShare reports whether this gateway may send requests to a server, as far as its rate
// while it is cold is concerned.
func (s *server) hasColdShare(now time.Time) bool { return s.cold == nil || s.cold.MaySend(now) }

// coldUntil returns the time until which a server gets no request of this gateway because it
// is cold; zero if it may get one now.
func (s *server) coldUntil(now time.Time) time.Time {
	if s.cold == nil {
		return time.Time{}
	}
	return s.cold.SendAt(now)
}
