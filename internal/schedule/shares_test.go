package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// sharingPools returns the pools of gateways that know of each other but not of each
// other's load, with the same servers.
func sharingPools(exact bool, count int, servers []schedule.Server) []*schedule.Pool {
	names := []string{}
	for n := range count {
		names = append(names, fmt.Sprint("gateway-", n))
	}
	pools := []*schedule.Pool{}
	for _, name := range names {
		pool := schedule.NewPool(schedule.Options{Region: "north", ExtraSlots: 2, ExactShares: exact})
		pool.SetGateways(name, names)
		pool.SetServers(time.Unix(1000, 0), servers)
		pools = append(pools, pool)
	}
	return pools
}

func engines(count int) []schedule.Server {
	servers := []schedule.Server{}
	for n := range count {
		servers = append(servers, schedule.Server{ID: fmt.Sprint("engine-", n), Address: fmt.Sprintf("10.0.0.%d:80", n+1), Region: "north", Slots: 12, Ready: true})
	}
	return servers
}

func generation(id int64, now time.Time) schedule.Request {
	return schedule.Request{ID: id, Generates: true, PromptMS: 1, BaseLatencyMS: 100, ArrivedAt: now, AnswerBy: now.Add(400 * time.Millisecond), Deadline: now.Add(6 * time.Second)}
}

// startedByServer submits a burst to every pool and returns the requests started, by server.
func startedByServer(pools []*schedule.Pool, each int) map[string]int {
	now, started := time.Unix(1000, 0), map[string]int{}
	for _, pool := range pools {
		for n := range each {
			if d, _ := pool.Submit(now, generation(int64(n+1), now)); d != nil {
				if s, ok := d.(schedule.Start); ok {
					started[s.Server.ID]++
				}
			}
		}
	}
	return started
}

// Load: a burst at all gateways at once, while none knows of the others' requests. Guards
// against requests that wait at an engine, out of the order of priorities, because the
// limits of the gateways add up to more than its slots.
func TestExactSharesAddUpToTheSlots(t *testing.T) {
	for _, gateways := range []int{1, 2, 6, 8, 11, 16, 21} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			servers := engines(52)
			total := 0
			for _, count := range startedByServer(sharingPools(true, gateways, servers), 14*52) {
				require.LessOrEqual(t, count, 13, "the slots and one request that waits")
				total += count
			}
			require.Equal(t, 13*52, total, "no slot stays unused")
		})
	}
}

// Guards against an overload of engines at sites with many gateways, whose least shares
// add up to more than the slots: 1.6 times for sixteen gateways.
func TestManyGatewaysShareSlotsExactlyWithoutASetting(t *testing.T) {
	for server, count := range startedByServer(sharingPools(false, 16, engines(52)), 12*52) {
		require.LessOrEqual(t, count, 13, server)
	}
}

// Guards against slots that nobody uses while one gateway has all requests.
func TestGatewayBorrowsSlotsThatOthersLeave(t *testing.T) {
	pool := sharingPools(true, 6, engines(4))[0]
	started := startedByServer([]*schedule.Pool{pool}, 100)
	for round := range 20 { // the others report that they have nothing running
		for _, r := range pool.SetOtherLoad(time.Unix(1000, int64(round)*int64(time.Millisecond)), map[string]int{}) {
			if s, ok := r.Decision.(schedule.Start); ok {
				started[s.Server.ID]++
			}
		}
	}
	for server, count := range started {
		require.GreaterOrEqual(t, count, 8, "four fifths of twelve slots, less one")
		require.LessOrEqual(t, count, 13, server)
	}
	require.Len(t, started, 4)
}

// Load: more than the engines can start, for many seconds, by routes of three priorities
// in organisations of the same priority. Guards against urgent requests that wait behind
// others, and against routes of the last priority that get nothing at all.
func TestUrgentRoutesGoFirstAndNoneStarves(t *testing.T) {
	pool := sharingPools(true, 1, engines(2))[0]
	start := time.Unix(1000, 0)
	routeOf, asked, served := map[int64]int{}, [3]int{}, [3]int{}
	type run struct {
		server string
		ends   time.Time
	}
	var running []run
	begin := func(id int64, s schedule.Start, now time.Time) {
		served[routeOf[id]]++
		pool.ResponseStarted(now, s.Server.ID, 100, 1)
		running = append(running, run{s.Server.ID, now.Add(time.Second)})
	}
	take := func(resolved []schedule.Resolved, now time.Time) {
		for _, r := range resolved {
			if s, ok := r.Decision.(schedule.Start); ok {
				begin(r.ID, s, now)
			}
		}
	}
	for step := range int64(3000) { // 100 requests a second, room for 26
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		for len(running) > 0 && !now.Before(running[0].ends) {
			ended := running[0]
			running = running[1:]
			take(pool.Ended(now, ended.server, schedule.Finished, 0), now)
		}
		take(pool.Tick(now), now)
		r := generation(step+1, now)
		r.RoutePriority = int(step % 3)
		routeOf[r.ID] = r.RoutePriority
		asked[r.RoutePriority]++
		decision, resolved := pool.Submit(now, r)
		if s, ok := decision.(schedule.Start); ok {
			begin(r.ID, s, now)
		}
		take(resolved, now)
	}
	all := float64(served[0]+served[1]+served[2]) / float64(asked[0]+asked[1]+asked[2])
	require.Greater(t, served[0], served[1])
	for route := range served {
		require.Greater(t, float64(served[route])/float64(asked[route]), all/4, "route priority %d of %v", route, served)
	}
}
