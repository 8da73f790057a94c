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
	ordered, announced, restarted, starting := a, a, a, a
	ordered.Unverified = 2
	announced.Change = hostedrpc.Switchover{Version: 2, StartMilliseconds: 300, EndMilliseconds: 840}
	restarted.Born++
	starting.HoldingUnknown = true
	load := hostedrpc.UnverifiedLoad{Born: a.Born, Version: 2}
	for name, last := range map[string]hostedrpc.Agent{"Ordered": ordered, "Announced": announced} {
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
