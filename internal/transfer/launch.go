package transfer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/link"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/peer"
)

const (
	fetchesPerNeighbour = 2
	busyGap             = 30 * time.Millisecond
	failedGap           = 500 * time.Millisecond
	rejectedGap         = 20 * time.Second // a sender of corrupt chunks is avoided
	maxRejected         = 2                // after which it no longer counts as a holder
	stalledGap          = 5 * time.Second
	endGameAge          = time.Second // a fetch this old may be doubled at the end
	maxDoubled          = 2
)

// landing is the end of one flight.
type landing struct {
	chunk   int
	from    *neighbour // nil unless fetched from a neighbour
	far     bool
	bring   bool // it was to bring the chunk into the region
	end     context.CancelFunc
	outcome outcome
}

// outcome of a flight.
type outcome interface{ isOutcome() }

type (
	arrived   struct{}
	failed    struct{ err error }
	postponed struct{} // another agent brings the chunk
)

func (arrived) isOutcome()   {}
func (failed) isOutcome()    {}
func (postponed) isOutcome() {}

// launch starts as many flights as the bounds allow. Chunks are brought into
// the region only once in stepInterval.
func (t *Transfer) launch(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	due := !now.Before(t.bringAt)
	if t.fetching >= maxFetches && !due {
		return
	}
	copies := t.copies(now)
	for t.fetching < maxFetches {
		i, n := t.rarest(now, copies)
		if n == nil {
			i, n = t.oldest(now)
		}
		if n == nil {
			break
		}
		t.fetch(ctx, i, n)
	}
	if due {
		t.bringAt = now.Add(stepInterval)
		t.launchBrings(ctx, now, copies)
	}
}

