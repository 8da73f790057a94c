package registry

import (
	"time"

	"almondreel.example/almondreel/internal/hostedrpc"
)

// unverifiedTTL bounds the memory of engines whose agents ended with a load in progress.
// An agent is replaced, and verifies the load, within seconds.
const unverifiedTTL = time.Hour

// unverified is a load that an agent reported as not verified yet.
type unverified struct {
	hostedrpc.UnverifiedLoad
	expiresAt time.Time
}

// recordUnverified remembers the load that an agent has announced, ordered or not verified,
// beyond the agent's end, until an agent of the engine reports weights that are whole.
func (r *Agents) recordUnverified(a hostedrpc.Agent, at time.Time) {
	known, ok := r.unverified[a.EngineAddress]
	version := max(a.Unverified, a.Change.Version)
	switch {
	case a.Born == 0: // the engine did not answer
	case version != 0:
		r.unverified[a.EngineAddress] = unverified{hostedrpc.UnverifiedLoad{Born: a.Born, Version: version}, at.Add(unverifiedTTL)}
	case ok && (known.Born != a.Born || a.Holding.Whole && !a.HoldingUnknown):
		delete(r.unverified, a.EngineAddress)
	}
}

// Unverified returns the load of an engine that its agent had not verified when it last
// reported, and the zero value if there is none.
func (r *Agents) Unverified(engine string) hostedrpc.UnverifiedLoad {
	return r.unverified[engine].UnverifiedLoad
}

func (r *Agents) expireUnverified(now time.Time) {
	for engine, u := range r.unverified {
		if now.After(u.expiresAt) {
			delete(r.unverified, engine)
		}
	}
}
