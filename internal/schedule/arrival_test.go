package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// waited returns how long a caller of the route has waited by the estimate.
func waited(e *schedule.ArrivalEstimator, route string, left time.Duration, at time.Time) time.Duration {
	return at.Sub(e.FirstCall(route, at, at.Add(left)))
}

// callsOfRoute returns an estimator that knows calls with a timeout of 5.9 s.
func callsOfRoute(route string, now time.Time) *schedule.ArrivalEstimator {
	e := schedule.NewArrivalEstimator()
	for range 20 {
		e.FirstCall(route, now, now.Add(5900*time.Millisecond))
	}
	return e
}

func TestArrivalEstimatorDetectsRepeatCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	e := callsOfRoute("a", now)
	require.Zero(t, waited(e, "a", 5900*time.Millisecond, now))
	require.Zero(t, waited(e, "a", 5200*time.Millisecond, now), "first calls of a route have about the same timeout")
	require.Equal(t, 1200*time.Millisecond, waited(e, "a", 4700*time.Millisecond, now))
	require.Equal(t, 4*time.Second, waited(e, "a", 1900*time.Millisecond, now))
	require.Zero(t, waited(e, "b", 2*time.Second, now), "routes are independent")
	require.NotZero(t, waited(e, "a", 4700*time.Millisecond, now.Add(15*time.Second)))
	require.Zero(t, waited(e, "a", 4700*time.Millisecond, now.Add(40*time.Second)), "old calls have expired")
}

// Callers that come back under lasting overload outnumber new ones.
func TestArrivalEstimatorDetectsRepeatCallsThatAreTheMost(t *testing.T) {
	now := time.Unix(1000, 0)
	e := schedule.NewArrivalEstimator()
	for n := range 400 {
		now = now.Add(10 * time.Millisecond)
		first := 5500*time.Millisecond + time.Duration(n%8)*100*time.Millisecond
		waitedBefore := time.Duration(n%5) * 1200 * time.Millisecond // four of five calls are repeats
		got := waited(e, "a", first-waitedBefore, now)
		switch {
		case n < 100: // the estimator learns
		case waitedBefore == 0:
			require.Zero(t, got)
		case first-waitedBefore > time.Second:
			require.InDelta(t, waitedBefore.Seconds(), got.Seconds(), 0.75)
		}
	}
}

// One call with a time budget of 10^20 ms made repeats of all later calls of its route, so
// that they were refused as soon as they had to wait.
func TestLongTimeoutOfOneCallerMakesNoRepeatsOfOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, long := range []time.Duration{24 * time.Hour, time.Minute, 9 * time.Second, time.Duration(1<<63 - 1)} {
		e := schedule.NewArrivalEstimator()
		require.Zero(t, waited(e, "a", long, now))
		for n := range 200 {
			require.Zero(t, waited(e, "a", 3*time.Second, now), "%s and %d calls", long, n)
			if n%20 == 19 {
				waited(e, "a", long, now)
			}
		}
	}
}

// Callers with timeouts of a minute, as many as all others, must not make repeats of those.
func TestCallersWithOtherTimeoutsAreNoRepeats(t *testing.T) {
	now := time.Unix(1000, 0)
	e := schedule.NewArrivalEstimator()
	for range 100 {
		require.Zero(t, waited(e, "a", time.Minute, now))
		require.Zero(t, waited(e, "a", 3*time.Second, now))
	}
}