// rarest returns the missing chunk with the fewest copies among the
// neighbours, and the least busy neighbour that holds it. Callers hold mu.
func (t *Transfer) rarest(now time.Time, copies []int) (int, *neighbour) {
	usable := t.usable(now)
	if len(usable) == 0 {
		return 0, nil
	}
	best, bestCopies := -1, len(t.neighbours)+1
	offset := rand.IntN(len(t.chunks))
	for k := range t.chunks {
		i := (k + offset) % len(t.chunks)
		if copies[i] == 0 || copies[i] >= bestCopies || t.own.Has(i) || t.flights[i] != nil {
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

// usable returns the near neighbours that may be asked for a chunk now. Callers hold mu.
func (t *Transfer) usable(now time.Time) []*neighbour {
	var out []*neighbour
	for _, n := range t.neighbours {
		if t.near(n.peer) && n.inFlight < fetchesPerNeighbour && !now.Before(n.notBefore) {
			out = append(out, n)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func pickHolder(usable []*neighbour, i int) *neighbour {
	var best *neighbour
	for _, n := range usable {
		if n.remote.Has(i) && (best == nil || n.inFlight < best.inFlight) {
			best = n
		}
	}
	return best
}

// copies counts, by chunk, the near neighbours that hold it and may be asked
// for it, now or when they are less busy. Callers hold mu.
func (t *Transfer) copies(now time.Time) []int {
	counts := make([]int, len(t.chunks))
	for _, n := range t.neighbours {
		if t.near(n.peer) && !n.doubted(now) && t.rejected[n.peer.Name] < maxRejected {
			n.remote.Each(func(i int) { counts[i]++ })
		}
	}
	return counts
}

// oldest returns, when all missing chunks are in flight, the oldest flight
// that may be doubled and another holder. Callers hold mu.
func (t *Transfer) oldest(now time.Time) (int, *neighbour) {
	if len(t.chunks)-t.own.Len() > len(t.flights) {
		return 0, nil
	}
	usable := t.usable(now)
	best := -1
	var from *neighbour
	for i, f := range t.flights {
		if len(f.cancels) >= maxDoubled || now.Sub(f.startedAt) < endGameAge {
			continue
		}
		holder := pickHolder(without(usable, f.from), i)
		if holder != nil && (best < 0 || f.startedAt.Before(t.flights[best].startedAt)) {
			best, from = i, holder
		}
	}
	return best, from
}

func without(usable []*neighbour, names []string) []*neighbour {
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

// fetch starts a flight of chunk i from n. Callers hold mu.
func (t *Transfer) fetch(ctx context.Context, i int, n *neighbour) {
	ctx, end, f := t.takeOff(ctx, i)
	f.from = append(f.from, n.peer.Name)
	n.inFlight++
	t.fetching++
	c := t.manifest.Chunks[i]
	go func() {
		err := t.fetchFrom(ctx, n.client, c)
		t.landed <- landing{chunk: i, from: n, end: end, outcome: result(err)}
	}()
}

// takeOff records one more attempt for chunk i. Callers hold mu.
func (t *Transfer) takeOff(ctx context.Context, i int) (context.Context, context.CancelFunc, *flight) {
	f := t.flights[i]
	if f == nil {
		f = &flight{startedAt: time.Now()}
		t.flights[i] = f
	} else {
		counter.Add("ChunksDoubled", 1)
	}
	ctx, end := context.WithCancel(ctx)
	f.cancels = append(f.cancels, end)
	f.attempts++
	return ctx, end, f
}

func result(err error) outcome {
	if err != nil {
		return failed{err}
	}
	return arrived{}
}

func (t *Transfer) fetchFrom(ctx context.Context, c *peer.Client, chunk manifest.Chunk) error {
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

// put verifies and stores a chunk.
func (t *Transfer) put(c manifest.Chunk, data []byte, from string) error {
	err := t.exchange.options.Store.Put(c, data)
	if errors.Is(err, manifest.ErrMismatch) {
		event.Log(event.ChunkRejected, "Offset", c.Offset, "From", from)
	}
	return err
}

// land takes in the end of a flight.
func (t *Transfer) land(l landing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(l)
	switch o := l.outcome.(type) {
	case arrived:
		t.arrive(l)
	case postponed:
		t.chunks[l.chunk].retryAt = time.Now().Add(t.step())
	case failed:
		t.fail(l, o.err)
	}
}

// release frees what the flight occupied. Callers hold mu.
func (t *Transfer) release(l landing) {
	switch {
	case l.far:
		t.far--
	case l.bring:
		t.drawing--
	default:
		t.fetching--
	}
	if l.from != nil {
		l.from.inFlight--
	}
	l.end()
	f := t.flights[l.chunk]
	if f == nil {
		return
	}
	f.attempts--
	if _, ok := l.outcome.(arrived); ok || f.attempts == 0 {
		f.cancel()
		delete(t.flights, l.chunk)
	}
}

// arrive records a chunk that the store has verified. Callers hold mu.
func (t *Transfer) arrive(l landing) {
	if _, held := t.exchange.options.Store.Chunk(t.manifest.Chunks[l.chunk].Digest); !held {
		return // evicted with its version
	}
	if l.from != nil {
		l.from.suspect = false
		t.note(l.from.peer.Name, nil)
		t.rejected[l.from.peer.Name] = 0
	}
	if l.bring {
		t.brought[l.chunk] = time.Now()
	}
	for i := range t.sameDigest(l.chunk) {
		t.hold(i)
	}
}

// fail decides when the chunk and the sender are tried again. Callers hold mu.
func (t *Transfer) fail(l landing, err error) {
	if t.own.Has(l.chunk) {
		return
	}
	reason := reason(err)
	counter.Add("ChunkRetries."+reason, 1)
	now := time.Now()
	if l.from == nil {
		s := &t.chunks[l.chunk]
		s.failures++
		s.retryAt = now.Add(jittered(failedGap))
		return
	}
	l.from.notBefore = now.Add(t.avoid(l.from, err))
}

// avoid returns how long n is not asked after err. Callers hold mu.
func (t *Transfer) avoid(n *neighbour, err error) time.Duration {
	switch {
	case errors.Is(err, peer.ErrBusy):
		return jittered(busyGap)
	case isLie(err):
		t.rejected[n.peer.Name]++
		if t.rejected[n.peer.Name] < maxRejected {
			return jittered(failedGap)
		}
		return jittered(rejectedGap)
	}
	n.suspect = true
	if !errors.Is(err, peer.ErrUnknown) {
		t.note(n.peer.Name, err)
	}
	if errors.Is(err, link.ErrStalled) {
		return jittered(stalledGap)
	}
	return jittered(failedGap)
}

// isLie reports bytes that are not the chunk that was asked for.
func isLie(err error) bool {
	return errors.Is(err, manifest.ErrMismatch) || errors.Is(err, link.ErrTooLong) || errors.Is(err, link.ErrCutShort)
}

func reason(err error) string {
	reasons := []struct {
		err  error
		name string
	}{
		{peer.ErrBusy, "Busy"},
		{peer.ErrUnknown, "NotHeld"},
		{manifest.ErrMismatch, "Corrupt"},
		{link.ErrTooLong, "TooLong"},
		{link.ErrCutShort, "CutShort"},
		{link.ErrStalled, "Stalled"},
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
