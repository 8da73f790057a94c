// Package belief holds what a process believes of the platform's metadata
// store: the items it follows, each with its revision, as of one revision of
// the store.
//
// Beliefs come from the store itself or from another process that read it. Both
// are taken the same way: an item replaces another one only with a higher
// revision, and the revision of the whole only rises. So no stale answer, from
// whomever, brings back an older configuration, a removed credential or a
// backend server that has gone.
package belief

import (
	"errors"
	"sync"
)

// ErrForgotten says that the store no longer has the history asked for.
var ErrForgotten = errors.New("history is no longer available")

// maxDeleted bounds the deletions that are remembered for other processes.
const maxDeleted = 512

// Item is a value of the store, or its deletion, at the revision of that change.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Snapshot is all that the store held under the followed prefixes.
type Snapshot struct {
	Items    []Item
	Revision int64
}

// Changes are what changed up to Revision.
type Changes struct {
	Items    []Item
	Revision int64
}

// Update is what one process tells another: everything after the revision that
// was asked for, or all of it when Whole.
type Update struct {
	Items    []Item
	Revision int64
	Whole    bool
}

// Beliefs is safe for concurrent use.
type Beliefs struct {
	mu       sync.Mutex
	items    map[string]Item
	revision int64 // everything up to here is known
	floor    int64 // deletions before here may have been forgotten
	deleted  int
	changed  chan struct{}
}

// New returns empty beliefs.
func New() *Beliefs {
	return &Beliefs{items: map[string]Item{}, changed: make(chan struct{})}
}

// Revision returns the revision up to which everything is known; 0: nothing is.
func (b *Beliefs) Revision() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision
}

// Changed returns a channel that closes at the next change of an item.
func (b *Beliefs) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Items returns the items that stand, in no order.
func (b *Beliefs) Items() []Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Item, 0, len(b.items))
	for _, i := range b.items {
		if !i.Deleted {
			out = append(out, i)
		}
	}
	return out
}

// Newest returns those of items that nothing newer is known of. Several tellers
// may hand on what is new at once, and whoever acts on it may do so in another
// order: acting on an older item then would bring back what has gone.
func (b *Beliefs) Newest(items []Item) []Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Item
	for _, i := range items {
		held, ok := b.items[i.Key]
		if ok && held.Revision > i.Revision || !ok && !i.Deleted { // a forgotten deletion is newer, too
			continue
		}
		out = append(out, i)
	}
	return out
}

// Apply takes changes that follow the revision that is known and returns the
// items that are new.
func (b *Beliefs) Apply(c Changes) []Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := b.take(c.Items)
	b.revision = max(b.revision, c.Revision)
	b.announce(news)
	return news
}

// Replace takes a snapshot: items that it lacks are gone, unless they changed
// after it. It returns the items that are new, deletions included.
func (b *Beliefs) Replace(s Snapshot) []Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Revision < b.revision {
		return nil
	}
	listed := make(map[string]bool, len(s.Items))
	for _, i := range s.Items {
		listed[i.Key] = true
	}
	var gone []Item
	for key, i := range b.items {
		if !listed[key] && !i.Deleted && i.Revision <= s.Revision {
			gone = append(gone, Item{Key: key, Revision: s.Revision, Deleted: true})
		}
	}
	news := append(b.take(gone), b.take(s.Items)...)
	b.revision = max(b.revision, s.Revision)
	// What was deleted before the snapshot is missing in it, and others may know it.
	b.floor = max(b.floor, s.Revision)
	b.announce(news)
	return news
}

// Since returns what another process lacks that knows everything up to revision.
func (b *Beliefs) Since(revision int64) Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Update{Revision: b.revision, Whole: revision < b.floor || revision == 0}
	if b.revision <= revision {
		return Update{Revision: b.revision}
	}
	for _, i := range b.items {
		if i.Revision > revision || u.Whole && !i.Deleted {
			u.Items = append(u.Items, i)
		}
	}
	return u
}

// Adopt takes what another process told and returns the items that are new.
func (b *Beliefs) Adopt(u Update) []Item {
	if u.Revision <= b.Revision() {
		return nil
	}
	if u.Whole {
		standing := u.Items[:0:0]
		for _, i := range u.Items {
			if !i.Deleted {
				standing = append(standing, i)
			}
		}
		return b.Replace(Snapshot{Items: standing, Revision: u.Revision})
	}
	return b.Apply(Changes{Items: u.Items, Revision: u.Revision})
}

func (b *Beliefs) take(items []Item) []Item {
	var news []Item
	for _, i := range items {
		held, ok := b.items[i.Key]
		if ok && i.Revision <= held.Revision {
			continue
		}
		if i.Deleted {
			b.deleted++
		}
		b.items[i.Key] = i
		news = append(news, i)
	}
	b.prune()
	return news
}

// prune forgets all deletions when too many are kept.
func (b *Beliefs) prune() {
	if b.deleted <= maxDeleted {
		return
	}
	for key, i := range b.items {
		if i.Deleted {
			b.floor = max(b.floor, i.Revision)
			delete(b.items, key)
		}
	}
	b.deleted = 0
}

func (b *Beliefs) announce(news []Item) {
	if len(news) > 0 {
		close(b.changed)
		b.changed = make(chan struct{})
	}
}
