package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/coldstart"
	"almondreel.example/almondreel/internal/schedule"
)

// The bound of cold servers in these tests is 44 requests within a second.
var coldOptions = schedule.Options{ColdStart: coldstart.Options{Overage: 1.5, Tolerance: 5}}

const (
	coldPerSecond = 26
	coldBound     = 44
)

// newColdPools returns the pools of several gateways that know each other.
func newColdPools(now time.Time, count int, servers []schedule.Server) []*schedule.Pool {
	var addresses []string
	for n := range count {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7", n))
	}
	slices.Sort(addresses)
	var pools []*schedule.Pool
	for _, own := range addresses {
		p := schedule.NewPool(coldOptions)
		p.SetColdGateways(now, coldstart.Gateways{Own: own, Alive: addresses, Known: addresses, Count: count, Settled: true})
		_ = p.SetServers(now, servers)
		pools = append(pools, p)
	}
	return pools
}

func coldServer(id string, until time.Time) schedule.Server {
	return schedule.Server{ID: id, Slots: 1000, StartUnixMS: 1, Ready: true, ColdUntil: until, ColdPerSecond: coldPerSecond}
}

// mostWithinSecond returns the most of sorted times within any second.
func mostWithinSecond(times []time.Time) int {
	most := 0
	for n, first := range times {
		end, _ := slices.BinarySearchFunc(times, first.Add(time.Second), time.Time.Compare)
		most = max(most, end-n)
	}
	return most
}

// Guards against cold servers that get more than the bound from all gateways together, by
// submitted requests, by queued ones, or by successors of silent attempts, and against a rate
// that is left unused. One gateway is suspended for a time with requests in its queue.
func TestColdServersGetNoMoreThanBoundFromAllGateways(t *testing.T) {
	until := startTime.Add(time.Hour)
	servers := []schedule.Server{coldServer("cold-0", until), coldServer("cold-1", until), coldServer("cold-2", until)}
	pools := newColdPools(startTime, 4, servers)
	sends := map[string][]time.Time{}
	id := int64(0)
	running := map[*schedule.Pool][]string{}
	started := func(p *schedule.Pool, d schedule.Decision, now time.Time) {
		if s, ok := d.(schedule.Start); ok {
			sends[s.Server.ID] = append(sends[s.Server.ID], now)
			running[p] = append(running[p], s.Server.ID)
			require.True(t, s.SendBy.After(now))
		}
	}
	const end = 20 * time.Second
	for elapsed := time.Duration(0); elapsed < end; elapsed += 10 * time.Millisecond {
		now := startTime.Add(elapsed)
		for n, p := range pools {
			if n == 0 && elapsed > 5*time.Second && elapsed < 9*time.Second {
				continue
			}
			for range 4 {
				id++
				d, resolved := p.Submit(now, schedule.Request{ID: id, ArrivedAt: now, AnswerBy: now.Add(10 * time.Second), Deadline: now.Add(10 * time.Second)})
				started(p, d, now)
				for _, r := range resolved {
					started(p, r.Decision, now)
				}
			}
			if s, ok := p.StartElsewhere(now, schedule.Request{ID: id, ArrivedAt: now, Resumed: true, AnswerBy: now.Add(time.Second)}); ok {
				started(p, s, now)
			}
			for _, r := range p.Tick(now) {
				started(p, r.Decision, now)
			}
			for _, server := range running[p] {
				for _, r := range p.Ended(now, server, schedule.Finished, 0) {
					started(p, r.Decision, now)
				}
			}
			running[p] = nil
			_ = p.SetServers(now, servers)
		}
	}
	require.Len(t, sends, len(servers))
	for server, times := range sends {
		require.LessOrEqual(t, mostWithinSecond(times), coldBound, server)
		require.GreaterOrEqual(t, float64(len(times)), 0.75*coldPerSecond*end.Seconds(), server)
	}
}

