package configuration_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/loopback"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
)

// startServing starts a site that serves version 1 on n replicas.
func startServing(t testing.TB, o loopback.Options, n int) *loopback.Site {
	s := startSite(t, o)
	first := publishVersion(t, s, "1", 1)
	setClass(t, s, newClass("1", n))
	eventually(t, 20*time.Second, "version 1 is served", servesOn(s, first, n))
	return s
}

func placementOf(g *loopback.Gateway) placement.Placement {
	snapshot, _ := g.Desired.Current()
	return snapshot.Placement
}

// newestPlacement returns the newest placement that a running gateway has.
func newestPlacement(s *loopback.Site) placement.Placement {
	var newest placement.Placement
	for _, g := range s.Gateways {
		if p := placementOf(g); g.Running() && p.Revision > newest.Revision {
			newest = p
		}
	}
	return newest
}

func countCalls(s *loopback.Site) int {
	n := 0
	for _, c := range s.KeyValue.Calls().Calls {
		n += c.Count
	}
	return n
}

func TestPlacementStaysDuringKeyValueOutage(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 9}, 6)
	before := newestPlacement(s)
	s.KeyValue.SetFaults(standinkv.Faults{Down: true})
	agent, err := s.AddAgent("newcomer", "centre-0")
	require.NoError(t, err)
	g, err := s.AddGateway("gateway-new", "centre-1")
	require.NoError(t, err)
	s.PublishInstances()
	eventually(t, 10*time.Second, "new daemons get configuration and placement from peers", func() (bool, string) {
		a, _ := agent.Desired.Current()
		b, _ := g.Desired.Current()
		return a.Complete() && b.Complete(), fmt.Sprintf("agent %v, gateway %v", a.Revisions(), b.Revisions())
	})
	time.Sleep(12 * time.Second) // longer than the planner lease and half of the longest retry interval
	require.True(t, newestPlacement(s).SameAssignments(before), "the placement must not change during the outage")
	for _, a := range s.Agents[:9] {
		snapshot, _ := a.Desired.Current()
		require.Equal(t, before.Revision, snapshot.Placement.Revision)
	}
	callsBefore := countCalls(s)
	s.KeyValue.SetFaults(standinkv.Faults{})
	time.Sleep(time.Second)
	t.Logf("%d calls in the first second after the outage, of 4 gateways", countCalls(s)-callsBefore)
	require.Less(t, countCalls(s)-callsBefore, 40, "too many calls right after the outage")
	revision := setClass(t, s, newClass("1", 7))
	eventually(t, 30*time.Second, "a change made after the outage reaches every daemon", inForce(s, revision))
	eventually(t, 30*time.Second, "a planner holds the lease again and places seven instances", func() (bool, string) {
		a, _ := newestPlacement(s).Assignment("auction")
		return len(a.Instances) == 7, fmt.Sprint(len(a.Instances))
	})
}

func TestAllGatewaysReplacedDuringKeyValueOutage(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 6}, 3)
	before := newestPlacement(s)
	s.KeyValue.SetFaults(standinkv.Faults{Down: true})
	for i := range 3 {
		s.Gateways[i].Stop()
		_, err := s.AddGateway(fmt.Sprintf("fresh-%d", i), fmt.Sprintf("centre-%d", i))
		require.NoError(t, err)
	}
	s.PublishInstances()
	eventually(t, 40*time.Second, "new gateways get the placement from agents", func() (bool, string) {
		for _, g := range s.Gateways[3:] {
			if placementOf(g).Revision != before.Revision {
				return false, g.Name + " lacks the placement"
			}
		}
		return true, ""
	})
}

