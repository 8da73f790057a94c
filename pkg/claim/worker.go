package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/pkg/condwrite"
)

const (
	maxPending    = 4096 // operations of one worker
	baseBackoff   = 20 * time.Millisecond
	maxBackoff    = time.Second
	maxDoublings  = 8 // maximum doublings of baseBackoff
	maxConflicts  = 8
	commitTimeout = 2 * time.Second
)

// worker commits the operations of its shards, with one write for all pending
// operations of a shard.
type worker struct {
	table      *Table
	operations chan *operation
	pending    map[string][]*operation // by shard
	numPending int                     // operations in pending
	failures   int                     // consecutive failed rounds, at most maxDoublings
	breaker    breaker
}

func newWorker(t *Table) *worker {
	return &worker{
		table:      t,
		operations: make(chan *operation, maxQueued),
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
		w.backOff(ctx, failed)
	}
}

// collect takes queued operations. If none is pending, it waits for the first;
// it reports false if ctx ends before.
func (w *worker) collect(ctx context.Context) bool {
	if w.numPending == 0 {
		select {
		case o := <-w.operations:
			w.add(o)
		case <-ctx.Done():
			return false
		}
	}
	for w.numPending < maxPending {
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
	w.numPending++
}

// backOff records the result of a round and, after a failure, waits for an
// exponentially growing delay.
func (w *worker) backOff(ctx context.Context, failed bool) {
	w.breaker.record(failed, time.Now())
	if !failed {
		w.failures = 0
		return
	}
	delay := min(baseBackoff<<w.failures, maxBackoff)
	w.failures = min(w.failures+1, maxDoublings)
	timer := time.NewTimer(delay/2 + rand.N(delay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// commit commits all pending operations of a shard in one write. It reports
// false if they stay pending for the next round.
func (w *worker) commit(ctx context.Context, shard string) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	store := w.table.options.Open(shard)
	current, err := store.Read(ctx)
	if err != nil {
		w.dropUnwritten(shard)
		return false
	}
	for range maxConflicts {
		w.dropUnwritten(shard)
		if len(w.pending[shard]) == 0 {
			delete(w.pending, shard)
			return true
		}
		switch r := w.swap(ctx, store, shard, current).(type) {
		case nil, condwrite.Written:
			return true
		case condwrite.Conflict:
			current = r.Current
		default:
			return false
		}
	}
	return false
}

// dropUnwritten drops the abandoned claims of a shard that were never written.
func (w *worker) dropUnwritten(shard string) {
	var kept []*operation
	for _, o := range w.pending[shard] {
		if o.neverWritten() {
			w.numPending--
			continue
		}
		kept = append(kept, o)
	}
	w.pending[shard] = kept
}

// swap writes the shard with all pending operations applied to current. It
// returns nil if there was nothing to write or current is not decodable.
func (w *worker) swap(ctx context.Context, store condwrite.Store, shard string, current condwrite.Entry) condwrite.SwapResult {
	d, err := decode(current.Value)
	if err != nil {
		w.completeAll(shard, document{}, err)
		return nil
	}
	d.prune(time.Now(), w.table.options.RetentionHours)
	changed := false
	for _, o := range w.pending[shard] {
		changed = o.apply(d) || changed
	}
	if !changed {
		w.completeAll(shard, d, nil)
		return nil
	}
	value, err := json.Marshal(d)
	if err != nil || len(value) > maxShardBytes {
		w.rejectClaims(shard)
		return condwrite.Conflict{Current: current}
	}
	if err := w.table.limiter.Wait(ctx); err != nil {
		return condwrite.Unavailable{Err: err}
	}
	result := store.Swap(ctx, value, current.Revision)
	if _, written := result.(condwrite.Written); written {
		w.completeAll(shard, d, nil)
	}
	return result
}

// completeAll completes the shard's operations with the entries of d. Claims
// that were abandoned during the write are in d; they stay pending so that the
// next write removes them.
func (w *worker) completeAll(shard string, d document, err error) {
	var remaining []*operation
	for _, o := range w.pending[shard] {
		if o.complete(d.Entries[o.key], err) {
			w.numPending--
			continue
		}
		if current, ok := d.Entries[o.key]; ok && current.Token == o.entry.Token {
			remaining = append(remaining, o)
			continue
		}
		w.numPending--
	}
	if len(remaining) == 0 {
		delete(w.pending, shard)
		return
	}
	w.pending[shard] = remaining
}

// rejectClaims fails the pending claims of a full shard with ErrFull. A claim
// that an earlier write may contain stays pending, so that the next write
// removes it.
func (w *worker) rejectClaims(shard string) {
	var kept []*operation
	for _, o := range w.pending[shard] {
		if o.kind != claimKind || !o.complete(Entry{}, ErrFull) {
			kept = append(kept, o)
			continue
		}
		if !o.written {
			w.numPending--
			continue
		}
		o.abandoned = true
		kept = append(kept, o)
	}
	w.pending[shard] = kept
}
