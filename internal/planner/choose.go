package planner

import (
	"cmp"
	"slices"

	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/rank"
)

// choose adds candidates to the group until it has its replicas, each time one
// of the region and data centre with the fewest, of those one that states the
// version already, and of those the first by rendezvous rank.
func (p *plan) choose(g *group, candidates []string) {
	rest := rank.First(g.key, slices.DeleteFunc(candidates, func(name string) bool { return p.taken[name] }), len(candidates))
	for len(g.instances) < g.replicas && len(rest) > 0 {
		best := slices.MinFunc(rest, func(a, b string) int { return p.compare(g, a, b) })
		rest = slices.DeleteFunc(rest, func(name string) bool { return name == best })
		g.instances = append(g.instances, best)
		p.taken[best] = true
	}
}

func (p *plan) compare(g *group, a, b string) int {
	ea, eb := p.members[a], p.members[b]
	return cmp.Or(
		cmp.Compare(p.inRegion(g, ea), p.inRegion(g, eb)),
		cmp.Compare(p.inDataCentre(g, ea), p.inDataCentre(g, eb)),
		cmp.Compare(notReady(g, ea), notReady(g, eb)),
	)
}

func (p *plan) inRegion(g *group, e membership.Entry) int {
	n := 0
	for _, name := range g.instances {
		if p.members[name].Member.Region == e.Member.Region {
			n++
		}
	}
	return n
}

func (p *plan) inDataCentre(g *group, e membership.Entry) int {
	n := 0
	for _, name := range g.instances {
		if p.members[name].Member.DataCentre == e.Member.DataCentre {
			n++
		}
	}
	return n
}

func notReady(g *group, e membership.Entry) int {
	if e.State == membership.Live && e.Member.Digest == g.digest {
		return 0
	}
	return 1
}

// takeFromLower gives a group that is short of instances some of those of
// groups with a lower priority, the lowest first, and leaves each at least one.
func (p *plan) takeFromLower(g *group) {
	for i := len(p.groups) - 1; i >= 0 && len(g.instances) < g.replicas; i-- {
		lower := p.groups[i]
		if lower.priority >= g.priority || lower.service != g.service || lower.kind != g.kind {
			continue
		}
		spare := min(len(lower.instances)-1, g.replicas-len(g.instances))
		if spare <= 0 {
			continue
		}
		moved := slices.Clone(lower.instances[len(lower.instances)-spare:])
		lower.instances = lower.instances[:len(lower.instances)-spare]
		g.instances = append(g.instances, moved...)
	}
}
