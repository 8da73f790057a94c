package weightsync_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/weightsync"
)

// freezingEngine delays its answer to the read of the last staged piece, once, as if
// its instance were frozen. A piece that was read before turns corrupt then.
type freezingEngine struct {
	*startingEngine
	agent      func() *weightsync.Agent
	frozen     atomic.Bool
	announced  hostedrpc.Switchover // when the load was ordered
	freezeTime time.Duration
}

func runFrozenAgent(t *testing.T, served int64, freezeTime time.Duration) *freezingEngine {
	e := &freezingEngine{startingEngine: newStartingEngine(0), freezeTime: freezeTime}
	e.servedVersion = served
	e.up.Store(true)
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	e.agent = func() *weightsync.Agent { return a }
	a.SetWanted(wanted(2), nil)
	require.Eventually(t, func() bool { return e.servingVersion() == 2 }, 10*time.Second, time.Millisecond)
	require.True(t, e.frozen.Load())
	return e
}

func (e *freezingEngine) Staged(ctx context.Context, modelName string, n int) ([]byte, error) {
	data, err := e.startingEngine.Staged(ctx, modelName, n)
	if n == pieces-1 && err == nil && string(data) == string(pieceData(2, n)) && e.frozen.CompareAndSwap(false, true) {
		e.mu.Lock()
		e.staged[3] = []byte("corrupt")
		e.mu.Unlock()
		time.Sleep(e.freezeTime)
	}
	return data, err
}

func (e *freezingEngine) Load(ctx context.Context, o weightsync.Load) error {
	e.announced = e.agent().State().Change
	return e.startingEngine.Load(ctx, o)
}

// Guards against a load order that an agent sends after a freeze without another check: a
// piece that turned corrupt after it was read, over three seconds before, was loaded.
func TestAgentThatWasFrozenChecksStagedPiecesAgainBeforeLoad(t *testing.T) {
	for name, served := range map[string]int64{"Serving": 1, "Empty": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := runFrozenAgent(t, served, 3500*time.Millisecond)
			require.False(t, e.loadedCorrupt)
			require.EqualValues(t, 2, e.announced.Version)
			require.Positive(t, e.announced.EndMilliseconds, "the announced end of the switch lies ahead")
		})
	}
}

// Guards against a load order that is later than the switch that was announced: gateways
// sent requests to an engine that was still loading.
func TestLateSwitchIsAnnouncedAgain(t *testing.T) {
	e := runFrozenAgent(t, 1, time.Second)
	require.EqualValues(t, 2, e.announced.Version)
	require.Positive(t, e.announced.EndMilliseconds, "the announced end of the switch lies ahead")
}
