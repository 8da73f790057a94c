package replica

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/transfer"
)

// planFor merges the instance's assignments, which share one version. Two versions
// on one instance are a planner bug: the version of the first class is used.
func planFor(p placement.Placement, instance string) transfer.Plan {
	var plan transfer.Plan
	for _, a := range p.AssignmentsOn(instance) {
		if a.Kind != operator.Model || a.Digest == "" {
			continue
		}
		if plan.Digest != "" && a.Digest != plan.Digest {
			counter.Add("PlacementRejected.TwoVersions", 1)
			continue
		}
		plan = mergeAssignment(plan, a)
	}
	for _, a := range p.Assignments {
		if plan.Digest != "" && a.Digest == plan.Digest {
			plan.Members = append(plan.Members, a.Instances...)
		}
	}
	slices.Sort(plan.Members)
	plan.Members = slices.Compact(plan.Members)
	return plan
}

func mergeAssignment(plan transfer.Plan, a placement.Assignment) transfer.Plan {
	plan.Digest, plan.Model, plan.Version = a.Digest, a.Model, a.Version
	plan.ReadyBy = earlierDeadline(plan.ReadyBy, a.ReadyBy)
	if plan.Weighing != operator.Time {
		plan.Weighing = a.Weighing
	}
	return plan
}

func earlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// mayLoad reports whether the placement lets the instance load d now. While a
// class changes version, only some of its instances may load it at once.
func mayLoad(p placement.Placement, instance string, d manifest.Digest) bool {
	for _, a := range p.AssignmentsOn(instance) {
		if a.Digest == d && a.MayLoad(instance) {
			return true
		}
	}
	return false
}

// servableVersions returns the versions that the instance may serve: the placed one,
// and older ones while a class moves to other instances or changes version.
func servableVersions(p placement.Placement, instance string) map[manifest.Digest]bool {
	out := map[manifest.Digest]bool{}
	for _, a := range p.Assignments {
		for _, d := range append([]manifest.Digest{a.Digest}, a.Previous...) {
			if d != "" && a.MayServe(instance, d) {
				out[d] = true
			}
		}
	}
	return out
}
