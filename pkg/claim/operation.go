package claim

import "sync"

type kind int

const (
	claimKind kind = iota
	settleKind
	releaseKind
)

// operation is one change of a shard that waits for its commit.
type operation struct {
	kind  kind
	key   string
	shard string
	entry Entry
	done  chan struct{} // closed when held and err are set
	held  Entry
	err   error

	mu        sync.Mutex
	written   bool // a write with the claim was sent
	abandoned bool // the claimer has gone: the claim must not stand
	ended     bool
}

func newOperation(k kind, key string, e Entry) *operation {
	return &operation{kind: k, key: key, entry: e, done: make(chan struct{})}
}

// abandon gives the claim up unless it ended.
func (o *operation) abandon() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return false
	}
	o.abandoned = true
	return true
}

// end tells the claimer the result, unless the claim was abandoned.
func (o *operation) end(held Entry, err error) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.abandoned || o.ended {
		return false
	}
	o.ended = true
	o.held, o.err = held, err
	close(o.done)
	return true
}

// apply changes d and reports whether it did. An abandoned claim takes its
// entry out again.
func (o *operation) apply(d document) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	held, ok := d.Entries[o.key]
	own := ok && held.Token == o.entry.Token
	switch {
	case o.kind == claimKind && !o.abandoned:
		if ok {
			return false
		}
		d.Entries[o.key] = o.entry
		o.written = true
		return true
	case o.kind == settleKind:
		if !own || held.Settled {
			return false
		}
		held.Settled = true
		held.Result = o.entry.Result
		d.Entries[o.key] = held
		return true
	}
	if own {
		delete(d.Entries, o.key)
	}
	return own || o.abandoned // a write makes one that is still on its way fail
}

// forgettable reports an abandoned claim that no write can have carried.
func (o *operation) forgettable() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned && !o.written
}