func TestStaleReadsNeverLowerRevision(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 6}, 3)
	s.KeyValue.SetFaults(standinkv.Faults{StaleReads: true, DelayMilliseconds: 300})
	revision := setClass(t, s, newClass("1", 5))
	s.KeyValue.SetFaults(standinkv.Faults{StaleReads: true})
	g, err := s.AddGateway("gateway-late", "centre-0")
	require.NoError(t, err)
	s.PublishInstances()
	stop := time.Now().Add(8 * time.Second)
	seen := map[string]uint64{}
	for time.Now().Before(stop) {
		for _, g := range s.Gateways {
			snapshot, _ := g.Desired.Current()
			require.GreaterOrEqual(t, snapshot.Configuration.Revision, seen[g.Name])
			seen[g.Name] = snapshot.Configuration.Revision
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.KeyValue.SetFaults(standinkv.Faults{})
	eventually(t, 60*time.Second, "the change reaches every daemon", inForce(s, revision))
	snapshot, _ := g.Desired.Current()
	require.GreaterOrEqual(t, snapshot.Configuration.Revision, revision)
	eventually(t, 20*time.Second, "five instances are placed", func() (bool, string) {
		a, _ := newestPlacement(s).Assignment("auction")
		return len(a.Instances) == 5, fmt.Sprint(len(a.Instances))
	})
}

func TestChangesReachDaemonsDuringKeyValueFlapping(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 9}, 4)
	s.KeyValue.SetFaults(standinkv.Faults{FlapMilliseconds: 700, DelayMilliseconds: 50})
	var last uint64
	for n := 5; n <= 8; n++ {
		last = setClass(t, s, newClass("1", n))
	}
	eventually(t, 30*time.Second, "the last change reaches every daemon during the fault", inForce(s, last))
	s.KeyValue.SetFaults(standinkv.Faults{})
	eventually(t, 40*time.Second, "eight instances are placed", func() (bool, string) {
		a, _ := newestPlacement(s).Assignment("auction")
		return len(a.Instances) == 8, fmt.Sprint(len(a.Instances))
	})
}

func TestPlannerLeaseMovesAfterHolderStops(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 4, Agents: 6}, 3)
	holder := newestPlacement(s).Holder
	for _, g := range s.Gateways {
		if g.Name == holder {
			g.Stop()
		}
	}
	took := eventually(t, 10*time.Second, "another gateway holds the planner lease", func() (bool, string) {
		return newestPlacement(s).Holder != holder, holder
	})
	t.Logf("planner lease moved %s after its holder stopped", took)
	setClass(t, s, newClass("1", 5))
	eventually(t, 10*time.Second, "the new holder plans", func() (bool, string) {
		a, _ := newestPlacement(s).Assignment("auction")
		return len(a.Instances) == 5, fmt.Sprint(len(a.Instances))
	})
}

// TestPartitionedHolderReleasesPlannerLease partitions the lease holder's data centre
// from the others, but not from the key-value service. The holder could renew its
// lease but not see the other data centres, so another gateway must plan.
func TestPartitionedHolderReleasesPlannerLease(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 9}, 6)
	second := publishVersion(t, s, "2", 2)
	holder := newestPlacement(s).Holder
	holderDataCentre := ""
	for _, g := range s.Gateways {
		if g.Name == holder {
			holderDataCentre = g.DataCentre
		}
	}
	for i := range 3 {
		if other := fmt.Sprintf("centre-%d", i); other != holderDataCentre {
			s.SetPartitioned(holderDataCentre, other, true)
		}
	}
	setClass(t, s, newClass("2", 6))
	took := eventually(t, 30*time.Second, "the release proceeds in the other data centres", func() (bool, string) {
		n := 0
		for _, a := range s.Agents {
			if a.DataCentre != holderDataCentre && a.Tracker.Status().Digest == second {
				n++
			}
		}
		return n >= 4, fmt.Sprintf("%d instances serve; lease holder %s", n, newestPlacement(s).Holder)
	})
	t.Logf("four instances outside the partitioned data centre serve after %s", took)
	require.NotEqual(t, holder, newestPlacement(s).Holder)
}

