package hosting_test

import (
	"context"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/registry"
	"almondreel.example/almondreel/platform/standin"
)

const (
	// lateOrderSilence is how long an engine is silent with a load order on its way: longer
	// than pieces may be corrupt when they are taken.
	lateOrderSilence = 3700 * time.Millisecond
	// lateOrderWarmUpMS is the time that a load takes, in milliseconds.
	lateOrderWarmUpMS = 300
	// entryInterval is how often an engine writes its entry to the store.
	entryInterval = 50 * time.Millisecond
	// reloadTime is the time in which an engine that took corrupt pieces must serve callers
	// with intact ones.
	reloadTime = 10 * time.Second
	// unattendedTime is how long an engine that took corrupt pieces could serve callers
	// while no agent attends to it.
	unattendedTime = 2 * time.Second
)

// startLateOrder starts a site on which the first of two engines falls silent as its agent
// orders version 2, while callers send requests on open connections. One of its staged
// pieces turns corrupt then. The engine goes on, and accepts the order, after
// lateOrderSilence. It returns once the order has arrived.
func startLateOrder(t *testing.T) *soakRun {
	s := &soakRun{site: startSite(t, options{gateways: 2, engines: 2, firstVersion: 1, warmUpMS: lateOrderWarmUpMS}), version: 2, journal: newJournal()}
	for n := range s.gateways {
		s.waitForVersion(n, 1, recoveryTime)
	}
	s.ledger.SetDelayMS(ledgerDelayMS)
	s.writeEntries(t)
	s.startCallers(t)
	ordered := make(chan struct{}, 1)
	s.engines[0].SetOnOrder(func(standin.Order) {
		s.engines[0].SetOnOrder(nil)
		s.engines[0].SilenceUntil(time.Now().Add(lateOrderSilence))
		s.engines[0].CorruptPiece(1)
		ordered <- struct{}{}
	})
	s.store.SetVersion(s.version)
	select {
	case <-ordered:
	case <-time.After(recoveryTime):
		require.Fail(t, "no load was ordered")
	}
	return s
}

// writeEntries writes the engines' entries to the store until the test ends, as engines do
// whose weights change.
func (s *soakRun) writeEntries(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(entryInterval)
		defer ticker.Stop()
		written := make([]int64, len(s.engines))
		for {
			for n, e := range s.engines {
				if v := e.Version(); v != written[n] {
					e.Register(s.store, false)
					written[n] = v
				}
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// awaitSpoiltLoad waits until the silent engine has taken the corrupt piece.
func (s *soakRun) awaitSpoiltLoad() {
	s.t.Helper()
	s.eventually(lateOrderSilence+time.Second, "the engine accepts the order", func() bool { return len(s.engines[0].SpoiltLoads()) == 1 })
}

// checkLateOrder requires that callers are served again by the engine that took the corrupt
// piece, with the new version, and that no request began to run on the corrupt weights.
func (s *soakRun) checkLateOrder() {
	s.t.Helper()
	took := time.Now()
	s.eventually(reloadTime, "the engine serves callers with the new version", func() bool {
		s.requireNoSpoiltRuns()
		return slices.ContainsFunc(s.engines[0].Runs(), func(r standin.Run) bool { return r.Version == s.version })
	})
	s.t.Logf("served by the engine %v after it took the corrupt piece", time.Since(took).Round(time.Millisecond))
	for n := range s.gateways {
		s.waitForVersion(n, s.version, recoveryTime)
	}
	s.requireNoSpoiltRuns()
	s.journal.stop() // a call that is answered later is not among the runs that are read next
	s.journal.check(s.t, s.ledger.Runs(), s.allRuns())
}

// requireNoSpoiltRuns requires that no request began to run on weights that were taken
// while a piece was wrong for longer than agents can help.
func (s *soakRun) requireNoSpoiltRuns() {
	s.t.Helper()
	for _, e := range s.engines {
		runs := e.SpoiltRuns()
		require.Empty(s.t, runs[:min(len(runs), maxShownProblems)], "%d requests began to run on spoilt weights", len(runs))
	}
}

// Guards against tokens from a piece that turned corrupt while the engine was silent with
// the load order on its way, also if the agent is killed, stopped or loses its gateways then.
func TestSpoiltLoadOfSilentEngineServesNoCaller(t *testing.T) {
	t.Run("AgentRuns", func(t *testing.T) {
		s := startLateOrder(t)
		s.awaitSpoiltLoad()
		s.checkLateOrder()
	})
	t.Run("AgentIsKilled", func(t *testing.T) {
		s := startLateOrder(t)
		agent := s.engines[0].agent
		agent.kill()
		time.Sleep(restartDelay)
		agent.start(t)
		s.awaitSpoiltLoad()
		s.checkLateOrder()
	})
	t.Run("AgentIsStopped", func(t *testing.T) {
		s := startLateOrder(t)
		agent := s.engines[0].agent.command.Process
		require.NoError(t, agent.Signal(syscall.SIGSTOP))
		s.awaitSpoiltLoad()
		time.Sleep(unattendedTime)
		s.requireNoSpoiltRuns()
		require.NoError(t, agent.Signal(syscall.SIGCONT))
		s.checkLateOrder()
	})
	t.Run("GatewaysRestart", func(t *testing.T) {
		s := startLateOrder(t)
		time.Sleep(time.Second) // the agent has reported the order
		for _, g := range s.gateways {
			s.restart(g)
		}
		s.awaitSpoiltLoad()
		s.checkLateOrder()
	})
}

// Guards against tokens from such a piece if the agent is killed with its order on its way
// and one of the gateways that know of the order starts again at once.
func TestSpoiltLoadOfKilledAgentIsDoubtedByRestartedGateway(t *testing.T) {
	s := startLateOrder(t)
	s.engines[0].agent.kill()
	s.restart(s.gateways[0])
	s.checkLateOrderWithoutAgent()
}

// Guards against tokens from such a piece if a gateway starts again once others have
// forgotten the reports of the killed agent.
func TestSpoiltLoadOfKilledAgentIsDoubtedByLateGateway(t *testing.T) {
	s := startLateOrder(t)
	s.engines[0].agent.kill()
	time.Sleep(registry.AgentTimeout + exchangeTime)
	s.restart(s.gateways[0])
	s.checkLateOrderWithoutAgent()
}

// Guards against tokens from such a piece if all gateways that know of the order start
// again while its agent is down.
func TestSpoiltLoadOfKilledAgentIsDoubtedAfterAllGatewaysRestart(t *testing.T) {
	s := startLateOrder(t)
	s.engines[0].agent.kill()
	for _, g := range s.gateways {
		s.restart(g)
	}
	s.checkLateOrderWithoutAgent()
}

// checkLateOrderWithoutAgent is checkLateOrder with an agent that starts after the load.
func (s *soakRun) checkLateOrderWithoutAgent() {
	s.t.Helper()
	s.awaitSpoiltLoad()
	time.Sleep(unattendedTime)
	s.requireNoSpoiltRuns()
	s.engines[0].agent.start(s.t)
	s.checkLateOrder()
}
