package transfer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/chunkio"
	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/peer"
)

const (
	fetchesPerNeighbour = 2
	busyDelay           = 30 * time.Millisecond  // before a busy neighbour is asked again
	failureDelay        = 500 * time.Millisecond // after another failure
	invalidChunkDelay   = 20 * time.Second       // after maxInvalidChunks invalid chunks in a row
	maxInvalidChunks    = 2                      // in a row, after which the sender no longer counts as a holder
	stalledDelay        = 5 * time.Second        // after a chunk that stalled
	endGameAge          = time.Second            // in the end game, a chunk pending for this long is fetched from a second holder
	maxAttempts         = 2                      // in all, for one pending chunk
)

// attemptResult is the result of one attempt to get a chunk.
type attemptResult struct {
	chunk       int
	neighbour   *neighbour // nil for an import
	crossRegion bool
	isImport    bool // from a source or from another region
	cancel      context.CancelFunc
	outcome     outcome
}

// outcome of an attempt.
type outcome interface{ isOutcome() }

type (
	arrived   struct{}
	failed    struct{ err error }
	postponed struct{} // another agent is importing the chunk
)

func (arrived) isOutcome()   {}
func (failed) isOutcome()    {}
func (postponed) isOutcome() {}

// schedule starts as many attempts as the limits allow. Imports are scheduled at
// most once in scheduleInterval.
func (t *Transfer) schedule(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	due := !now.Before(t.nextImportAt)
	if t.fetching >= maxFetches && !due {
		return
	}
	copies := t.copies(now)
	for t.fetching < maxFetches {
		i, n := t.rarest(now, copies)
		if n == nil {
			i, n = t.oldestPending(now)
		}
		if n == nil {
			break
		}
		t.startFetch(ctx, i, n)
	}
	if due {
		t.nextImportAt = now.Add(scheduleInterval)
		t.scheduleImports(ctx, now, copies)
	}
}

// rarest returns the missing chunk with the fewest copies among the neighbours,
// and the neighbour with the fewest fetches in flight that holds it; nil if
// there is none. t.mu must be held.
func (t *Transfer) rarest(now time.Time, copies []int) (int, *neighbour) {
	usable := t.usable(now)
	if len(usable) == 0 {
		return 0, nil
	}
	best, bestCopies := -1, len(t.neighbours)+1
	offset := rand.IntN(len(t.chunks))
	for k := range t.chunks {
		i := (k + offset) % len(t.chunks)
		if copies[i] == 0 || copies[i] >= bestCopies || t.own.Has(i) || t.pending[i] != nil {
			continue
		}
		if pickHolder(usable, i) != nil {
			best, bestCopies = i, copies[i]
		}
	}
	if best < 0 {
		return 0, nil
	}
	return best, pickHolder(usable, best)
}

