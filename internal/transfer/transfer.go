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
	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/haveset"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/pkg/statechart"
)

const (
	scheduleInterval = 20 * time.Millisecond
	maxFetches       = 8 // chunks fetched from agents of the region at once
	maxDownloads     = 2 // chunks downloaded from sources at once
	maxCrossRegion   = 4 // chunks fetched from other regions at once
)

// ErrWholeDigest reports chunks that match the manifest's chunk digests but not
// its whole digest. Such a manifest is inconsistent, and the version can never be
// served.
var ErrWholeDigest = errors.New("whole digest does not match the chunks")

var transferChart = charts.Load("transfer")

// Transfer fetches one version for the agent. The loop goroutine schedules the
// attempts; mu guards the state shared with other goroutines.
type Transfer struct {
	manager *Manager
	plan    Plan // as started; for Members, ReadyBy and Weighing see current
	machine *statechart.Machine
	done    chan struct{} // closed when the version is verified or has failed
	ended   chan struct{} // closed when no goroutine of the transfer runs
	wake    chan struct{} // runs the loop before the next tick
	results chan attemptResult

	mu               sync.Mutex
	current          Plan // as updated
	err              error
	manifest         manifest.Manifest
	own              *haveset.Own   // nil before the manifest is found
	seenInRegion     *bitset.BitSet // chunks seen to be held in the agent's region
	seenAnywhere     *bitset.BitSet
	seenCount        uint64        // grows with either seen set
	changed          chan struct{} // closed and replaced when own or a seen set grows
	neighbours       map[string]*neighbour
	unreachableUntil map[string]time.Time // members that did not answer
	invalidChunks    map[string]int       // by agent, in a row
	importedAt       map[int]time.Time    // by chunk, when the agent imported it
	pending          map[int]*pendingChunk
	chunks           []chunkState
	members          members
	fetching         int // attempts from neighbours of the region, at most maxFetches
	downloading      int // attempts from sources, at most maxDownloads
	crossRegion      int // attempts from other regions, at most maxCrossRegion
	startedAt        time.Time
	nextImportAt     time.Time // when imports are next scheduled
	regionRate       regionRate
	// downloadMicroseconds is the moving average of the time of a download.
	downloadMicroseconds int64
}

// chunkState holds the times at which a chunk passed each stage; zero: not yet.
type chunkState struct {
	openedAt   time.Time // opened for download
	seenAt     time.Time // first seen in any region
	inRegionAt time.Time // first seen in the agent's region
	retryAt    time.Time // not imported before
	failures   int       // of imports
}

// pendingChunk is a chunk with one attempt in progress, or two in the end game.
type pendingChunk struct {
	startedAt time.Time
	attempts  int // in progress
	cancels   []context.CancelFunc
	asked     []string // names of the neighbours that it is fetched from
	importing bool     // from a source or from another region
}

func newTransfer(m *Manager, p Plan) *Transfer {
	return &Transfer{
		manager:          m,
		plan:             p,
		current:          p,
		machine:          charts.Start(transferChart),
		done:             make(chan struct{}),
		ended:            make(chan struct{}),
		wake:             make(chan struct{}, 1),
		results:          make(chan attemptResult, maxFetches+maxDownloads+maxCrossRegion),
		changed:          make(chan struct{}),
		neighbours:       map[string]*neighbour{},
		unreachableUntil: map[string]time.Time{},
		invalidChunks:    map[string]int{},
		importedAt:       map[int]time.Time{},
		pending:          map[int]*pendingChunk{},
	}
}

// Update changes the members, the deadline and the weighing of a running transfer.
func (t *Transfer) Update(p Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Equal(p.Members, t.current.Members) || p.Weighing != t.current.Weighing {
		t.members.inputs = ""
	}
	t.current = p
}

// Done returns a channel that is closed when the version is held and verified,
// or has failed: see Err.
func (t *Transfer) Done() <-chan struct{} { return t.done }

// Ended returns a channel that is closed when the transfer's context has ended
// and all its goroutines have returned.
func (t *Transfer) Ended() <-chan struct{} { return t.ended }

// Err returns the error of a failed transfer, or nil: ErrWholeDigest, or
// chunkstore.ErrCorrupt if another transfer of the version can succeed.
func (t *Transfer) Err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// Progress returns the number of verified chunks and of all chunks; both are 0
// before the manifest is found.
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
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		t.maintainNeighbours(ctx)
	}()
	t.loop(ctx)
	cancel()
	<-stopped
	t.abandon()
}

