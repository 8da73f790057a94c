package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// Guards against counters that do not tell why requests started or waited.
func TestShortageCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := sharingPools(true, 6, engines(4))[0]
	startedByServer([]*schedule.Pool{pool}, 100)
	counts := pool.TakeShortageCounts()
	require.Positive(t, counts.Deferred, "the others' slots are free")
	require.Zero(t, counts.Starved)
	borrowed := counts.Borrowed
	for range 20 { // the others report that they have nothing running
		pool.SetOtherLoad(now, map[string]int{})
	}
	counts = pool.TakeShortageCounts()
	require.Greater(t, counts.Borrowed, borrowed)
	require.Zero(t, counts.Deferred, "requests count once, when they are queued")

	full := sharingPools(true, 1, engines(1))[0]
	startedByServer([]*schedule.Pool{full}, 20)
	require.Equal(t, schedule.ShortageCounts{}, full.TakeShortageCounts(), "its requests wait for its own slots")
}

// Load: a shortage, then much less than the engines can run. Guards against starvation that
// cannot be seen by an operator, or that is reported without a shortage.
func TestServedRatesNameStarvedOrganisations(t *testing.T) {
	sim := newShortage(1, 8, unequalOrganisations(func(n int) int { return n % 3 }))
	starved := func() (count, urgent int) {
		for _, rate := range sim.pools[0].ServedRates(sim.now) {
			if !rate.Starved || rate.OfRoute {
				continue
			}
			count++
			require.Less(t, rate.StartedPerSecond/rate.AskedPerSecond, rate.AllStartedPerSecond/rate.AllAskedPerSecond)
			for _, o := range sim.organisations {
				if o.name == rate.Organisation && o.priority == 0 {
					urgent++
				}
			}
		}
		return count, urgent
	}
	seen := 0
	for range 10 {
		sim.load(1, 2*13*8/holdSeconds)
		count, urgent := starved()
		require.Zero(t, urgent, "the most urgent organisations")
		seen += count
	}
	require.Positive(t, seen)
	require.Positive(t, sim.pools[0].TakeShortageCounts().Starved)

	sim.advance(61)
	sim.pools[0].TakeShortageCounts() // of requests that were queued
	sim.load(5, 13*8/holdSeconds/4)
	count, _ := starved()
	require.Zero(t, count)
	require.Zero(t, sim.pools[0].TakeShortageCounts().Starved)

	without := newShortageOf(sharingPools(false, 4, engines(8)), sim.organisations)
	without.load(2, 2*13*8/holdSeconds)
	require.Empty(t, without.pools[0].ServedRates(without.now))
	require.Equal(t, schedule.ShortageCounts{}, without.pools[0].TakeShortageCounts())
}
