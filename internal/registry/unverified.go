package registry

import (
	"time"

	"almondreel.example/almondreel/internal/ages"
	"almondreel.example/almondreel/internal/hostedrpc"
)

// unverifiedTTL bounds the memory of engines whose agents ended with a load in progress.
// An agent is replaced, and verifies the load, within seconds.
const unverifiedTTL = time.Hour

// unverified is a load that an agent reported as not verified yet. Version is 0 once a later
// agent has verified it; the entry then keeps out older reports of it.
type unverified struct {
	hostedrpc.UnverifiedLoad
	reportedAt time.Time
}

// recordUnverified remembers the load that an agent has announced, ordered or not verified,
// beyond the agent's end, until an agent of the engine reports weights that it has verified.
func (r *Agents) recordUnverified(a hostedrpc.Agent, at time.Time) {
	known, ok := r.unverified[a.EngineAddress]
	load := hostedrpc.UnverifiedLoad{Born: a.UnverifiedBorn, Version: a.Unverified}
	if load.Version == 0 {
		load = hostedrpc.UnverifiedLoad{Born: a.Born, Version: a.Change.Version}
	}
	switch {
	case load.Version != 0 && load.Born != 0:
		r.unverified[a.EngineAddress] = unverified{load, at}
	case a.Born == 0: // the engine did not answer
	case ok && (known.Born != a.Born || hasVerified(a)):
		r.unverified[a.EngineAddress] = unverified{reportedAt: at}
	}
}

// hasVerified reports whether an agent has verified the weights that it reports.
func hasVerified(a hostedrpc.Agent) bool {
	return a.Born != 0 && a.Holding.Whole && !a.HoldingUnknown && !a.Found
}

// RecordEnded stores what another process knows of the loads of agents that have ended.
func (r *Agents) RecordEnded(loads []hostedrpc.EndedAgentLoad, now time.Time) {
	for _, l := range loads {
		at := ages.At(now, l.AgeMilliseconds)
		if known, ok := r.unverified[l.Engine]; ok && !at.After(known.reportedAt) {
			continue
		}
		if e, ok := r.entries[r.agentByEngine[l.Engine]]; ok && e.At.After(at) && (hasVerified(e.Agent) || e.Unverified != 0) {
			continue // the agent that reports knows more
		}
		r.unverified[l.Engine] = unverified{l.UnverifiedLoad, at}
	}
}

// Ended returns the unverified loads of agents that have ended, to be sent to other
// processes. They are few: agents are replaced within seconds.
func (r *Agents) Ended(now time.Time) []hostedrpc.EndedAgentLoad {
	var out []hostedrpc.EndedAgentLoad
	for engine, u := range r.unverified {
		if e, ok := r.entries[r.agentByEngine[engine]]; u.Version == 0 || ok && e.Unverified != 0 {
			continue // none, or it is in the agent's reports
		}
		out = append(out, hostedrpc.EndedAgentLoad{UnverifiedLoad: u.UnverifiedLoad, Engine: engine, AgeMilliseconds: now.Sub(u.reportedAt).Milliseconds()})
	}
	return out
}

// Unverified returns the load of an engine that its agent had not verified when it last
// reported, and the zero value if there is none.
func (r *Agents) Unverified(engine string) hostedrpc.UnverifiedLoad {
	return r.unverified[engine].UnverifiedLoad
}

func (r *Agents) expireUnverified(now time.Time) {
	for engine, u := range r.unverified {
		if now.Sub(u.reportedAt) > unverifiedTTL {
			delete(r.unverified, engine)
		}
	}
}
