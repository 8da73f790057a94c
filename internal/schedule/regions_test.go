package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
)

// boundRequest returns a request that may run only in some regions.
func boundRequest(id int64, now time.Time, regions ...string) schedule.Request {
	r := soundRequest(now)
	r.ID, r.Regions, r.Bound = id, regions, true
	return r
}

func unboundRequest(id int64, now time.Time) schedule.Request {
	r := soundRequest(now)
	r.ID = id
	return r
}

// regionPool returns a pool with a server in each region, named as it is.
func regionPool(slots int, regions ...string) *schedule.Pool {
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(startTime, regionServers(slots, regions...))
	return p
}

func regionServers(slots int, regions ...string) []schedule.Server {
	var servers []schedule.Server
	for _, region := range regions {
		servers = append(servers, schedule.Server{ID: region, Region: region, Slots: slots, Ready: true})
	}
	return servers
}

func requireRefusal(t *testing.T, d schedule.Decision, reason outcome.Reason, now time.Time) {
	t.Helper()
	refuse, ok := d.(schedule.Refuse)
	require.True(t, ok, "%T", d)
	require.Equal(t, reason, refuse.Reason)
	require.True(t, refuse.RetryAt.After(now), "the caller must not come back at once")
	require.LessOrEqual(t, refuse.RetryAt.Sub(now), 2*time.Second, "callers wait at most a third of their time")
}

// Guards against any path by which a request is started in a region that it may not run in,
// or at an evacuated server:
// at once, from the queue, resumed, beside a silent server, as a probe, or after its
// regions, the servers or their state have changed.
func TestBoundRequestStartsOnlyInItsRegions(t *testing.T) {
	regions := []string{"north", "south", "west", ""}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 17))
		p := schedule.NewPool(schedule.Options{Region: "north", RemotePenalty: 0.15})
		now, limits := startTime, map[int64][]string{}
		var running []string
		check := func(id int64, d schedule.Decision) {
			start, ok := d.(schedule.Start)
			if !ok {
				return
			}
			running = append(running, start.Server.ID)
			require.False(t, start.Server.Evacuated, "seed %d, request %d", seed, id)
			if limit := limits[id]; limit != nil {
				require.Contains(t, limit, start.Server.Region, "seed %d, request %d", seed, id)
				require.NotEmpty(t, start.Server.Region, "seed %d: the region of the server is unknown", seed)
			}
		}
		checkAll := func(resolved []schedule.Resolved) {
			for _, r := range resolved {
				check(r.ID, r.Decision)
			}
		}
		limit := func() []string {
			switch rng.IntN(4) {
			case 0:
				return nil
			case 1:
				return []string{}
			}
			return regions[rng.IntN(len(regions)):]
		}
		for id := int64(1); id < 600; id++ {
			now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			switch rng.IntN(9) {
			case 0:
				var servers []schedule.Server
				for n := range rng.IntN(6) {
					servers = append(servers, schedule.Server{ID: fmt.Sprint("i-", n), Region: regions[rng.IntN(len(regions))], Slots: 1 + rng.IntN(3), Ready: rng.IntN(4) > 0, Evacuated: rng.IntN(4) == 0})
				}
				checkAll(p.SetServers(now, servers))
			case 1:
				for queued := range limits {
					limits[queued] = limit()
				}
				checkAll(p.SetRegions(now, func(queued int64) ([]string, bool) { return limits[queued], limits[queued] != nil }))
			case 2, 3:
				if len(running) > 0 {
					n := rng.IntN(len(running))
					end := schedule.End(rng.IntN(int(schedule.Withdrawn) + 1))
					server := running[n]
					running = slices.Delete(running, n, n+1)
					checkAll(p.Ended(now, server, end, 0))
				}
			case 4:
				checkAll(p.Tick(now))
			case 5:
				r := unboundRequest(id, now)
				limits[id] = limit()
				r.Regions, r.Bound, r.Resumed = limits[id], limits[id] != nil, true
				if start, ok := p.StartElsewhere(now, r); ok {
					check(id, start)
				}
			default:
				r := unboundRequest(id, now)
				limits[id] = limit()
				r.Regions, r.Bound = limits[id], limits[id] != nil
				r.Resumed, r.Retried = rng.IntN(5) == 0, rng.IntN(5) == 0
				d, others := p.Submit(now, r)
				check(id, d)
				checkAll(others)
			}
		}
	}
}

