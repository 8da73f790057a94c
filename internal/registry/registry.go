// Package registry holds the latest report of each agent of the site and numbers the
// changes. It computes deltas for agents and other gateways, so that their traffic
// depends on the rate of changes and not on the size of the site. The package does
// not read a clock or use the network.
package registry

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/hostedrpc"
)

const (
	// AgentTimeout is how long an agent counts as alive after it was last heard
	// from: several gossip rounds.
	AgentTimeout = 2400 * time.Millisecond
	// maxRemovals limits the number of removals that are kept. For a cursor from
	// before the oldest one, Since returns all agents.
	maxRemovals = 512
)

// Path is how a report reached this process.
type Path int

// Paths of reports.
const (
	Direct      Path = iota // from the agent itself
	SameRegion              // relayed by a gateway of the same region
	OtherRegion             // relayed by a gateway of another region
)

// Report is the state that an agent reported, with its time and path.
type Report struct {
	hostedrpc.Agent
	At   time.Time
	Path Path
}

type entry struct {
	Report
	stateChange  int64 // number of the last change other than of its pieces
	piecesChange int64 // number of the last change of its pieces
}

// removal is an expired agent and the number of the change that removed it.
type removal struct {
	name   string
	change int64
}

// Agents holds the reports of agents by name. It is not safe for concurrent use.
type Agents struct {
	start         int64 // identifies the start of this process
	change        int64 // number of the last change
	compacted     int64 // removals up to this change are no longer kept
	entries       map[string]*entry
	agentByEngine map[string]string // agent name by engine address
	removals      []removal
	unverified    map[string]unverified // by engine address
}

// New returns a registry without agents. start must differ between starts of the
// process, because change numbers begin again at 0.
func New(start int64) *Agents {
	return &Agents{start: start, entries: map[string]*entry{}, agentByEngine: map[string]string{}, unverified: map[string]unverified{}}
}

// Record stores an agent's report from time at, unless it already has a newer one. It
// returns whether anything other than the agent's pieces changed.
func (r *Agents) Record(a hostedrpc.Agent, at time.Time, path Path) bool {
	known, ok := r.entries[a.Name]
	if ok && !at.After(known.At) {
		return false
	}
	if !ok {
		known = &entry{}
		r.entries[a.Name] = known
	}
	stateChanged := !ok || stateOf(known.Agent) != stateOf(a) || changeMoved(known.Report, a, at)
	pieces := known.Pieces
	if stateChanged || !samePieces(pieces, a.Pieces) {
		r.change++
		known.piecesChange = r.change
	}
	if stateChanged {
		known.stateChange = r.change
	}
	known.Report = Report{Agent: a, At: at, Path: path}
	r.agentByEngine[a.EngineAddress] = a.Name
	r.recordUnverified(a, at)
	return stateChanged
}

// maxChangeJitter is by how much the announced time of a switchover may differ between two
// reports of the same one: they take different times to arrive.
const maxChangeJitter = 100 * time.Millisecond

// changeMoved reports whether a, of time at, announces the switchover of the known report for
// another time.
func changeMoved(known Report, a hostedrpc.Agent, at time.Time) bool {
	if a.Change.Version == 0 || known.Change.Version != a.Change.Version {
		return false
	}
	before := known.At.Add(time.Duration(known.Change.EndMilliseconds) * time.Millisecond)
	now := at.Add(time.Duration(a.Change.EndMilliseconds) * time.Millisecond)
	return now.Sub(before).Abs() > maxChangeJitter
}

// MarkAlive records that an agent was alive at a time, with its report unchanged.
func (r *Agents) MarkAlive(name string, at time.Time) {
	if known, ok := r.entries[name]; ok && at.After(known.At) {
		advance(&known.Report, at)
	}
}

// advance moves a report to a later time. The times left until a version change are
// relative to the time of the report and are adjusted.
func advance(r *Report, at time.Time) {
	elapsed := at.Sub(r.At).Milliseconds()
	if r.Change.Version != 0 {
		r.Change.StartMilliseconds -= elapsed
		r.Change.EndMilliseconds -= elapsed
	}
	r.At = at
}

// agentState is the part of a report that changes rarely, without pieces and the
// times until a version change.
type agentState struct {
	address, region, service, engine string
	born, ready, change              int64
	unverified, unverifiedBorn       int64
	model                            string
	version                          int64
	whole, unknown, switching, found bool
}

func stateOf(a hostedrpc.Agent) agentState {
	return agentState{
		address: a.Address, region: a.Region, service: a.Service, engine: a.EngineAddress,
		born: a.Born, ready: a.Ready, change: a.Change.Version, unverified: a.Unverified, unverifiedBorn: a.UnverifiedBorn,
		model: a.Holding.Model, version: a.Holding.Version, whole: a.Holding.Whole, unknown: a.HoldingUnknown, switching: a.Switching, found: a.Found,
	}
}

