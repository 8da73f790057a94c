package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/gossip"
	"almondreel.example/almondreel/internal/hostedrpc"
)

const (
	roundInterval = 150 * time.Millisecond
	aliveTimeout  = 1500 * time.Millisecond
)

// simulation simulates gateways that call each other in rounds. It also tracks an
// update that callers pull with each call, as they do configurations and departures.
type simulation struct {
	t           *testing.T
	now         time.Time
	tables      []*gossip.Table
	gateways    []hostedrpc.Gateway
	byAddress   map[string]int
	down        map[int]bool
	partitioned map[string]bool // regions without connection to others
	updated     []bool          // by gateway: it has the update
	calls       int             // in the last round
}

func newSimulation(t *testing.T, regions, perRegion int) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), byAddress: map[string]int{}, down: map[int]bool{}, partitioned: map[string]bool{}}
	for region := range regions {
		for n := range perRegion {
			gateway := hostedrpc.Gateway{Name: fmt.Sprintf("edge-%d-%d", region, n), Address: fmt.Sprintf("10.%d.0.%d:7700", region, n), Region: fmt.Sprint("region-", region)}
			s.byAddress[gateway.Address] = len(s.gateways)
			s.gateways = append(s.gateways, gateway)
		}
	}
	seeds := []string{s.gateways[0].Address, s.gateways[perRegion].Address, s.gateways[2*perRegion].Address}
	for _, gateway := range s.gateways {
		s.tables = append(s.tables, gossip.New(gateway, seeds, s.now))
	}
	s.updated = make([]bool, len(s.gateways))
	return s
}

// runRound simulates a round: each gateway calls those that ShouldCall selects.
func (s *simulation) runRound() {
	s.now = s.now.Add(roundInterval)
	s.calls = 0
	for n, t := range s.tables {
		for address, m := range s.byAddress {
			if s.down[n] || !t.ShouldCall(address, s.now) {
				continue
			}
			s.calls++
			unreachable := s.gateways[n].Region != s.gateways[m].Region && (s.partitioned[s.gateways[n].Region] || s.partitioned[s.gateways[m].Region])
			if s.down[m] || unreachable {
				continue
			}
			s.call(n, m)
		}
	}
}

func (s *simulation) call(n, m int) {
	from, to := s.tables[n], s.tables[m]
	request := from.BuildRequest(s.gateways[m].Address, map[string]int{"server": 1}, s.now)
	to.Receive(request, s.now)
	from.RecordAnswer(s.gateways[m].Address, s.now)
	if known := to.Alive(s.now); gossip.Digest(known) != request.Known {
		for _, g := range known {
			from.Observe(g, s.now)
		}
	}
	s.updated[n] = s.updated[n] || s.updated[m] // the reply contains updates that the caller lacks
}

func (s *simulation) runRounds(n int) {
	for range n {
		s.runRound()
	}
}

func (s *simulation) allUpdated() bool {
	for n, updated := range s.updated {
		if !updated && !s.down[n] {
			return false
		}
	}
	return true
}

// The number of calls per round must grow with the gateways per region and the number
// of regions, not with the square of the site. Every gateway must still know all others.
func TestCallsGrowLessThanQuadratically(t *testing.T) {
	for _, c := range []struct{ regions, perRegion int }{{3, 2}, {5, 4}, {5, 8}, {11, 12}} {
		s := newSimulation(t, c.regions, c.perRegion)
		s.runRounds(12)
		total := c.regions * c.perRegion
		for n, table := range s.tables {
			require.Len(t, table.Alive(s.now), total, "gateway %d of %d", n, total)
			require.Equal(t, total, table.PeakAlive())
		}
		maxCalls := total*(c.perRegion-1) + 2*c.regions*2*(c.regions-1)
		require.LessOrEqual(t, s.calls, maxCalls, "%d gateways in %d regions", total, c.regions)
	}
}

// Loads arrive directly and in relayed totals. Each gateway's load must be counted
// once by every other gateway, and no longer once the gateway is down.
func TestEachGatewayLoadIsCountedOnce(t *testing.T) {
	s := newSimulation(t, 5, 4)
	s.runRounds(12)
	for _, table := range s.tables {
		require.Equal(t, 19, table.OtherLoad(s.now)["server"])
	}
	s.down[0], s.down[1] = true, true
	s.now = s.now.Add(aliveTimeout)
	s.runRounds(24)
	for n, table := range s.tables {
		if !s.down[n] {
			require.Equal(t, 17, table.OtherLoad(s.now)["server"])
		}
	}
}

