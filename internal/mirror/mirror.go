// Package mirror holds a process's copy of the platform's metadata store: the items
// that the process follows, each with its revision, as of one revision of the store.
//
// Items come from the store itself or from another process that read it, and are
// merged the same way: an item is replaced only by one with a higher revision, and
// the revision of the mirror only rises. So no stale answer restores an older
// configuration, a removed credential or a deleted backend server.
package mirror

import (
	"errors"
	"sync"
)

// ErrCompacted is returned when the store no longer has the requested history.
var ErrCompacted = errors.New("history is no longer available")

// maxTombstones bounds the deletions that are kept to be sent to other processes.
const maxTombstones = 512

// Item is a key's value, or its deletion, with the revision of that change.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Snapshot is everything that the store held under the followed prefix at Revision.
type Snapshot struct {
	Items    []Item
	Revision int64
}

// Changes are the items that changed after some revision, up to Revision.
type Changes struct {
	Items    []Item
	Revision int64
}

// Update is what one process sends to another: the changes after the requested
// revision, or all items if Whole.
type Update struct {
	Items    []Item
	Revision int64
	Whole    bool
}

// Mirror is a local copy of the store's items. It is safe for concurrent use.
type Mirror struct {
	mu            sync.Mutex
	items         map[string]Item
	revision      int64 // the mirror is complete up to here
	pruneRevision int64 // deletions up to here may have been pruned
	tombstones    int
	changed       chan struct{}
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{items: map[string]Item{}, changed: make(chan struct{})}
}

// Revision returns the revision up to which the mirror is complete; 0 if it is empty.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Changed returns a channel that closes at the next change of an item.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Items returns the items that are not deleted, in no order.
func (m *Mirror) Items() []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Item, 0, len(m.items))
	for _, i := range m.items {
		if !i.Deleted {
			out = append(out, i)
		}
	}
	return out
}

// Current returns those items for which the mirror holds no newer change. Several
// sources may merge changes at once, and their callers may apply the returned items in
// another order; applying an older item last would restore what was deleted.
func (m *Mirror) Current(items []Item) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Item
	for _, i := range items {
		current, ok := m.items[i.Key]
		if ok && current.Revision > i.Revision || !ok && !i.Deleted { // a pruned deletion is newer, too
			continue
		}
		out = append(out, i)
	}
	return out
}

// Apply merges changes that follow the mirror's revision and returns the items that
// changed.
func (m *Mirror) Apply(c Changes) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.merge(c.Items)
	m.revision = max(m.revision, c.Revision)
	m.notify(changed)
	return changed
}

// Replace merges a snapshot. Items missing from it are deleted unless they changed
// after it. It returns the items that changed, deletions included; none if the snapshot
// is older than the mirror.
func (m *Mirror) Replace(s Snapshot) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Revision < m.revision {
		return nil
	}
	listed := make(map[string]bool, len(s.Items))
	for _, i := range s.Items {
		listed[i.Key] = true
	}
	var missing []Item
	for key, i := range m.items {
		if !listed[key] && !i.Deleted && i.Revision <= s.Revision {
			missing = append(missing, Item{Key: key, Revision: s.Revision, Deleted: true})
		}
	}
	changed := append(m.merge(missing), m.merge(s.Items)...)
	m.revision = max(m.revision, s.Revision)
	// Items deleted before the snapshot are missing from it, but other processes may
	// still hold them, so they need a whole update.
	m.pruneRevision = max(m.pruneRevision, s.Revision)
	m.notify(changed)
	return changed
}

// Since returns the update for another process whose mirror is complete up to
// revision.
func (m *Mirror) Since(revision int64) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := Update{Revision: m.revision, Whole: revision < m.pruneRevision || revision == 0}
	if m.revision <= revision {
		return Update{Revision: m.revision}
	}
	for _, i := range m.items {
		if i.Revision > revision || u.Whole && !i.Deleted {
			u.Items = append(u.Items, i)
		}
	}
	return u
}

// ApplyUpdate merges another process's update and returns the items that changed.
func (m *Mirror) ApplyUpdate(u Update) []Item {
	if u.Revision <= m.Revision() {
		return nil
	}
	if u.Whole {
		present := u.Items[:0:0]
		for _, i := range u.Items {
			if !i.Deleted {
				present = append(present, i)
			}
		}
		return m.Replace(Snapshot{Items: present, Revision: u.Revision})
	}
	return m.Apply(Changes{Items: u.Items, Revision: u.Revision})
}

func (m *Mirror) merge(items []Item) []Item {
	var changed []Item
	for _, i := range items {
		current, ok := m.items[i.Key]
		if ok && i.Revision <= current.Revision {
			continue
		}
		if i.Deleted {
			m.tombstones++
		}
		m.items[i.Key] = i
		changed = append(changed, i)
	}
	m.prune()
	return changed
}

// prune drops all deletions if there are more than maxTombstones.
func (m *Mirror) prune() {
	if m.tombstones <= maxTombstones {
		return
	}
	for key, i := range m.items {
		if i.Deleted {
			m.pruneRevision = max(m.pruneRevision, i.Revision)
			delete(m.items, key)
		}
	}
	m.tombstones = 0
}

func (m *Mirror) notify(changed []Item) {
	if len(changed) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}
