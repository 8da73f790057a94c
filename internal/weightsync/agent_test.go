package weightsync_test

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

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/piecesched"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/internal/weightsync"
)

const (
	pieces = 16
	layers = 4
	model  = "m"
)

func pieceData(version int64, n int) []byte {
	return fmt.Appendf(nil, "piece %d of version %d", n, version)
}

// fakeEngine is a model engine that loads whatever is staged, intact or not,
// and records what it loaded.
type fakeEngine struct {
	mu            sync.Mutex
	born          int64
	staged        map[int][]byte
	servedVersion int64
	orders        int64 // accepted
	loads         []int64
	loadedCorrupt bool // a load found corrupt pieces or pieces of another version
	aborted       int
}

func newFakeEngine() *fakeEngine { return &fakeEngine{born: 1, staged: map[int][]byte{}} }

func (e *fakeEngine) Report(context.Context) (site.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := site.EngineState{Born: e.born, Model: model, Orders: e.orders}
	if e.servedVersion > 0 {
		s.Loaded = site.LayerRange{To: layers, Version: e.servedVersion}
	}
	return s, nil
}

func (e *fakeEngine) Load(_ context.Context, o weightsync.Load) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Accepted != e.orders {
		return weightsync.ErrOrderRefused
	}
	e.orders++
	for n := range pieces {
		e.loadedCorrupt = e.loadedCorrupt || string(e.staged[n]) != string(pieceData(o.Version, n))
	}
	e.servedVersion = o.Version
	e.loads = append(e.loads, o.Version)
	if o.Abort {
		e.aborted++
	}
	return nil
}

func (e *fakeEngine) Unload(_ context.Context, o weightsync.Unload) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Accepted != e.orders {
		return weightsync.ErrOrderRefused
	}
	e.orders++
	e.servedVersion = 0
	return nil
}

func (e *fakeEngine) Stage(_ context.Context, _ string, n int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[n] = data
	return nil
}

func (e *fakeEngine) Staged(_ context.Context, _ string, n int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.staged[n]
	if !ok {
		return nil, errors.New("not staged")
	}
	return data, nil
}

func (e *fakeEngine) ListStaged(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for n := range e.staged {
		held = append(held, n)
	}
	return held, nil
}

func (e *fakeEngine) servingVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.servedVersion
}

// fakeOrigin serves every version. Every corruptEvery-th piece that it sends is
// corrupt, if corruptEvery is set.
type fakeOrigin struct {
	mu              sync.Mutex
	piecesSent      int
	corruptEvery    int
	down            bool
	maxPieces       int      // pieces sent before it fails; 0: no limit
	manifestReaders []string // agents that read a manifest, in order
}

func (o *fakeOrigin) Manifest(_ context.Context, _, _ string, version int64) (weightsync.Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return weightsync.Manifest{}, errors.New("origin is down")
	}
	m := weightsync.Manifest{Model: model, Version: version, Layers: layers, PieceBytes: 64}
	for n := range pieces {
		m.Digests = append(m.Digests, sha256.Sum256(pieceData(version, n)))
	}
	return m, nil
}

func (o *fakeOrigin) Piece(_ context.Context, _, _ string, version int64, n int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down || o.maxPieces > 0 && o.piecesSent >= o.maxPieces {
		return nil, errors.New("origin is down")
	}
	o.piecesSent++
	if o.corruptEvery > 0 && o.piecesSent%o.corruptEvery == 0 {
		return fmt.Appendf(nil, "corrupt answer %d", o.piecesSent), nil
	}
	return pieceData(version, n), nil
}

// recordingOrigin is one agent's client of the origin. It records that the
// agent reads manifests.
type recordingOrigin struct {
	*fakeOrigin
	name string
}

func (r *recordingOrigin) Manifest(ctx context.Context, address, modelName string, version int64) (weightsync.Manifest, error) {
	r.mu.Lock()
	r.manifestReaders = append(r.manifestReaders, r.name)
	r.mu.Unlock()
	return r.fakeOrigin.Manifest(ctx, address, modelName, version)
}

func wanted(version int64) hostedrpc.Wanted {
	return hostedrpc.Wanted{
		Revision: version, Version: version, Origin: "origin", Movable: true,
		Engine: site.Engine{Slots: 4, Model: model, Layers: layers, Pieces: pieces, PieceBytes: 64, WarmUpMilliseconds: 10},
	}
}

