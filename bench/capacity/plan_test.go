package capacity_test

import (
	"fmt"
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

// BenchmarkPlan measures one planning step, which the planner runs every second and at
// each membership change: the first plan, a plan without changes, and a plan during a
// release.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400, 600} {
		in := planInput(n, 6)
		first := plan.Make(in)
		require.Len(b, first.Assignments[0].Instances, n)
		b.Run(fmt.Sprintf("first/%d", n), func(b *testing.B) {
			for b.Loop() {
				plan.Make(in)
			}
		})
		in.Current = first
		b.Run(fmt.Sprintf("steady/%d", n), func(b *testing.B) {
			for b.Loop() {
				plan.Make(in)
			}
		})
		startRelease(&in)
		b.Run(fmt.Sprintf("release/%d", n), func(b *testing.B) {
			for b.Loop() {
				plan.Make(in)
			}
		})
	}
}

// startRelease sets a new version for all classes. Half of the instances already have
// all of its chunks.
func startRelease(in *plan.Input) {
	digest := manifest.Digest(fmt.Sprintf("sha256:%064d", 2))
	in.Digest = func(string, string) manifest.Digest { return digest }
	for i := range in.Configuration.Classes {
		in.Configuration.Classes[i].Target.Version = "2"
	}
	in.Current = plan.Make(*in)
	for i := range in.Members {
		m := &in.Members[i].Member
		m.Want, m.Chunks, m.Have = digest, 2, 1+i%2
	}
}

func planInput(instances, classes int) plan.Input {
	digest := manifest.Digest(fmt.Sprintf("sha256:%064d", 1))
	in := plan.Input{
		Gone:         func(string) bool { return false },
		Digest:       func(string, string) manifest.Digest { return digest },
		LoadTimedOut: func(string, placement.Assignment) bool { return false },
		Now:          time.Now(),
	}
	for i := range classes {
		target := operator.Target{Model: "assistant", Version: "1", Replicas: instances}
		in.Configuration.Classes = append(in.Configuration.Classes, operator.Class{Name: fmt.Sprintf("class-%d", i), Kind: operator.Model, Service: "assistant", Target: target})
	}
	for i := range instances {
		region := fmt.Sprintf("region-%d", i%regions)
		m := gateway.Member{Name: instanceName(i), Region: region, DataCentre: fmt.Sprintf("%s-dc-%d", region, i%dataCentres),
			Service: "assistant", Kind: settings.KindEngine, Digest: digest}
		in.Members = append(in.Members, membership.Entry{Member: m, State: membership.Live, LastSeen: in.Now})
	}
	return in
}
