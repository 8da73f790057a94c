package schedule

import "time"

// SlowStart is a response that a server started late. Until it expires, the pool
// expects that the server takes as long for other requests.
type SlowStart struct {
	Server       string
	Milliseconds float64   // from sending the request until the response started, excluding prompt processing
	At           time.Time // when the response started
}

// slowStartTTL bounds how long a slow start counts. It is several times as long as a
// slow server takes to start a response.
const slowStartTTL = 3 * time.Second

// mergeSlowStart keeps the slowest start of a server that has not expired.
func (p *Pool) mergeSlowStart(now time.Time, s *server, start SlowStart) {
	if start.Milliseconds <= minStartMS || now.Sub(start.At) > slowStartTTL {
		return
	}
	if start.Milliseconds > s.slowStartMS(now) {
		s.slowStart = start
	}
}

// slowStartMS returns the milliseconds of the server's slowest recent start, or 0.
func (s *server) slowStartMS(now time.Time) float64 {
	if now.Sub(s.slowStart.At) > slowStartTTL {
		return 0
	}
	return s.slowStart.Milliseconds
}

// RecordSlowStart applies a slow start that another gateway reported.
func (p *Pool) RecordSlowStart(now time.Time, start SlowStart) {
	if s, ok := p.servers[start.Server]; ok {
		p.mergeSlowStart(now, s, start)
	}
}

// SlowStarts returns the recent slow starts of servers whose model version expires
// soon, to be sent to other gateways. Nothing else depends on them.
func (p *Pool) SlowStarts(now time.Time) []SlowStart {
	var out []SlowStart
	for _, s := range p.order {
		if s.ServesUntil.IsZero() || s.ServesUntil.Before(now) || s.ServesUntil.Sub(now) > expirySoon {
			continue
		}
		if s.slowStartMS(now) > 0 {
			out = append(out, s.slowStart)
		}
	}
	return out
}

// expirySoon is longer than any server takes to start a response.
const expirySoon = 3 * time.Second

// minStartMS covers the network latency to an engine and one of its forward passes,
// in milliseconds.
const minStartMS = 250

// startsInTime reports whether the server is expected to start the request, if it gets
// it now, before its model version expires. Links differ in speed, so a server whose
// last starts were slow is left earlier than the others.
func (p *Pool) startsInTime(now time.Time, s *server, r Request) bool {
	if !r.Generates || s.ServesUntil.IsZero() {
		return true
	}
	milliseconds := max(minStartMS, max(p.startLatency.upper(), s.slowStartMS(now))+r.PromptMS)
	return now.Add(time.Duration(milliseconds * float64(time.Millisecond))).Before(s.ServesUntil)
}

// allExpiring reports whether servers are ready but none is expected to start the
// request before its model version expires.
func (p *Pool) allExpiring(now time.Time, r Request) bool {
	ready := false
	for _, s := range p.order {
		if !s.serving() || !s.permits(&r) {
			continue
		}
		if p.startsInTime(now, s, r) {
			return false
		}
		ready = true
	}
	return ready
}