// agentGroup is a group of agents that exchange their states continuously.
type agentGroup struct {
	origin  *fakeOrigin
	engines []*fakeEngine
	agents  []*weightsync.Agent
}

func newAgentGroup(t *testing.T, count int, o *fakeOrigin) *agentGroup {
	g := &agentGroup{origin: o}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, count)
	for n := range count {
		mux := http.NewServeMux()
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		e := newFakeEngine()
		a := weightsync.NewAgent(weightsync.Options{
			Name: fmt.Sprint("agent-", n), Address: server.Listener.Addr().String(), Region: "north", Service: "pool",
			EngineAddress: fmt.Sprint("engine-", n), LinkMegabits: 100, RolloutMilliseconds: 1500,
			Engine: e, Origin: &recordingOrigin{o, fmt.Sprint("agent-", n)}, Peers: weightsync.NewPeerClient(&http.Transport{}),
		})
		mux.Handle("/", a.Handler())
		g.engines, g.agents = append(g.engines, e), append(g.agents, a)
		go func() { done <- a.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range count {
			<-done
		}
	})
	return g
}

// rollOut announces a version to all agents and passes their states on, until
// all engines serve the version.
func (g *agentGroup) rollOut(t *testing.T, version int64) {
	t.Helper()
	announcedAt := time.Now()
	require.Eventually(t, func() bool {
		var states []hostedrpc.Agent
		for _, a := range g.agents {
			states = append(states, a.State())
		}
		age := hostedrpc.VersionAge{Model: model, Version: version, AgeMilliseconds: time.Since(announcedAt).Milliseconds()}
		done := true
		for n, a := range g.agents {
			others := append(append([]hostedrpc.Agent(nil), states[:n]...), states[n+1:]...)
			a.SetWanted(wanted(version), []hostedrpc.VersionAge{age})
			a.UpdateMembers(hostedrpc.AgentChanges{Whole: true, Agents: others})
			done = done && g.engines[n].servingVersion() == version
		}
		return done
	}, 10*time.Second, 20*time.Millisecond)
}

func (g *agentGroup) requireNoCorruptLoad(t *testing.T) {
	t.Helper()
	for _, e := range g.engines {
		e.mu.Lock()
		require.False(t, e.loadedCorrupt, "an engine loaded corrupt or mixed pieces")
		e.mu.Unlock()
	}
}

func TestEmptyEnginesShareOneCopyFromTheOrigin(t *testing.T) {
	g := newAgentGroup(t, 4, &fakeOrigin{})
	g.rollOut(t, 1)
	g.requireNoCorruptLoad(t)
	require.LessOrEqual(t, g.origin.piecesSent, pieces*3/2)
}

// Many engines are empty, and the origin may go down soon. The agents that
// fetch pieces from the origin must read the manifest first, without waiting
// for others.
func TestOriginFetchersReadTheManifestFirst(t *testing.T) {
	g := newAgentGroup(t, 24, &fakeOrigin{})
	g.rollOut(t, 1)
	g.requireNoCorruptLoad(t)
	var names []string
	for n := range g.agents {
		names = append(names, fmt.Sprint("agent-", n))
	}
	fetchers := piecesched.OriginFetchers(names)
	require.NotEmpty(t, g.origin.manifestReaders)
	require.Subset(t, fetchers, g.origin.manifestReaders[:min(len(fetchers), len(g.origin.manifestReaders))])
	require.Less(t, len(g.origin.manifestReaders), len(names), "the origin's link is for pieces")
}

// runAgentServer runs one agent and returns the address at which it serves
// others. Its rollout period is long enough that it completes a version after a
// newer one is announced.
func runAgentServer(t *testing.T, o *fakeOrigin) (*weightsync.Agent, string) {
	a, stop := runAgent(newFakeEngine(), o)
	t.Cleanup(stop)
	server := httptest.NewServer(a.Handler())
	t.Cleanup(server.Close)
	return a, server.Listener.Addr().String()
}

// runAgent runs an agent for an engine until stop is called.
func runAgent(e weightsync.Engine, o *fakeOrigin) (a *weightsync.Agent, stop func()) {
	return runAgentWithRollout(e, o, 8000)
}

