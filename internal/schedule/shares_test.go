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
		pool.SetSlotSharers(names)
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

// Load: fewer slots than gateways, and one request at a time at each gateway. Guards against
// a gateway that refuses all its requests while the servers are idle, because its share of
// the slots of every server is 0.
func TestGatewayWithoutAShareIsServed(t *testing.T) {
	evacuated := engines(8)
	for n := range evacuated[1:] {
		evacuated[n+1].Evacuated = true
	}
	small := engines(1)
	small[0].Slots = 4
	for name, c := range map[string]struct {
		exact    bool
		gateways int
		servers  []schedule.Server
	}{
		"one server, set":               {true, 8, small},
		"one server, many gateways":     {false, 16, engines(1)},
		"one data centre not evacuated": {false, 16, evacuated},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			for n, pool := range sharingPools(c.exact, c.gateways, c.servers) {
				decision, _ := pool.Submit(now, generation(1, now))
				require.IsType(t, schedule.Start{}, decision, "gateway %d", n)
			}
		})
	}
}

// Guards against gateways without a share that send more requests to a busy server.
func TestGatewayWithoutAShareLeavesBusyServersAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	started := 0
	for _, pool := range sharingPools(false, 16, engines(1)) {
		pool.SetOtherLoad(now, map[string]int{"engine-0": 12})
		if d, _ := pool.Submit(now, generation(1, now)); d != nil {
			if _, ok := d.(schedule.Start); ok {
				started++
			}
		}
	}
	require.Equal(t, 13, started, "the gateways that have a share")
}

// Load: long prompts at a gateway that exceeds its share of the slots, as the others are
// idle. Guards against prompts that wait for each other at an engine beyond what may be
// pending there, because the bound holds only within the share.
func TestBorrowedSlotsBoundPendingPrompts(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := sharingPools(true, 4, engines(4))[0]
	for id := range int64(12) {
		decision, _ := pool.Submit(now, generation(id+1, now))
		require.IsType(t, schedule.Start{}, decision)
		pool.ResponseStarted(now, decision.(schedule.Start).Server.ID, 100, 1)
	}
	for range 50 {
		pool.SetOtherLoad(now, map[string]int{})
	}
	pending := map[string]float64{}
	for id := range int64(24) {
		r := generation(id+100, now)
		r.PromptMS = 100
		decision, _ := pool.Submit(now, r)
		if s, ok := decision.(schedule.Start); ok {
			require.LessOrEqual(t, pending[s.Server.ID], 150.0, s.Server.ID)
			pending[s.Server.ID] += r.PromptMS
		}
	}
	require.Len(t, pending, 4, "slots are borrowed")
}

// Load: all requests at one of four gateways, and a server with few slots. Guards against
// slots that nobody may use at a site that is too small to run the requests from which a
// gateway usually learns its share of the load.
func TestGatewayBorrowsSlotsAtSmallSite(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := engines(1)
	servers[0].Slots = 6
	for n, pool := range sharingPools(true, 4, servers) {
		started := startedByServer([]*schedule.Pool{pool}, 12)["engine-0"]
		for range 50 { // the others report that they have nothing running
			for _, r := range pool.SetOtherLoad(now, map[string]int{}) {
				if _, ok := r.Decision.(schedule.Start); ok {
					started++
				}
			}
		}
		require.GreaterOrEqual(t, started, 4, "four fifths of six slots, gateway %d", n)
		require.LessOrEqual(t, started, 7, "gateway %d", n)
	}
}

// Load: two requests at a gateway that has a share of the last server only. Guards against a
// gateway that exceeds its share of the servers before it as if it had none at all.
func TestGatewayWithAShareOfTheLastServerUsesNoRoomElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	hasShare := func(gateway int, s schedule.Server) bool {
		pool := sharingPools(true, 16, []schedule.Server{s})[gateway]
		pool.SetOtherLoad(now, map[string]int{s.ID: 12})
		decision, _ := pool.Submit(now, generation(1, now))
		_, started := decision.(schedule.Start)
		return started
	}
	servers, tested := engines(2), 0
	for gateway, pool := range sharingPools(true, 16, servers) {
		if hasShare(gateway, servers[0]) || !hasShare(gateway, servers[1]) {
			continue
		}
		tested++
		decision, _ := pool.Submit(now, generation(1, now))
		require.IsType(t, schedule.Start{}, decision)
		require.Equal(t, servers[1].ID, decision.(schedule.Start).Server.ID)
		decision, _ = pool.Submit(now, generation(2, now))
		require.IsType(t, schedule.Wait{}, decision)

		evacuated := engines(2)
		evacuated[1].Evacuated = true
		resolved := pool.SetServers(now, evacuated)
		require.Len(t, resolved, 1, "no available server has a share")
		require.Equal(t, servers[0].ID, resolved[0].Decision.(schedule.Start).Server.ID)
	}
	require.Positive(t, tested)
}
