package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// Load: six in ten of what 52 engines can run, then nine in ten, through 16 gateways; eight
// engines take 2.5 times as long, others after each phase. Guards against gateways that see
// the same counts, up to a gossip round old, and send their requests to the same engines.
func TestPreferencesMakeMoreRequestsMeetTarget(t *testing.T) {
	for _, phase := range []time.Duration{600 * time.Millisecond, 3 * time.Second} {
		for _, rate := range []float64{398, 600} {
			t.Run(fmt.Sprint(phase, rate), func(t *testing.T) {
				t.Parallel()
				inTime := map[bool]float64{}
				for _, preferences := range []bool{false, true} {
					var sims []*passSimulation
					for seed := range uint64(3) {
						sims = append(sims, simulateSlowEngines(seed, phase, rate, preferences))
					}
					all := tallyAll(sims, 0, longPrompt+1)
					t.Logf("preferences %v: %v", preferences, all)
					inTime[preferences] = all.inTimeShare()
				}
				require.Greater(t, inTime[true], inTime[false])
			})
		}
	}
}

// simulateSlowEngines runs that load for 10 s.
func simulateSlowEngines(seed uint64, phase time.Duration, rate float64, preferences bool) *passSimulation {
	const gateways, engines, slow = 16, 52, 8
	sim := newPassSimulation(seed, gateways, engines, schedule.Options{Estimates: true, ExactShares: true})
	sim.generates = true
	var names []string
	for n := range gateways {
		names = append(names, fmt.Sprint("g", n))
	}
	for n, p := range sim.pools {
		p.SetGateways(names[n], names)
		p.SetSlotSharers(names)
		if !preferences {
			schedule.WithoutPreferences(p)
		}
	}
	var slowDown func()
	slowDown = func() {
		for _, n := range sim.random.Perm(engines)[:slow] {
			sim.engines[n].speed, sim.engines[n].slowUntil = 2.5, sim.now.Add(phase)
		}
		sim.after(phase.Seconds()*1000, slowDown)
	}
	slowDown()
	sim.load(10, rate, sim.mixed(0.1))
	sim.advance(3)
	return sim
}

// Guards against a gateway alone, or one without estimates, that avoids engines for no reason.
func TestGatewayAlonePrefersNoEngine(t *testing.T) {
	run := func(named bool) []string {
		p := newEstimatingPool(8)
		if named {
			p.SetGateways("g0", []string{"g0"})
			p.SetSlotSharers([]string{"g0"})
		}
		var ids []string
		for range 16 {
			ids = append(ids, startOn(t, p, 500))
		}
		return ids
	}
	require.Equal(t, run(false), run(true))
}
