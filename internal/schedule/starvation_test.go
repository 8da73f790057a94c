package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// shortage simulates gateways with exact shares whose callers belong to organisations of
// different size and priority. An engine holds a slot for each request.
type shortage struct {
	clock
	random        *rand.Rand
	pools         []*schedule.Pool
	organisations []organisation
	requests      map[int64]shortageRequest
	asked, served map[string]int // by class of request; "all": of all requests
	next          int64
	anonymous     bool // requests do not name their organisation
}

type organisation struct {
	name     string
	weight   float64 // its fraction of the requests
	priority int
}

type shortageRequest struct {
	gateway int
	classes []string // that count the request
}

// holdSeconds is the mean time for which a request holds its slot.
const holdSeconds = 1.0

// unequalOrganisations returns 24 organisations, the first three of which account for half
// of the requests. priority returns the priority of the organisation with an index.
func unequalOrganisations(priority func(index int) int) []organisation {
	var list []organisation
	for n := range 24 {
		weight := 0.5 / 21
		if n < 3 {
			weight = 0.5 / 3
		}
		list = append(list, organisation{name: fmt.Sprint("organisation-", n), weight: weight, priority: priority(n)})
	}
	return list
}

func newShortage(gateways, engineCount int, organisations []organisation) *shortage {
	return newShortageOf(sharingPools(true, gateways, engines(engineCount)), organisations)
}

func newShortageOf(pools []*schedule.Pool, organisations []organisation) *shortage {
	sim := &shortage{
		clock: clock{now: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(5, 11)), organisations: organisations, pools: pools,
		requests: map[int64]shortageRequest{}, asked: map[string]int{}, served: map[string]int{},
	}
	sim.every(10*time.Millisecond, func() {
		for n, p := range sim.pools {
			sim.take(n, p.Tick(sim.now))
		}
	})
	sim.every(gossipInterval, sim.exchange)
	return sim
}

func (sim *shortage) every(interval time.Duration, run func()) {
	sim.after(interval, func() {
		run()
		sim.every(interval, run)
	})
}

// exchange gives each gateway the number of requests that the others have running.
func (sim *shortage) exchange() {
	for n, p := range sim.pools {
		sim.take(n, p.SetOtherLoad(sim.now, runningOfOthers(sim.pools, n)))
	}
}

