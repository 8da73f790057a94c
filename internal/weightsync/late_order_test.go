package weightsync_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/weightsync"
)

// countsAsWhole reports whether gateways use an engine for a version by its agent's report.
func countsAsWhole(a *weightsync.Agent, version int64) bool {
	s := a.State()
	if c := s.Change; c.Version != 0 && s.Holding.Version < c.Version {
		return c.Version == version && c.EndMilliseconds <= 0
	}
	return s.Holding.Whole && s.Holding.Version == version && !(s.Switching && s.Change.Version == 0)
}

// requireServedWhole waits until gateways use the engine for a version, and fails if they
// ever do while its weights are spoilt.
func requireServedWhole(t *testing.T, e *silentEngine, a *weightsync.Agent, version int64, within time.Duration) {
	t.Helper()
	deadline := time.Now().Add(within)
	for {
		counts := countsAsWhole(a, version)
		served, spoilt := e.serves()
		require.False(t, counts && served == version && spoilt, "gateways use an engine that took a corrupt piece")
		if counts && served == version {
			return
		}
		require.True(t, time.Now().Before(deadline), "the engine does not serve version %d", version)
		time.Sleep(time.Millisecond)
	}
}

// Guards against an engine that serves what it took when it accepted an order long after
// the check: it fell silent with the order on its way, and a piece turned corrupt then.
func TestSpoiltLoadOfLateAcceptedOrderIsNotServed(t *testing.T) {
	for name, served := range map[string]int64{"Serving": 1, "Empty": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newSilentEngine(served)
			var once sync.Once
			e.onOrder = func(weightsync.Load) {
				once.Do(func() {
					e.silence(3500 * time.Millisecond)
					e.corrupt(3)
				})
			}
			a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
			defer stop()
			a.SetWanted(wanted(2), nil)
			require.Eventually(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.spoiltLoads == 1 }, 10*time.Second, time.Millisecond)
			requireServedWhole(t, e, a, 2, 5*time.Second)
		})
	}
}

// Guards against an engine that serves what it took by an order of an agent that was
// killed: the agent that starts next to it sees only a version that it did not order.
func TestSpoiltLoadOrderedByPreviousAgentIsNotServed(t *testing.T) {
	e := newSilentEngine(1)
	ordered := make(chan struct{})
	var once sync.Once
	e.onOrder = func(weightsync.Load) {
		once.Do(func() {
			e.silence(3500 * time.Millisecond)
			e.corrupt(3)
			close(ordered)
		})
	}
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	a.SetWanted(wanted(2), nil)
	select {
	case <-ordered:
	case <-time.After(10 * time.Second):
		t.Fatal("no load was ordered")
	}
	stop()
	next, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	next.SetWanted(wanted(2), nil)
	require.Eventually(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.spoiltLoads == 1 }, 10*time.Second, time.Millisecond)
	requireServedWhole(t, e, next, 2, 5*time.Second)
}

// Guards against an order that is still on its way when the next one is sent: the first is
// accepted with a corrupt piece, which the check before the second had staged again.
func TestCheckBetweenTwoOrdersDoesNotHideSpoiltLoad(t *testing.T) {
	e := newSilentEngine(1)
	var orders int
	e.onOrder = func(o weightsync.Load) {
		orders++
		if orders > 1 {
			return
		}
		e.corrupt(3)
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.accept(o); err != nil {
			t.Error(err)
		}
		e.loadedAt = time.Now().Add(time.Second)
		e.silentUntil = time.Now().Add(2 * callTimeout) // the answer is lost
	}
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	a.SetWanted(wanted(2), nil)
	require.Eventually(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.spoiltLoads == 1 }, 10*time.Second, time.Millisecond)
	requireServedWhole(t, e, a, 2, 5*time.Second)
}

// Guards against an engine that had loaded a corrupt piece before its agent started: the
// agent before had not verified the load when it was killed.
func TestLoadThatPreviousAgentHadNotVerifiedIsVerified(t *testing.T) {
	for name, corrupt := range map[string]bool{"Spoilt": true, "Intact": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newSilentEngine(2)
			e.orders = 1
			if corrupt {
				e.corrupt(3)
				e.spoilt = true
			}
			a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
			defer stop()
			require.Eventually(t, func() bool { return a.State().Born == 1 }, time.Second, time.Millisecond)
			a.SetUnverified(hostedrpc.UnverifiedLoad{Born: 1, Version: 2})
			a.SetWanted(wanted(2), nil)
			requireServedWhole(t, e, a, 2, 5*time.Second)
			e.mu.Lock()
			defer e.mu.Unlock()
			require.Equal(t, corrupt, e.orders > 1, "an intact load stays")
		})
	}
}

// An agent that starts next to a serving engine, of which no gateway doubts the load, must
// not unload it for pieces that turned corrupt since.
func TestRestartedAgentKeepsVerifiedLoad(t *testing.T) {
	e := newSilentEngine(2)
	e.orders = 1
	e.corrupt(3)
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	a.SetUnverified(hostedrpc.UnverifiedLoad{})
	a.SetWanted(wanted(2), nil)
	requireServedWhole(t, e, a, 2, 2*time.Second)
	time.Sleep(500 * time.Millisecond)
	require.True(t, countsAsWhole(a, 2))
	e.mu.Lock()
	defer e.mu.Unlock()
	require.EqualValues(t, 1, e.orders)
}
