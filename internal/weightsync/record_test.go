package weightsync_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/weightsync"
)

// fakeRecords keeps the record of one engine, and can be down: silent, or refusing.
type fakeRecords struct {
	mu      sync.Mutex
	held    hostedrpc.UnverifiedLoad
	writes  []hostedrpc.UnverifiedLoad
	refuses bool
	silent  bool
}

var errSilentStore = errors.New("store did not answer")

func (r *fakeRecords) RecordUnverified(ctx context.Context, _ string, l hostedrpc.UnverifiedLoad) error {
	r.mu.Lock()
	r.writes = append(r.writes, l)
	refuses, silent := r.refuses, r.silent
	if !refuses && !silent {
		r.held = l
	}
	r.mu.Unlock()
	switch {
	case refuses:
		return fmt.Errorf("status 503: %w", weightsync.ErrRecordRefused)
	case silent:
		<-ctx.Done()
		return errSilentStore
	}
	return nil
}

func (r *fakeRecords) record() hostedrpc.UnverifiedLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

func (r *fakeRecords) written() []hostedrpc.UnverifiedLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]hostedrpc.UnverifiedLoad(nil), r.writes...)
}

// runRecordingAgent runs an agent that records its unverified loads in r.
func runRecordingAgent(e weightsync.Engine, r *fakeRecords) (a *weightsync.Agent, stop func()) {
	a = weightsync.NewAgent(weightsync.Options{
		Name: "a", Region: "north", Service: "pool", EngineAddress: "engine", LinkMegabits: 100, RolloutMilliseconds: 2000,
		Engine: e, Origin: &fakeOrigin{}, Peers: weightsync.NewPeerClient(&http.Client{}), Records: r,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	return a, func() {
		cancel()
		<-done
	}
}

// Guards against an order of which nobody knows once the agent and all gateways have ended,
// and against a record that outlasts the check or costs more than two calls.
func TestUnverifiedLoadIsRecordedFromBeforeOrderUntilVerified(t *testing.T) {
	for name, served := range map[string]int64{"Serving": 1, "Empty": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, r := newSilentEngine(served), &fakeRecords{}
			atOrder := make(chan hostedrpc.UnverifiedLoad, 1)
			e.onOrder = func(weightsync.Load) { atOrder <- r.record() }
			a, stop := runRecordingAgent(e, r)
			defer stop()
			a.SetWanted(wanted(2), nil)
			load := hostedrpc.UnverifiedLoad{Born: 1, Version: 2}
			require.Equal(t, load, <-atOrder)
			requireServedWhole(t, e, a, 2, 5*time.Second)
			require.Eventually(t, func() bool { return r.record() == hostedrpc.UnverifiedLoad{} }, 2*time.Second, time.Millisecond)
			time.Sleep(500 * time.Millisecond)
			require.Equal(t, []hostedrpc.UnverifiedLoad{load, {}}, r.written())
		})
	}
}

// Guards against a record that is removed before the load is verified, as when the order
// gets no answer, and against one that the next agent does not remove.
func TestRecordOutlastsAgentAndIsRemovedByItsSuccessor(t *testing.T) {
	e, r := newSilentEngine(1), &fakeRecords{}
	ordered := make(chan struct{})
	var once sync.Once
	e.onOrder = func(weightsync.Load) {
		once.Do(func() {
			e.silence(time.Second)
			e.corrupt(3)
			close(ordered)
		})
	}
	a, stop := runRecordingAgent(e, r)
	a.SetWanted(wanted(2), nil)
	<-ordered
	time.Sleep(500 * time.Millisecond)
	stop()
	load := hostedrpc.UnverifiedLoad{Born: 1, Version: 2}
	require.Equal(t, load, r.record())
	require.Eventually(t, func() bool { served, _ := e.serves(); return served == 2 }, 5*time.Second, time.Millisecond)

	next, stop := runRecordingAgent(e, r)
	defer stop()
	next.SetUnverified(r.record())
	next.SetWanted(wanted(2), nil)
	requireServedWhole(t, e, next, 2, 5*time.Second)
	require.Eventually(t, func() bool { return r.record() == hostedrpc.UnverifiedLoad{} }, 2*time.Second, time.Millisecond)
}

// Guards against an engine that does not change over while the store is down, and against
// many calls to it then.
func TestLoadDoesNotWaitForStoreThatIsDown(t *testing.T) {
	for name, r := range map[string]*fakeRecords{"Refuses": {refuses: true}, "Silent": {silent: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newSilentEngine(0)
			a, stop := runRecordingAgent(e, r)
			defer stop()
			a.SetWanted(wanted(2), nil)
			requireServedWhole(t, e, a, 2, 2*time.Second)
			time.Sleep(500 * time.Millisecond)
			require.LessOrEqual(t, len(r.written()), 1)
		})
	}
}

// refusingEngine is a silentEngine that refuses its first orders, as one that is busy.
type refusingEngine struct {
	*silentEngine
	refusals atomic.Int64 // left
}

func (e *refusingEngine) Load(ctx context.Context, o weightsync.Load) error {
	if e.refusals.Add(-1) >= 0 {
		return fmt.Errorf("busy: %w", weightsync.ErrOrderRefused)
	}
	return e.silentEngine.Load(ctx, o)
}

// Guards against two calls to the store for each attempt to load a version, where the engine
// refuses the order.
func TestRefusedOrdersShareOneRecord(t *testing.T) {
	e, r := &refusingEngine{silentEngine: newSilentEngine(1)}, &fakeRecords{}
	e.refusals.Store(2)
	a, stop := runRecordingAgent(e, r)
	defer stop()
	a.SetWanted(wanted(2), nil)
	requireServedWhole(t, e.silentEngine, a, 2, 8*time.Second)
	require.Eventually(t, func() bool { return r.record() == hostedrpc.UnverifiedLoad{} }, 2*time.Second, time.Millisecond)
	require.Equal(t, []hostedrpc.UnverifiedLoad{{Born: 1, Version: 2}, {}}, r.written())
	require.Negative(t, e.refusals.Load(), "the engine has refused its first orders")
}