// Configurations, departures of servers and quarantined requests must reach all
// gateways within a second, from whichever gateway they start.
func TestUpdateReachesEveryGatewayWithinASecond(t *testing.T) {
	for source := range 20 {
		s := newSimulation(t, 5, 4)
		s.runRounds(12)
		s.updated[source] = true
		s.runRounds(4)
		require.True(t, s.allUpdated(), "from gateway %d", source)
	}
}

// If both relays of a region fail, the remaining gateways must choose new ones and
// updates must reach every region again.
func TestLostRelaysAreReplaced(t *testing.T) {
	s := newSimulation(t, 5, 4)
	s.runRounds(12)
	// Two gateways of each region fail at the same time, relays or not.
	for n := range s.gateways {
		s.down[n] = n%4 < 2
	}
	s.runRounds(int(aliveTimeout/roundInterval) + 4) // relayed information may be some rounds old
	s.updated[2] = true
	s.runRounds(5)
	require.True(t, s.allUpdated())
	for n, table := range s.tables {
		if !s.down[n] {
			require.Len(t, table.Alive(s.now), 10)
		}
	}
	for n := range s.gateways {
		s.down[n] = false
	}
	s.runRounds(12)
	for _, table := range s.tables {
		require.Len(t, table.Alive(s.now), 20)
	}
}

// After a partition of 9 s, longer than aliveTimeout, the region must be connected
// again within a second.
func TestRegionRejoinsWithinASecondAfterPartition(t *testing.T) {
	s := newSimulation(t, 5, 4)
	s.runRounds(12)
	s.partitioned["region-3"] = true
	s.runRounds(60) // 9 s
	require.Len(t, s.tables[0].Alive(s.now), 16)
	require.Len(t, s.tables[12].Alive(s.now), 4)
	s.updated[0] = true
	s.partitioned["region-3"] = false
	s.runRounds(6)
	require.True(t, s.allUpdated())
	require.Len(t, s.tables[12].Alive(s.now), 20)
}

// An unreachable gateway must not be called forever, unless it is in the settings.
func TestUnreachableGatewayIsRemovedUnlessSeed(t *testing.T) {
	s := newSimulation(t, 3, 2)
	s.runRounds(12)
	s.down[0], s.down[1] = true, true
	s.now = s.now.Add(time.Minute)
	require.True(t, s.tables[2].RemoveStale(s.gateways[1].Address, s.now))
	require.False(t, s.tables[2].ShouldCall(s.gateways[1].Address, s.now))
	require.False(t, s.tables[2].RemoveStale(s.gateways[0].Address, s.now), "its address is in the settings")
}

func BenchmarkBuildRequest(b *testing.B) {
	for _, c := range []struct{ regions, perRegion int }{{3, 2}, {5, 4}, {11, 36}} {
		b.Run(fmt.Sprint(c.regions*c.perRegion), func(b *testing.B) {
			now := time.Unix(1000, 0)
			own := hostedrpc.Gateway{Name: "edge-0-0", Address: "10.0.0.0:7700", Region: "region-0"}
			table := gossip.New(own, nil, now)
			for r := range c.regions {
				for n := range c.perRegion {
					table.Observe(hostedrpc.Gateway{Name: fmt.Sprintf("edge-%d-%d", r, n), Address: fmt.Sprintf("10.%d.0.%d:7700", r, n), Region: fmt.Sprint("region-", r)}, now)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				table.BuildRequest("10.0.0.1:7700", nil, now)
			}
		})
	}
}

// Guards against a set of known gateways that shrinks when a gateway loses contact: it would
// take more than its share of what the gateways divide among themselves.
func TestKnownGatewaysOutlastLossOfContact(t *testing.T) {
	s := newSimulation(t, 3, 2)
	s.runRounds(12)
	before := s.tables[0].Known()
	require.Len(t, before, 6)
	for n := 1; n < 6; n++ {
		s.down[n] = true
	}
	s.runRounds(300)
	require.Len(t, s.tables[0].Alive(s.now), 1)
	require.Equal(t, before, s.tables[0].Known())
	require.Equal(t, 6, s.tables[0].PeakAlive())
}
