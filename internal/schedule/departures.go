package schedule

import "time"

// Departure is a server's word that it is about to end. It holds for one start
// of the server, whatever lists say of it afterwards.
type Departure struct {
	Server string
	Born   int64     // Unix milliseconds of the server's start
	At     time.Time // when the server said so
}

// departureMemory is how long the departure of a server that is on no list is
// remembered: longer than gateways that were cut off take to hear of it.
const departureMemory = 2 * time.Minute

// departures are the servers that said they are about to end, by ID.
type departures map[string]Departure

// add notes a departure and reports whether it was new.
func (d departures) add(x Departure) bool {
	if held, ok := d[x.Server]; ok && held.Born >= x.Born {
		return false
	}
	d[x.Server] = x
	return true
}

// covers reports whether a server has said that it ends. One that was started
// anew since has not.
func (d departures) covers(s Server) bool {
	held, ok := d[s.ID]
	return ok && s.Born <= held.Born
}

// prune forgets servers that ended long ago.
func (d departures) prune(now time.Time, listed map[string]bool) {
	for id, x := range d {
		if !listed[id] && now.Sub(x.At) > departureMemory {
			delete(d, id)
		}
	}
}

// Depart keeps new requests from a server that is about to end. It returns
// false if that was known, or is too old to matter.
func (p *Pool) Depart(now time.Time, d Departure) bool {
	held, listed := p.servers[d.Server]
	if !listed && now.Sub(d.At) > departureMemory || !p.departing.add(d) {
		return false
	}
	if listed {
		held.departs = p.departing.covers(held.Server)
	}
	return true
}

// Departures returns the servers that are about to end, for other gateways.
func (p *Pool) Departures() []Departure {
	out := make([]Departure, 0, len(p.departing))
	for _, d := range p.departing {
		out = append(out, d)
	}
	return out
}
