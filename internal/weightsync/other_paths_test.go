package weightsync_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/weightsync"
)

// orderedEngine treats the first order in its own way.
type orderedEngine struct {
	*silentEngine
	first func(e *silentEngine, o weightsync.Load) error // with the engine's mu held
	once  sync.Once
}

func (e *orderedEngine) Load(ctx context.Context, o weightsync.Load) error {
	isFirst := false
	e.once.Do(func() { isFirst = true })
	if !isFirst {
		return e.silentEngine.Load(ctx, o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.first(e.silentEngine, o)
}

// restart ends what the engine does and holds, except what is staged. Callers hold mu.
func (e *silentEngine) restart() {
	e.born++
	e.orders, e.version, e.loadingTo, e.spoilt = 0, 0, 0, false
}

// acceptSpoilt accepts an order while a piece is corrupt. Callers hold mu.
func (e *silentEngine) acceptSpoilt(o weightsync.Load) error {
	e.staged[3] = []byte("corrupt")
	return e.accept(o)
}

// Guards against tokens from a corrupt piece that an engine took beside an order with
// another end than a plain answer.
func TestSpoiltLoadOfOddOrderIsNotServed(t *testing.T) {
	for name, first := range map[string]func(e *silentEngine, o weightsync.Load) error{
		"refused, though accepted": func(e *silentEngine, o weightsync.Load) error {
			_ = e.acceptSpoilt(o)
			return fmt.Errorf("refused: %w", weightsync.ErrOrderRefused)
		},
		"answered, though nothing was begun": func(e *silentEngine, _ weightsync.Load) error {
			e.staged[3] = []byte("corrupt")
			return nil
		},
		"engine restarts before it reports the order": func(e *silentEngine, o weightsync.Load) error {
			err := e.acceptSpoilt(o)
			e.restart()
			return err
		},
		"accepted by the next start of the engine": func(e *silentEngine, o weightsync.Load) error {
			e.restart()
			go func() {
				time.Sleep(2 * callTimeout)
				e.mu.Lock()
				defer e.mu.Unlock()
				_ = e.acceptSpoilt(o) // its sender has given up
			}()
			return errNoAnswer
		},
		"accepted by the next start, and no answer for a time": func(e *silentEngine, o weightsync.Load) error {
			e.restart()
			e.silentUntil = time.Now().Add(time.Second)
			_ = e.acceptSpoilt(o) // its answer is lost
			return errNoAnswer
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &orderedEngine{silentEngine: newSilentEngine(1), first: first}
			a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
			defer stop()
			a.SetWanted(wanted(2), nil)
			requireServedWhole(t, e.silentEngine, a, 2, 12*time.Second)
		})
	}
}

// Guards against an engine that is in the middle of a load when its agent starts, of which
// nobody tells the agent: a piece was corrupt when the order was accepted.
func TestSpoiltLoadInProgressAtAgentStartIsNotServed(t *testing.T) {
	e := newSilentEngine(0)
	for n := range pieces {
		e.staged[n] = pieceData(2, n)
	}
	require.NoError(t, e.acceptSpoilt(weightsync.Load{Model: model, Version: 2}))
	e.loadedAt = time.Now().Add(time.Second)
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	a.SetWanted(wanted(2), nil)
	requireServedWhole(t, e, a, 2, 8*time.Second)
}

// lateUnloadEngine gets the first order to unload after its sender has given up.
type lateUnloadEngine struct {
	*silentEngine
	once    sync.Once
	refused chan error // answer to that order
}

const unloadDelay = 2 * time.Second

func (e *lateUnloadEngine) Unload(ctx context.Context, o weightsync.Unload) error {
	late := false
	e.once.Do(func() { late = true })
	if !late {
		return e.silentEngine.Unload(ctx, o)
	}
	time.AfterFunc(unloadDelay, func() { e.refused <- e.silentEngine.Unload(context.Background(), o) })
	time.Sleep(callTimeout)
	return errNoAnswer
}

// Guards against an order to unload that arrives late and takes away the next load.
func TestLateUnloadLeavesNextLoad(t *testing.T) {
	e := &lateUnloadEngine{silentEngine: newSilentEngine(2), refused: make(chan error, 1)}
	e.orders, e.spoilt = 1, true
	e.corrupt(3)
	a := runDoubtingAgent(t, e)
	requireServedWhole(t, e.silentEngine, a, 2, unloadDelay)
	require.ErrorIs(t, <-e.refused, weightsync.ErrOrderRefused)
	require.True(t, countsAsWhole(a, 2))
}

// Guards against a load that counts as whole since nobody can verify it: the agent knows the
// digests of the next version only. The log and a counter tell of it once.
func TestLoadOfUnknownVersionIsNotServed(t *testing.T) {
	unknown := counter.Value("LoadsUnknown")
	e := newSilentEngine(1)
	e.orders, e.spoilt = 1, true
	e.corrupt(3)
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	a.SetUnverified(hostedrpc.UnverifiedLoad{Born: 1, Version: 1})
	a.SetWanted(wanted(2), nil)
	deadline := time.Now().Add(5 * time.Second)
	for !countsAsWhole(a, 2) {
		require.False(t, countsAsWhole(a, 1))
		require.True(t, time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
	requireServedWhole(t, e, a, 2, time.Second)
	require.Equal(t, unknown+1, counter.Value("LoadsUnknown"))
}
