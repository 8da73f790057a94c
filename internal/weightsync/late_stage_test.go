package weightsync_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/weightsync"
)

const (
	latePiece = 3
	// lateness is how long after the engine answers again a late staging arrives at most.
	lateness = 300 * time.Millisecond
)

// lateStageEngine gets the first staging of latePiece late, when its sender has given up:
// just after the first order, or else when the engine has answered for lateness.
type lateStageEngine struct {
	*silentEngine
	silence time.Duration // begins with that staging
	sent    sync.Once
	arrived sync.Once
	arrive  func()
	done    chan struct{} // closed when it has arrived
}

func newLateStageEngine(t *testing.T, served int64, silence time.Duration) *lateStageEngine {
	e := &lateStageEngine{silentEngine: newSilentEngine(served), silence: silence, arrive: func() {}, done: make(chan struct{})}
	t.Cleanup(func() { <-e.done })
	return e
}

func (e *lateStageEngine) Stage(ctx context.Context, modelName string, n int, data []byte) error {
	late := false
	if n == latePiece {
		e.sent.Do(func() { late = true })
	}
	if !late {
		return e.silentEngine.Stage(ctx, modelName, n, data)
	}
	e.silentEngine.silence(e.silence)
	arrive := func() {
		e.arrived.Do(func() {
			defer close(e.done)
			for e.silentEngine.Stage(context.Background(), modelName, n, data) != nil {
			}
		})
	}
	time.AfterFunc(callTimeout+e.silence+lateness, arrive)
	e.mu.Lock()
	e.arrive = arrive
	e.mu.Unlock()
	time.Sleep(callTimeout)
	return errNoAnswer
}

func (e *lateStageEngine) Load(ctx context.Context, o weightsync.Load) error {
	err := e.silentEngine.Load(ctx, o)
	e.mu.Lock()
	arrive := e.arrive
	e.mu.Unlock()
	arrive()
	return err
}

// Guards against a piece that is staged by a call whose sender has given up: it hides that
// the engine took a corrupt one, since it arrives between the order and the check.
func TestLateStagingDoesNotHideSpoiltLoad(t *testing.T) {
	for name, silence := range map[string]time.Duration{"Answering": 0, "Silent": time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newLateStageEngine(t, 0, silence)
			var once sync.Once
			e.onOrder = func(weightsync.Load) { once.Do(func() { e.corrupt(latePiece) }) }
			a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
			defer stop()
			a.SetWanted(wanted(2), nil)
			requireServedWhole(t, e.silentEngine, a, 2, 8*time.Second)
			e.mu.Lock()
			defer e.mu.Unlock()
			require.Equal(t, 1, e.spoiltLoads)
		})
	}
}

// Guards against a piece of the version before that is staged late, over a piece that was
// read intact before the order, and against a second order that takes it again: the check
// before the first was young enough to be relied on.
func TestLateStagingOfAnotherVersionIsNotServed(t *testing.T) {
	e := newSilentEngine(1)
	var once sync.Once
	e.onOrder = func(weightsync.Load) {
		once.Do(func() {
			if err := e.Stage(context.Background(), model, latePiece, pieceData(1, latePiece)); err != nil {
				t.Error(err)
			}
		})
	}
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	a.SetWanted(wanted(2), nil)
	requireServedWhole(t, e, a, 2, 8*time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, 1, e.spoiltLoads)
}
