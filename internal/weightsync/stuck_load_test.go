package weightsync_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/weightsync"
)

// keepingEngine refuses to unload what it has loaded.
type keepingEngine struct {
	*silentEngine
	unloads atomic.Int64 // orders to unload
	reads   atomic.Int64 // of staged pieces
	failing atomic.Bool  // reads of staged pieces fail
}

func (e *keepingEngine) Unload(context.Context, weightsync.Unload) error {
	e.unloads.Add(1)
	return fmt.Errorf("busy: %w", weightsync.ErrOrderRefused)
}

func (e *keepingEngine) Staged(ctx context.Context, modelName string, n int) ([]byte, error) {
	e.reads.Add(1)
	if e.failing.Load() {
		return nil, errNoAnswer
	}
	return e.silentEngine.Staged(ctx, modelName, n)
}

// newKeepingEngine returns an engine that has loaded version 2, of which a piece was corrupt.
func newKeepingEngine() *keepingEngine {
	e := &keepingEngine{silentEngine: newSilentEngine(2)}
	e.orders, e.spoilt = 1, true
	e.corrupt(3)
	return e
}

// runDoubtingAgent runs an agent of an engine that serves version 2, which the agent before
// had not verified.
func runDoubtingAgent(t *testing.T, e weightsync.Engine) *weightsync.Agent {
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	t.Cleanup(stop)
	require.Eventually(t, func() bool { return a.State().Born == 1 }, time.Second, time.Millisecond)
	a.SetUnverified(hostedrpc.UnverifiedLoad{Born: 1, Version: 2})
	a.SetWanted(wanted(2), nil)
	return a
}

// Guards against an engine that stays without a version for good: it refuses to unload what
// it took corrupt, and its agent orders nothing else before it has.
func TestNewerVersionIsLoadedAlthoughTheEngineKeepsSpoiltOne(t *testing.T) {
	e := newKeepingEngine()
	a := runDoubtingAgent(t, e)
	require.Eventually(t, func() bool { return e.unloads.Load() > 0 }, 5*time.Second, time.Millisecond)
	a.SetWanted(wanted(3), nil)
	requireServedWhole(t, e.silentEngine, a, 3, 8*time.Second)
}

// Guards against an agent that sends the same order 25 times a second to an engine that
// refuses it, beside the answers that its machine has to carry.
func TestRefusedUnloadIsRepeatedLessAndLessOften(t *testing.T) {
	e := newKeepingEngine()
	a := runDoubtingAgent(t, e)
	require.Eventually(t, func() bool { return e.unloads.Load() > 0 }, 5*time.Second, time.Millisecond)
	time.Sleep(3 * time.Second)
	require.LessOrEqual(t, e.unloads.Load(), int64(6))
	require.False(t, a.State().Holding.Whole)
}

// Guards against an agent that reads staged pieces without a pause while they can't be read.
func TestUnreadablePiecesAreReadLessAndLessOften(t *testing.T) {
	e := newKeepingEngine()
	e.failing.Store(true)
	a := runDoubtingAgent(t, e)
	time.Sleep(3 * time.Second)
	require.LessOrEqual(t, e.reads.Load(), int64(7+3*pieces)) // with those at the agent's start
	require.False(t, a.State().Holding.Whole)
}

// Guards against an engine that stays without a version for good: a piece is missing that it
// was ordered to load, so that not all pieces can ever be read back.
func TestLoadWithMissingPieceIsUnloaded(t *testing.T) {
	e := newSilentEngine(2)
	e.orders, e.spoilt = 1, true
	delete(e.staged, 3)
	a := runDoubtingAgent(t, e)
	requireServedWhole(t, e, a, 2, 5*time.Second)
}
