package plan

import (
	"cmp"
	"slices"

	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/rendezvous"
)

// addBest adds unassigned instances among names to the group until it has its
// replicas. Each time it takes one from the region, then the data centre, with
// the fewest instances of the group; ties go to an instance that already serves
// the version, then to the first by rendezvous hashing.
func (p *plan) addBest(g *group, names []string) {
	free := slices.DeleteFunc(names, func(name string) bool { return p.assigned[name] })
	ranked := rendezvous.Top(g.key, free, len(free))
	buckets := p.bucketCandidates(g, ranked)
	counts := p.countLocations(g)
	for len(g.instances) < g.replicas && len(buckets) > 0 {
		i := counts.next(buckets)
		key := buckets[i].bucketKey
		name := ranked[buckets[i].ranks[0]]
		if buckets[i].ranks = buckets[i].ranks[1:]; len(buckets[i].ranks) == 0 {
			buckets = slices.Delete(buckets, i, i+1)
		}
		g.instances = append(g.instances, name)
		p.assigned[name] = true
		counts.add(key)
	}
}

// bucket holds the candidates that share a key, by their ascending indexes in the
// ranked list.
type bucket struct {
	bucketKey
	ranks []int
}

// bucketCandidates groups the ranked names by key.
func (p *plan) bucketCandidates(g *group, ranked []string) []bucket {
	index := map[bucketKey]int{}
	var buckets []bucket
	for i, name := range ranked {
		key := p.bucketKeyOf(g, name)
		position, ok := index[key]
		if !ok {
			position = len(buckets)
			index[key] = position
			buckets = append(buckets, bucket{bucketKey: key})
		}
		buckets[position].ranks = append(buckets[position].ranks, i)
	}
	return buckets
}

// bucketKey holds the properties by which addBest prefers a candidate. Candidates
// with equal keys differ only in rank.
type bucketKey struct {
	region, dataCentre string
	notReady           int // 0 if the candidate serves the group's version, else 1
}

func (p *plan) bucketKeyOf(g *group, name string) bucketKey {
	e := p.members[name]
	return bucketKey{e.Member.Region, e.Member.DataCentre, notReady(g, e)}
}

// locationCount is the number of a group's instances by region and by data centre.
type locationCount struct{ regions, dataCentres map[string]int }

func (p *plan) countLocations(g *group) locationCount {
	c := locationCount{map[string]int{}, map[string]int{}}
	for _, name := range g.instances {
		c.add(p.bucketKeyOf(g, name))
	}
	return c
}

func (c locationCount) add(key bucketKey) {
	c.regions[key.region]++
	c.dataCentres[key.dataCentre]++
}

// next returns the index of the bucket to take the next candidate from.
func (c locationCount) next(buckets []bucket) int {
	best := 0
	for i := range buckets {
		if c.compare(buckets[i], buckets[best]) < 0 {
			best = i
		}
	}
	return best
}

func (c locationCount) compare(a, b bucket) int {
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

// preemptLowerPriority moves instances to a group that has too few, from groups of
// the same service and kind with a lower priority, the lowest first. Each of those
// keeps at least one instance.
func (p *plan) preemptLowerPriority(g *group) {
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
