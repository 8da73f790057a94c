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
	// loadingShare is the part of a class's instances, one in this many, that
	// may stop answering at once to load a version.
	loadingShare = 4
	// dataCentreShare is the same for its instances in one data centre.
	dataCentreShare = 2
)

// assign gives the class its group's instances and says how far the change
// from the versions before has come.
func (p *plan) assign(c operator.Class, g *group) placement.Assignment {
	held, _ := p.Current.Of(c.Name)
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
	a.Previous, a.Retiring = p.previous(a, held)
	a.Waiting = g.waiting
	return a
}

// previous returns the older versions that still answer for the class and the
// instances outside the new set that do, until the new set is up. Heartbeats
// lag, so an instance counts until its own word, given after it knew of the
// new version, says otherwise.
func (p *plan) previous(a, held placement.Assignment) ([]manifest.Digest, []string) {
	if len(a.Instances) > 0 && p.allState(a.Instances, a.Digest) {
		return nil, nil
	}
	versions := slices.Clone(held.Previous)
	if held.Digest != a.Digest && held.Digest != "" {
		versions = append(versions, held.Digest)
	}
	var answering []manifest.Digest
	var retiring []string
	placed := set(a.Instances)
	for _, name := range slices.Concat(held.Instances, held.Retiring) {
		d := p.stated(name)
		older := slices.Contains(versions, d)
		if older {
			answering = append(answering, d)
		}
		if p.unaware(name, a.Digest) {
			answering = append(answering, versions...)
		}
		if older && !placed[name] {
			retiring = append(retiring, name)
		}
	}
	slices.Sort(answering)
	slices.Sort(retiring)
	return slices.Compact(answering), slices.Compact(retiring)
}

// unaware reports whether a live instance has not yet said that it wants or has d.
func (p *plan) unaware(name string, d manifest.Digest) bool {
	e, ok := p.members[name]
	return ok && e.State == membership.Live && !e.Member.Leaving && e.Member.Want != d && e.Member.Digest != d
}

func (p *plan) allState(instances []string, d manifest.Digest) bool {
	for _, name := range instances {
		if p.stated(name) != d {
			return false
		}
	}
	return true
}

// stated is the version that the instance answers with now.
func (p *plan) stated(name string) manifest.Digest {
	e, ok := p.members[name]
	if !ok || e.State != membership.Live || e.Member.Leaving {
		return ""
	}
	return e.Member.Digest
}

// waiting returns the instances of the group that must not load its version
// yet: those that answer with an older version, until they have the new one
// whole and few enough others are loading.
func (p *plan) waiting(g *group) []string {
	var waiting []string
	r := newRoom(len(g.instances))
	for _, name := range g.instances {
		m := p.members[name].Member
		r.placed[m.DataCentre]++
		switch {
		case p.stated(name) == g.digest:
		case p.answersOlder(g, name) && !p.let(g, name):
			waiting = append(waiting, name)
		case whole(m, g.digest) && !p.stuck(g, name):
			r.take(m.DataCentre)
		}
	}
	slices.Sort(waiting)
	return slices.DeleteFunc(waiting, func(name string) bool {
		m := p.members[name].Member
		return whole(m, g.digest) && r.offer(m.DataCentre)
	})
}

// whole reports whether the instance has all of the version and is not
// answering with it yet.
func whole(m gateway.Member, d manifest.Digest) bool {
	return m.Want == d && m.Chunks > 0 && m.Have == m.Chunks
}

// room bounds the instances of a group that load at once.
type room struct {
	replicas int
	loading  int
	placed   map[string]int // instances by data centre
	taken    map[string]int // loading by data centre
}

func newRoom(replicas int) *room {
	return &room{replicas: replicas, placed: map[string]int{}, taken: map[string]int{}}
}

func (r *room) take(dataCentre string) {
	r.loading++
	r.taken[dataCentre]++
}

func (r *room) offer(dataCentre string) bool {
	all := r.loading >= max(1, r.replicas/loadingShare)
	here := r.taken[dataCentre] >= max(1, r.placed[dataCentre]/dataCentreShare)
	if all || here {
		return false
	}
	r.take(dataCentre)
	return true
}

// answersOlder reports whether the instance carried an older version for one
// of the group's classes and may still answer with it. It no longer does when
// it says so while it knows of the new version.
func (p *plan) answersOlder(g *group, name string) bool {
	m := p.members[name].Member
	if m.Want == g.digest && m.Digest == "" {
		return false
	}
	for _, c := range g.classes {
		held := p.held[c.Name]
		if held.retiring[name] {
			return true
		}
		if held.digest == "" || !held.instances[name] {
			continue
		}
		if held.digest != g.digest || held.waiting[name] {
			return true
		}
	}
	return false
}

// let reports whether the current placement lets the instance load the group's version.
func (p *plan) let(g *group, name string) bool {
	for _, c := range g.classes {
		held, ok := p.held[c.Name]
		if ok && held.digest == g.digest && held.mayLoad(name) {
			return true
		}
	}
	return false
}

func (p *plan) stuck(g *group, name string) bool {
	return p.Stuck(name, placement.Assignment{Digest: g.digest})
}