// Guards against a bound request that waits until its deadline, or is refused with another
// reason, although no server in its regions serves.
func TestBoundRequestWithoutServerIsRefusedAtOnce(t *testing.T) {
	p := regionPool(4, "south", "west")
	requireRefusal(t, decisionOf(p.Submit(startTime, boundRequest(1, startTime, "north"))), outcome.NoAllowedRegion, startTime)
	requireRefusal(t, decisionOf(p.Submit(startTime, boundRequest(2, startTime))), outcome.NoAllowedRegion, startTime)
	require.IsType(t, schedule.Start{}, decisionOf(p.Submit(startTime, boundRequest(3, startTime, "north", "west"))))

	loading := regionServers(4, "south", "west")
	loading[0].Ready = false
	p.SetServers(startTime, loading)
	requireRefusal(t, decisionOf(p.Submit(startTime, boundRequest(4, startTime, "south"))), outcome.NoAllowedRegion, startTime)
}

// Guards against callers that are refused together and come back together.
func TestRefusalsWithoutServerInRegionAreSpread(t *testing.T) {
	p := regionPool(4, "south")
	times := map[time.Time]int{}
	for id := range int64(8) {
		times[decisionOf(p.Submit(startTime, boundRequest(id, startTime, "north"))).(schedule.Refuse).RetryAt]++
	}
	require.Len(t, times, 8)
	full := decisionOf(p.Submit(startTime, unboundRequest(9, startTime)))
	require.IsType(t, schedule.Start{}, full, "others are not affected")
}

// Guards against a change of the regions, or the loss of the last server in them, that
// does not reach the requests in the queue.
func TestQueuedRequestIsRefusedOnceNoRegionIsLeft(t *testing.T) {
	queue := func() *schedule.Pool {
		p := regionPool(1, "north", "south")
		for id := range int64(2) {
			require.IsType(t, schedule.Start{}, decisionOf(p.Submit(startTime, unboundRequest(10+id, startTime))))
		}
		require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, boundRequest(1, startTime, "north"))))
		return p
	}
	now := startTime.Add(20 * time.Millisecond)

	p := queue()
	resolved := p.SetRegions(now, func(int64) ([]string, bool) { return nil, true })
	require.Len(t, resolved, 1)
	requireRefusal(t, resolved[0].Decision, outcome.NoAllowedRegion, now)
	require.Zero(t, p.Waiting())

	p = queue()
	require.Empty(t, p.SetRegions(now, func(int64) ([]string, bool) { return []string{"south"}, true }))
	require.Empty(t, p.Ended(now, "north", schedule.Finished, 0), "its slot is in the former region")
	resolved = p.Ended(now, "south", schedule.Finished, 0)
	require.Len(t, resolved, 1)
	require.Equal(t, "south", resolved[0].Decision.(schedule.Start).Server.ID)

	p = queue()
	p.SetServers(now, regionServers(1, "south"))
	resolved = p.Tick(now)
	require.Len(t, resolved, 1)
	requireRefusal(t, resolved[0].Decision, outcome.NoAllowedRegion, now)
}

// Guards against a response that is cut because the servers of its region are away for a
// moment, and against one that waits although no region is allowed any more.
func TestResumedRequestWaitsForServersOfItsRegion(t *testing.T) {
	p := regionPool(4, "south")
	r := boundRequest(1, startTime, "north")
	r.Resumed = true
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, r)))
	now := startTime.Add(300 * time.Millisecond)
	resolved := p.SetServers(now, regionServers(4, "north", "south"))
	require.Len(t, resolved, 1)
	require.Equal(t, "north", resolved[0].Decision.(schedule.Start).Server.ID)
	none := boundRequest(2, now)
	none.Resumed = true
	requireRefusal(t, decisionOf(p.Submit(now, none)), outcome.NoAllowedRegion, now)
}

