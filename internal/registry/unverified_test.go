package registry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/registry"
)

// Guards against an engine whose load nobody doubts once the agent that ordered it has
// ended: the agent that starts next to it does not know of the order.
func TestUnverifiedLoadOutlastsItsAgent(t *testing.T) {
	a := newAgent(1)
	ordered, announced, restarted, starting, silent := a, a, a, a, a
	silent.Born, silent.Unverified, silent.UnverifiedBorn = 0, 2, a.Born
	ordered.Unverified, ordered.UnverifiedBorn = 2, a.Born
	announced.Change = hostedrpc.Switchover{Version: 2, StartMilliseconds: 300, EndMilliseconds: 840}
	restarted.Born++
	starting.HoldingUnknown = true
	load := hostedrpc.UnverifiedLoad{Born: a.Born, Version: 2}
	for name, last := range map[string]hostedrpc.Agent{"Ordered": ordered, "Announced": announced, "Silent": silent} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(2)
			r.Record(last, after(100), registry.Direct)
			require.Equal(t, load, r.Unverified(a.EngineAddress))
			r.Expire(after(60000))
			require.Equal(t, load, r.Unverified(a.EngineAddress), "the agent has ended")
			r.Record(starting, after(60100), registry.Direct)
			require.Equal(t, load, r.Unverified(a.EngineAddress), "the next agent knows nothing yet")
			r.Record(a, after(60200), registry.Direct)
			require.Zero(t, r.Unverified(a.EngineAddress), "the next agent has verified the load")
		})
	}
	r := newRegistry(2)
	r.Record(ordered, after(100), registry.Direct)
	r.Record(restarted, after(200), registry.Direct)
	require.Zero(t, r.Unverified(a.EngineAddress), "the engine has restarted")
	r.Record(ordered, after(300), registry.Direct)
	r.Expire(after(2 * 3600 * 1000))
	require.Zero(t, r.Unverified(a.EngineAddress), "memory of engines that are gone is bounded")
}

// Guards against a gateway that starts after the agent's end and hears from no gateway that
// the load is doubted: it goes by the engine's entry.
func TestDoubtReachesGatewayThatStartedLater(t *testing.T) {
	a := newAgent(1)
	ordered := a
	ordered.Unverified, ordered.UnverifiedBorn = 2, a.Born
	known, started := newRegistry(1), newRegistry(2)
	known.Record(ordered, after(100), registry.Direct)
	known.Expire(after(5000))
	started.RecordEnded(known.Ended(after(6000)), after(6010))
	require.Equal(t, hostedrpc.UnverifiedLoad{Born: a.Born, Version: 2}, started.Unverified(a.EngineAddress))
}

// Guards against a gateway that forgets a doubt by the relayed report of an agent that never
// heard of it, as it synchronised with a gateway that had started later.
func TestRelayedReportOfAgentThatWasNotToldKeepsDoubt(t *testing.T) {
	a := newAgent(1)
	ordered := a
	ordered.Unverified, ordered.UnverifiedBorn = a.Holding.Version, a.Born
	r := newRegistry(1)
	r.Record(ordered, after(100), registry.Direct)
	r.Expire(after(5000))
	require.NotZero(t, r.Unverified(a.EngineAddress))
	a.Found = true
	r.Record(a, after(6000), registry.SameRegion)
	require.NotZero(t, r.Unverified(a.EngineAddress), "no gateway has told the agent, so it has verified nothing")
}

// Guards against a doubted load that is forgotten as its agent announces the next version:
// the engine still holds the doubted one.
func TestAnnouncementKeepsDoubtOfWhatEngineHolds(t *testing.T) {
	a := newAgent(1)
	a.Unverified, a.UnverifiedBorn = 2, a.Born
	r := newRegistry(1)
	r.Record(a, after(100), registry.Direct)
	a.Change = hostedrpc.Switchover{Version: 3, StartMilliseconds: 0, EndMilliseconds: 340}
	r.Record(a, after(200), registry.Direct)
	require.Equal(t, hostedrpc.UnverifiedLoad{Born: a.Born, Version: 2}, r.Unverified(a.EngineAddress))
}

// Guards against a gateway that goes by the first announcement of a switch that is announced
// again, later and for the same version, and relayed by another gateway.
func TestSecondAnnouncementOfVersionReachesOtherGateways(t *testing.T) {
	a := newAgent(1)
	a.Change = hostedrpc.Switchover{Version: 2, StartMilliseconds: 300, EndMilliseconds: 1140}
	known, other := newRegistry(1), newRegistry(2)
	var sent registry.Sent
	relay := func(ms int) {
		reports, alive := known.Unsent(&sent, after(ms), registry.Resend{Alive: after(ms), Pieces: after(ms)}, func(registry.Report) bool { return true })
		for _, report := range reports {
			other.Record(report, after(ms), registry.SameRegion)
		}
		for _, l := range alive {
			other.MarkAlive(l.Name, after(ms))
		}
	}
	known.Record(a, after(100), registry.Direct)
	relay(100)
	a.Change = hostedrpc.Switchover{Version: 2, StartMilliseconds: 0, EndMilliseconds: 340}
	known.Record(a, after(1500), registry.Direct)
	relay(1500)
	report, ok := other.ByEngine(a.EngineAddress)
	require.True(t, ok)
	require.EqualValues(t, 340, report.Change.EndMilliseconds)
}
