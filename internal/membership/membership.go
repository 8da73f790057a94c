// Package membership tracks which agents and gateways are alive. It combines three
// sources: heartbeats of agents, reports of other gateways about heartbeats that
// they receive, and the platform's list of instances, which lags.
//
// A member without recent heartbeats is suspected and gets no new work from this
// gateway. It is dead only if no source sees it any more and, in addition, another
// process in its data centre was seen since, a gateway in its data centre reports
// that its heartbeats stopped, or the platform no longer lists it. If no process in a
// data centre is seen, its members count as partitioned, not dead.
package membership

import (
	"sort"
	"sync"
	"time"

	"almondreel.example/almondreel/charts"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/pkg/statechart"
)

const (
	// silentAfter is the time without a heartbeat after which a member gets no new work.
	silentAfter = 3 * time.Second
	// movedAfter is the time without a direct heartbeat after which a member that
	// other gateways report counts as having moved to those gateways.
	movedAfter = 10 * time.Second
)

// States of a member, as in charts/member.yaml.
const (
	Joining   = "Joining"
	Live      = "Live"
	Suspected = "Suspected"
	Leaving   = "Leaving"
	Lost      = "Lost"
)

var memberChart = charts.Load("member")

// Entry is a member and its liveness.
type Entry struct {
	Member   gateway.Member
	State    string
	LastSeen time.Time // by any source
	Dead     bool      // no source sees it, and its data centre is not partitioned
}

// Table holds the members and the other gateways as seen by one gateway. It is safe
// for concurrent use.
type Table struct {
	mu                sync.Mutex
	records           map[string]*record
	gateways          map[string]gatewayRecord
	listed            map[string]instances.Instance // latest list of the platform, by instance name
	listedAt          time.Time
	startedAt         time.Time
	reportedLeaving   map[string]map[string]bool // instances that other gateways read as leaving in the platform's list, by gateway
	sequence          uint64                     // incremented with each change that other gateways need
	silentDataCentres map[string]bool
	changeSignal      chan struct{} // closed at the next change
}

type record struct {
	member         gateway.Member
	machine        *statechart.Machine
	lastDirect     gateway.Member  // last direct heartbeat, with all fields
	lastDirectAt   time.Time       // time of the last direct heartbeat; zero: none yet
	directSilent   bool            // direct heartbeats have stopped
	reporters      map[string]bool // gateways that receive its heartbeats
	firstSeen      time.Time
	reportedSilent bool   // a gateway in its data centre reported that its heartbeats stopped
	changeSequence uint64 // Table.sequence at its last change
}

type gatewayRecord struct {
	peer     gateway.Peer
	lastSeen time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		records:           map[string]*record{},
		gateways:          map[string]gatewayRecord{},
		listed:            map[string]instances.Instance{},
		silentDataCentres: map[string]bool{},
		startedAt:         time.Now(),
		reportedLeaving:   map[string]map[string]bool{},
		changeSignal:      make(chan struct{}),
	}
}

// RecordHeartbeat records a heartbeat that a member sent to this gateway. A heartbeat
// that is older than the last one is ignored.
func (t *Table) RecordHeartbeat(m gateway.Member, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordDirect(m, at)
}

// RecordBriefHeartbeat records a heartbeat that carries only the fields of
// Member.Brief. It returns false if the member's other fields are not known.
func (t *Table) RecordBriefHeartbeat(brief gateway.Member, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[brief.Name]
	if !ok || r.lastDirect.Started != brief.Started || r.lastDirectAt.IsZero() {
		return false
	}
	t.recordDirect(r.lastDirect.WithBrief(brief), at)
	return true
}

