package reel_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/draw"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/reel"
	"almondreel.example/almondreel/internal/site"
)

const (
	pieces = 16
	layers = 4
	model  = "m"
)

func pieceOf(version int64, n int) []byte {
	return fmt.Appendf(nil, "piece %d of version %d", n, version)
}

// engine is a model engine that loads whatever is staged, whole or not, and
// remembers what it loaded.
type engine struct {
	mu      sync.Mutex
	born    int64
	staged  map[int][]byte
	holding int64
	loads   []int64
	spoilt  bool // a load found pieces of another version or spoilt ones
	aborted int
}

func newEngine() *engine { return &engine{born: 1, staged: map[int][]byte{}} }

func (e *engine) Report(context.Context) (site.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := site.State{Born: e.born, Model: model}
	if e.holding > 0 {
		s.Version, s.Loaded = e.holding, site.Range{To: layers, Version: e.holding}
	}
	return s, nil
}

func (e *engine) Load(_ context.Context, o reel.Load) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range pieces {
		e.spoilt = e.spoilt || string(e.staged[n]) != string(pieceOf(o.Version, n))
	}
	e.holding = o.Version
	e.loads = append(e.loads, o.Version)
	if o.Abort {
		e.aborted++
	}
	return nil
}

func (e *engine) Stage(_ context.Context, _ string, n int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[n] = data
	return nil
}

func (e *engine) Staged(_ context.Context, _ string, n int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.staged[n]
	if !ok {
		return nil, errors.New("not staged")
	}
	return data, nil
}

func (e *engine) Held(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for n := range e.staged {
		held = append(held, n)
	}
	return held, nil
}

func (e *engine) serves() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding
}

// origin serves every version; every corrupt-th piece is spoilt the first time.
type origin struct {
	mu      sync.Mutex
	drawn   int
	corrupt int
	down    bool
	most    int      // pieces that it gives out; 0: all
	readers []string // agents that asked for digests, in order
}

func (o *origin) Manifest(_ context.Context, _, _ string, version int64) (reel.Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return reel.Manifest{}, errors.New("origin is down")
	}
	m := reel.Manifest{Model: model, Version: version, Layers: layers, PieceBytes: 64}
	for n := range pieces {
		m.Digests = append(m.Digests, sha256.Sum256(pieceOf(version, n)))
	}
	return m, nil
}

func (o *origin) Piece(_ context.Context, _, _ string, version int64, n int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down || o.most > 0 && o.drawn >= o.most {
		return nil, errors.New("origin is down")
	}
	o.drawn++
	if o.corrupt > 0 && o.drawn%o.corrupt == 0 {
		return []byte("spoilt"), nil
	}
	return pieceOf(version, n), nil
}

// reader is one agent's way to the origin, which notes who reads digests.
type reader struct {
	*origin
	name string
}

func (r *reader) Manifest(ctx context.Context, address, of string, version int64) (reel.Manifest, error) {
	r.mu.Lock()
	r.readers = append(r.readers, r.name)
	r.mu.Unlock()
	return r.origin.Manifest(ctx, address, of, version)
}

func wanted(version int64) neighbour.Wanted {
	return neighbour.Wanted{
		Revision: version, Version: version, Origin: "origin", Movable: true,
		Engine: site.Engine{Slots: 4, Model: model, Layers: layers, Pieces: pieces, PieceBytes: 64, WarmUpMilliseconds: 10},
	}
}

// crew is some agents that hear of each other all the time.
type crew struct {
	origin  *origin
	engines []*engine
	agents  []*reel.Agent
}

func newCrew(t *testing.T, count int, o *origin) *crew {
	c := &crew{origin: o}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, count)
	for n := range count {
		mux := http.NewServeMux()
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		e := newEngine()
		a := reel.NewAgent(reel.Options{
			Name: fmt.Sprint("agent-", n), Address: server.Listener.Addr().String(), Region: "north", Service: "pool",
			EngineAddress: fmt.Sprint("engine-", n), LinkMegabits: 100, VersionMS: 1500,
			Engine: e, Origin: &reader{o, fmt.Sprint("agent-", n)}, Peers: reel.NewPeers(&http.Client{}),
		})
		mux.Handle("/", a.Handler())
		c.engines, c.agents = append(c.engines, e), append(c.agents, a)
		go func() { ended <- a.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range count {
			<-ended
		}
	})
	return c
}

// want tells all agents what is wanted, and of each other, until all engines
// serve the version.
func (c *crew) want(t *testing.T, version int64) {
	t.Helper()
	named := time.Now()
	require.Eventually(t, func() bool {
		var words []neighbour.Agent
		for _, a := range c.agents {
			words = append(words, a.Say())
		}
		age := neighbour.Named{Model: model, Version: version, AgeMilliseconds: time.Since(named).Milliseconds()}
		done := true
		for n, a := range c.agents {
			others := append(append([]neighbour.Agent(nil), words[:n]...), words[n+1:]...)
			a.Adopt(wanted(version), []neighbour.Named{age})
			a.Meet(neighbour.Others{Whole: true, Agents: others})
			done = done && c.engines[n].serves() == version
		}
		return done
	}, 10*time.Second, 20*time.Millisecond)
}

