package claim

import "sync"

type operationKind int

const (
	claimKind operationKind = iota
	settleKind
	releaseKind
)

// operation is a change of a shard that waits to be committed.
type operation struct {
	kind    operationKind
	key     string
	shard   string
	entry   Entry
	done    chan struct{} // closed when current and err are set
	current Entry         // entry of key after the commit
	err     error

	mu        sync.Mutex
	written   bool // a write with the claim may have been sent
	abandoned bool // the caller has given up; the claim must be removed
	completed bool
}

func newOperation(kind operationKind, key string, e Entry) *operation {
	return &operation{kind: kind, key: key, entry: e, done: make(chan struct{})}
}

// abandon marks the claim for removal. It reports false if the operation has
// already completed.
func (o *operation) abandon() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.completed {
		return false
	}
	o.abandoned = true
	return true
}

// complete passes the result to the caller. It reports false if the operation
// was abandoned or has already completed.
func (o *operation) complete(current Entry, err error) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.abandoned || o.completed {
		return false
	}
	o.completed = true
	o.current, o.err = current, err
	close(o.done)
	return true
}

// apply applies the operation to d and reports whether the shard must be
// written. For an abandoned claim it removes the entry.
func (o *operation) apply(d document) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	current, ok := d.Entries[o.key]
	own := ok && current.Token == o.entry.Token
	switch {
	case o.kind == claimKind && !o.abandoned:
		if ok {
			return false
		}
		d.Entries[o.key] = o.entry
		o.written = true
		return true
	case o.kind == settleKind:
		if !own || current.Settled {
			return false
		}
		current.Settled = true
		current.Result = o.entry.Result
		d.Entries[o.key] = current
		return true
	}
	if own {
		delete(d.Entries, o.key)
	}
	return own || o.abandoned // the write makes a late write of the abandoned claim fail with a conflict
}

// neverWritten reports whether the operation is an abandoned claim that no
// write can contain.
func (o *operation) neverWritten() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned && !o.written
}
