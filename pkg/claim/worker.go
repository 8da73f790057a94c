package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/pkg/settle"
)

const (
	maxPending    = 4096 // operations that a worker holds
	firstPause    = 20 * time.Millisecond
	longestPause  = time.Second
	maxDoublings  = 8 // of firstPause
	maxConflicts  = 8
	commitTimeout = 2 * time.Second
)

// worker commits the operations of its shards.
type worker struct {
	table      *Table
	operations chan *operation
	pending    map[string][]*operation // by shard
	held       int
	failures   int // in a row
}

func newWorker(t *Table) *worker {
	return &worker{
		table:      t,
		operations: make(chan *operation, maxWaiting),
		pending:    map[string][]*operation{},
	}
}

func (w *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.collect(ctx) {
			return
		}
		failed := false
		for shard := range w.pending {
			failed = !w.commit(ctx, shard) || failed
		}
		w.rest(ctx, failed)
	}
}

// collect takes the operations that wait; with nothing pending it waits for one.
func (w *worker) collect(ctx context.Context) bool {
	if w.held == 0 {
		select {
		case o := <-w.operations:
			w.add(o)
		case <-ctx.Done():
			return false
		}
	}
	for w.held < maxPending {
		select {
		case o := <-w.operations:
			w.add(o)
		default:
			return true
		}
	}
	return true
}

func (w *worker) add(o *operation) {
	w.pending[o.shard] = append(w.pending[o.shard], o)
	w.held++
}

// rest pauses after a failure, longer each time.
func (w *worker) rest(ctx context.Context, failed bool) {
	if !failed {
		w.failures = 0
		return
	}
	pause := min(firstPause<<w.failures, longestPause)
	w.failures = min(w.failures+1, maxDoublings)
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// commit makes one write for all operations of a shard. It reports false when
// they have to wait.
func (w *worker) commit(ctx context.Context, shard string) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	store := w.table.options.Open(shard)
	current, err := store.Read(ctx)
	if err != nil {
		w.forget(shard)
		return false
	}
	for range maxConflicts {
		w.forget(shard)
		if len(w.pending[shard]) == 0 {
			delete(w.pending, shard)
			return true
		}
		switch a := w.swap(ctx, store, shard, current).(type) {
		case nil, settle.Written:
			return true
		case settle.Conflict:
			current = a.Current
		default:
			return false
		}
	}
	return false
}

// forget drops abandoned claims that were never written.
func (w *worker) forget(shard string) {
	var kept []*operation
	for _, o := range w.pending[shard] {
		if o.forgettable() {
			w.held--
			continue
		}
		kept = append(kept, o)
	}
	w.pending[shard] = kept
}

// swap writes the shard with all pending operations applied to current. It
// returns nil when there was nothing to write.
func (w *worker) swap(ctx context.Context, store settle.Store, shard string, current settle.Entry) settle.Answer {
	d, err := decode(current.Value)
	if err != nil {
		w.endAll(shard, document{}, err)
		return nil
	}
	d.prune(time.Now(), w.table.options.RetentionHours)
	changed := false
	for _, o := range w.pending[shard] {
		changed = o.apply(d) || changed
	}
	if !changed {
		w.endAll(shard, d, nil)
		return nil
	}
	value, err := json.Marshal(d)
	if err != nil || len(value) > maxShardBytes {
		w.refuseClaims(shard)
		return settle.Conflict{Current: current}
	}
	if err := w.table.limiter.Wait(ctx); err != nil {
		return settle.Unavailable{Err: err}
	}
	answer := store.Swap(ctx, value, current.Revision)
	if _, written := answer.(settle.Written); written {
		w.endAll(shard, d, nil)
	}
	return answer
}

// endAll ends the shard's operations with what d holds. Claims that were
// abandoned meanwhile are in d and stay pending, to be taken out.
func (w *worker) endAll(shard string, d document, err error) {
	var left []*operation
	for _, o := range w.pending[shard] {
		if o.end(d.Entries[o.key], err) {
			w.held--
			continue
		}
		if held, ok := d.Entries[o.key]; ok && held.Token == o.entry.Token {
			left = append(left, o)
			continue
		}
		w.held--
	}
	if len(left) == 0 {
		delete(w.pending, shard)
		return
	}
	w.pending[shard] = left
}

// refuseClaims refuses the new claims of a shard that is full. One that an
// earlier write may have carried is taken out again.
func (w *worker) refuseClaims(shard string) {
	var kept []*operation
	for _, o := range w.pending[shard] {
		if o.kind != claimKind || !o.end(Entry{}, ErrFull) {
			kept = append(kept, o)
			continue
		}
		if !o.written {
			w.held--
			continue
		}
		o.abandoned = true
		kept = append(kept, o)
	}
	w.pending[shard] = kept
}
