package transfer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bits-and-blooms/bitset"

	"almondreel.example/almondreel/charts"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/haveset"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/pkg/chart"
)

const (
	stepInterval = 20 * time.Millisecond
	maxFetches   = 8 // chunks fetched from agents of the region at once
	maxDraws     = 2 // chunks drawn from sources at once
	maxFar       = 4 // chunks fetched from other regions at once
)

// ErrWhole reports chunks that match the manifest but not its whole digest:
// the manifest contradicts itself and can never be served.
var ErrWhole = errors.New("whole digest does not match the chunks")

var transferChart = charts.Load("transfer")

// Transfer brings one version to the agent. The loop goroutine decides what is
// fetched; mu guards what other goroutines tell it.
type Transfer struct {
	exchange *Exchange
	plan     Plan // as started; its Members, ReadyBy and Weighing are in terms
	machine  *chart.Machine
	done     chan struct{} // closes when the whole is verified or failed for good
	ended    chan struct{} // closes when no goroutine of the transfer runs
	wake     chan struct{}
	landed   chan landing

	mu         sync.Mutex
	terms      Plan
	err        error
	manifest   manifest.Manifest
	own        *haveset.Own
	region     *bitset.BitSet // seen in the agent's own region
	anywhere   *bitset.BitSet
	seenCount  uint64
	changed    chan struct{} // closes when own or the seen sets grow
	neighbours map[string]*neighbour
	absent     map[string]time.Time // members that did not answer, until when
	rejected   map[string]int       // by agent, chunks in a row that were not what they claimed
	brought    map[int]time.Time    // when the agent itself brought chunks into the region
	flights    map[int]*flight
	chunks     []chunkState
	members    members
	fetching   int
	drawing    int
	far        int
	startedAt  time.Time
	bringAt    time.Time // next look at chunks to bring into the region
	regionRate regionRate
	// drawMicroseconds is the recent time of a draw from a source.
	drawMicroseconds int64
}

// chunkState is the moment of each step on a chunk's way into the region.
type chunkState struct {
	openedAt time.Time // it may be drawn from a source
	seenAt   time.Time // held somewhere
	nearAt   time.Time // held in the own region
	retryAt  time.Time // nothing is tried before
	failures int
}

// flight is one attempt, or two in the end game, to get a chunk.
type flight struct {
	startedAt time.Time
	attempts  int // in progress
	cancels   []context.CancelFunc
	from      []string // names of the agents asked
	drawing   bool     // it is brought into the region
}

func newTransfer(x *Exchange, p Plan) *Transfer {
	return &Transfer{
		exchange:   x,
		plan:       p,
		terms:      p,
		machine:    charts.Start(transferChart),
		done:       make(chan struct{}),
		ended:      make(chan struct{}),
		wake:       make(chan struct{}, 1),
		landed:     make(chan landing, maxFetches+maxDraws+maxFar),
		changed:    make(chan struct{}),
		neighbours: map[string]*neighbour{},
		absent:     map[string]time.Time{},
		rejected:   map[string]int{},
		brought:    map[int]time.Time{},
		flights:    map[int]*flight{},
	}
}

// Update changes the members, the deadline and the weighing of a running transfer.
func (t *Transfer) Update(p Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Equal(p.Members, t.terms.Members) || p.Weighing != t.terms.Weighing {
		t.members.key = ""
	}
	t.terms = p
}

// Done closes when the whole is held and verified, or cannot be: see Err.
func (t *Transfer) Done() <-chan struct{} { return t.done }

// Ended closes when the transfer's context has ended and all its work with it.
func (t *Transfer) Ended() <-chan struct{} { return t.ended }

// Err returns why a done transfer failed, or nil.
func (t *Transfer) Err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// Progress returns the verified chunks and all chunks; both 0 before the manifest is there.
func (t *Transfer) Progress() (have, chunks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own == nil {
		return 0, 0
	}
	return t.own.Len(), len(t.manifest.Chunks)
}