func (c *crew) requireWhole(t *testing.T) {
	t.Helper()
	for _, e := range c.engines {
		e.mu.Lock()
		require.False(t, e.spoilt, "an engine loaded what was not whole")
		e.mu.Unlock()
	}
}

func TestEmptyEnginesAreFilledWithOneCopyFromTheOrigin(t *testing.T) {
	c := newCrew(t, 4, &origin{})
	c.want(t, 1)
	c.requireWhole(t)
	require.LessOrEqual(t, c.origin.drawn, pieces*3/2)
}

// Pattern: many empty engines, and an origin that may leave soon. Those who draw
// its pieces are the first to ask for the digests and need wait for nobody.
func TestThoseWhoDrawReadTheDigestsFirst(t *testing.T) {
	c := newCrew(t, 24, &origin{})
	c.want(t, 1)
	c.requireWhole(t)
	var names []string
	for n := range c.agents {
		names = append(names, fmt.Sprint("agent-", n))
	}
	drawers := draw.Drawers(names)
	require.NotEmpty(t, c.origin.readers)
	require.Subset(t, drawers, c.origin.readers[:min(len(drawers), len(c.origin.readers))])
	require.Less(t, len(c.origin.readers), len(names), "its link carries pieces")
}

// lone runs one agent that finishes what it begins, and returns the address at
// which it serves others.
func lone(t *testing.T, o *origin) (*reel.Agent, string) {
	a, stop := beside(newEngine(), o)
	t.Cleanup(stop)
	server := httptest.NewServer(a.Handler())
	t.Cleanup(server.Close)
	return a, server.Listener.Addr().String()
}

// beside runs an agent beside an engine until stop is called.
func beside(e reel.Engine, o *origin) (a *reel.Agent, stop func()) {
	a = reel.NewAgent(reel.Options{Name: "a", Region: "north", Service: "pool", LinkMegabits: 100, VersionMS: 8000, Engine: e, Origin: o, Peers: reel.NewPeers(&http.Client{})})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	return a, func() {
		cancel()
		<-ended
	}
}

// lies returns the number of pieces of a version that lie at an engine.
func (e *engine) lies(version int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for n, data := range e.staged {
		if string(data) == string(pieceOf(version, n)) {
			count++
		}
	}
	return count
}

// Pattern: agents and engines crash everywhere while a version is on its way.
// What came before lies at the engines, beside pieces of the version before it.
func TestWhatCameOutlastsACrash(t *testing.T) {
	e := newEngine()
	for n := range pieces {
		e.staged[n] = pieceOf(1, n)
	}
	e.holding = 1
	a, stop := beside(e, &origin{most: pieces * 3 / 4})
	a.Adopt(wanted(2), nil)
	require.Eventually(t, func() bool { return e.lies(2) == pieces*3/4 }, 5*time.Second, 5*time.Millisecond)
	stop()
	e.mu.Lock()
	e.holding, e.born = 0, 2
	e.mu.Unlock()
	o := &origin{}
	a, stop = beside(e, o)
	defer stop()
	a.Adopt(wanted(2), nil)
	require.Eventually(t, func() bool { return e.serves() == 2 }, 5*time.Second, 5*time.Millisecond)
	require.False(t, e.spoilt)
	require.Equal(t, pieces/4, o.drawn, "only what had not come")
}

// Pattern: a crash of all while the engines change over one after the other. All
// of them have the new version at hand.
func TestAVersionIsStagedBeforeItsTurn(t *testing.T) {
	e := newEngine()
	e.holding = 1
	a, stop := beside(e, &origin{})
	defer stop()
	a.Adopt(wanted(2), nil)
	require.Eventually(t, func() bool { return e.lies(2) == pieces }, 2*time.Second, 5*time.Millisecond)
	require.EqualValues(t, 1, e.serves(), "its turn has not come")
}

// Pattern: a version is named while most of the one before is there, and the
// origin leaves soon after. Its digests are read at once.
func TestDigestsAreReadWhileAnOlderVersionIsFinished(t *testing.T) {
	a, address := lone(t, &origin{most: pieces * 3 / 4})
	a.Adopt(wanted(1), nil)
	held := func() int { return draw.Count(a.Say().Pieces.Have) }
	require.Eventually(t, func() bool { return held() == pieces*3/4 }, 5*time.Second, 5*time.Millisecond)
	a.Adopt(wanted(2), nil)
	require.Eventually(t, func() bool {
		m, err := reel.NewPeers(&http.Client{}).Manifest(context.Background(), address, model, 2)
		return err == nil && m.Version == 2
	}, 2*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 1, a.Say().Pieces.Version, "the older one is still being finished")
}

