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
	standkv "almondreel.example/almondreel/internal/standin/kv"
)

// serving starts a site that serves version 1 on n replicas.
func serving(t testing.TB, o loopback.Options, n int) *loopback.Site {
	s := start(t, o)
	first := publish(t, s, "1", 1)
	set(t, s, class("1", n))
	eventually(t, 20*time.Second, "version 1 serves", allServe(s, first, n))
	return s
}

func placementOf(g *loopback.Gateway) placement.Placement {
	snapshot, _ := g.Desired.Current()
	return snapshot.Placement
}

// newest returns the newest placement that a running gateway has.
func newest(s *loopback.Site) placement.Placement {
	var best placement.Placement
	for _, g := range s.Gateways {
		if p := placementOf(g); g.Running() && p.Revision > best.Revision {
			best = p
		}
	}
	return best
}

func calls(s *loopback.Site) int {
	n := 0
	for _, c := range s.KeyValue.Calls().Calls {
		n += c.Count
	}
	return n
}

func TestOutageOfTheKeyValueService(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 9}, 6)
	before := newest(s)
	s.KeyValue.SetFaults(standkv.Faults{Down: true})
	agent, err := s.AddAgent("newcomer", "centre-0")
	require.NoError(t, err)
	g, err := s.AddGateway("gateway-new", "centre-1")
	require.NoError(t, err)
	s.List()
	eventually(t, 10*time.Second, "newcomers have configuration and placement from peers", func() (bool, string) {
		a, _ := agent.Desired.Current()
		b, _ := g.Desired.Current()
		return a.Complete() && b.Complete(), fmt.Sprintf("agent %v, gateway %v", a.Revisions(), b.Revisions())
	})
	time.Sleep(12 * time.Second) // longer than the duty's lease and the longest retry's half
	require.True(t, newest(s).Same(before), "nothing moves during the outage")
	for _, a := range s.Agents[:9] {
		snapshot, _ := a.Desired.Current()
		require.Equal(t, before.Revision, snapshot.Placement.Revision)
	}
	counted := calls(s)
	s.KeyValue.SetFaults(standkv.Faults{})
	time.Sleep(time.Second)
	t.Logf("%d calls in the first second after the outage, of 4 gateways", calls(s)-counted)
	require.Less(t, calls(s)-counted, 40, "no stampede")
	revision := set(t, s, class("1", 7))
	eventually(t, 30*time.Second, "a change after the outage is in force", inForce(s, revision))
	eventually(t, 30*time.Second, "the duty is held again", func() (bool, string) {
		a, _ := newest(s).Of("auction")
		return len(a.Instances) == 7, fmt.Sprint(len(a.Instances))
	})
}

func TestAllGatewaysReplacedDuringAnOutage(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 6}, 3)
	before := newest(s)
	s.KeyValue.SetFaults(standkv.Faults{Down: true})
	for i := range 3 {
		s.Gateways[i].Stop()
		_, err := s.AddGateway(fmt.Sprintf("fresh-%d", i), fmt.Sprintf("centre-%d", i))
		require.NoError(t, err)
	}
	s.List()
	eventually(t, 40*time.Second, "fresh gateways learn from agents", func() (bool, string) {
		for _, g := range s.Gateways[3:] {
			if placementOf(g).Revision != before.Revision {
				return false, g.Name + " has none"
			}
		}
		return true, ""
	})
}

func TestOlderRevisionsNeverRevert(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 6}, 3)
	s.KeyValue.SetFaults(standkv.Faults{StaleReads: true, DelayMilliseconds: 300})
	revision := set(t, s, class("1", 5))
	s.KeyValue.SetFaults(standkv.Faults{StaleReads: true})
	g, err := s.AddGateway("gateway-late", "centre-0")
	require.NoError(t, err)
	s.List()
	stop := time.Now().Add(8 * time.Second)
	held := map[string]uint64{}
	for time.Now().Before(stop) {
		for _, g := range s.Gateways {
			snapshot, _ := g.Desired.Current()
			require.GreaterOrEqual(t, snapshot.Configuration.Revision, held[g.Name])
			held[g.Name] = snapshot.Configuration.Revision
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.KeyValue.SetFaults(standkv.Faults{})
	eventually(t, 60*time.Second, "in force", inForce(s, revision))
	snapshot, _ := g.Desired.Current()
	require.GreaterOrEqual(t, snapshot.Configuration.Revision, revision)
	eventually(t, 20*time.Second, "five instances", func() (bool, string) {
		a, _ := newest(s).Of("auction")
		return len(a.Instances) == 5, fmt.Sprint(len(a.Instances))
	})
}

func TestFlappingService(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 9}, 4)
	s.KeyValue.SetFaults(standkv.Faults{FlapMilliseconds: 700, DelayMilliseconds: 50})
	var last uint64
	for n := 5; n <= 8; n++ {
		last = set(t, s, class("1", n))
	}
	eventually(t, 30*time.Second, "in force while flapping", inForce(s, last))
	s.KeyValue.SetFaults(standkv.Faults{})
	eventually(t, 40*time.Second, "eight instances", func() (bool, string) {
		a, _ := newest(s).Of("auction")
		return len(a.Instances) == 8, fmt.Sprint(len(a.Instances))
	})
}

