package weightsync_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/weightsync"
)

// slowEngine accepts its first load order after the caller has given up.
type slowEngine struct {
	*startingEngine
	ordered  atomic.Bool
	accepted chan struct{} // closed once the first order was accepted
}

func (e *slowEngine) Load(ctx context.Context, o weightsync.Load) error {
	if !e.ordered.CompareAndSwap(false, true) {
		return e.startingEngine.Load(ctx, o)
	}
	time.AfterFunc(2*time.Second, func() {
		defer close(e.accepted)
		_ = e.startingEngine.Load(context.Background(), o) // it always succeeds
	})
	return errors.New("no answer within the timeout")
}

// Guards against staging another version over the one that a load order without an answer
// names: the engine accepted the order late and loaded pieces of both.
func TestVersionIsNotStagedOverWhileAnOrderMayStillArrive(t *testing.T) {
	e := &slowEngine{startingEngine: newStartingEngine(0), accepted: make(chan struct{})}
	e.up.Store(true)
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 1000)
	defer stop()
	a.SetWanted(wanted(2), nil)
	require.Eventually(t, e.ordered.Load, 2*time.Second, time.Millisecond)
	a.SetWanted(wanted(3), nil)
	<-e.accepted
	e.mu.Lock()
	corrupt := e.loadedCorrupt
	e.mu.Unlock()
	require.False(t, corrupt)
	require.Eventually(t, func() bool { return e.servingVersion() == 3 }, 12*time.Second, time.Millisecond)
	require.False(t, e.loadedCorrupt)
}
