package replica_test

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/manifest"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	standinsource "almondreel.example/almondreel/internal/standin/source"
)

// uncheckedEngine serves whatever bytes it reads from the source of a load order,
// against the contract of internal/engine.
type uncheckedEngine struct {
	mu     sync.Mutex
	state  engine.State
	loaded manifest.Digest // of the bytes that are served
}

func (u *uncheckedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case engine.LoadModelPath:
		u.load(w, r)
	case engine.StatePath:
		u.writeState(w)
	default:
		_ = json.NewEncoder(w).Encode(engine.Load{Slots: 1})
	}
}

func (u *uncheckedEngine) writeState(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(u.state)
}

func (u *uncheckedEngine) load(w http.ResponseWriter, r *http.Request) {
	var order engine.LoadModel
	_ = json.NewDecoder(r.Body).Decode(&order)
	response, err := http.Get(order.Source)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		http.Error(w, "weights could not be read", http.StatusBadGateway)
		return
	}
	u.mu.Lock()
	u.state.Digest, u.state.FencingNumber = order.Digest, order.FencingNumber
	u.loaded = manifest.Sum(data)
	u.mu.Unlock()
	u.writeState(w)
}

func (u *uncheckedEngine) loadedBytes() manifest.Digest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.loaded
}

// corruptChunk changes a byte of a chunk in the agent's store.
func (f *fixture) corruptChunk(c manifest.Chunk) {
	data, ok := f.agent.Weights.Store.Chunk(c.Digest)
	if ok {
		data[len(data)/2] ^= 0xff
	}
}

// publishShared publishes a version that shares its first half with others.
func (f *fixture) publishShared(version string, seed uint64) manifest.Manifest {
	m, err := f.swarm.Origin.Publish("model", version, standinsource.Version{
		Bytes: modelBytes, Seed: seed, ChunkBytes: 64 << 10, SharedSeed: 9, SharedBytes: modelBytes / 2,
	})
	require.NoError(f.t, err)
	return m
}

// corruptOnFirstOrder corrupts a chunk between the first load order and the engine's
// reading of the weights.
func (f *fixture) corruptOnFirstOrder(m *manifest.Manifest, chunk int, e http.Handler) {
	var once sync.Once
	f.setIntercept(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.LoadModelPath {
			once.Do(func() { f.corruptChunk(m.Chunks[chunk]) })
		}
		e.ServeHTTP(w, r)
	})
}

// A stored chunk turned corrupt after the version was verified: an engine that checks was
// sent it again and again.
func TestChunkCorruptedBeforeLoadIsFetchedAgain(t *testing.T) {
	for _, chunk := range []int{0, 15} {
		f := newFixture(t, standinengine.Options{ChecksOrders: true}, 0)
		m := f.publish("1", 1)
		f.corruptOnFirstOrder(&m, chunk, f.engine)
		f.place(m, 1)
		f.awaitServing(m.Digest())
		f.assertReloadedOnce()
	}
}

// A stored chunk turned corrupt after the version was verified: an engine that checks
// nothing served it.
func TestCorruptChunkIsNeverSentWholeToEngine(t *testing.T) {
	for _, chunk := range []int{0, 15} {
		f, e := newFixture(t, standinengine.Options{}, 0), &uncheckedEngine{}
		m := f.publish("1", 1)
		f.corruptOnFirstOrder(&m, chunk, e)
		f.place(m, 1)
		f.awaitServing(m.Digest())
		require.Equal(t, m.Whole, e.loadedBytes(), "chunk %d: corrupt bytes are served", chunk)
		f.assertReloadedOnce()
	}
}

// assertReloadedOnce asserts that the second order was the last, and that only the
// corrupt chunk was fetched again.
func (f *fixture) assertReloadedOnce() {
	f.t.Helper()
	require.Len(f.t, f.receivedOrders(), 2)
	require.LessOrEqual(f.t, f.swarm.Origin.Sent().Bytes, int64(modelBytes+3*64<<10))
	f.assertOrders()
}

// A chunk that the next version shares turned corrupt in the store: the next version was
// taken for one whose manifest is inconsistent, and was never loaded.
func TestCorruptSharedChunkIsFetchedAgain(t *testing.T) {
	f := newFixture(t, standinengine.Options{ChecksOrders: true}, 0)
	first, next := f.publishShared("1", 1), f.publishShared("2", 2)
	f.place(first, 1)
	f.awaitServing(first.Digest())
	f.corruptChunk(next.Chunks[2])
	f.place(next, 2, first.Digest())
	f.awaitServing(next.Digest())
	f.assertOrders()
}