func TestDeadReplicaIsReplaced(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 9}, 3)
	c := newClass("1", 3)
	c.Target.ReadyBy = time.Now().Add(40 * time.Second)
	setClass(t, s, c)
	a, _ := newestPlacement(s).Assignment("auction")
	dead := a.Instances[0]
	for _, agent := range s.Agents {
		if agent.Name == dead {
			agent.Stop()
		}
	}
	took := eventually(t, 15*time.Second, "the stopped replica is replaced", func() (bool, string) {
		a, _ := newestPlacement(s).Assignment("auction")
		for _, name := range a.Instances {
			if name == dead {
				return false, "still placed"
			}
		}
		return len(a.Instances) == 3, fmt.Sprint(a.Instances)
	})
	t.Logf("stopped replica left the placement after %s, with 40 s to the target's deadline", took)
}

func TestIsolatedDataCentreIsNotEvacuated(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 6, Agents: 12}, 6)
	before := newestPlacement(s)
	s.SetIsolated("centre-1", true)
	revision := setClass(t, s, newClass("1", 7))
	stop := time.Now().Add(38 * time.Second) // a dead instance keeps its place for at most 30 s
	for time.Now().Before(stop) {
		a, _ := newestPlacement(s).Assignment("auction")
		old, _ := before.Assignment("auction")
		for _, name := range old.Instances {
			require.Contains(t, a.Instances, name, "an isolated instance must stay placed")
		}
		time.Sleep(50 * time.Millisecond)
	}
	suspected := 0
	for _, e := range s.Gateways[0].Table.Entries() {
		if e.State == membership.Suspected {
			suspected++
		}
	}
	require.Equal(t, 4, suspected, "number of suspected members")
	s.SetIsolated("centre-1", false)
	took := eventually(t, 40*time.Second, "the isolated data centre gets the change", inForce(s, revision))
	t.Logf("data centre caught up %s after its isolation ended", took)
}

func TestLostDataCentreIsReplacedOnceUnlisted(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 6, Agents: 15}, 6)
	for _, a := range s.Agents {
		if a.DataCentre == "centre-2" {
			a.Stop()
		}
	}
	for _, g := range s.Gateways {
		if g.DataCentre == "centre-2" {
			g.Stop()
		}
	}
	s.PublishInstances()
	took := eventually(t, 70*time.Second, "the lost instances are replaced", func() (bool, string) {
		a, _ := newestPlacement(s).Assignment("auction")
		for _, name := range a.Instances {
			for _, agent := range s.Agents {
				if agent.Name == name && !agent.Running() {
					return false, name + " is still placed"
				}
			}
		}
		return len(a.Instances) == 6, fmt.Sprint(len(a.Instances))
	})
	t.Logf("lost data centre replaced after %s, without a deadline for the target", took)
}