// Guards against requests that wait for a cold server while another one has slots, and that
// wait in vain where there is none.
func TestRequestsBeyondColdRateGoElsewhereOrAreRefused(t *testing.T) {
	now := startTime
	until := now.Add(time.Hour)
	p := newColdPools(now, 40, []schedule.Server{coldServer("cold", until), {ID: "warm", Slots: 1000, StartUnixMS: 1, Ready: true}})[0]
	byServer := map[string]int{}
	for n := range 100 {
		d, _ := p.Submit(now, schedule.Request{ID: int64(n + 1), ArrivedAt: now, AnswerBy: now.Add(time.Second), Deadline: now.Add(time.Second)})
		byServer[d.(schedule.Start).Server.ID]++
	}
	require.LessOrEqual(t, byServer["cold"], 2)
	require.GreaterOrEqual(t, byServer["warm"], 98)
	counts := p.TakeColdCounts()
	require.EqualValues(t, byServer["cold"], counts.Sends)
	require.Positive(t, counts.Deferred)
	require.Zero(t, p.TakeColdCounts())

	_ = p.SetServers(now, []schedule.Server{coldServer("cold", until)})
	d, _ := p.Submit(now, schedule.Request{ID: 1000, ArrivedAt: now, AnswerBy: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second)})
	refusal, ok := d.(schedule.Refuse)
	require.True(t, ok, "%#v", d)
	d, _ = p.Submit(refusal.RetryAt, schedule.Request{ID: 1001, ArrivedAt: refusal.RetryAt, AnswerBy: refusal.RetryAt.Add(200 * time.Millisecond)})
	require.IsType(t, schedule.Start{}, d, "the server accepts a request at the time given")
}

// Guards against a rate limit that a cold server states being ignored, or replacing the rate
// for cold servers: the lower one counts.
func TestLowerOfColdRateAndStatedRateCounts(t *testing.T) {
	for stated, most := range map[float64]int{0.5: 3, 1000: coldBound} {
		now := startTime
		p := newColdPools(now, 1, []schedule.Server{coldServer("cold", now.Add(time.Hour))})[0]
		p.SetGateways("a", []string{"a"})
		require.True(t, p.RecordRateLimit(now, schedule.RateLimit{Server: "cold", StartUnixMS: 1, Limited: true, PerSecond: stated, At: now}, now))
		var sends []time.Time
		for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += time.Millisecond {
			d, _ := p.Submit(now.Add(elapsed), schedule.Request{ID: 1, ArrivedAt: now.Add(elapsed), AnswerBy: now.Add(elapsed)})
			p.Withdraw(1)
			if _, ok := d.(schedule.Start); ok {
				sends = append(sends, now.Add(elapsed))
				_ = p.Ended(now.Add(elapsed), "cold", schedule.Finished, 0)
			}
		}
		require.NotEmpty(t, sends)
		require.LessOrEqual(t, mostWithinSecond(sends), most)
		if stated < 1 {
			require.LessOrEqual(t, len(sends), 4)
		}
	}
}

// Guards against servers that stay limited when they are no longer cold, are never limited
// when a response says that they are cold again, or are limited by an earlier start's
// response.
func TestColdServerIsLimitedUntilItsDeadline(t *testing.T) {
	now := startTime
	free := func(p *schedule.Pool, now time.Time) bool {
		for n := range 100 {
			d, _ := p.Submit(now, schedule.Request{ID: int64(n), ArrivedAt: now, AnswerBy: now.Add(time.Millisecond)})
			p.Withdraw(int64(n))
			if _, ok := d.(schedule.Start); !ok {
				return false
			}
		}
		return true
	}
	p := newColdPools(now, 1, []schedule.Server{coldServer("cold", now.Add(5*time.Second))})[0]
	require.False(t, free(p, now.Add(4*time.Second)))
	require.Len(t, p.ColdServers(now.Add(4*time.Second)), 1)
	now = now.Add(5 * time.Second)
	require.True(t, free(p, now))
	require.Empty(t, p.ColdServers(now))
	p.MarkCold(now, "cold", 0, now.Add(time.Minute))
	require.True(t, free(p, now), "response of another start")
	now = now.Add(10 * time.Second)
	p.MarkCold(now, "cold", 1, now.Add(2*time.Second))
	require.False(t, free(p, now))
	require.True(t, free(p, now.Add(2*time.Second)))
}

