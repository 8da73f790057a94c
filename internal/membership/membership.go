// Package membership joins what agents say of themselves with the platform's
// lagging list of instances.
package membership

import (
	"sort"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/gateway"
)

// silentAfter is the silence after which a member gets no new work.
const silentAfter = 3 * time.Second

// Entry is a member and when it was last heard.
type Entry struct {
	Member  gateway.Member
	HeardAt time.Time
}

// Table holds the members that a gateway knows. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]Entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]Entry{}}
}

// Hear records a member's heartbeat; one that is older than the entry is ignored.
func (t *Table) Hear(m gateway.Member, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.entries[m.Name]
	if ok && newer(held.Member, m) {
		return
	}
	t.entries[m.Name] = Entry{Member: m, HeardAt: at}
}

func newer(held, heard gateway.Member) bool {
	if held.Started != heard.Started {
		return held.Started > heard.Started
	}
	return held.Sequence >= heard.Sequence
}

// Entries returns all entries in order of name.
func (t *Table) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.Name < out[j].Member.Name })
	return out
}

// Routable returns the members of a service that may get new work at now.
func (t *Table) Routable(service string, now time.Time) []gateway.Member {
	var out []gateway.Member
	for _, e := range t.Entries() {
		if e.Member.Service == service && !e.Member.Leaving && now.Sub(e.HeardAt) < silentAfter {
			out = append(out, e.Member)
		}
	}
	return out
}
