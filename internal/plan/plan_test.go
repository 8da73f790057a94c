package plan_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/plan"
	"almondreel.example/almondreel/internal/settings"
)

var startTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// fixture holds the input of a plan, which tests change directly.
type fixture struct {
	configuration operator.Document
	current       placement.Placement
	members       map[string]*membership.Entry
	published     map[string]manifest.Digest
	gone          map[string]bool
	now           time.Time
}

func newFixture(instances, dataCentres int) *fixture {
	f := &fixture{members: map[string]*membership.Entry{}, published: map[string]manifest.Digest{}, gone: map[string]bool{}, now: startTime}
	for i := range instances {
		name := fmt.Sprintf("instance-%02d", i)
		d := fmt.Sprintf("centre-%d", i%dataCentres)
		f.members[name] = &membership.Entry{State: membership.Live, LastSeen: f.now, Member: gateway.Member{
			Name: name, Region: d, DataCentre: d, Service: "assistant", Kind: settings.KindEngine}}
	}
	return f
}

func (f *fixture) setClass(name, version string, replicas, priority int) {
	f.configuration = f.configuration.WithClass(operator.Class{Name: name, Kind: operator.Model, Service: "assistant", Priority: priority,
		Target: operator.Target{Model: "m", Version: version, Replicas: replicas}})
	f.configuration.Revision++
}

func (f *fixture) plan() placement.Placement {
	var entries []membership.Entry
	for _, name := range f.names() {
		entries = append(entries, *f.members[name])
	}
	f.current = plan.Make(plan.Input{
		Configuration: f.configuration,
		Current:       f.current,
		Members:       entries,
		Gone:          func(name string) bool { return f.gone[name] },
		Digest:        func(_, version string) manifest.Digest { return f.published[version] },
		LoadTimedOut:  func(string, placement.Assignment) bool { return false },
		Now:           f.now,
	})
	return f.current
}