func TestDutyIsHandedOver(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 4, Agents: 6}, 3)
	holder := newest(s).Holder
	for _, g := range s.Gateways {
		if g.Name == holder {
			g.Stop()
		}
	}
	took := eventually(t, 10*time.Second, "another holder", func() (bool, string) {
		return newest(s).Holder != holder, holder
	})
	t.Logf("duty handed over %s after its holder's death", took)
	set(t, s, class("1", 5))
	eventually(t, 10*time.Second, "the new holder plans", func() (bool, string) {
		a, _ := newest(s).Of("auction")
		return len(a.Instances) == 5, fmt.Sprint(len(a.Instances))
	})
}

// TestHolderCutFromTheOthersGivesTheDutyUp cuts the holder's data centre from
// the others, but not from the key-value service.
func TestHolderCutFromTheOthersGivesTheDutyUp(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 9}, 6)
	second := publish(t, s, "2", 2)
	holder := newest(s).Holder
	home := ""
	for _, g := range s.Gateways {
		if g.Name == holder {
			home = g.DataCentre
		}
	}
	for i := range 3 {
		if other := fmt.Sprintf("centre-%d", i); other != home {
			s.Cut(home, other, true)
		}
	}
	set(t, s, class("2", 6))
	took := eventually(t, 30*time.Second, "the release goes on in the other data centres", func() (bool, string) {
		n := 0
		for _, a := range s.Agents {
			if a.DataCentre != home && a.Board.Status().Digest == second {
				n++
			}
		}
		return n >= 4, fmt.Sprintf("%d serve; holder %s", n, newest(s).Holder)
	})
	t.Logf("four instances outside the cut serve after %s", took)
	require.NotEqual(t, holder, newest(s).Holder)
}

func TestDeadReplicaIsReplaced(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 9}, 3)
	c := class("1", 3)
	c.Target.ReadyBy = time.Now().Add(40 * time.Second)
	set(t, s, c)
	a, _ := newest(s).Of("auction")
	dead := a.Instances[0]
	for _, agent := range s.Agents {
		if agent.Name == dead {
			agent.Stop()
		}
	}
	took := eventually(t, 15*time.Second, "replaced", func() (bool, string) {
		a, _ := newest(s).Of("auction")
		for _, name := range a.Instances {
			if name == dead {
				return false, "still placed"
			}
		}
		return len(a.Instances) == 3, fmt.Sprint(a.Instances)
	})
	t.Logf("a dead replica left the placement after %s with 40 s to the target", took)
}

func TestDataCentreCutOffIsNotEvacuated(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 6, Agents: 12}, 6)
	before := newest(s)
	s.CutOff("centre-1", true)
	revision := set(t, s, class("1", 7))
	stop := time.Now().Add(38 * time.Second) // longer than the longest damping
	for time.Now().Before(stop) {
		a, _ := newest(s).Of("auction")
		old, _ := before.Of("auction")
		for _, name := range old.Instances {
			require.Contains(t, a.Instances, name, "cut off is not dead")
		}
		time.Sleep(50 * time.Millisecond)
	}
	cut := 0
	for _, e := range s.Gateways[0].Table.Entries() {
		if e.State == membership.Suspected {
			cut++
		}
	}
	require.Equal(t, 4, cut, "members of the data centre are suspected")
	s.CutOff("centre-1", false)
	took := eventually(t, 40*time.Second, "the data centre catches up", inForce(s, revision))
	t.Logf("data centre caught up %s after the cut", took)
}