// recordDirect records a direct heartbeat. A brief heartbeat is relative to the last
// direct one, so lastDirect is kept apart from member, which reports of other
// gateways may replace.
func (t *Table) recordDirect(m gateway.Member, at time.Time) {
	r := t.recordFor(m, at)
	if r.member.Started != m.Started || (!r.lastDirectAt.IsZero() && atLeastAsNew(r.lastDirect, m)) {
		return
	}
	first := r.lastDirectAt.IsZero()
	r.lastDirect = m
	r.lastDirectAt = at
	if first || r.directSilent || worthReporting(r.member, m) {
		t.markChanged(r)
	}
	if first || !atLeastAsNew(r.member, m) {
		r.member = m
	}
	r.directSilent = false
	r.reportedSilent = false
	t.updateState(r, at)
}

// recordFor returns the member's record. It creates a new one if there is none or if
// m is from a later run of the instance.
func (t *Table) recordFor(m gateway.Member, at time.Time) *record {
	r, ok := t.records[m.Name]
	if ok && r.member.Started >= m.Started {
		return r
	}
	r = &record{member: m, machine: charts.Start(memberChart), reporters: map[string]bool{}, firstSeen: at}
	t.records[m.Name] = r
	return r
}

func (t *Table) markChanged(r *record) {
	t.sequence++
	r.changeSequence = t.sequence
	t.notify()
}

func (t *Table) notify() {
	close(t.changeSignal)
	t.changeSignal = make(chan struct{})
}

// Changed returns a channel that is closed when another gateway reports members or a
// member changes in a way that other gateways need; see worthReporting.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changeSignal
}

// progressSteps bounds how many times the progress of one transfer is reported to
// other gateways.
const progressSteps = 8

// worthReporting reports whether other gateways need the difference: any field that
// Brief does not carry, or another step of the transfer's progress.
func worthReporting(previous, received gateway.Member) bool {
	if previous.WithoutBrief() != received.WithoutBrief() {
		return true
	}
	return received.Chunks > 0 && previous.Have*progressSteps/received.Chunks != received.Have*progressSteps/received.Chunks
}

// atLeastAsNew reports whether current is the same heartbeat as received or a later one.
func atLeastAsNew(current, received gateway.Member) bool {
	if current.Started != received.Started {
		return current.Started > received.Started
	}
	return current.Sequence >= received.Sequence
}

// Entries returns all entries as of the current time, sorted by name.
func (t *Table) Entries() []Entry {
	return t.EntriesAt(time.Now())
}

// EntriesAt returns all entries as of now, sorted by name.
func (t *Table) EntriesAt(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make([]Entry, 0, len(t.records))
	for _, r := range t.records {
		e := Entry{Member: r.member, State: r.machine.State(), LastSeen: t.lastSeen(r), Dead: t.dead(r, now)}
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Member.Name < entries[j].Member.Name })
	return entries
}

// Routable returns the members of a service that may get new work at now, sorted by
// name.
func (t *Table) Routable(service string, now time.Time) []gateway.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []gateway.Member
	for _, r := range t.records {
		if r.member.Service == service && !t.leaving(r) && t.routable(r, now) {
			out = append(out, r.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// routable reports whether the member may get new work: it sent a heartbeat to this
// gateway within silentAfter, or it moved to other gateways and one of them reports it.
func (t *Table) routable(r *record, now time.Time) bool {
	if now.Sub(r.lastDirectAt) < silentAfter {
		return true
	}
	return now.Sub(r.lastDirectAt) > movedAfter && t.seenByOtherGateways(r, now)
}

// leaving reports whether the member announced that it is leaving, or the platform's
// list shows it as leaving, as read by this gateway or another one.
func (t *Table) leaving(r *record) bool {
	if r.member.Leaving || t.listed[r.member.Name].State == instances.Leaving {
		return true
	}
	for _, names := range t.reportedLeaving {
		if names[r.member.Name] {
			return true
		}
	}
	return false
}

// ServiceSize counts the members of a service that are neither leaving nor dead.
func (t *Table) ServiceSize(service string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if r.member.Service == service && !t.leaving(r) && !t.dead(r, now) {
			n++
		}
	}
	return n
}
