package weightsync_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/internal/weightsync"
)

// reportLag is how old the reports of a laggingEngine are.
const reportLag = 200 * time.Millisecond

// laggingEngine reports its state as of reportLag ago.
type laggingEngine struct {
	*silentEngine
	mu    sync.Mutex
	known []knownState
}

type knownState struct {
	state site.EngineState
	at    time.Time
}

// watch notes the engine's state until ctx ends.
func (e *laggingEngine) watch(ctx context.Context) {
	for ctx.Err() == nil {
		e.note(ctx)
		time.Sleep(time.Millisecond)
	}
}

func (e *laggingEngine) note(ctx context.Context) {
	at := time.Now()
	if s, err := e.silentEngine.Report(ctx); err == nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.known = append(e.known, knownState{s, at})
	}
}

func (e *laggingEngine) Report(ctx context.Context) (site.EngineState, error) {
	s, err := e.silentEngine.Report(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := len(e.known) - 1; n >= 0 && err == nil; n-- {
		if time.Since(e.known[n].at) >= reportLag {
			return e.known[n].state, nil
		}
	}
	return s, err
}

func newLaggingEngine(t *testing.T, served int64) *laggingEngine {
	e := &laggingEngine{silentEngine: newSilentEngine(served)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); e.watch(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return e
}

// Guards against a piece that is staged again just after the engine has accepted an order,
// while its reports still show the state before it: they are as of some hundred ms ago.
func TestLaggingReportDoesNotHideSpoiltLoad(t *testing.T) {
	e := newLaggingEngine(t, 1)
	late := lateOrder{laggingEngine: e}
	a, stop := runAgentWithRollout(&late, &fakeOrigin{}, 2000)
	defer stop()
	a.SetWanted(wanted(2), nil)
	requireServedWhole(t, e.silentEngine, a, 2, 8*time.Second)
}

// lateOrder accepts the first order without an answer, when a piece that has turned corrupt
// since is staged again.
type lateOrder struct {
	*laggingEngine
	mu    sync.Mutex
	order weightsync.Load // on its way
	done  bool            // it was accepted
}

func (e *lateOrder) Load(ctx context.Context, o weightsync.Load) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.order.Version != 0 {
		return e.laggingEngine.Load(ctx, o)
	}
	e.order = o
	e.corrupt(3)
	time.Sleep(callTimeout)
	return errNoAnswer
}

func (e *lateOrder) Stage(ctx context.Context, modelName string, n int, data []byte) error {
	e.mu.Lock()
	if e.order.Version != 0 && !e.done {
		e.done = true
		e.silentEngine.mu.Lock()
		_ = e.accept(e.order) // the sender has given up
		e.silentEngine.mu.Unlock()
	}
	e.mu.Unlock()
	return e.laggingEngine.Stage(ctx, modelName, n, data)
}

// Guards against an intact load that is unloaded again, as reports show it late and a piece
// was staged just before the order: the answer to the order tells when it was accepted.
func TestLaggingReportDoesNotSpoilAnsweredLoad(t *testing.T) {
	e := newLaggingEngine(t, 0)
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	a.SetWanted(wanted(2), nil)
	requireServedWhole(t, e.silentEngine, a, 2, 8*time.Second)
	e.silentEngine.mu.Lock()
	defer e.silentEngine.mu.Unlock()
	require.EqualValues(t, 1, e.orders)
}