func (t *Transfer) abandon() {
	if t.machine.Done() {
		return
	}
	charts.Fire(t.machine, "Abandon")
	event.Log(event.TransferAbandoned, "Digest", t.plan.Digest)
}

// begin prepares the state for manifest m. Chunks shared with another stored
// version are held already.
func (t *Transfer) begin(m manifest.Manifest) {
	store := t.manager.options.Store
	store.AddVersion(t.plan.Digest, m)
	charts.Fire(t.machine, "Manifest")
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(m.Chunks)
	t.manifest = m
	t.own = haveset.NewOwn(n)
	t.seenInRegion, t.seenAnywhere = bitset.New(uint(n)), bitset.New(uint(n))
	t.chunks = make([]chunkState, n)
	for i, c := range m.Chunks {
		if _, held := store.Chunk(c.Digest); held {
			t.markHeld(i)
		}
	}
	t.startedAt = time.Now()
}

// markHeld records that the agent holds chunk i, verified. t.mu must be held.
func (t *Transfer) markHeld(i int) {
	if t.own.Add(i) {
		t.markSeen(i, true)
		t.notifyChanged()
	}
}

// markSeen records that some agent holds chunk i. t.mu must be held.
func (t *Transfer) markSeen(i int, inRegion bool) {
	if t.seenInRegion.Test(uint(i)) || !inRegion && t.seenAnywhere.Test(uint(i)) {
		return
	}
	now := time.Now()
	seen := t.seenAnywhere.Test(uint(i))
	if !seen {
		t.seenAnywhere.Set(uint(i))
		t.chunks[i].seenAt = now
		t.seenCount++
	}
	if inRegion && !t.seenInRegion.Test(uint(i)) {
		t.seenInRegion.Set(uint(i))
		t.chunks[i].inRegionAt = now
		if seen { // else it was downloaded from a source and says nothing about the links between regions
			t.regionRate.add(now)
		}
		t.seenCount++
	}
}

// notifyChanged wakes the goroutines that wait for a change. t.mu must be held.
func (t *Transfer) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Transfer) wakeLoop() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Transfer) loop(ctx context.Context) {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		if t.verifyIfComplete() {
			ticker.Stop()
			t.drain(ctx)
			return
		}
		t.schedule(ctx)
		select {
		case <-ctx.Done():
			t.drain(ctx)
			return
		case r := <-t.results:
			t.handleResult(r)
		case <-t.wake:
		case <-ticker.C:
		}
	}
}

// drain cancels all attempts, waits for them and then for the end of ctx.
func (t *Transfer) drain(ctx context.Context) {
	t.mu.Lock()
	for _, p := range t.pending {
		p.cancel()
	}
	t.mu.Unlock()
	for t.activeAttempts() > 0 {
		t.handleResult(<-t.results)
	}
	<-ctx.Done()
}

func (p *pendingChunk) cancel() {
	for _, c := range p.cancels {
		c()
	}
}

func (t *Transfer) activeAttempts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fetching + t.downloading + t.crossRegion
}

// verifyIfComplete verifies the version once all chunks are held, and reports
// whether it did.
func (t *Transfer) verifyIfComplete() bool {
	have, chunks := t.Progress()
	if have < chunks {
		return false
	}
	charts.Fire(t.machine, "AllChunks")
	if err := t.manager.options.Store.Verify(t.plan.Digest); err != nil {
		charts.Fire(t.machine, "Mismatch")
		counter.Add("TransfersFailed.Whole", 1)
		t.mu.Lock()
		t.err = verifyError(err)
		t.mu.Unlock()
		close(t.done)
		return true
	}
	charts.Fire(t.machine, "Verified")
	event.Log(event.TransferVerified, "Digest", t.plan.Digest, "Chunks", chunks)
	close(t.done)
	return true
}

// verifyError returns the transfer's error for an error of the store's Verify.
func verifyError(err error) error {
	if errors.Is(err, chunkstore.ErrCorrupt) {
		return err
	}
	return errors.Join(ErrWholeDigest, err)
}

func (t *Transfer) inOwnRegion(p gateway.Peer) bool {
	return p.Region == t.manager.options.Self.Region
}

// jittered returns a random time between half of d and d.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