// Guards against requests that wait for a full region and hold up those that may run
// elsewhere: in the queue, and by the estimate of its length.
func TestWaitingBoundRequestsDoNotBlockOthers(t *testing.T) {
	const waiting = 60
	p := regionPool(2, "north", "south")
	for id := range int64(2) {
		require.IsType(t, schedule.Start{}, decisionOf(p.Submit(startTime, boundRequest(id, startTime, "north"))))
	}
	p.Ended(startTime, "north", schedule.Finished, 0) // completions are counted, so that waits are estimated
	for id := range int64(waiting) {
		r := boundRequest(100+id, startTime, "north")
		r.AnswerBy = startTime.Add(time.Minute)
		p.Submit(startTime, r)
	}
	require.Greater(t, p.Waiting(), 0)
	now := startTime.Add(time.Millisecond)
	for id := range int64(2) {
		start, ok := decisionOf(p.Submit(now, unboundRequest(200+id, now))).(schedule.Start)
		require.True(t, ok)
		require.Equal(t, "south", start.Server.ID)
	}
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(now, boundRequest(300, now, "south"))), "its estimate counts only those for its region")
	resolved := p.Ended(now, "south", schedule.Finished, 0)
	require.Len(t, resolved, 1)
	require.EqualValues(t, 300, resolved[0].ID)
}

// Guards against unbound requests that fill a region although others have room, and leave
// no slot there to requests that may run nowhere else.
func TestUnboundRequestsLeaveRoomForBoundOnes(t *testing.T) {
	const slots = 8
	count := func(bound bool) map[string]int {
		p := schedule.NewPool(schedule.Options{Region: "north", RemotePenalty: 0.15})
		p.SetServers(startTime, regionServers(slots, "north", "south"))
		for id := range int64(slots / 2) {
			r := boundRequest(id, startTime, "north")
			r.Bound = bound
			start := decisionOf(p.Submit(startTime, r)).(schedule.Start)
			p.Ended(startTime, start.Server.ID, schedule.Finished, 0)
		}
		return startsAt(t, p, startTime.Add(10*time.Millisecond), slots)
	}
	require.Greater(t, count(false)["north"], slots/2)
	require.LessOrEqual(t, count(true)["north"], 3, "they go to the other region first")

	p := regionPool(slots, "north", "south")
	decisionOf(p.Submit(startTime, boundRequest(1, startTime, "north")))
	starts := startsAt(t, p, startTime.Add(10*time.Millisecond), 2*slots-1)
	require.Equal(t, map[string]int{"north": slots - 1, "south": slots}, starts, "no slot is left unused")
	p = regionPool(slots, "north", "south")
	decisionOf(p.Submit(startTime, boundRequest(1, startTime, "north")))
	p.Ended(startTime, "north", schedule.Finished, 0)
	require.Equal(t, 4, startsAt(t, p, startTime.Add(5*time.Second), slots)["north"], "the reservation ends")
}

// Guards against a slot that is used after its server's region was taken from the request,
// and against a slot that stays counted after it was given back.
func TestSlotOfFormerRegionIsGivenBack(t *testing.T) {
	p := regionPool(1, "north", "south")
	start := decisionOf(p.Submit(startTime, boundRequest(1, startTime, "north"))).(schedule.Start)
	require.True(t, p.Permits(startTime, start.Server.ID, boundRequest(1, startTime, "north")))
	require.False(t, p.Permits(startTime, start.Server.ID, boundRequest(1, startTime, "south")))
	require.False(t, p.Permits(startTime, start.Server.ID, boundRequest(1, startTime)))
	p.Ended(startTime, start.Server.ID, schedule.Withdrawn, 0)
	require.Equal(t, "north", decisionOf(p.Submit(startTime, boundRequest(2, startTime, "north"))).(schedule.Start).Server.ID)
}
