package replica

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/transfer"
)

// planOf joins the assignments of the instance that carry one version. Two
// versions on one instance are a planner's defect: the first class wins.
func planOf(p placement.Placement, instance string) transfer.Plan {
	var plan transfer.Plan
	for _, a := range p.On(instance) {
		if a.Kind != operator.Model || a.Digest == "" {
			continue
		}
		if plan.Digest != "" && a.Digest != plan.Digest {
			counter.Add("PlacementRejected.TwoVersions", 1)
			continue
		}
		plan = join(plan, a)
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

func join(plan transfer.Plan, a placement.Assignment) transfer.Plan {
	plan.Digest, plan.Model, plan.Version = a.Digest, a.Model, a.Version
	plan.ReadyBy = earlier(plan.ReadyBy, a.ReadyBy)
	if plan.Weighing != operator.Time {
		plan.Weighing = a.Weighing
	}
	return plan
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