func (f *fixture) names() []string {
	var names []string
	for name := range f.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// applyPlacement makes each instance fetch and serve its assigned version immediately.
func (f *fixture) applyPlacement() {
	for name, e := range f.members {
		for _, a := range f.current.AssignmentsOn(name) {
			e.Member.Want, e.Member.Have, e.Member.Chunks = a.Digest, 4, 4
			if a.MayLoad(name) {
				e.Member.Digest = a.Digest
			}
		}
	}
}

// converge plans and applies often enough for a rollout to finish.
func (f *fixture) converge() {
	for range 50 {
		f.plan()
		f.applyPlacement()
	}
}

func (f *fixture) assignment(t *testing.T, class string) placement.Assignment {
	a, ok := f.current.Assignment(class)
	require.True(t, ok)
	return a
}

func TestPlanSpreadsReplicasAndKeepsInstancesWhenScaledUp(t *testing.T) {
	f := newFixture(12, 3)
	f.published["1"] = "d1"
	f.setClass("auction", "1", 6, 10)
	f.setClass("notes", "1", 3, 1)
	f.converge()
	a := f.assignment(t, "auction")
	require.Len(t, a.Instances, 6)
	require.Equal(t, a.Instances, f.assignment(t, "notes").Instances)
	byDataCentre := map[string]int{}
	for _, name := range a.Instances {
		byDataCentre[f.members[name].Member.DataCentre]++
	}
	require.Equal(t, map[string]int{"centre-0": 2, "centre-1": 2, "centre-2": 2}, byDataCentre)
	f.setClass("auction", "1", 9, 10)
	f.converge()
	scaledUp := f.assignment(t, "auction").Instances
	for _, name := range a.Instances {
		require.Contains(t, scaledUp, name)
	}
	before := f.current
	require.True(t, f.plan().SameAssignments(before), "the same input must give the same plan")
}

func TestRepublishedVersionKeepsPlacedDigest(t *testing.T) {
	f := newFixture(4, 2)
	f.published["1"] = "d1"
	f.setClass("auction", "1", 3, 10)
	f.converge()
	f.published["1"] = "other"
	f.setClass("auction", "1", 4, 10)
	f.converge()
	require.Equal(t, manifest.Digest("d1"), f.assignment(t, "auction").Digest)
}

func TestUnresolvedVersionKeepsCurrentVersion(t *testing.T) {
	f := newFixture(4, 2)
	f.published["1"] = "d1"
	f.setClass("auction", "1", 3, 10)
	f.converge()
	f.setClass("auction", "2", 4, 10)
	f.converge()
	a := f.assignment(t, "auction")
	require.Equal(t, manifest.Digest("d1"), a.Digest)
	require.Equal(t, "1", a.Version)
	require.Len(t, a.Instances, 4)
}

func TestSilentDataCentreKeepsItsInstances(t *testing.T) {
	f := newFixture(12, 3)
	f.published["1"] = "d1"
	f.setClass("auction", "1", 6, 10)
	f.converge()
	before := f.current
	for _, e := range f.members {
		if e.Member.DataCentre == "centre-1" {
			e.State = membership.Suspected // not dead: membership reports a partition, not deaths
		}
	}
	f.now = f.now.Add(time.Hour)
	require.True(t, f.plan().SameAssignments(before))
}

func TestDeadReplicaIsReplacedAfterReplacementDelay(t *testing.T) {
	cases := []struct {
		readyIn time.Duration
		keeps   time.Duration
	}{{0, 30 * time.Second}, {-time.Minute, 10 * time.Second}, {time.Minute, 6 * time.Second}, {10 * time.Second, 3 * time.Second}}
	for _, c := range cases {
		f := newFixture(6, 3)
		f.published["1"] = "d1"
		f.setClass("auction", "1", 3, 10)
		if c.readyIn != 0 {
			f.configuration.Classes[0].Target.ReadyBy = f.now.Add(c.keeps).Add(c.readyIn)
		}
		f.converge()
		dead := f.assignment(t, "auction").Instances[0]
		f.members[dead].State = membership.Suspected
		f.members[dead].Dead = true
		f.now = f.now.Add(c.keeps - 100*time.Millisecond)
		f.plan()
		require.Contains(t, f.assignment(t, "auction").Instances, dead, "ready in %s", c.readyIn)
		f.now = f.now.Add(200 * time.Millisecond)
		f.plan()
		require.NotContains(t, f.assignment(t, "auction").Instances, dead, "ready in %s", c.readyIn)
		require.Len(t, f.assignment(t, "auction").Instances, 3)
	}
}

func TestHigherPriorityPreemptsInstances(t *testing.T) {
	f := newFixture(6, 3)
	f.published["1"], f.published["2"] = "d1", "d2"
	f.setClass("notes", "1", 6, 1)
	f.converge()
	f.setClass("auction", "2", 4, 10)
	f.converge()
	require.Len(t, f.assignment(t, "auction").Instances, 4)
	require.Len(t, f.assignment(t, "notes").Instances, 2)
}

func TestSingleReplicaRolloutKeepsOldInstanceServing(t *testing.T) {
	f := newFixture(2, 1)
	f.published["1"], f.published["2"] = "d1", "d2"
	f.setClass("auction", "1", 1, 10)
	f.converge()
	old := f.assignment(t, "auction").Instances
	f.setClass("auction", "2", 1, 10)
	f.plan()
	a := f.assignment(t, "auction")
	require.NotEqual(t, old, a.Instances)
	require.Equal(t, old, a.Retiring)
	require.True(t, a.MayServe(old[0], "d1"))
	f.converge()
	require.Empty(t, f.assignment(t, "auction").Retiring)
}

// TestRolloutKeepsCapacity runs random releases with lagging heartbeats and checks
// each plan. A plan must not stop older versions before the new instances serve, and
// must not let too many instances load at the same time.
func TestRolloutKeepsCapacity(t *testing.T) {
	seed := testSeed(t)
	for round := range 60 {
		rollout := newRandomRollout(seed + uint64(round))
		for range 150 {
			rollout.step(t)
		}
	}
}

// testSeed returns the seed of a randomised run. SEED=n in the environment repeats a run.
func testSeed(t *testing.T) uint64 {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", seed)
	return seed
}

// randomRollout is a fixture whose member entries lag behind the state of the engines.
type randomRollout struct {
	*fixture
	random  *rand.Rand
	seed    uint64
	actual  map[string]*gateway.Member // true state of the instances
	version int
}

func newRandomRollout(seed uint64) *randomRollout {
	random := rand.New(rand.NewPCG(seed, 0))
	rollout := &randomRollout{fixture: newFixture(4+random.IntN(12), 1+random.IntN(3)), random: random, seed: seed, actual: map[string]*gateway.Member{}}
	for name, e := range rollout.members {
		m := e.Member
		rollout.actual[name] = &m
	}
	rollout.release(min(len(rollout.members), 4+random.IntN(8)))
	return rollout
}

func (r *randomRollout) release(replicas int) {
	r.version++
	version := fmt.Sprint(r.version)
	r.published[version] = manifest.Digest("d" + version)
	r.setClass("auction", version, replicas, 10)
}

func (r *randomRollout) step(t *testing.T) {
	for _, name := range r.names() {
		if r.random.IntN(3) == 0 {
			r.advance(name)
		}
		if r.random.IntN(3) == 0 {
			r.members[name].Member = *r.actual[name] // a heartbeat arrives
		}
	}
	if r.random.IntN(40) == 0 {
		r.release(min(len(r.members), 4+r.random.IntN(8)))
	}
	before := r.current
	r.plan()
	r.checkPlan(t, before)
}

// advance moves an instance one step towards its assignment.
func (r *randomRollout) advance(name string) {
	m := r.actual[name]
	assignments := r.current.AssignmentsOn(name)
	if len(assignments) == 0 {
		return
	}
	a := assignments[0]
	switch {
	case m.Want != a.Digest:
		m.Want, m.Have, m.Chunks = a.Digest, 0, 4
	case m.Have < m.Chunks:
		m.Have++
	case m.Digest != a.Digest && a.MayLoad(name):
		if m.Digest == "" {
			m.Digest = a.Digest
		} else {
			m.Digest = "" // loading
		}
	}
}

func (r *randomRollout) allServe(a placement.Assignment) bool {
	return !slices.ContainsFunc(a.Instances, func(name string) bool { return r.members[name].Member.Digest != a.Digest })
}

func (r *randomRollout) checkPlan(t *testing.T, before placement.Placement) {
	a, _ := r.current.Assignment("auction")
	old, _ := before.Assignment("auction")
	require.Len(t, a.Instances, r.configuration.Classes[0].Target.Replicas, "seed %d", r.seed)
	require.True(t, slices.IsSorted(a.Instances))
	serving, stillServing := 0, 0
	for _, name := range slices.Concat(old.Instances, old.Retiring) {
		if d := r.actual[name].Digest; d != "" && old.MayServe(name, d) {
			serving++
			if a.MayServe(name, d) {
				stillServing++
			}
		}
	}
	// Older versions may stop serving only once all new instances serve.
	if len(old.Instances) <= len(a.Instances) && old.Digest == a.Digest && !r.allServe(a) {
		require.GreaterOrEqual(t, stillServing, serving, "seed %d: a plan stopped instances that still serve", r.seed)
	}
	loading := 0
	for _, name := range a.Instances {
		m := r.actual[name]
		if slices.Contains(old.Waiting, name) && a.MayLoad(name) && old.Digest == a.Digest && m.Digest != "" {
			loading++
		}
	}
	require.LessOrEqual(t, loading, max(1, len(a.Instances)/4), "seed %d: too many instances may load at the same time", r.seed)
	_, err := json.Marshal(r.current)
	require.NoError(t, err)
}
