package coldstart_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/coldstart"
)

// newLimiter returns the limiter of a site's only gateway.
func newLimiter(o coldstart.Options) *coldstart.Limiter {
	l := coldstart.NewLimiter(o)
	l.SetGateways(startTime, coldstart.Gateways{Own: "a", Alive: []string{"a"}, Known: []string{"a"}, Count: 1, Settled: true})
	return l
}

// sendAll sends as many requests as the engine may get now, at most limit.
func sendAll(e *coldstart.Engine, now time.Time, limit int) int {
	sent := 0
	for sent < limit && e.MaySend(now) && !e.SendAt(now).After(now) {
		_ = e.CountSend(now)
		sent++
	}
	return sent
}

// Guards against limits for engines that are not cold, that accept any rate, or that nobody
// asked to limit.
func TestOnlyColdEnginesAreLimited(t *testing.T) {
	now := startTime
	require.Nil(t, coldstart.NewLimiter(coldstart.Options{}).Update(now, "e", 26, now.Add(time.Minute)))
	l := newLimiter(coldstart.Options{Overage: 1.5, Tolerance: 5})
	require.Equal(t, 100, sendAll(l.Update(now, "warm", 26, time.Time{}), now, 100))
	require.Equal(t, 100, sendAll(l.Update(now, "any rate", 0, now.Add(time.Minute)), now, 100))
	e := l.Update(now, "cold", 26, now.Add(time.Minute))
	require.Less(t, sendAll(e, now, 100), 44)
	require.Len(t, l.Cold(now), 1)
	now = now.Add(time.Minute)
	require.Empty(t, l.Cold(now))
	require.Equal(t, 100, sendAll(e, now, 100))
}

// Guards against a burst to an engine that got its usual load just before it became cold,
// and against a delay of more than about a second because of that load.
func TestRequestsBeforeEngineBecameColdCount(t *testing.T) {
	now := startTime
	l := newLimiter(coldstart.Options{Overage: 1.5, Tolerance: 5})
	e := l.Update(now, "e", 26, time.Time{})
	require.Equal(t, 400, sendAll(e, now, 400))
	now = now.Add(300 * time.Millisecond)
	e = l.Update(now, "e", 26, now.Add(time.Minute))
	require.Zero(t, sendAll(e, now, 100))
	require.WithinDuration(t, now.Add(1150*time.Millisecond), e.SendAt(now), 10*time.Millisecond)
}

// Guards against a limit that ends because an entry lags behind a response, or a burst
// because an engine is unlisted for a moment.
func TestStatedColdnessAndUnlistedEngineStayLimited(t *testing.T) {
	now := startTime
	l := newLimiter(coldstart.Options{Overage: 1.5, Tolerance: 5})
	e := l.Update(now, "e", 26, time.Time{})
	e.Extend(now, now.Add(10*time.Second))
	require.Less(t, sendAll(e, now, 100), 44)
	l.Prune(now, map[string]bool{})
	now = now.Add(100 * time.Millisecond)
	e = l.Update(now, "e", 26, time.Time{})
	require.LessOrEqual(t, sendAll(e, now, 100), 4)
}

// Guards against overflow and division by zero with implausible rates and bounds. A bound
// below one request allows none.
func TestImplausibleRates(t *testing.T) {
	now := startTime
	for _, c := range []struct {
		options   coldstart.Options
		perSecond float64
		most      int
	}{
		{coldstart.Options{Overage: 1.5, Tolerance: 5}, math.MaxFloat64, 1000},
		{coldstart.Options{Overage: 1000, Tolerance: 1 << 20}, 1 << 20, 1000},
		{coldstart.Options{Overage: 1}, 0.3, 0},
		{coldstart.Options{Overage: 1}, 1e-300, 0},
		{coldstart.Options{Overage: 1, Tolerance: 1}, 1e-300, 1},
	} {
		l := newLimiter(c.options)
		e := l.Update(now, "e", c.perSecond, now.Add(10*time.Minute))
		require.Equal(t, c.most, sendAll(e, now, 1000), "%+v", c)
		require.False(t, e.SendAt(now).After(now.Add(10*time.Minute)))
	}
}

// Guards against a new limiter that sends freely before it knows the other gateways.
func TestNewLimiterTakesMinimumShare(t *testing.T) {
	now := startTime
	l := coldstart.NewLimiter(coldstart.Options{Overage: 1.5, Tolerance: 5})
	e := l.Update(now, "e", 26, now.Add(time.Minute))
	require.Zero(t, sendAll(e, now, 100))
	l.SetGateways(now, coldstart.Gateways{Own: "a", Alive: []string{"a"}, Known: []string{"a", "b"}, Count: 2, SendFrom: now.Add(2 * time.Second)})
	now = now.Add(time.Second)
	require.Zero(t, sendAll(e, now, 100), "the process before it may have sent some")
	now = now.Add(2 * time.Second)
	require.Equal(t, 1, sendAll(e, now, 100))
}

// Guards against two gateways that both have a part of the bound while it moves from one to
// the other: a smaller share applies at once, a larger one when all gateways know of it.
func TestLargerShareAppliesLater(t *testing.T) {
	now := startTime
	l := coldstart.NewLimiter(coldstart.Options{Overage: 1.5, Tolerance: 5})
	set := func(count int) {
		l.SetGateways(now, coldstart.Gateways{Own: "a", Alive: []string{"a"}, Known: []string{"b"}, Count: count, Settled: true})
	}
	set(44)
	e := l.Update(now, "e", 26, now.Add(time.Hour))
	require.Equal(t, 1, sendAll(e, now, 100))
	now = now.Add(10 * time.Second)
	set(4)
	now = now.Add(10 * time.Millisecond)
	_ = e.SendAt(now)
	now = now.Add(1900 * time.Millisecond)
	require.Equal(t, 1, sendAll(e, now, 100))
	now = now.Add(10 * time.Second)
	_ = e.SendAt(now) // the larger share applies from here on
	now = now.Add(10 * time.Second)
	require.Greater(t, sendAll(e, now, 100), 1)
	now = now.Add(10 * time.Second)
	_ = e.SendAt(now)
	set(44)
	require.Equal(t, 1, sendAll(e, now, 100))
}
