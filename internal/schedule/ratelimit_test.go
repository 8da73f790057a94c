package schedule_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// newSharingPools returns the pools of several gateways. Each has one server with
// unlimited slots.
func newSharingPools(now time.Time, count int) []*schedule.Pool {
	var names []string
	for n := range count {
		names = append(names, fmt.Sprint("gateway-", n))
	}
	var pools []*schedule.Pool
	for n := range count {
		p := schedule.NewPool(schedule.Options{})
		p.SetGateways(names[n], names)
		_ = p.SetServers(now, []schedule.Server{{ID: "limited", Slots: 1000, StartUnixMS: 1, Ready: true}})
		pools = append(pools, p)
	}
	return pools
}

func limitOf(perSecond float64, at time.Time) schedule.RateLimit {
	return schedule.RateLimit{Server: "limited", StartUnixMS: 1, Limited: true, PerSecond: perSecond, At: at}
}

// submit submits a request that may wait for 200 ms, and reports whether it starts at once.
func submit(p *schedule.Pool, now time.Time, id int64) bool {
	r := schedule.Request{ID: id, ArrivedAt: now, AnswerBy: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second)}
	d, _ := p.Submit(now, r)
	p.Withdraw(id)
	_, started := d.(schedule.Start)
	if started {
		_ = p.Ended(now, "limited", schedule.Finished, 0)
	}
	return started
}

// All gateways have more requests than the server accepts, at once or after a pause. In
// no 4 s may it get more than 1.5 times its limit and 5 more, and it must get most of what
// it accepts.
func TestServerGetsItsRateLimitFromAllGatewaysTogether(t *testing.T) {
	const window = 4 * time.Second
	for _, gateways := range []int{1, 4, 21} {
		for _, perSecond := range []float64{0.3, 1, 1.8, 20, 200} {
			t.Run(fmt.Sprintf("%d gateways, %g a second", gateways, perSecond), func(t *testing.T) {
				pools := newSharingPools(startTime, gateways)
				for _, p := range pools {
					require.True(t, p.RecordRateLimit(startTime, limitOf(perSecond, startTime), startTime))
				}
				var sends []time.Time
				const end = 40 * time.Second
				for elapsed := time.Duration(0); elapsed < end; elapsed += 20 * time.Millisecond {
					now := startTime.Add(elapsed)
					if paused := elapsed > 20*time.Second && elapsed < 30*time.Second; paused {
						continue
					}
					for n, p := range pools {
						_ = p.RecordRateLimit(now, limitOf(perSecond, now), now)
						for range 8 {
							if !submit(p, now, int64(n+1)) {
								break
							}
							sends = append(sends, now)
						}
					}
				}
				for n, first := range sends {
					last, _ := slices.BinarySearchFunc(sends, first.Add(window), time.Time.Compare)
					require.LessOrEqual(t, float64(last-n), 1.5*perSecond*window.Seconds()+5, "requests within 4 s")
				}
				require.GreaterOrEqual(t, float64(len(sends)), 0.75*perSecond*30)
			})
		}
	}
}

// A server whose limit holds it back is not chosen while another one is free, and a
// request that cannot wait for its turn is refused at once with a time at which it can
// run.
func TestRequestsBeyondRateLimitGoElsewhereOrAreRefused(t *testing.T) {
	now := startTime
	p := newSharingPools(now, 1)[0]
	require.True(t, p.RecordRateLimit(now, limitOf(0.5, now), now))
	now = now.Add(500 * time.Millisecond)
	require.True(t, submit(p, now, 1))
	d, _ := p.Submit(now, schedule.Request{ID: 2, ArrivedAt: now, AnswerBy: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second)})
	refusal, ok := d.(schedule.Refuse)
	require.True(t, ok, "%#v", d)
	require.WithinDuration(t, now.Add(2*time.Second), refusal.RetryAt, 300*time.Millisecond)
	_ = p.SetServers(now, []schedule.Server{{ID: "limited", Slots: 1000, StartUnixMS: 1, Ready: true}, {ID: "other", Slots: 1000, StartUnixMS: 1, Ready: true}})
	for n := range 20 {
		d, _ := p.Submit(now, schedule.Request{ID: int64(10 + n), ArrivedAt: now, AnswerBy: now.Add(time.Second), Deadline: now.Add(2 * time.Second)})
		require.Equal(t, "other", d.(schedule.Start).Server.ID)
	}
}

func TestRateLimitEnds(t *testing.T) {
	began := startTime
	free := func(p *schedule.Pool, now time.Time) bool {
		return submit(p, now, 1) && submit(p, now, 2) && submit(p, now, 3)
	}
	limited := func(t *testing.T) *schedule.Pool {
		p := newSharingPools(began, 1)[0]
		require.True(t, p.RecordRateLimit(began, limitOf(0.5, began), began))
		require.False(t, free(p, began.Add(time.Second)))
		return p
	}
	now := began.Add(2 * time.Second)
	unlimited := schedule.RateLimit{Server: "limited", StartUnixMS: 1, At: now}
	t.Run("response without it", func(t *testing.T) {
		p := limited(t)
		require.True(t, p.RecordRateLimit(now, unlimited, began.Add(time.Second)))
		require.True(t, free(p, now))
		require.Len(t, p.RateLimits(now), 1, "other gateways are told")
	})
	t.Run("response to an earlier request", func(t *testing.T) {
		p := limited(t)
		require.False(t, p.RecordRateLimit(now, unlimited, began.Add(-time.Millisecond)))
		require.False(t, free(p, now))
	})
	t.Run("raised, to infinity too", func(t *testing.T) {
		p := limited(t)
		require.True(t, p.RecordRateLimit(now, limitOf(1000, now), now))
		require.True(t, submit(p, now.Add(10*time.Millisecond), 1))
		require.True(t, p.RecordRateLimit(now, limitOf(math.Inf(1), now.Add(time.Millisecond)), now))
		require.True(t, free(p, now.Add(10*time.Millisecond)))
	})
	t.Run("new start", func(t *testing.T) {
		p := limited(t)
		_ = p.SetServers(now, []schedule.Server{{ID: "limited", Slots: 1000, StartUnixMS: 2, Ready: true}})
		require.True(t, free(p, now))
		require.False(t, p.RecordRateLimit(now, limitOf(0.5, now), now), "statement of the start before")
	})
	t.Run("no statement for long", func(t *testing.T) {
		require.True(t, free(limited(t), began.Add(2*time.Minute)))
	})
}

// Gateways pass statements on to each other. The time of transfer must not make a
// statement look new.
func TestRepeatedRateLimitIsNotReportedForever(t *testing.T) {
	began := startTime
	p := newSharingPools(began, 2)[0]
	require.True(t, p.RecordRateLimit(began, limitOf(1, began), began))
	require.False(t, p.RecordRateLimit(began, limitOf(1, began.Add(20*time.Millisecond)), began))
	require.Equal(t, began, p.RateLimits(began)[0].At)
	require.Empty(t, p.RateLimits(began.Add(3*time.Second)))
}
