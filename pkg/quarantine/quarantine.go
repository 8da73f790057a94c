// Package quarantine detects requests that crash the servers that run them.
//
// Every request that was running on a server when it crashed becomes a suspect.
// A suspect runs again only on a server that runs no other suspect. If it
// completes, it is cleared; if that server crashes too, it is quarantined and
// refused from then on. Requests are identified by a fingerprint, so retries
// are recognised. A fingerprint that was running when two different servers
// crashed is also quarantined, unless a request with it completed recently.
//
// Parts does the same for parts that different requests share.
package quarantine

import (
	"sync"
	"time"
)

const (
	maxEntries    = 8192
	completionTTL = time.Minute // how long a completion counts as recent
)

// Verdict says how to handle requests with a fingerprint.
type Verdict int

// Verdicts.
const (
	Clear       Verdict = iota // run it normally
	Suspect                    // run it on a server without another suspect
	Quarantined                // refuse it
)

// Entry is the state of a fingerprint that is a suspect or quarantined, as
// exchanged between tables.
type Entry struct {
	Fingerprint string
	Server      string // server that crashed while running it
	Convicted   bool   // quarantined
	ExpiresAt   time.Time
}

// Table holds suspects and quarantined fingerprints. It is safe for concurrent
// use.
type Table struct {
	mu              sync.Mutex
	entries         map[string]Entry
	runningSuspects map[string]bool      // fingerprints of suspects that are running
	suspectServers  map[string]bool      // servers that run a suspect
	completedUntil  map[string]time.Time // by fingerprint: how long its last completion counts as recent
	changed         chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries:         map[string]Entry{},
		runningSuspects: map[string]bool{},
		suspectServers:  map[string]bool{},
		completedUntil:  map[string]time.Time{},
		changed:         make(chan struct{}),
	}
}

// Verdict returns the verdict on a fingerprint.
func (t *Table) Verdict(fingerprint string, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(fingerprint, now)
}

func (t *Table) verdict(fingerprint string, now time.Time) Verdict {
	e, ok := t.current(fingerprint, now)
	switch {
	case !ok:
		return Clear
	case e.Convicted:
		return Quarantined
	}
	return Suspect
}

// Find returns the entry of a fingerprint and reports whether it is a suspect
// or quarantined.
func (t *Table) Find(fingerprint string, now time.Time) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[fingerprint], t.verdict(fingerprint, now) != Clear
}

// RecordCrash records that server crashed while it ran the fingerprint and
// returns the new verdict. ranAsSuspect says that it ran on this server as the
// only suspect. The entry expires at expiresAt.
func (t *Table) RecordCrash(fingerprint, server string, ranAsSuspect bool, expiresAt time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	existing, ok := t.current(fingerprint, time.Now())
	if ok && existing.Convicted {
		return Quarantined
	}
	again := ok && existing.Server != server && !time.Now().Before(t.completedUntil[fingerprint])
	quarantined := ranAsSuspect || again
	t.put(Entry{Fingerprint: fingerprint, Server: server, Convicted: quarantined, ExpiresAt: expiresAt})
	if quarantined {
		return Quarantined
	}
	return Suspect
}

// current returns the entry of a fingerprint unless it has expired.
func (t *Table) current(fingerprint string, now time.Time) (Entry, bool) {
	e, ok := t.entries[fingerprint]
	return e, ok && now.Before(e.ExpiresAt)
}

// RecordCompletion records that a request completed. It clears a suspect, but
// not a quarantined fingerprint.
func (t *Table) RecordCompletion(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.putCompletion(fingerprint, time.Now().Add(completionTTL))
	if e, ok := t.entries[fingerprint]; ok && !e.Convicted {
		delete(t.entries, fingerprint)
		t.notify()
	}
}

// RecentlyCompleted reports whether a request with the fingerprint completed
// within completionTTL before now.
func (t *Table) RecentlyCompleted(fingerprint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.completedUntil[fingerprint])
}

// putCompletion stores a completion, evicting an arbitrary one if there are
// maxEntries.
func (t *Table) putCompletion(fingerprint string, until time.Time) {
	if _, ok := t.completedUntil[fingerprint]; !ok && len(t.completedUntil) >= maxEntries {
		for other := range t.completedUntil {
			delete(t.completedUntil, other)
			break
		}
	}
	t.completedUntil[fingerprint] = until
}

// StartSuspect reserves the server for a suspect. It reports false if the
// suspect is already running or the server runs another one.
func (t *Table) StartSuspect(fingerprint, server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runningSuspects[fingerprint] || t.suspectServers[server] {
		return false
	}
	t.runningSuspects[fingerprint] = true
	t.suspectServers[server] = true
	return true
}

// EndSuspect releases the reservation of StartSuspect.
func (t *Table) EndSuspect(fingerprint, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runningSuspects, fingerprint)
	delete(t.suspectServers, server)
	t.notify()
}

// Changed returns a channel that is closed at the next change of the entries or
// the running suspects.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Merge merges entries from another table. A quarantined entry replaces a
// suspect, and suspects with different crashed servers become quarantined as in
// RecordCrash. Entries that have expired, here or there, count for nothing.
func (t *Table) Merge(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, e := range entries {
		existing, ok := t.current(e.Fingerprint, now)
		switch {
		case !now.Before(e.ExpiresAt):
		case !ok || e.Convicted && !existing.Convicted:
			t.put(e)
		case existing.Convicted && !e.Convicted:
		case !existing.Convicted && e.Server != existing.Server && !now.Before(t.completedUntil[e.Fingerprint]):
			e.Convicted = true
			t.put(e)
		case e.ExpiresAt.After(existing.ExpiresAt):
			t.put(e)
		}
	}
}

// Quarantined returns the quarantined entries that have not expired at now.
func (t *Table) Quarantined(now time.Time) []Entry {
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

// put stores an entry. If the table is full, it first evicts the expired
// entries or, without any, the one that expires first.
func (t *Table) put(e Entry) {
	if _, ok := t.entries[e.Fingerprint]; !ok && len(t.entries) >= maxEntries {
		t.evict(time.Now())
	}
	t.entries[e.Fingerprint] = e
	t.notify()
}

func (t *Table) evict(now time.Time) {
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

// notify closes the channel that Changed returned.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}