// load submits requests at a rate per second for some seconds.
func (sim *shortage) load(seconds, rate float64) {
	until := sim.now.Add(time.Duration(seconds * float64(time.Second)))
	var next func()
	next = func() {
		if sim.now.Before(until) {
			sim.submit()
			sim.after(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	next()
	sim.advance(seconds)
}

func (sim *shortage) submit() { sim.submitFrom(sim.pickOrganisation()) }

func (sim *shortage) submitFrom(from organisation) {
	sim.next++
	gateway := sim.random.IntN(len(sim.pools))
	r := generation(sim.next, sim.now)
	r.Organisation, r.Priority, r.RoutePriority = from.name, from.priority, sim.random.IntN(3)
	if sim.anonymous {
		r.Organisation = ""
	}
	classes := []string{"all", from.name, fmt.Sprint("priority ", from.priority), fmt.Sprint("route priority ", r.RoutePriority)}
	for _, class := range classes {
		sim.asked[class]++
	}
	sim.requests[r.ID] = shortageRequest{gateway, classes}
	sim.start(gateway, r)
}

func (sim *shortage) start(gateway int, r schedule.Request) {
	decision, others := sim.pools[gateway].Submit(sim.now, r)
	sim.take(gateway, append(others, schedule.Resolved{ID: r.ID, Decision: decision}))
}

func (sim *shortage) pickOrganisation() organisation {
	at := sim.random.Float64()
	for _, o := range sim.organisations {
		if at -= o.weight; at < 0 {
			return o
		}
	}
	return sim.organisations[len(sim.organisations)-1]
}

func (sim *shortage) take(gateway int, resolved []schedule.Resolved) {
	for _, r := range resolved {
		s, ok := r.Decision.(schedule.Start)
		if !ok {
			continue
		}
		for _, class := range sim.requests[r.ID].classes {
			sim.served[class]++
		}
		pool, id := sim.pools[gateway], s.Server.ID
		sim.after(100*time.Millisecond, func() { pool.ResponseStarted(sim.now, id, 100, 1) })
		hold := holdSeconds * (0.5 + sim.random.Float64())
		sim.after(time.Duration(hold*float64(time.Second)), func() {
			sim.take(gateway, pool.Ended(sim.now, id, schedule.Finished, 0))
		})
	}
}

// share returns the fraction of the requests of a class that were served.
func (sim *shortage) share(class string) float64 {
	return float64(sim.served[class]) / float64(max(1, sim.asked[class]))
}

// leftForMostUrgent returns the share of the requests of priority 0 that can be served if all
// others are served 0.4 times as often as all requests, up to which they are protected.
func (sim *shortage) leftForMostUrgent() float64 {
	urgent := float64(sim.asked["priority 0"])
	if urgent == 0 {
		return 0
	}
	others := float64(sim.asked["all"]) - urgent
	return min(1, (float64(sim.served["all"])-0.4*sim.share("all")*others)/urgent)
}

// Load: twice what the engines can run, for 30 s, by 24 organisations of priorities 0 to 2,
// of which three send half of the requests. Guards against organisations and routes that
// get nothing, because the queue is ordered by priority or because they send few requests,
// and against a protection that costs the most urgent requests more than it needs.
func TestNoOrganisationStarvesUnderShortage(t *testing.T) {
	const engineCount, seconds = 8, 30
	for name, priority := range map[string]func(int) int{
		"large ones of each priority":   func(n int) int { return n % 3 },
		"large ones most urgent":        func(n int) int { return min(2, n/3) },
		"large ones least urgent":       func(n int) int { return 2 - min(2, n/3) },
		"all of the same priority":      func(int) int { return 1 },
		"half of them the least urgent": func(n int) int { return n % 2 * 2 },
	} {
		for _, gateways := range []int{1, 4, 16} {
			t.Run(fmt.Sprint(name, "/gateways ", gateways), func(t *testing.T) {
				sim := newShortage(gateways, engineCount, unequalOrganisations(priority))
				sim.load(seconds, 2*13*engineCount/holdSeconds)
				all := sim.share("all")
				t.Logf("all %.3f of %d; priorities %.3f %.3f %.3f; route priorities %.3f %.3f %.3f", all, sim.asked["all"],
					sim.share("priority 0"), sim.share("priority 1"), sim.share("priority 2"),
					sim.share("route priority 0"), sim.share("route priority 1"), sim.share("route priority 2"))
				require.InDelta(t, 0.5, all, 0.1, "the load is twice the capacity")
				for _, o := range sim.organisations {
					require.GreaterOrEqual(t, sim.share(o.name), all/4, "%s of priority %d", o.name, o.priority)
				}
				for route := range 3 {
					require.GreaterOrEqual(t, sim.share(fmt.Sprint("route priority ", route)), all/4)
				}
				if gateways == 1 { // several ones also lose slots to each other's shares
					require.GreaterOrEqual(t, sim.share("priority 0"), sim.leftForMostUrgent()-0.05)
				}
			})
		}
	}
}

// Load: half of what the engines can run for 20 s, then a multiple of it, by organisations as
// above. Guards against requests that were served in calm and count against an organisation
// in the shortage that follows.
func TestNoOrganisationStarvesInShortageAfterCalm(t *testing.T) {
	const engineCount, capacity = 8, 13 * 8 / holdSeconds
	for _, gateways := range []int{1, 4} {
		for _, multiple := range []float64{2, 4} {
			t.Run(fmt.Sprint("gateways ", gateways, "/times ", multiple), func(t *testing.T) {
				sim := newShortage(gateways, engineCount, unequalOrganisations(func(n int) int { return n % 3 }))
				sim.load(20, capacity/2)
				sim.asked, sim.served = map[string]int{}, map[string]int{}
				sim.load(30, multiple*capacity)
				for _, o := range sim.organisations {
					require.GreaterOrEqual(t, sim.share(o.name), sim.share("all")/4, "%s of priority %d", o.name, o.priority)
				}
			})
		}
	}
}

// Load: after calm, an organisation of the least urgent priority sends a request at even
// intervals beside a multiple of what the engines can run. Guards against rates at which an
// organisation is never far enough behind to be protected.
func TestOrganisationWithEvenRequestsIsNotStarved(t *testing.T) {
	const engineCount, capacity = 8, 13 * 8 / holdSeconds
	for _, perSecond := range []float64{2, 4.5, 6, 8} {
		for _, multiple := range []float64{2, 4} {
			t.Run(fmt.Sprint(perSecond, " per second/times ", multiple), func(t *testing.T) {
				sim := newShortage(1, engineCount, []organisation{{name: "urgent", weight: 1}})
				sim.every(time.Duration(float64(time.Second)/perSecond), func() {
					sim.submitFrom(organisation{name: "even", priority: 2})
				})
				sim.load(10, capacity/2)
				sim.asked, sim.served = map[string]int{}, map[string]int{}
				sim.load(30, multiple*capacity)
				require.GreaterOrEqual(t, sim.share("even"), sim.share("all")/4)
			})
		}
	}
}

// Guards against organisations that are never protected, because the table of organisations
// is full of those that no longer send requests.
func TestOrganisationsWithoutRequestsAreDropped(t *testing.T) {
	sim := newShortage(1, 8, unequalOrganisations(func(n int) int { return n % 3 }))
	for n := range 3000 {
		r := generation(int64(-1-n), sim.now)
		r.Organisation = fmt.Sprint("former organisation ", n)
		sim.start(0, r)
		sim.pools[0].Withdraw(r.ID)
	}
	sim.advance(61)
	sim.load(30, 2*13*8/holdSeconds)
	for _, o := range sim.organisations {
		require.GreaterOrEqual(t, sim.share(o.name), sim.share("all")/4, o.name)
	}
}

// Guards against a change of the order at gateways without exact shares.
func TestWithoutExactSharesOrganisationsAreNotProtected(t *testing.T) {
	served := func(anonymous bool) map[string]int {
		sim := newShortageOf(sharingPools(false, 4, engines(8)), unequalOrganisations(func(n int) int { return n % 3 }))
		sim.anonymous = anonymous
		sim.load(10, 2*13*8/holdSeconds)
		return sim.served
	}
	require.Equal(t, served(true), served(false))
}

// Guards against an organisation that is served as often as others and still goes before
// more urgent ones.
func TestOnlyStarvedOrganisationGoesFirst(t *testing.T) {
	for name, c := range map[string]struct {
		unserved int // earlier requests of the less urgent organisation
		first    int64
	}{
		"served":  {0, 1},
		"starved": {20, 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			pool := sharingPools(true, 1, engines(1))[0]
			submit := func(id int64, organisation string, priority int) schedule.Decision {
				r := generation(id, now)
				r.Organisation, r.Priority = organisation, priority
				decision, _ := pool.Submit(now, r)
				return decision
			}
			for n := range int64(13) {
				organisation := "urgent"
				if n == 0 {
					organisation = "other"
				}
				require.IsType(t, schedule.Start{}, submit(100+n, organisation, 0))
			}
			for n := range int64(c.unserved) {
				submit(200+n, "other", 2)
				pool.Withdraw(200 + n)
			}
			require.IsType(t, schedule.Wait{}, submit(1, "urgent", 0))
			require.IsType(t, schedule.Wait{}, submit(2, "other", 2))
			var started []int64
			for range 2 {
				for _, r := range pool.Ended(now, "engine-0", schedule.Finished, 1) {
					started = append(started, r.ID)
				}
			}
			require.Equal(t, []int64{c.first, 3 - c.first}, started)
		})
	}
}
