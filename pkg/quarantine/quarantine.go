// Package quarantine finds the request that crashes the servers that run it.
//
// Every request that ran on a server when it died is a suspect. A suspect runs
// again only on a server that runs no other suspect; one that completes is
// cleared, and one whose server dies again is convicted and refused. A request
// is known by its fingerprint, so its repeats are recognised. Two servers that
// die while they run the same fingerprint convict it too, unless the same
// request was lately seen to complete.
package quarantine

import (
	"sync"
	"time"
)

const (
	maxEntries   = 8192
	vouchedUntil = time.Minute // after a completion
)

// Verdict on a fingerprint.
type Verdict int

// Verdicts.
const (
	Clear     Verdict = iota
	Suspect           // run it beside no other suspect
	Convicted         // refuse it
)

// Entry is a fingerprint that is not clear, as holders tell each other.
type Entry struct {
	Fingerprint string
	Server      string // that died while running it
	Convicted   bool
	ExpiresAt   time.Time
}

// Table holds suspects and convictions. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]Entry
	running map[string]bool      // fingerprints of suspects in progress
	servers map[string]bool      // servers that run a suspect
	vouched map[string]time.Time // fingerprints that completed, until when it counts
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries: map[string]Entry{},
		running: map[string]bool{},
		servers: map[string]bool{},
		vouched: map[string]time.Time{},
		changed: make(chan struct{}),
	}
}

// Judge returns the verdict on a fingerprint.
func (t *Table) Judge(fingerprint string, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.judge(fingerprint, now)
}

func (t *Table) judge(fingerprint string, now time.Time) Verdict {
	e, ok := t.entries[fingerprint]
	switch {
	case !ok || !now.Before(e.ExpiresAt):
		return Clear
	case e.Convicted:
		return Convicted
	}
	return Suspect
}

// Find returns the entry of a fingerprint that is not clear.
func (t *Table) Find(fingerprint string, now time.Time) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[fingerprint], t.judge(fingerprint, now) != Clear
}

// Died records that server died while it ran the fingerprint, as a suspect or
// not, and returns the new verdict.
func (t *Table) Died(fingerprint, server string, ranAsSuspect bool, expiresAt time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.entries[fingerprint]
	if ok && held.Convicted {
		return Convicted
	}
	again := ok && held.Server != server && !time.Now().Before(t.vouched[fingerprint])
	convicted := ranAsSuspect || again
	t.put(Entry{Fingerprint: fingerprint, Server: server, Convicted: convicted, ExpiresAt: expiresAt})
	if convicted {
		return Convicted
	}
	return Suspect
}

// Completed clears a suspect; a conviction stands.
func (t *Table) Completed(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vouch(fingerprint, time.Now().Add(vouchedUntil))
	if e, ok := t.entries[fingerprint]; ok && !e.Convicted {
		delete(t.entries, fingerprint)
		t.announce()
	}
}

// Vouched reports whether the fingerprint was lately seen to complete.
func (t *Table) Vouched(fingerprint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.vouched[fingerprint])
}

// vouch remembers a completion; a full table forgets any other one.
func (t *Table) vouch(fingerprint string, until time.Time) {
	if _, ok := t.vouched[fingerprint]; !ok && len(t.vouched) >= maxEntries {
		for other := range t.vouched {
			delete(t.vouched, other)
			break
		}
	}
	t.vouched[fingerprint] = until
}

// Enter takes the server for a suspect. It reports false while the suspect is
// in progress or the server runs another one.
func (t *Table) Enter(fingerprint, server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[fingerprint] || t.servers[server] {
		return false
	}
	t.running[fingerprint] = true
	t.servers[server] = true
	return true
}

// Leave ends what Enter began.
func (t *Table) Leave(fingerprint, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, fingerprint)
	delete(t.servers, server)
	t.announce()
}

// Changed returns a channel that closes at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Adopt takes entries that another holder told. A conviction overrides a
// suspicion, and suspicions from two servers convict as in Died.
func (t *Table) Adopt(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		held, ok := t.entries[e.Fingerprint]
		switch {
		case !ok || e.Convicted && !held.Convicted:
			t.put(e)
		case held.Convicted && !e.Convicted:
		case !held.Convicted && e.Server != held.Server && !time.Now().Before(t.vouched[e.Fingerprint]):
			e.Convicted = true
			t.put(e)
		case e.ExpiresAt.After(held.ExpiresAt):
			t.put(e)
		}
	}
}

// Convictions returns the convictions in force.
func (t *Table) Convictions(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, e := range t.entries {
		if e.Convicted && now.Before(e.ExpiresAt) {
			out = append(out, e)
		}
	}
	return out
}

// put stores an entry; a full table forgets expired entries, then the one that
// expires first.
func (t *Table) put(e Entry) {
	if _, ok := t.entries[e.Fingerprint]; !ok && len(t.entries) >= maxEntries {
		t.forget(time.Now())
	}
	t.entries[e.Fingerprint] = e
	t.announce()
}

func (t *Table) forget(now time.Time) {
	var first Entry
	for fingerprint, e := range t.entries {
		if !now.Before(e.ExpiresAt) {
			delete(t.entries, fingerprint)
			continue
		}
		if first.Fingerprint == "" || e.ExpiresAt.Before(first.ExpiresAt) {
			first = e
		}
	}
	if len(t.entries) >= maxEntries {
		delete(t.entries, first.Fingerprint)
	}
}

func (t *Table) announce() {
	close(t.changed)
	t.changed = make(chan struct{})
}