func (t *Transfer) run(ctx context.Context) {
	event.Log(event.TransferStarted, "Model", t.plan.Model, "Version", t.plan.Version, "Digest", t.plan.Digest)
	m, err := t.findManifest(ctx)
	if err != nil {
		t.abandon()
		return
	}
	t.begin(m)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tended := make(chan struct{})
	go func() {
		defer close(tended)
		t.tend(ctx)
	}()
	t.loop(ctx)
	cancel()
	<-tended
	t.abandon()
}

func (t *Transfer) abandon() {
	if t.machine.Done() {
		return
	}
	charts.Fire(t.machine, "Abandon")
	event.Log(event.TransferAbandoned, "Digest", t.plan.Digest)
}

// begin prepares the sets; chunks that another version brought are held already.
func (t *Transfer) begin(m manifest.Manifest) {
	store := t.exchange.options.Store
	store.Keep(t.plan.Digest, m)
	charts.Fire(t.machine, "Manifest")
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(m.Chunks)
	t.manifest = m
	t.own = haveset.NewOwn(n)
	t.region, t.anywhere = bitset.New(uint(n)), bitset.New(uint(n))
	t.chunks = make([]chunkState, n)
	for i, c := range m.Chunks {
		if _, held := store.Chunk(c.Digest); held {
			t.hold(i)
		}
	}
	t.startedAt = time.Now()
}

// hold records a verified chunk. Callers hold mu.
func (t *Transfer) hold(i int) {
	if t.own.Add(i) {
		t.see(i, true)
		t.announce()
	}
}

// see records that some agent holds chunk i. Callers hold mu.
func (t *Transfer) see(i int, near bool) {
	if t.region.Test(uint(i)) || !near && t.anywhere.Test(uint(i)) {
		return
	}
	now := time.Now()
	elsewhere := t.anywhere.Test(uint(i))
	if !elsewhere {
		t.anywhere.Set(uint(i))
		t.chunks[i].seenAt = now
		t.seenCount++
	}
	if near && !t.region.Test(uint(i)) {
		t.region.Set(uint(i))
		t.chunks[i].nearAt = now
		if elsewhere { // else the region drew it, which says nothing of the links between regions
			t.regionRate.add(now)
		}
		t.seenCount++
	}
}

func (t *Transfer) announce() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Transfer) poke() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Transfer) loop(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		if t.finish() {
			ticker.Stop()
			t.drain(ctx)
			return
		}
		t.launch(ctx)
		select {
		case <-ctx.Done():
			t.drain(ctx)
			return
		case l := <-t.landed:
			t.land(l)
		case <-t.wake:
		case <-ticker.C:
		}
	}
}

// drain waits for all flights and then for the end of ctx.
func (t *Transfer) drain(ctx context.Context) {
	t.mu.Lock()
	for _, f := range t.flights {
		f.cancel()
	}
	t.mu.Unlock()
	for t.airborne() > 0 {
		t.land(<-t.landed)
	}
	<-ctx.Done()
}

func (f *flight) cancel() {
	for _, c := range f.cancels {
		c()
	}
}

func (t *Transfer) airborne() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fetching + t.drawing + t.far
}

// finish verifies the whole once all chunks are held, and reports whether the transfer is over.
func (t *Transfer) finish() bool {
	have, chunks := t.Progress()
	if have < chunks {
		return false
	}
	charts.Fire(t.machine, "AllChunks")
	if err := t.exchange.options.Store.Verify(t.plan.Digest); err != nil {
		charts.Fire(t.machine, "Mismatch")
		counter.Add("TransfersFailed.Whole", 1)
		t.mu.Lock()
		t.err = errors.Join(ErrWhole, err)
		t.mu.Unlock()
		close(t.done)
		return true
	}
	charts.Fire(t.machine, "Verified")
	event.Log(event.TransferVerified, "Digest", t.plan.Digest, "Chunks", chunks)
	close(t.done)
	return true
}

func (t *Transfer) near(p gateway.Peer) bool {
	return p.Region == t.exchange.options.Self.Region
}

// jittered returns a random time between half of d and d.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