// TestPartitionsNeverLowerRevision partitions pairs of data centres at random while
// a class is changed. No revision may fall, and every daemon must end with the last
// accepted change.
func TestPartitionsNeverLowerRevision(t *testing.T) {
	t.Parallel()
	rng := newRand(t)
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 6, Agents: 12}, 4)
	var last uint64
	seen := map[string]uint64{}
	for step := range 12 {
		a, b := rng.IntN(3), rng.IntN(3)
		if a != b {
			s.SetPartitioned(fmt.Sprintf("centre-%d", a), fmt.Sprintf("centre-%d", b), rng.IntN(2) == 0)
		}
		c := newClass("1", 4+step%6)
		c.Priority = step
		last = setClass(t, s, c)
		for range 20 {
			for _, g := range s.Gateways {
				snapshot, _ := g.Desired.Current()
				require.GreaterOrEqual(t, snapshot.Configuration.Revision, seen[g.Name])
				seen[g.Name] = snapshot.Configuration.Revision
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for i := range 3 {
		s.SetIsolated(fmt.Sprintf("centre-%d", i), false)
	}
	eventually(t, 40*time.Second, "the last change reaches every daemon", inForce(s, last))
	for _, g := range s.Gateways {
		snapshot, _ := g.Desired.Current()
		c, _ := snapshot.Configuration.Class("auction")
		require.Equal(t, 11, c.Priority)
	}
}

// TestConcurrentOperatorChangesConverge has several operators change one class while
// the key-value service loses answers. Each must get a definite outcome, and one of
// the changes must be in force in every gateway.
func TestConcurrentOperatorChangesConverge(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 6}, 3)
	s.KeyValue.SetFaults(standinkv.Faults{LoseAnswersOneIn: 3})
	const operators = 5
	outcomes := make(chan operator.Outcome, operators)
	for o := range operators {
		go func() {
			outcomes <- setPriority(s, fmt.Sprintf("operator-%d", o), 100+o)
		}()
	}
	accepted := 0
	for range operators {
		switch o := (<-outcomes).(type) {
		case operator.Accepted:
			accepted++
		case operator.Rejected:
			require.NotEmpty(t, o.Differences)
		default:
			require.Fail(t, "unexpected outcome", "%+v", o)
		}
	}
	s.KeyValue.SetFaults(standinkv.Faults{})
	require.Positive(t, accepted)
	eventually(t, 40*time.Second, "every gateway has the same one of the changes", func() (bool, string) {
		want := -1
		for _, g := range s.Gateways {
			snapshot, _ := g.Desired.Current()
			c, _ := snapshot.Configuration.Class("auction")
			if c.Priority < 100 || (want >= 0 && c.Priority != want) {
				return false, fmt.Sprint(c.Priority, want)
			}
			want = c.Priority
		}
		return true, ""
	})
}

// TestTwoPlannersDoNotUndoEachOther clears the lease's key while its holder still
// counts the lease as held: two gateways plan, and only compare-and-swap keeps them
// from overwriting each other's placements.
func TestTwoPlannersDoNotUndoEachOther(t *testing.T) {
	t.Parallel()
	s := startServing(t, loopback.Options{DataCentres: 3, Gateways: 4, Agents: 12}, 4)
	client := kv.NewClient(s.KeyValueURL())
	ctx := context.Background()
	first := newestPlacement(s).Holder
	leaseEntry, err := client.Get(ctx, "duty/planner")
	require.NoError(t, err)
	_, err = client.Swap(ctx, kv.Swap{Key: "duty/planner", Revision: leaseEntry.Revision})
	require.NoError(t, err)
	eventually(t, 10*time.Second, "a second gateway writes a placement", func() (bool, string) {
		return newestPlacement(s).Holder != first, first
	})
	swapsBefore := countSwaps(s, placement.Key)
	plannedFrom := newestPlacement(s).PlannedFrom
	for n := 5; n <= 10; n++ {
		setClass(t, s, newClass("1", n))
		time.Sleep(700 * time.Millisecond)
		now := newestPlacement(s).PlannedFrom
		require.GreaterOrEqual(t, now, plannedFrom)
		plannedFrom = now
	}
	eventually(t, 10*time.Second, "the last change is planned", func() (bool, string) {
		a, _ := newestPlacement(s).Assignment("auction")
		return len(a.Instances) == 10, fmt.Sprint(len(a.Instances))
	})
	last := newestPlacement(s)
	time.Sleep(3 * time.Second)
	require.True(t, newestPlacement(s).SameAssignments(last), "the placement must not change again")
	t.Logf("%d placement writes attempted for 6 changes", countSwaps(s, placement.Key)-swapsBefore)
	require.Less(t, countSwaps(s, placement.Key)-swapsBefore, 40)
}

func countSwaps(s *loopback.Site, key string) int {
	for _, c := range s.KeyValue.Calls().Calls {
		if c.Kind == standinkv.KindSwap && c.Prefix == key {
			return c.Count
		}
	}
	return 0
}
