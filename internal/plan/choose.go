package plan

import (
	"cmp"
	"slices"

	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/rank"
)

// choose adds candidates to the group until it has its replicas, each time one
// of the region and data centre with the fewest, of those one that states the
// version already, and of those the first by rendezvous rank.
func (p *plan) choose(g *group, names []string) {
	free := slices.DeleteFunc(names, func(name string) bool { return p.taken[name] })
	ranked := rank.First(g.key, free, len(free))
	alike := p.alike(g, ranked)
	held := p.countHeld(g)
	for len(g.instances) < g.replicas && len(alike) > 0 {
		i := held.best(alike)
		l := alike[i].likeness
		name := ranked[alike[i].ranks[0]]
		if alike[i].ranks = alike[i].ranks[1:]; len(alike[i].ranks) == 0 {
			alike = slices.Delete(alike, i, i+1)
		}
		g.instances = append(g.instances, name)
		p.taken[name] = true
		held.add(l)
	}
}

// pool is candidates that are alike; ranks are in order.
type pool struct {
	likeness
	ranks []int
}

// alike puts the ranked names that are alike together.
func (p *plan) alike(g *group, ranked []string) []pool {
	index := map[likeness]int{}
	var out []pool
	for i, name := range ranked {
		l := p.likeness(g, name)
		at, ok := index[l]
		if !ok {
			at = len(out)
			index[l] = at
			out = append(out, pool{likeness: l})
		}
		out[at].ranks = append(out[at].ranks, i)
	}
	return out
}

// likeness is what a choice looks at; between candidates that are alike, rank decides.
type likeness struct {
	region, dataCentre string
	notReady           int
}

func (p *plan) likeness(g *group, name string) likeness {
	e := p.members[name]
	return likeness{e.Member.Region, e.Member.DataCentre, notReady(g, e)}
}

// count is the number of a group's instances by region and by data centre.
type count struct{ regions, dataCentres map[string]int }

func (p *plan) countHeld(g *group) count {
	c := count{map[string]int{}, map[string]int{}}
	for _, name := range g.instances {
		c.add(p.likeness(g, name))
	}
	return c
}

func (c count) add(l likeness) {
	c.regions[l.region]++
	c.dataCentres[l.dataCentre]++
}

// best returns the index of the candidates to choose from next.
func (c count) best(alike []pool) int {
	best := 0
	for i := range alike {
		if c.compare(alike[i], alike[best]) < 0 {
			best = i
		}
	}
	return best
}

func (c count) compare(a, b pool) int {
	return cmp.Or(
		cmp.Compare(c.regions[a.region], c.regions[b.region]),
		cmp.Compare(c.dataCentres[a.dataCentre], c.dataCentres[b.dataCentre]),
		cmp.Compare(a.notReady, b.notReady),
		cmp.Compare(a.ranks[0], b.ranks[0]),
	)
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
