package reel_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/draw"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/site"
)

// starting is an engine that answers nothing until it is up.
type starting struct {
	*engine
	up    atomic.Bool
	reads atomic.Int64
}

var errStarting = errors.New("engine starts")

func (e *starting) Report(ctx context.Context) (site.State, error) {
	if !e.up.Load() {
		return site.State{}, errStarting
	}
	return e.engine.Report(ctx)
}

func (e *starting) Held(ctx context.Context, of string) ([]int, error) {
	if !e.up.Load() {
		return nil, errStarting
	}
	return e.engine.Held(ctx, of)
}

func (e *starting) Staged(ctx context.Context, of string, n int) ([]byte, error) {
	e.reads.Add(1)
	return e.engine.Staged(ctx, of, n)
}

func (e *starting) Stage(ctx context.Context, of string, n int, data []byte) error {
	if !e.up.Load() {
		return errStarting
	}
	return e.engine.Stage(ctx, of, n, data)
}

func newStarting(staged int) *starting {
	e := &starting{engine: newEngine()}
	for n := range staged {
		e.staged[n] = pieceOf(1, n)
	}
	return e
}

// Pattern: engines are added under a load that the others hardly carry. An engine
// takes a second to start, its agent does not, and brings the version meanwhile
// from those beside it.
func TestAnAgentBringsAVersionWhileItsEngineStarts(t *testing.T) {
	source := &origin{}
	holder, address := lone(t, source)
	holder.Adopt(wanted(1), nil)
	require.Eventually(t, func() bool { return holder.Say().Ready == 1 }, 5*time.Second, 5*time.Millisecond)

	e, o := newStarting(0), &origin{}
	a, stop := beside(e, o)
	defer stop()
	word := holder.Say()
	word.Name, word.Address, word.Region, word.Service = "b", address, "north", "pool"
	a.Adopt(wanted(1), nil)
	a.Meet(neighbour.Others{Whole: true, Agents: []neighbour.Agent{word}})
	require.Eventually(t, func() bool { return draw.Count(a.Say().Pieces.Have) == pieces }, 2*time.Second, 5*time.Millisecond)
	require.Zero(t, o.drawn, "the origin's link is for agents whose engines are up")
	e.up.Store(true)
	require.Eventually(t, func() bool { return e.serves() == 1 }, 2*time.Second, 5*time.Millisecond)
	require.False(t, e.spoilt)
	require.Zero(t, o.drawn)
}

// What lies at an engine that is slow to start is taken once it answers, also
// when no neighbour has it.
func TestWhatLiesAtAStartingEngineIsTakenOnceItAnswers(t *testing.T) {
	e, o := newStarting(pieces*3/4), &origin{}
	a, stop := beside(e, o)
	defer stop()
	a.Adopt(wanted(1), nil)
	time.Sleep(300 * time.Millisecond)
	require.Zero(t, o.drawn)
	e.up.Store(true)
	require.Eventually(t, func() bool { return e.serves() == 1 }, 2*time.Second, 5*time.Millisecond)
	require.False(t, e.spoilt)
	require.Equal(t, pieces/4, o.drawn, "only what did not lie there")
}

// Pattern: all processes and engines lose what they hold but what lies staged. An
// agent that starts reads that once and says when its engine will serve.
func TestWhatWasJustReadIsLoadedAtOnce(t *testing.T) {
	e, o := newStarting(pieces), &origin{}
	e.up.Store(true)
	a, stop := beside(e, o)
	defer stop()
	require.Eventually(t, func() bool { return a.Say().Born > 0 }, time.Second, time.Millisecond)
	a.Adopt(wanted(1), nil)
	announced := false
	require.Eventually(t, func() bool {
		announced = announced || a.Say().Change.Version == 1
		return announced && e.serves() == 1
	}, 2*time.Second, time.Millisecond, "gateways hear when it will serve")
	require.Zero(t, o.drawn)
	require.EqualValues(t, pieces, e.reads.Load())
}

// What was read longer ago is compared again before a load.
func TestWhatSpoiledSinceItWasReadIsMended(t *testing.T) {
	e, o := newStarting(pieces), &origin{}
	e.up.Store(true)
	e.holding = 1 // it serves already, so nothing is loaded
	a, stop := beside(e, o)
	defer stop()
	a.Adopt(wanted(1), nil)
	require.Eventually(t, func() bool { return a.Say().Ready == 1 }, 2*time.Second, 5*time.Millisecond)
	time.Sleep(1100 * time.Millisecond)
	e.mu.Lock()
	e.staged[3], e.holding = []byte("spoilt"), 0
	e.mu.Unlock()
	require.Eventually(t, func() bool { return e.serves() == 1 }, 2*time.Second, 5*time.Millisecond)
	require.False(t, e.spoilt)
	require.Zero(t, o.drawn)
}
