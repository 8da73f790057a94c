package plan

import (
	"slices"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
)

const (
	// loadingDivisor bounds a rollout: at most one in loadingDivisor instances of a
	// group, but at least one, stops serving at a time to load a version.
	loadingDivisor = 4
	// dataCentreDivisor is the same for the instances of a group in one data centre.
	dataCentreDivisor = 2
)

// assign returns the assignment of a class: the instances of its group and, for a
// model, the state of the rollout from older versions.
func (p *plan) assign(c operator.Class, g *group) placement.Assignment {
	current, _ := p.Current.Assignment(c.Name)
	a := placement.Assignment{
		Class:     c.Name,
		Kind:      g.kind,
		Service:   g.service,
		Model:     g.model,
		Version:   g.version,
		Digest:    g.digest,
		ReadyBy:   c.Target.ReadyBy,
		Weighing:  c.Target.Weighing,
		Instances: g.instances,
	}
	if g.kind == operator.Plain {
		return a
	}
	a.Previous, a.Retiring = p.previous(a, current)
	a.Waiting = g.waiting
	return a
}

// previous returns the older versions that still serve the class, and the instances
// outside the new set that serve them. Both are empty once all instances of a serve
// its version. Heartbeats lag, so an instance may serve any older version until a
// heartbeat that mentions the new version shows otherwise.
func (p *plan) previous(a, current placement.Assignment) ([]manifest.Digest, []string) {
	if len(a.Instances) > 0 && p.allServe(a.Instances, a.Digest) {
		return nil, nil
	}
	versions := slices.Clone(current.Previous)
	if current.Digest != a.Digest && current.Digest != "" {
		versions = append(versions, current.Digest)
	}
	var serving []manifest.Digest
	var retiring []string
	placed := toSet(a.Instances)
	for _, name := range slices.Concat(current.Instances, current.Retiring) {
		d := p.servedDigest(name)
		older := slices.Contains(versions, d)
		if older {
			serving = append(serving, d)
		}
		if p.unacknowledged(name, a.Digest) {
			serving = append(serving, versions...)
		}
		if older && !placed[name] {
			retiring = append(retiring, name)
		}
	}
	slices.Sort(serving)
	slices.Sort(retiring)
	return slices.Compact(serving), slices.Compact(retiring)
}

// unacknowledged reports whether a live instance has not yet sent a heartbeat in
// which it fetches or serves d.
func (p *plan) unacknowledged(name string, d manifest.Digest) bool {
	e, ok := p.members[name]
	return ok && e.State == membership.Live && !e.Member.Leaving && e.Member.Want != d && e.Member.Digest != d
}

func (p *plan) allServe(instances []string, d manifest.Digest) bool {
	for _, name := range instances {
		if p.servedDigest(name) != d {
			return false
		}
	}
	return true
}

// servedDigest returns the version that the instance serves now, or "".
func (p *plan) servedDigest(name string) manifest.Digest {
	e, ok := p.members[name]
	if !ok || e.State != membership.Live || e.Member.Leaving {
		return ""
	}
	return e.Member.Digest
}

// waiting returns the instances of the group that must not load its version yet.
// An instance that serves an older version waits until it has fetched the new one
// completely and the load budget admits it.
func (p *plan) waiting(g *group) []string {
	var waiting []string
	budget := newLoadBudget(len(g.instances))
	for _, name := range g.instances {
		m := p.members[name].Member
		budget.replicasByDataCentre[m.DataCentre]++
		switch {
		case p.servedDigest(name) == g.digest:
		case p.mayServeOlder(g, name) && !p.loadAllowed(g, name):
			waiting = append(waiting, name)
		case fetched(m, g.digest) && !p.loadTimedOut(g, name):
			budget.use(m.DataCentre)
		}
	}
	slices.Sort(waiting)
	return slices.DeleteFunc(waiting, func(name string) bool {
		m := p.members[name].Member
		return fetched(m, g.digest) && budget.tryUse(m.DataCentre)
	})
}

// fetched reports whether the instance is fetching version d and has verified all
// of its chunks.
func fetched(m gateway.Member, d manifest.Digest) bool {
	return m.Want == d && m.Chunks > 0 && m.Have == m.Chunks
}

// loadBudget limits how many instances of a group load a version at the same time.
type loadBudget struct {
	replicas             int
	loading              int
	replicasByDataCentre map[string]int
	loadingByDataCentre  map[string]int
}

func newLoadBudget(replicas int) *loadBudget {
	return &loadBudget{replicas: replicas, replicasByDataCentre: map[string]int{}, loadingByDataCentre: map[string]int{}}
}

func (b *loadBudget) use(dataCentre string) {
	b.loading++
	b.loadingByDataCentre[dataCentre]++
}

// tryUse counts one more loading instance in the data centre if the budget allows it.
func (b *loadBudget) tryUse(dataCentre string) bool {
	groupFull := b.loading >= max(1, b.replicas/loadingDivisor)
	dataCentreFull := b.loadingByDataCentre[dataCentre] >= max(1, b.replicasByDataCentre[dataCentre]/dataCentreDivisor)
	if groupFull || dataCentreFull {
		return false
	}
	b.use(dataCentre)
	return true
}

// mayServeOlder reports whether the instance was placed with an older version for
// one of the group's classes and may still serve it. It does not once a heartbeat
// shows that it fetches the new version and serves none.
func (p *plan) mayServeOlder(g *group, name string) bool {
	m := p.members[name].Member
	if m.Want == g.digest && m.Digest == "" {
		return false
	}
	for _, c := range g.classes {
		current := p.currentByClass[c.Name]
		if current.retiring[name] {
			return true
		}
		if current.digest == "" || !current.instances[name] {
			continue
		}
		if current.digest != g.digest || current.waiting[name] {
			return true
		}
	}
	return false
}

// loadAllowed reports whether the current placement already allows the instance to
// load the group's version.
func (p *plan) loadAllowed(g *group, name string) bool {
	for _, c := range g.classes {
		current, ok := p.currentByClass[c.Name]
		if ok && current.digest == g.digest && current.mayLoad(name) {
			return true
		}
	}
	return false
}

func (p *plan) loadTimedOut(g *group, name string) bool {
	return p.LoadTimedOut(name, placement.Assignment{Digest: g.digest})
}
