// Package membership joins what agents say of themselves with what other
// gateways hear and with the platform's lagging list of instances.
//
// One silent source makes a member suspected: it gets no new work from this
// gateway. It is dead only when every source is silent and something else of
// its data centre was heard since, or when the platform no longer lists it. A
// data centre of which nothing is heard is cut off, not dead.
package membership

import (
	"sort"
	"sync"
	"time"

	"almondreel.example/almondreel/charts"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/pkg/chart"
)

const (
	// silentAfter is the silence after which a member gets no new work.
	silentAfter = 3 * time.Second
	// movedAfter is the direct silence after which a member that others hear
	// counts as moved to other gateways.
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

// Entry is a member and when it was last heard.
type Entry struct {
	Member  gateway.Member
	State   string
	HeardAt time.Time // by any source
	Dead    bool      // every source is silent, and not because its data centre is cut off
}

// Table holds the members that a gateway knows. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	records  map[string]*record
	gateways map[string]gatewayRecord
	listed   map[string]instances.Instance // the platform's list, by name
	listedAt time.Time
	startAt  time.Time
	told     map[string]map[string]bool // instances that other gateways say are listed as leaving, by gateway
	sequence uint64                     // rises with each change that other gateways are told
	silent   map[string]bool
	news     chan struct{} // closes at the next change that others need to hear
}

type record struct {
	member     gateway.Member
	machine    *chart.Machine
	whole      gateway.Member  // as last heard directly
	directAt   time.Time       // last heartbeat; zero: never heard directly
	isSilent   bool            // heard directly before, and no longer
	via        map[string]bool // gateways that hear it directly
	firstAt    time.Time
	toldSilent bool // a gateway of its data centre said that it is silent
	changedAt  uint64
}

type gatewayRecord struct {
	peer    gateway.Peer
	heardAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		records:  map[string]*record{},
		gateways: map[string]gatewayRecord{},
		listed:   map[string]instances.Instance{},
		silent:   map[string]bool{},
		startAt:  time.Now(),
		told:     map[string]map[string]bool{},
		news:     make(chan struct{}),
	}
}

// Hear records a member's heartbeat; one that is older than the entry is ignored.
func (t *Table) Hear(m gateway.Member, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hear(m, at)
}

// HearBrief records a heartbeat that carries only the member's changing
// fields. It reports false when the rest is not known.
func (t *Table) HearBrief(b gateway.Member, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[b.Name]
	if !ok || r.whole.Started != b.Started || r.directAt.IsZero() {
		return false
	}
	t.hear(r.whole.WithBrief(b), at)
	return true
}

// hear takes a member's own word. A brief heartbeat completes what was heard
// here, so that is kept apart from what other gateways told later.
func (t *Table) hear(m gateway.Member, at time.Time) {
	r := t.record(m, at)
	if r.member.Started != m.Started || (!r.directAt.IsZero() && newer(r.whole, m)) {
		return
	}
	first := r.directAt.IsZero()
	r.whole = m
	r.directAt = at
	if first || r.isSilent || tellable(r.member, m) {
		t.changed(r)
	}
	if first || !newer(r.member, m) {
		r.member = m
	}
	r.isSilent = false
	r.toldSilent = false
	t.step(r, at)
}

// record returns the member's record; a new run of the instance starts anew.
func (t *Table) record(m gateway.Member, at time.Time) *record {
	r, ok := t.records[m.Name]
	if ok && r.member.Started >= m.Started {
		return r
	}
	r = &record{member: m, machine: charts.Start(memberChart), via: map[string]bool{}, firstAt: at}
	t.records[m.Name] = r
	return r
}

func (t *Table) changed(r *record) {
	t.sequence++
	r.changedAt = t.sequence
	t.announce()
}

func (t *Table) announce() {
	close(t.news)
	t.news = make(chan struct{})
}

// Changed returns a channel that closes when a member changes in more than the
// fields of every heartbeat.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news
}

// progressSteps bounds how often the progress of one transfer is told on.
const progressSteps = 8

// tellable reports whether other gateways need to hear of the difference.
func tellable(held, heard gateway.Member) bool {
	if held.Settled() != heard.Settled() {
		return true
	}
	return heard.Chunks > 0 && held.Have*progressSteps/heard.Chunks != heard.Have*progressSteps/heard.Chunks
}

func newer(held, heard gateway.Member) bool {
	if held.Started != heard.Started {
		return held.Started > heard.Started
	}
	return held.Sequence >= heard.Sequence
}

// Entries returns all entries in order of name, as they stand now.
func (t *Table) Entries() []Entry {
	return t.EntriesAt(time.Now())
}

// EntriesAt returns all entries in order of name, as they stand at now.
func (t *Table) EntriesAt(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Entry, 0, len(t.records))
	for _, r := range t.records {
		e := Entry{Member: r.member, State: r.machine.State(), HeardAt: t.evidence(r), Dead: t.dead(r, now)}
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.Name < out[j].Member.Name })
	return out
}

// Routable returns the members of a service that may get new work at now, in
// order of name.
func (t *Table) Routable(service string, now time.Time) []gateway.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []gateway.Member
	for _, r := range t.records {
		if r.member.Service == service && !t.leaving(r) && t.live(r, now) {
			out = append(out, r.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// live reports whether the member may get new work: heard directly just now, or
// by others if it does not report to this gateway.
func (t *Table) live(r *record, now time.Time) bool {
	if now.Sub(r.directAt) < silentAfter {
		return true
	}
	return now.Sub(r.directAt) > movedAfter && t.heardByOthers(r, now)
}

// leaving reports whether the member itself, the platform's list as read here
// or as another gateway read it says so.
func (t *Table) leaving(r *record) bool {
	if r.member.Leaving || t.listed[r.member.Name].State == instances.Leaving {
		return true
	}
	for _, names := range t.told {
		if names[r.member.Name] {
			return true
		}
	}
	return false
}

// Service counts the members of a service that are neither leaving nor dead.
func (t *Table) Service(service string, now time.Time) int {
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
