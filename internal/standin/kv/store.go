package kv

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/kv"
)

// record is the current and the previous entry of a key.
type record struct {
	entry     kv.Entry
	previous  kv.Entry // returned by stale reads; revision 0: the key was absent
	lease     string
	lastWrite uint64 // revision of the last write or deletion
}

// swapResult is the result of a conditional write.
type swapResult int

const (
	swapped swapResult = iota
	revisionConflict
	leaseExpired
)

// store holds keys and leases. Expired leases are removed at the next access.
type store struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]record
	leases   map[string]time.Time // expiry time by lease
	changed  chan struct{}        // closed and replaced by each write
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
	s.expireLeases(time.Now())
	return s.read(key, stale)
}

func (s *store) read(key string, stale bool) kv.Entry {
	rec, ok := s.records[key]
	if !ok {
		return kv.Entry{Key: key}
	}
	if stale {
		return rec.previous
	}
	return rec.entry
}

func (s *store) list(l kv.List, stale bool) []kv.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	out := []kv.Entry{}
	for _, key := range s.sortedKeys(l.Prefix, l.After) {
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

func (s *store) sortedKeys(prefix, after string) []string {
	var keys []string
	for key := range s.records {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// swap writes the value if the key's revision equals w.Revision. On a conflict it
// returns the current entry.
func (s *store) swap(w kv.Swap) (kv.Entry, swapResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	current := s.read(w.Key, false)
	if current.Revision != w.Revision {
		return current, revisionConflict
	}
	if _, ok := s.leases[w.Lease]; w.Lease != "" && !ok {
		return current, leaseExpired
	}
	if len(w.Value) == 0 && current.Revision == 0 {
		return current, swapped
	}
	return s.write(w.Key, w.Value, w.Lease), swapped
}

// write sets a key, or deletes it if value is empty, and wakes all watches.
func (s *store) write(key string, value []byte, lease string) kv.Entry {
	s.revision++
	entry := kv.Entry{Key: key}
	if len(value) > 0 {
		entry = kv.Entry{Key: key, Value: value, Revision: s.revision}
	}
	s.records[key] = record{
		entry:     entry,
		previous:  s.read(key, false),
		lease:     lease,
		lastWrite: s.revision,
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return entry
}

// entryAfter returns the key's entry and true if it was written after revision; a
// deleted key has an entry without a value at the revision of the deletion. It also
// returns what a watch waits for: a channel that the next write closes, and the time
// at which the next lease expires (zero if there is none).
func (s *store) entryAfter(key string, revision uint64, stale bool) (kv.Entry, bool, <-chan struct{}, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	entry := s.read(key, stale)
	if rec := s.records[key]; !stale && entry.Revision == 0 {
		entry.Revision = rec.lastWrite
	}
	return entry, entry.Revision > revision, s.changed, s.nextExpiry()
}

func (s *store) nextExpiry() time.Time {
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

// keepAlive renews a lease, or returns false if it has expired.
func (s *store) keepAlive(id string, ttl time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expireLeases(now)
	if _, ok := s.leases[id]; !ok {
		return false
	}
	s.leases[id] = now.Add(ttl)
	return true
}

// expireLeases removes the leases that have expired at now and deletes their keys.
func (s *store) expireLeases(now time.Time) {
	for id, at := range s.leases {
		if now.Before(at) {
			continue
		}
		delete(s.leases, id)
		s.deleteKeysOf(id)
	}
}

func (s *store) deleteKeysOf(lease string) {
	for _, key := range s.sortedKeys("", "") {
		if s.records[key].lease == lease {
			s.write(key, nil, "")
		}
	}
}
