package kv

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/kv"
)

// record is a key with its present and its former entry.
type record struct {
	entry   kv.Entry
	former  kv.Entry // for stale reads; revision 0: the key was absent
	lease   string
	touched uint64 // revision of the last write, deletions included
}

// result of a conditional write.
type result int

const (
	written result = iota
	conflicted
	leaseLapsed
)

// store holds keys and leases. Leases lapse when the store is next used.
type store struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]record
	leases   map[string]time.Time // when each lapses
	changed  chan struct{}        // closed at each write
}

func newStore() *store {
	return &store{
		records: map[string]record{},
		leases:  map[string]time.Time{},
		changed: make(chan struct{}),
	}
}

func (s *store) get(key string, stale bool) kv.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(time.Now())
	return s.read(key, stale)
}

func (s *store) read(key string, stale bool) kv.Entry {
	rec, ok := s.records[key]
	if !ok {
		return kv.Entry{Key: key}
	}
	if stale {
		return rec.former
	}
	return rec.entry
}

func (s *store) list(l kv.List, stale bool) []kv.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(time.Now())
	out := []kv.Entry{}
	for _, key := range s.keys(l.Prefix, l.After) {
		e := s.read(key, stale)
		if e.Revision == 0 {
			continue
		}
		out = append(out, e)
		if l.Limit > 0 && len(out) == l.Limit {
			break
		}
	}
	return out
}

func (s *store) keys(prefix, after string) []string {
	var keys []string
	for key := range s.records {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// swap writes if the key's revision still is w.Revision. On a conflict it
// returns the key's entry.
func (s *store) swap(w kv.Swap) (kv.Entry, result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(time.Now())
	held := s.read(w.Key, false)
	if held.Revision != w.Revision {
		return held, conflicted
	}
	if _, ok := s.leases[w.Lease]; w.Lease != "" && !ok {
		return held, leaseLapsed
	}
	if len(w.Value) == 0 && held.Revision == 0 {
		return held, written
	}
	return s.write(w.Key, w.Value, w.Lease), written
}

// write sets or, with an empty value, deletes a key.
func (s *store) write(key string, value []byte, lease string) kv.Entry {
	s.revision++
	entry := kv.Entry{Key: key}
	if len(value) > 0 {
		entry = kv.Entry{Key: key, Value: value, Revision: s.revision}
	}
	s.records[key] = record{
		entry:   entry,
		former:  s.read(key, false),
		lease:   lease,
		touched: s.revision,
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return entry
}

// after returns the key's entry if it was written after revision. A deletion
// shows as an entry without a value at the deletion's revision. Otherwise it
// returns what to wait for: a write, or the time at which the next lease lapses.
func (s *store) after(key string, revision uint64, stale bool) (kv.Entry, bool, <-chan struct{}, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(time.Now())
	entry := s.read(key, stale)
	if rec := s.records[key]; !stale && entry.Revision == 0 {
		entry.Revision = rec.touched
	}
	return entry, entry.Revision > revision, s.changed, s.nextLapse()
}

func (s *store) nextLapse() time.Time {
	var next time.Time
	for _, at := range s.leases {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (s *store) grant(ttl time.Duration) kv.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uuid.NewString()
	s.leases[id] = time.Now().Add(ttl)
	return kv.Lease{Lease: id, LeftMilliseconds: int(ttl.Milliseconds())}
}

// keepAlive renews a lease, or returns false for one that has lapsed.
func (s *store) keepAlive(id string, ttl time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.lapse(now)
	if _, ok := s.leases[id]; !ok {
		return false
	}
	s.leases[id] = now.Add(ttl)
	return true
}

// lapse drops the leases that ended before now and deletes their keys.
func (s *store) lapse(now time.Time) {
	for id, at := range s.leases {
		if now.Before(at) {
			continue
		}
		delete(s.leases, id)
		s.deleteKeysOf(id)
	}
}

func (s *store) deleteKeysOf(lease string) {
	for _, key := range s.keys("", "") {
		if s.records[key].lease == lease {
			s.write(key, nil, "")
		}
	}
}