// Guards against any effect on gateways whose settings do not mention cold servers.
func TestColdServersAreNotLimitedWithoutSettings(t *testing.T) {
	now := startTime
	p := schedule.NewPool(schedule.Options{})
	_ = p.SetServers(now, []schedule.Server{coldServer("cold", now.Add(time.Hour))})
	p.MarkCold(now, "cold", 1, now.Add(time.Hour))
	for n := range 500 {
		d, _ := p.Submit(now, schedule.Request{ID: int64(n), ArrivedAt: now, AnswerBy: now.Add(time.Second)})
		start, ok := d.(schedule.Start)
		require.True(t, ok)
		require.Zero(t, start.SendBy)
	}
	require.Zero(t, p.TakeColdCounts())
	require.Empty(t, p.ColdServers(now))
}

// Guards against requests that wait in vain at a gateway whose servers have all just become
// cold: the completions of before do not say how many can start. Those that the rate cannot
// serve in time are refused at once.
func TestRequestsBeyondColdRateAreRefusedAtOnce(t *testing.T) {
	now := startTime
	p := newColdPools(now, 1, []schedule.Server{coldServer("cold", time.Time{})})[0]
	request := func(id int64) schedule.Request {
		return schedule.Request{ID: id, ArrivedAt: now, AnswerBy: now.Add(500 * time.Millisecond), Deadline: now.Add(3 * time.Second)}
	}
	for n := range 300 {
		d, _ := p.Submit(now, request(int64(n)))
		require.IsType(t, schedule.Start{}, d)
		_ = p.Ended(now, "cold", schedule.Finished, 0)
	}
	now = now.Add(3 * time.Second)
	_ = p.SetServers(now, []schedule.Server{coldServer("cold", now.Add(time.Minute))})
	started, waiting := 0, 0
	for n := range 300 {
		d, _ := p.Submit(now, request(int64(1000+n)))
		switch d.(type) {
		case schedule.Start:
			started++
		case schedule.Wait:
			waiting++
		}
	}
	t.Logf("%d started, %d waiting", started, waiting)
	require.Positive(t, started)
	require.Positive(t, waiting)
	require.LessOrEqual(t, waiting, coldPerSecond/2+2, "of those that the rate serves within 500 ms")
	for range 1000 {
		now = now.Add(time.Millisecond)
		for _, r := range p.Tick(now) {
			_, ok := r.Decision.(schedule.Start)
			require.True(t, ok, "%#v", r)
			waiting--
		}
	}
	require.Zero(t, waiting)
}

// Guards against a rate that is lost with requests that were not sent in time.
func TestUnsentRequestIsTakenBack(t *testing.T) {
	now := startTime
	p := newColdPools(now, 44, []schedule.Server{coldServer("cold", now.Add(time.Minute))})[0]
	r := schedule.Request{ID: 1, ArrivedAt: now, AnswerBy: now.Add(time.Millisecond)}
	d, _ := p.Submit(now, r)
	require.Equal(t, now.Add(coldstart.SendTimeout), d.(schedule.Start).SendBy)
	p.ReturnColdSend(now, "cold")
	_ = p.Ended(now, "cold", schedule.Superseded, 0)
	d, _ = p.Submit(now, r)
	require.IsType(t, schedule.Start{}, d)
	d, _ = p.Submit(now, r)
	require.IsType(t, schedule.Refuse{}, d)
}