// runAgentWithRollout is runAgent with a rollout period in milliseconds.
func runAgentWithRollout(e weightsync.Engine, o *fakeOrigin, rolloutMilliseconds int) (a *weightsync.Agent, stop func()) {
	a = weightsync.NewAgent(weightsync.Options{Name: "a", Region: "north", Service: "pool", LinkMegabits: 100, RolloutMilliseconds: rolloutMilliseconds, Engine: e, Origin: o, Peers: weightsync.NewPeerClient(&http.Transport{})})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	return a, func() {
		cancel()
		<-done
	}
}

// stagedCount returns the number of pieces of a version that are staged at the
// engine.
func (e *fakeEngine) stagedCount(version int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for n, data := range e.staged {
		if string(data) == string(pieceData(version, n)) {
			count++
		}
	}
	return count
}

// All agents and engines crash while a version is being fetched. The pieces
// fetched before stay staged at the engines, next to pieces of the previous
// version, and must not be fetched again.
func TestStagedPiecesSurviveACrash(t *testing.T) {
	e := newFakeEngine()
	for n := range pieces {
		e.staged[n] = pieceData(1, n)
	}
	e.servedVersion = 1
	a, stop := runAgent(e, &fakeOrigin{maxPieces: pieces * 3 / 4})
	a.SetWanted(wanted(2), nil)
	require.Eventually(t, func() bool { return e.stagedCount(2) == pieces*3/4 }, 5*time.Second, 5*time.Millisecond)
	stop()
	e.mu.Lock()
	e.servedVersion, e.born = 0, 2
	e.mu.Unlock()
	o := &fakeOrigin{}
	a, stop = runAgent(e, o)
	defer stop()
	a.SetWanted(wanted(2), nil)
	require.Eventually(t, func() bool { return e.servingVersion() == 2 }, 5*time.Second, 5*time.Millisecond)
	require.False(t, e.loadedCorrupt)
	require.Equal(t, pieces/4, o.piecesSent, "only the missing pieces are fetched")
}

// All processes crash while the engines switch one after the other. Each engine
// then needs the new version staged, also when its switch is still to come.
func TestVersionIsStagedBeforeTheSwitch(t *testing.T) {
	e := newFakeEngine()
	e.servedVersion = 1
	a, stop := runAgent(e, &fakeOrigin{})
	defer stop()
	a.SetWanted(wanted(2), nil)
	require.Eventually(t, func() bool { return e.stagedCount(2) == pieces }, 2*time.Second, 5*time.Millisecond)
	require.EqualValues(t, 1, e.servingVersion(), "the engine may not switch yet")
}

// A version is announced when most of the previous one has been fetched, and
// the origin goes down soon after. The manifest must be read at once and not
// when the previous version is complete.
func TestManifestIsReadWhileAnOlderVersionIsFinished(t *testing.T) {
	a, address := runAgentServer(t, &fakeOrigin{maxPieces: pieces * 3 / 4})
	a.SetWanted(wanted(1), nil)
	held := func() int { return piecesched.CountPieces(a.State().Pieces.Have) }
	require.Eventually(t, func() bool { return held() == pieces*3/4 }, 5*time.Second, 5*time.Millisecond)
	a.SetWanted(wanted(2), nil)
	require.Eventually(t, func() bool {
		m, err := weightsync.NewPeerClient(&http.Transport{}).Manifest(context.Background(), address, model, 2)
		return err == nil && m.Version == 2
	}, 2*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 1, a.State().Pieces.Version, "the older version is still being completed")
}