// usable returns, in random order, the neighbours of the region that may be
// asked for a chunk now. t.mu must be held.
func (t *Transfer) usable(now time.Time) []*neighbour {
	var out []*neighbour
	for _, n := range t.neighbours {
		if t.inOwnRegion(n.peer) && n.inFlight < fetchesPerNeighbour && !now.Before(n.notBefore) {
			out = append(out, n)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func pickHolder(usable []*neighbour, i int) *neighbour {
	var best *neighbour
	for _, n := range usable {
		if n.holdings.Has(i) && (best == nil || n.inFlight < best.inFlight) {
			best = n
		}
	}
	return best
}

// copies returns, by chunk, the number of neighbours of the region that hold it
// and are not avoided after failures. t.mu must be held.
func (t *Transfer) copies(now time.Time) []int {
	counts := make([]int, len(t.chunks))
	for _, n := range t.neighbours {
		if t.inOwnRegion(n.peer) && !n.avoided(now) && t.invalidChunks[n.peer.Name] < maxInvalidChunks {
			n.holdings.Each(func(i int) { counts[i]++ })
		}
	}
	return counts
}

// oldestPending returns, in the end game, the longest pending chunk that may be
// fetched a second time, and a holder that was not asked yet; nil if there is
// none. In the end game all missing chunks are pending. t.mu must be held.
func (t *Transfer) oldestPending(now time.Time) (int, *neighbour) {
	if len(t.chunks)-t.own.Len() > len(t.pending) {
		return 0, nil
	}
	usable := t.usable(now)
	best := -1
	var from *neighbour
	for i, p := range t.pending {
		if len(p.cancels) >= maxAttempts || now.Sub(p.startedAt) < endGameAge {
			continue
		}
		holder := pickHolder(excluding(usable, p.asked), i)
		if holder != nil && (best < 0 || p.startedAt.Before(t.pending[best].startedAt)) {
			best, from = i, holder
		}
	}
	return best, from
}

func excluding(usable []*neighbour, names []string) []*neighbour {
	var out []*neighbour
	for _, n := range usable {
		asked := false
		for _, name := range names {
			asked = asked || name == n.peer.Name
		}
		if !asked {
			out = append(out, n)
		}
	}
	return out
}

// startFetch starts to fetch chunk i from n. t.mu must be held.
func (t *Transfer) startFetch(ctx context.Context, i int, n *neighbour) {
	ctx, cancel, p := t.beginAttempt(ctx, i)
	p.asked = append(p.asked, n.peer.Name)
	n.inFlight++
	t.fetching++
	c := t.manifest.Chunks[i]
	go func() {
		err := t.fetchChunk(ctx, n.client, c)
		t.results <- attemptResult{chunk: i, neighbour: n, cancel: cancel, outcome: outcomeOf(err)}
	}()
}

// beginAttempt records one more attempt for chunk i and returns its context.
// t.mu must be held.
func (t *Transfer) beginAttempt(ctx context.Context, i int) (context.Context, context.CancelFunc, *pendingChunk) {
	p := t.pending[i]
	if p == nil {
		p = &pendingChunk{startedAt: time.Now()}
		t.pending[i] = p
	} else {
		counter.Add("ChunksDoubled", 1)
	}
	ctx, cancel := context.WithCancel(ctx)
	p.cancels = append(p.cancels, cancel)
	p.attempts++
	return ctx, cancel, p
}

func outcomeOf(err error) outcome {
	if err != nil {
		return failed{err}
	}
	return arrived{}
}

func (t *Transfer) fetchChunk(ctx context.Context, c *peer.Client, chunk manifest.Chunk) error {
	data, err := c.Chunk(ctx, chunk)
	if err != nil {
		return err
	}
	if err := t.put(chunk, data, c.Address()); err != nil {
		return err
	}
	counter.Add("ChunksFetched", 1)
	return nil
}

// put verifies and stores a chunk; from is a peer's address or the kind of a
// source.
func (t *Transfer) put(c manifest.Chunk, data []byte, from string) error {
	err := t.manager.options.Store.Put(c, data)
	if errors.Is(err, manifest.ErrMismatch) {
		event.Log(event.ChunkRejected, "Offset", c.Offset, "From", from)
	}
	return err
}

// handleResult records the result of an attempt.
func (t *Transfer) handleResult(r attemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(r)
	switch o := r.outcome.(type) {
	case arrived:
		t.recordArrival(r)
	case postponed:
		t.chunks[r.chunk].retryAt = time.Now().Add(t.takeOverDelay())
	case failed:
		t.handleFailure(r, o.err)
	}
}

// release frees the slots of the attempt, and cancels the chunk's other attempt
// if the chunk has arrived. t.mu must be held.
func (t *Transfer) release(r attemptResult) {
	switch {
	case r.crossRegion:
		t.crossRegion--
	case r.isImport:
		t.downloading--
	default:
		t.fetching--
	}
	if r.neighbour != nil {
		r.neighbour.inFlight--
	}
	r.cancel()
	p := t.pending[r.chunk]
	if p == nil {
		return
	}
	p.attempts--
	if _, ok := r.outcome.(arrived); ok || p.attempts == 0 {
		p.cancel()
		delete(t.pending, r.chunk)
	}
}

// recordArrival records a chunk that the store has verified. t.mu must be held.
func (t *Transfer) recordArrival(r attemptResult) {
	if _, held := t.manager.options.Store.Chunk(t.manifest.Chunks[r.chunk].Digest); !held {
		return // evicted together with its version
	}
	if r.neighbour != nil {
		r.neighbour.lastFailed = false
		t.recordCall(r.neighbour.peer.Name, nil)
		t.invalidChunks[r.neighbour.peer.Name] = 0
	}
	if r.isImport {
		t.importedAt[r.chunk] = time.Now()
	}
	for i := range t.sameDigest(r.chunk) {
		t.markHeld(i)
	}
}

// handleFailure sets the time at which the chunk or the sender is tried again.
// t.mu must be held.
func (t *Transfer) handleFailure(r attemptResult, err error) {
	if t.own.Has(r.chunk) {
		return
	}
	reason := failureReason(err)
	counter.Add("ChunkRetries."+reason, 1)
	now := time.Now()
	if r.neighbour == nil {
		s := &t.chunks[r.chunk]
		s.failures++
		s.retryAt = now.Add(jittered(failureDelay))
		return
	}
	r.neighbour.notBefore = now.Add(t.retryDelay(r.neighbour, err))
}

// retryDelay returns the time for which n is not asked for chunks after err.
// t.mu must be held.
func (t *Transfer) retryDelay(n *neighbour, err error) time.Duration {
	switch {
	case errors.Is(err, peer.ErrBusy):
		return jittered(busyDelay)
	case isInvalidChunk(err):
		t.invalidChunks[n.peer.Name]++
		if t.invalidChunks[n.peer.Name] < maxInvalidChunks {
			return jittered(failureDelay)
		}
		return jittered(invalidChunkDelay)
	}
	n.lastFailed = true
	if !errors.Is(err, peer.ErrNotHeld) {
		t.recordCall(n.peer.Name, err)
	}
	if errors.Is(err, chunkio.ErrStalled) {
		return jittered(stalledDelay)
	}
	return jittered(failureDelay)
}

// isInvalidChunk reports whether err means that the sender sent other bytes than
// those of the requested chunk.
func isInvalidChunk(err error) bool {
	return errors.Is(err, manifest.ErrMismatch) || errors.Is(err, chunkio.ErrTooLong) || errors.Is(err, chunkio.ErrCutShort)
}

func failureReason(err error) string {
	reasons := []struct {
		err  error
		name string
	}{
		{peer.ErrBusy, "Busy"},
		{peer.ErrNotHeld, "NotHeld"},
		{manifest.ErrMismatch, "Corrupt"},
		{chunkio.ErrTooLong, "TooLong"},
		{chunkio.ErrCutShort, "CutShort"},
		{chunkio.ErrStalled, "Stalled"},
		{chunkstore.ErrUnwanted, "Unwanted"},
		{ErrNoSource, "NoSource"},
		{context.Canceled, "Cancelled"},
	}
	for _, r := range reasons {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "Connection"
}