func samePieces(x, y hostedrpc.Pieces) bool {
	return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Have, y.Have)
}

// Expire removes agents that were not heard from for more than AgentTimeout.
func (r *Agents) Expire(now time.Time) {
	for name, e := range r.entries {
		if now.Sub(e.At) <= AgentTimeout {
			continue
		}
		delete(r.entries, name)
		if r.agentByEngine[e.EngineAddress] == name {
			delete(r.agentByEngine, e.EngineAddress)
		}
		r.change++
		r.removals = append(r.removals, removal{name, r.change})
	}
	r.expireUnverified(now)
	if over := len(r.removals) - maxRemovals; over > 0 {
		r.compacted = r.removals[over-1].change
		r.removals = slices.Delete(r.removals, 0, over)
	}
}

// ByEngine returns the report of the agent of an engine, by the engine's address.
func (r *Agents) ByEngine(engine string) (Report, bool) {
	e, ok := r.entries[r.agentByEngine[engine]]
	if !ok {
		return Report{}, false
	}
	return e.Report, true
}

// Delta contains the changes that an agent lacks, and its cursor after them.
type Delta struct {
	hostedrpc.AgentChanges
	Cursor hostedrpc.Cursor
}

// Since returns the changes after cursor among the agents of a service, except the agent
// called name, which is the recipient. If the cursor is from another start of this process
// or too old, the delta contains all agents.
func (r *Agents) Since(cursor hostedrpc.Cursor, name, service string) Delta {
	delta := Delta{Cursor: hostedrpc.Cursor{Start: r.start, Change: r.change}}
	delta.Whole = cursor.Start != r.start || cursor.Change < r.compacted
	for _, e := range r.entries {
		switch {
		case e.Name == name || e.Service != service:
		case delta.Whole || e.stateChange > cursor.Change:
			delta.Agents = append(delta.Agents, peerView(e.Agent))
		case e.piecesChange > cursor.Change:
			delta.Pieces = append(delta.Pieces, hostedrpc.AgentPieces{Name: e.Name, Pieces: e.Pieces})
		}
	}
	for _, removed := range r.removals {
		if _, present := r.entries[removed.name]; !delta.Whole && !present && removed.change > cursor.Change {
			delta.Gone = append(delta.Gone, removed.name)
		}
	}
	return delta
}

// peerView returns a without the fields that other agents do not need.
func peerView(a hostedrpc.Agent) hostedrpc.Agent {
	a.EngineAddress, a.Ready, a.Change, a.Unverified, a.UnverifiedBorn, a.Found, a.AgeMilliseconds = "", 0, hostedrpc.Switchover{}, 0, 0, false, 0
	return a
}

// Sent records which reports were sent to another gateway, so that only changes are
// sent again. The zero value is ready to use. It is not safe for concurrent use.
type Sent struct {
	agents map[string]sentState
}

// sentState is what was last sent about an agent, and when.
type sentState struct {
	stateChange, piecesChange int64
	at                        time.Time
}

// Resend sets which unchanged agents and changed pieces are due to be sent again.
type Resend struct {
	Alive  time.Time // unchanged agents sent at or before this time are sent as alive
	Pieces time.Time // changed pieces are sent for agents sent at or before this time
}

// Unsent returns what to send to a gateway about the agents that include selects:
// the reports that changed, and the names of unchanged agents that are alive. It
// records them in sent.
func (r *Agents) Unsent(sent *Sent, now time.Time, resend Resend, include func(Report) bool) (reports []hostedrpc.Agent, alive []hostedrpc.Liveness) {
	if sent.agents == nil {
		sent.agents = map[string]sentState{}
	}
	for name, e := range r.entries {
		if !include(e.Report) {
			continue
		}
		last, ok := sent.agents[name]
		age := now.Sub(e.At).Milliseconds()
		switch {
		case !ok || last.stateChange != e.stateChange || last.piecesChange != e.piecesChange && !last.at.After(resend.Pieces):
			report := e.Agent
			report.AgeMilliseconds = age
			reports = append(reports, report)
			sent.agents[name] = sentState{e.stateChange, e.piecesChange, now}
		case !last.at.After(resend.Alive):
			alive = append(alive, hostedrpc.Liveness{Name: name, AgeMilliseconds: age})
			sent.agents[name] = sentState{last.stateChange, last.piecesChange, now}
		}
	}
	for name := range sent.agents {
		if _, ok := r.entries[name]; !ok {
			delete(sent.agents, name)
		}
	}
	return reports, alive
}