// Two versions are announced in a row and the origin goes down soon after. An
// agent that has fetched its share of the first from the origin must fetch its
// share of the second at once, while it waits for pieces of the first from
// other agents.
func TestNextVersionIsPrefetchedWhileAnOlderOneIsFinished(t *testing.T) {
	o := &fakeOrigin{}
	a, address := runAgentServer(t, o)
	a.SetWanted(wanted(1), nil)
	all := hostedrpc.Pieces{Model: model, Version: 1, Have: []uint64{1<<pieces - 1}}
	silent := hostedrpc.Agent{Name: "b", Address: "127.0.0.1:1", Region: "north", Service: "pool", Pieces: all}
	slow := hostedrpc.Agent{Name: "c", Address: "127.0.0.1:1", Region: "north", Service: "pool"}
	a.UpdateMembers(hostedrpc.AgentChanges{Whole: true, Agents: []hostedrpc.Agent{silent, slow}})
	time.Sleep(200 * time.Millisecond)
	a.SetWanted(wanted(2), nil)
	peers := weightsync.NewPeerClient(&http.Transport{})
	fetched := func() int {
		count := 0
		for n := range pieces {
			if data, _, err := peers.Piece(context.Background(), address, model, 2, n); err == nil && string(data) == string(pieceData(2, n)) {
				count++
			}
		}
		return count
	}
	require.Eventually(t, func() bool { return fetched() > 0 }, time.Second, 10*time.Millisecond)
	require.EqualValues(t, 1, a.State().Pieces.Version, "the older version is still being completed")
	require.Less(t, fetched(), pieces, "the rest is the share of other agents")
}

// All agents learn of a version at once. A manifest request that arrives a
// moment too early must wait for the manifest instead of failing.
func TestManifestRequestWaitsUntilTheManifestIsKnown(t *testing.T) {
	o := &fakeOrigin{down: true}
	a, address := runAgentServer(t, o)
	a.SetWanted(wanted(1), nil)
	time.AfterFunc(60*time.Millisecond, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.down = false
	})
	m, err := weightsync.NewPeerClient(&http.Transport{}).Manifest(context.Background(), address, model, 1)
	require.NoError(t, err)
	require.EqualValues(t, 1, m.Version)
}

func TestCorruptPiecesAreNeverLoaded(t *testing.T) {
	g := newAgentGroup(t, 3, &fakeOrigin{corruptEvery: 3})
	g.rollOut(t, 1)
	g.requireNoCorruptLoad(t)
}

func TestSuccessiveVersionsAreLoadedInOrder(t *testing.T) {
	g := newAgentGroup(t, 3, &fakeOrigin{})
	for version := int64(1); version <= 3; version++ {
		g.rollOut(t, version)
	}
	g.requireNoCorruptLoad(t)
	for _, e := range g.engines {
		require.IsIncreasing(t, e.loads)
		require.Positive(t, e.aborted, "answers continue at other engines")
	}
}

// Staged pieces become corrupt, then the engine crashes. They must be staged
// again before the engine loads them.
func TestCorruptStagedPiecesAreRestagedBeforeALoad(t *testing.T) {
	g := newAgentGroup(t, 1, &fakeOrigin{})
	g.rollOut(t, 1)
	e := g.engines[0]
	e.mu.Lock()
	e.staged[3], e.staged[7] = []byte("spoilt"), nil
	e.servedVersion, e.born = 0, 2
	e.mu.Unlock()
	require.Eventually(t, func() bool { return e.servingVersion() == 1 }, 5*time.Second, 10*time.Millisecond)
	g.requireNoCorruptLoad(t)
	require.Equal(t, pieces, g.origin.piecesSent, "no piece is fetched again")
}

// A restarted agent must reuse the staged pieces and fetch only the corrupt
// one.
func TestRestartedAgentReusesStagedPieces(t *testing.T) {
	o := &fakeOrigin{}
	e := newFakeEngine()
	for n := range pieces {
		e.staged[n] = pieceData(1, n)
	}
	e.staged[5] = []byte("spoilt")
	e.servedVersion = 1
	a := weightsync.NewAgent(weightsync.Options{Name: "a", Region: "north", Service: "pool", LinkMegabits: 100, RolloutMilliseconds: 1000, Engine: e, Origin: o, Peers: weightsync.NewPeerClient(&http.Transport{})})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	a.SetWanted(wanted(1), nil)
	require.Eventually(t, func() bool { return a.State().Ready == 1 }, 5*time.Second, 10*time.Millisecond)
	cancel()
	<-done
	require.Equal(t, 1, o.piecesSent, "only the corrupt piece is fetched")
	require.Empty(t, e.loads, "the engine serves the version already")
}

func TestOlderRevisionIsIgnored(t *testing.T) {
	a := weightsync.NewAgent(weightsync.Options{Name: "a", Engine: newFakeEngine()})
	a.SetWanted(wanted(3), nil)
	a.SetWanted(wanted(2), nil)
	require.EqualValues(t, 3, a.Wanted().Version)
}
