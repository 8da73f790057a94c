package weightsync_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/piecesched"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/internal/weightsync"
)

// startingEngine is an engine that fails all calls until it is up.
type startingEngine struct {
	*fakeEngine
	up           atomic.Bool
	reads        atomic.Int64
	readsAtOrder atomic.Int64 // reads before the last load order
}

var errStarting = errors.New("engine is starting")

func (e *startingEngine) Report(ctx context.Context) (site.EngineState, error) {
	if !e.up.Load() {
		return site.EngineState{}, errStarting
	}
	return e.fakeEngine.Report(ctx)
}

func (e *startingEngine) ListStaged(ctx context.Context, modelName string) ([]int, error) {
	if !e.up.Load() {
		return nil, errStarting
	}
	return e.fakeEngine.ListStaged(ctx, modelName)
}

func (e *startingEngine) Staged(ctx context.Context, modelName string, n int) ([]byte, error) {
	e.reads.Add(1)
	return e.fakeEngine.Staged(ctx, modelName, n)
}

func (e *startingEngine) Load(ctx context.Context, o weightsync.Load) error {
	e.readsAtOrder.Store(e.reads.Load())
	return e.fakeEngine.Load(ctx, o)
}

func (e *startingEngine) Stage(ctx context.Context, modelName string, n int, data []byte) error {
	if !e.up.Load() {
		return errStarting
	}
	return e.fakeEngine.Stage(ctx, modelName, n, data)
}

func newStartingEngine(staged int) *startingEngine {
	e := &startingEngine{fakeEngine: newFakeEngine()}
	for n := range staged {
		e.staged[n] = pieceData(1, n)
	}
	return e
}

// Engines are added under a load that the others can hardly serve. An engine
// takes a second to start and its agent does not, so the agent must fetch the
// version meanwhile from agents of its region.
func TestAgentFetchesFromItsRegionWhileItsEngineStarts(t *testing.T) {
	holderOrigin := &fakeOrigin{}
	holder, address := runAgentServer(t, holderOrigin)
	holder.SetWanted(wanted(1), nil)
	require.Eventually(t, func() bool { return holder.State().Ready == 1 }, 5*time.Second, 5*time.Millisecond)

	e, o := newStartingEngine(0), &fakeOrigin{}
	a, stop := runAgent(e, o)
	defer stop()
	state := holder.State()
	state.Name, state.Address, state.Region, state.Service = "b", address, "north", "pool"
	a.SetWanted(wanted(1), nil)
	a.UpdateMembers(hostedrpc.AgentChanges{Whole: true, Agents: []hostedrpc.Agent{state}})
	require.Eventually(t, func() bool { return piecesched.CountPieces(a.State().Pieces.Have) == pieces }, 2*time.Second, 5*time.Millisecond)
	require.Zero(t, o.piecesSent, "only agents whose engines are up use the origin")
	e.up.Store(true)
	require.Eventually(t, func() bool { return e.servingVersion() == 1 }, 2*time.Second, 5*time.Millisecond)
	require.False(t, e.loadedCorrupt)
	require.Zero(t, o.piecesSent)
}

// The staged pieces of an engine that starts slowly must be reused once it
// answers, also when no other agent has them.
func TestStagedPiecesAreReadOnceAStartingEngineAnswers(t *testing.T) {
	e, o := newStartingEngine(pieces*3/4), &fakeOrigin{}
	a, stop := runAgent(e, o)
	defer stop()
	a.SetWanted(wanted(1), nil)
	time.Sleep(300 * time.Millisecond)
	require.Zero(t, o.piecesSent)
	e.up.Store(true)
	require.Eventually(t, func() bool { return e.servingVersion() == 1 }, 2*time.Second, 5*time.Millisecond)
	require.False(t, e.loadedCorrupt)
	require.Equal(t, pieces/4, o.piecesSent, "only the pieces that were not staged are fetched")
}

// All processes and engines lose everything except the staged pieces. A
// restarted agent must read the pieces only once before the load order, once
// after it, and announce when its engine will serve.
func TestRecentlyReadPiecesAreLoadedWithoutAnotherCheck(t *testing.T) {
	e, o := newStartingEngine(pieces), &fakeOrigin{}
	e.up.Store(true)
	a, stop := runAgent(e, o)
	defer stop()
	require.Eventually(t, func() bool { return a.State().Born > 0 }, time.Second, time.Millisecond)
	a.SetWanted(wanted(1), nil)
	announced := false
	require.Eventually(t, func() bool {
		announced = announced || a.State().Change.Version == 1
		return announced && e.servingVersion() == 1
	}, 2*time.Second, time.Millisecond, "the switch is announced to gateways")
	require.Zero(t, o.piecesSent)
	require.EqualValues(t, pieces, e.readsAtOrder.Load())
	require.Eventually(t, func() bool { return a.State().Holding.Whole }, 2*time.Second, time.Millisecond)
	require.EqualValues(t, 2*pieces, e.reads.Load())
}

// Pieces that were read more than recentCheckTime ago must be verified again
// before a load.
func TestPiecesCorruptedSinceTheyWereReadAreRestaged(t *testing.T) {
	e, o := newStartingEngine(pieces), &fakeOrigin{}
	e.up.Store(true)
	e.servedVersion = 1 // it serves already, so nothing is loaded
	a, stop := runAgent(e, o)
	defer stop()
	a.SetWanted(wanted(1), nil)
	require.Eventually(t, func() bool { return a.State().Ready == 1 }, 2*time.Second, 5*time.Millisecond)
	time.Sleep(1100 * time.Millisecond)
	e.mu.Lock()
	e.staged[3], e.servedVersion = []byte("spoilt"), 0
	e.mu.Unlock()
	require.Eventually(t, func() bool { return e.servingVersion() == 1 }, 2*time.Second, 5*time.Millisecond)
	require.False(t, e.loadedCorrupt)
	require.Zero(t, o.piecesSent)
}

// An agent that starts beside an engine with weights does not know yet how many layers
// the weights have. Guards against its first report, by which gateways took the weights
// for incomplete and refused all requests.
func TestAgentReportsWeightsAsUnknownBeforeItKnowsTheirLayers(t *testing.T) {
	e := newStartingEngine(pieces)
	e.servedVersion = 1
	e.up.Store(true)
	a, stop := runAgent(e, &fakeOrigin{})
	defer stop()
	require.Eventually(t, func() bool { return a.State().Born == 1 }, 5*time.Second, 5*time.Millisecond)
	require.True(t, a.State().HoldingUnknown)
	a.SetWanted(wanted(1), nil)
	require.False(t, a.State().HoldingUnknown)
	require.Equal(t, site.ServedWeights{Model: model, Version: 1, Whole: true}, a.State().Holding)
}
