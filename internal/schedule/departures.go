package schedule

import "time"

// Departure is a server's announcement that it is about to shut down. It applies
// to one start of the server, even if later server lists still contain it.
type Departure struct {
	Server      string
	StartUnixMS int64     // Unix milliseconds of the server's start
	At          time.Time // when the server announced it
}

// departureRetention is how long the departure of an unlisted server is kept:
// longer than gateways take to learn of it after a network partition.
const departureRetention = 2 * time.Minute

// departures holds the latest departure of each server, by server ID.
type departures map[string]Departure

// add stores a departure and reports whether it was new.
func (d departures) add(notice Departure) bool {
	if known, ok := d[notice.Server]; ok && known.StartUnixMS >= notice.StartUnixMS {
		return false
	}
	d[notice.Server] = notice
	return true
}

// covers reports whether a server announced its shutdown and has not been
// restarted since.
func (d departures) covers(s Server) bool {
	notice, ok := d[s.ID]
	return ok && s.StartUnixMS <= notice.StartUnixMS
}

// prune removes expired departures of unlisted servers.
func (d departures) prune(now time.Time, listed map[string]bool) {
	for id, notice := range d {
		if !listed[id] && now.Sub(notice.At) > departureRetention {
			delete(d, id)
		}
	}
}

// MarkDeparting stops sending new requests to a server that is about to shut
// down. It returns false if the departure was already known or has expired.
func (p *Pool) MarkDeparting(now time.Time, d Departure) bool {
	known, listed := p.servers[d.Server]
	if !listed && now.Sub(d.At) > departureRetention || !p.departing.add(d) {
		return false
	}
	if listed {
		known.departing = p.departing.covers(known.Server)
	}
	return true
}

// Departures returns the known departures, to be sent to other gateways.
func (p *Pool) Departures() []Departure {
	out := make([]Departure, 0, len(p.departing))
	for _, d := range p.departing {
		out = append(out, d)
	}
	return out
}