func TestLostDataCentreIsReplacedOnceThePlatformSaysSo(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 6, Agents: 15}, 6)
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
	s.List()
	took := eventually(t, 70*time.Second, "replaced elsewhere", func() (bool, string) {
		a, _ := newest(s).Of("auction")
		for _, name := range a.Instances {
			for _, agent := range s.Agents {
				if agent.Name == name && !agent.Running() {
					return false, name + " is still placed"
				}
			}
		}
		return len(a.Instances) == 6, fmt.Sprint(len(a.Instances))
	})
	t.Logf("lost data centre replaced after %s, without a target in time", took)
}

// TestCutsHealWithoutReverting cuts pairs of data centres at random while
// operators change a class, and checks that every daemon ends with the last
// accepted change and that no revision ever falls.
func TestCutsHealWithoutReverting(t *testing.T) {
	t.Parallel()
	random := random(t)
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 6, Agents: 12}, 4)
	var last uint64
	held := map[string]uint64{}
	for step := range 12 {
		a, b := random.IntN(3), random.IntN(3)
		if a != b {
			s.Cut(fmt.Sprintf("centre-%d", a), fmt.Sprintf("centre-%d", b), random.IntN(2) == 0)
		}
		c := class("1", 4+step%6)
		c.Priority = step
		last = set(t, s, c)
		for range 20 {
			for _, g := range s.Gateways {
				snapshot, _ := g.Desired.Current()
				require.GreaterOrEqual(t, snapshot.Configuration.Revision, held[g.Name])
				held[g.Name] = snapshot.Configuration.Revision
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for i := range 3 {
		s.CutOff(fmt.Sprintf("centre-%d", i), false)
	}
	eventually(t, 40*time.Second, "the last change is in force", inForce(s, last))
	for _, g := range s.Gateways {
		snapshot, _ := g.Desired.Current()
		c, _ := snapshot.Configuration.Class("auction")
		require.Equal(t, 11, c.Priority)
	}
}

// TestRacingOperatorsAcrossTheSite checks that what operators are told holds in
// every daemon.
func TestRacingOperatorsAcrossTheSite(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 6}, 3)
	s.KeyValue.SetFaults(standkv.Faults{LoseAnswersOneIn: 3})
	const operators = 5
	outcomes := make(chan operator.Outcome, operators)
	for o := range operators {
		go func() {
			outcomes <- change(s, fmt.Sprintf("operator-%d", o), 100+o)
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
			require.Fail(t, "outcome", "%+v", o)
		}
	}
	s.KeyValue.SetFaults(standkv.Faults{})
	require.Positive(t, accepted)
	eventually(t, 40*time.Second, "one of the changes is in force everywhere", func() (bool, string) {
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

// TestTwoHoldersOfTheDuty has the service forget who holds the duty while the
// holder goes on believing it: two gateways plan, and compare-and-swap alone
// keeps them from undoing each other's plans.
func TestTwoHoldersOfTheDuty(t *testing.T) {
	t.Parallel()
	s := serving(t, loopback.Options{DataCentres: 3, Gateways: 4, Agents: 12}, 4)
	client := kv.NewClient(s.KeyValueURL())
	ctx := context.Background()
	first := newest(s).Holder
	held, err := client.Get(ctx, "duty/planner")
	require.NoError(t, err)
	_, err = client.Swap(ctx, kv.Swap{Key: "duty/planner", Revision: held.Revision})
	require.NoError(t, err)
	eventually(t, 10*time.Second, "a second holder plans", func() (bool, string) {
		return newest(s).Holder != first, first
	})
	writes := swaps(s, placement.Key)
	seen := newest(s).PlannedFrom
	for n := 5; n <= 10; n++ {
		set(t, s, class("1", n))
		time.Sleep(700 * time.Millisecond)
		now := newest(s).PlannedFrom
		require.GreaterOrEqual(t, now, seen)
		seen = now
	}
	eventually(t, 10*time.Second, "the last change is planned", func() (bool, string) {
		a, _ := newest(s).Of("auction")
		return len(a.Instances) == 10, fmt.Sprint(len(a.Instances))
	})
	last := newest(s)
	time.Sleep(3 * time.Second)
	require.True(t, newest(s).Same(last), "neither undoes the plan")
	t.Logf("%d placement writes tried for 6 changes", swaps(s, placement.Key)-writes)
	require.Less(t, swaps(s, placement.Key)-writes, 40)
}

func swaps(s *loopback.Site, key string) int {
	for _, c := range s.KeyValue.Calls().Calls {
		if c.Kind == standkv.KindSwap && c.Prefix == key {
			return c.Count
		}
	}
	return 0
}