// Pattern: two versions are named in a row and the origin leaves soon after. An
// agent that has drawn its part of the first draws its part of the second at once,
// while it waits for others' pieces of the first.
func TestTheNextVersionIsDrawnWhileAnOlderOneIsPassedOn(t *testing.T) {
	o := &origin{}
	a, address := lone(t, o)
	a.Adopt(wanted(1), nil)
	all := neighbour.Pieces{Model: model, Version: 1, Have: []uint64{1<<pieces - 1}}
	silent := neighbour.Agent{Name: "b", Address: "127.0.0.1:1", Region: "north", Service: "pool", Pieces: all}
	slow := neighbour.Agent{Name: "c", Address: "127.0.0.1:1", Region: "north", Service: "pool"}
	a.Meet(neighbour.Others{Whole: true, Agents: []neighbour.Agent{silent, slow}})
	time.Sleep(200 * time.Millisecond)
	a.Adopt(wanted(2), nil)
	peers := reel.NewPeers(&http.Client{})
	drawn := func() int {
		count := 0
		for n := range pieces {
			if data, _, err := peers.Piece(context.Background(), address, model, 2, n); err == nil && string(data) == string(pieceOf(2, n)) {
				count++
			}
		}
		return count
	}
	require.Eventually(t, func() bool { return drawn() > 0 }, time.Second, 10*time.Millisecond)
	require.EqualValues(t, 1, a.Say().Pieces.Version, "the older one is still being finished")
	require.Less(t, drawn(), pieces, "others draw the rest")
}

// Pattern: all agents hear of a version at once. One that asks another for the
// digests a moment too early waits for them, instead of asking again later.
func TestANeighbourWaitsForDigests(t *testing.T) {
	o := &origin{down: true}
	a, address := lone(t, o)
	a.Adopt(wanted(1), nil)
	time.AfterFunc(60*time.Millisecond, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.down = false
	})
	m, err := reel.NewPeers(&http.Client{}).Manifest(context.Background(), address, model, 1)
	require.NoError(t, err)
	require.EqualValues(t, 1, m.Version)
}

func TestSpoiltPiecesAreNeverLoaded(t *testing.T) {
	c := newCrew(t, 3, &origin{corrupt: 3})
	c.want(t, 1)
	c.requireWhole(t)
}

func TestVersionsFollowEachOther(t *testing.T) {
	c := newCrew(t, 3, &origin{})
	for version := int64(1); version <= 3; version++ {
		c.want(t, version)
	}
	c.requireWhole(t)
	for _, e := range c.engines {
		require.IsIncreasing(t, e.loads)
		require.Positive(t, e.aborted, "answers go on at the others")
	}
}

// Pieces that lie at an engine spoil, then the engine crashes: they are staged
// again before it loads.
func TestWhatSpoiledIsMendedBeforeALoad(t *testing.T) {
	c := newCrew(t, 1, &origin{})
	c.want(t, 1)
	e := c.engines[0]
	e.mu.Lock()
	e.staged[3], e.staged[7] = []byte("spoilt"), nil
	e.holding, e.born = 0, 2
	e.mu.Unlock()
	require.Eventually(t, func() bool { return e.serves() == 1 }, 5*time.Second, 10*time.Millisecond)
	c.requireWhole(t)
	require.Equal(t, pieces, c.origin.drawn, "nothing is drawn again")
}

// After its own restart an agent takes what lies at the engine and is whole.
func TestARestartedAgentTakesWhatIsStaged(t *testing.T) {
	o := &origin{}
	e := newEngine()
	for n := range pieces {
		e.staged[n] = pieceOf(1, n)
	}
	e.staged[5] = []byte("spoilt")
	e.holding = 1
	a := reel.NewAgent(reel.Options{Name: "a", Region: "north", Service: "pool", LinkMegabits: 100, VersionMS: 1000, Engine: e, Origin: o, Peers: reel.NewPeers(&http.Client{})})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	a.Adopt(wanted(1), nil)
	require.Eventually(t, func() bool { return a.Say().Ready == 1 }, 5*time.Second, 10*time.Millisecond)
	cancel()
	<-ended
	require.Equal(t, 1, o.drawn, "only the spoilt piece")
	require.Empty(t, e.loads, "the engine serves already")
}

func TestAnOlderWordChangesNothing(t *testing.T) {
	a := reel.NewAgent(reel.Options{Name: "a", Engine: newEngine()})
	a.Adopt(wanted(3), nil)
	a.Adopt(wanted(2), nil)
	require.EqualValues(t, 3, a.Wanted().Version)
}
