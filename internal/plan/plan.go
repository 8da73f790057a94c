// Package plan works out a placement from the configuration, the placement that
// stands and the members. It has no state and does no input or output.
package plan

import (
	"cmp"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/settings"
)

// Input is what a plan follows from.
type Input struct {
	Configuration operator.Document
	Current       placement.Placement
	Members       []membership.Entry
	Gone          func(instance string) bool // certainly not there any more
	Digest        func(model, version string) manifest.Digest
	Stuck         func(instance string, a placement.Assignment) bool // was let load long ago
	Now           time.Time
}

// group is the classes that share a version, and so their instances.
type group struct {
	key       string
	service   string
	kind      operator.Kind
	digest    manifest.Digest
	classes   []operator.Class
	model     string
	version   string
	replicas  int
	priority  int
	readyBy   time.Time
	instances []string
	waiting   []string
}

type plan struct {
	Input
	members map[string]membership.Entry
	held    map[string]holding // of the current placement, by class
	placed  map[string]bool    // instances that carry a class now, or answer for one being moved off
	taken   map[string]bool    // instances that a group has
	groups  []*group
}

// Make returns the placement that follows from in. Its revision, holder and
// change ID are the writer's to set. The same input gives the same plan.
func Make(in Input) placement.Placement {
	p := &plan{Input: in, members: map[string]membership.Entry{}, held: map[string]holding{}, placed: map[string]bool{}, taken: map[string]bool{}}
	for _, e := range in.Members {
		p.members[e.Member.Name] = e
	}
	p.findHeld()
	p.formGroups()
	for _, g := range p.groups {
		p.keepSameVersion(g)
	}
	for _, g := range p.groups {
		if g.replicas < loadingShare {
			p.fill(g) // too few to change one after another: beside the old ones if there is space
		}
		p.keepOther(g)
	}
	for _, g := range p.groups {
		p.fill(g)
		p.takeFromLower(g)
	}
	for _, g := range p.groups {
		slices.Sort(g.instances)
		if g.kind == operator.Model {
			g.waiting = p.waiting(g)
		}
	}
	next := placement.Placement{PlannedFrom: in.Configuration.Revision}
	for _, c := range in.Configuration.Classes {
		if g := p.groupOf(c.Name); g != nil {
			next.Assignments = append(next.Assignments, p.assign(c, g))
		}
	}
	return next
}

// formGroups groups the classes by version, the highest priority first.
func (p *plan) formGroups() {
	byKey := map[string]*group{}
	for _, c := range p.Configuration.Classes {
		g, ok := p.groupFor(c)
		if !ok {
			continue
		}
		held := byKey[g.key]
		if held == nil {
			held = &g
			byKey[g.key] = held
			p.groups = append(p.groups, held)
		}
		held.classes = append(held.classes, c)
		held.replicas = max(held.replicas, c.Target.Replicas)
		held.priority = max(held.priority, c.Priority)
		held.readyBy = earlier(held.readyBy, c.Target.ReadyBy)
	}
	slices.SortFunc(p.groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.key, b.key))
	})
}

// groupFor names the class's group. A version that the origin has not resolved
// leaves the class on the version that it has.
func (p *plan) groupFor(c operator.Class) (group, bool) {
	g := group{service: c.Service, kind: c.Kind, model: c.Target.Model, version: c.Target.Version}
	if c.Kind == operator.Plain {
		g.key = c.Service
		return g, true
	}
	if g.model == "" {
		return g, false
	}
	g.digest = p.resolve(g.model, g.version)
	if g.digest == "" {
		held, ok := p.Current.Of(c.Name)
		if !ok || held.Digest == "" {
			return g, false
		}
		g.model, g.version, g.digest = held.Model, held.Version, held.Digest
	}
	g.key = c.Service + "/" + g.model + "/" + g.version + "/" + string(g.digest)
	return g, true
}

// resolve returns the digest that is already placed under a version's name, so
// that a republished name changes nothing, or else the origin's.
func (p *plan) resolve(model, version string) manifest.Digest {
	for _, a := range p.Current.Assignments {
		if a.Model == model && a.Version == version && a.Digest != "" {
			return a.Digest
		}
	}
	return p.Digest(model, version)
}

func (p *plan) groupOf(class string) *group {
	for _, g := range p.groups {
		for _, c := range g.classes {
			if c.Name == class {
				return g
			}
		}
	}
	return nil
}

// keepSameVersion gives the group the instances that already carry its version.
func (p *plan) keepSameVersion(g *group) {
	var held []string
	for _, a := range p.Current.Assignments {
		if a.Digest == g.digest && a.Service == g.service && a.Kind == g.kind {
			held = append(held, a.Instances...)
		}
	}
	for _, name := range p.ownRetiring(g) {
		if p.stated(name) == g.digest {
			held = append(held, name)
		}
	}
	p.choose(g, p.keepable(g, held))
}

// ownRetiring returns the instances that the group's classes are being moved off.
func (p *plan) ownRetiring(g *group) []string {
	var out []string
	for _, c := range g.classes {
		held, _ := p.Current.Of(c.Name)
		out = append(out, held.Retiring...)
	}
	return out
}

// keepOther gives the group instances that its classes have with another version.
func (p *plan) keepOther(g *group) {
	var held []string
	for _, c := range g.classes {
		if a, ok := p.Current.Of(c.Name); ok {
			held = append(held, a.Instances...)
		}
	}
	p.choose(g, p.keepable(g, held))
	p.choose(g, p.keepable(g, p.ownRetiring(g)))
}

// fill gives the group free instances of its service.
func (p *plan) fill(g *group) {
	var free []string
	for _, e := range p.Members {
		if e.State == membership.Live && serves(e, g) && !p.placed[e.Member.Name] {
			free = append(free, e.Member.Name)
		}
	}
	p.choose(g, free)
}

// holding is what a class has in the current placement.
type holding struct {
	digest                       manifest.Digest
	instances, waiting, retiring map[string]bool
}

// mayLoad reports whether the class lets the instance load its version.
func (h holding) mayLoad(instance string) bool {
	return h.instances[instance] && !h.waiting[instance]
}

// findHeld notes what the classes have.
func (p *plan) findHeld() {
	for _, a := range p.Current.Assignments {
		p.held[a.Class] = holding{a.Digest, set(a.Instances), set(a.Waiting), set(a.Retiring)}
		if _, still := p.Configuration.Class(a.Class); !still {
			continue
		}
		for _, name := range slices.Concat(a.Instances, a.Retiring) {
			p.placed[name] = true
		}
	}
}

func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}

func (p *plan) keepable(g *group, held []string) []string {
	var out []string
	seen := map[string]bool{}
	for _, name := range held {
		if !seen[name] && p.stays(g, name) {
			out = append(out, name)
		}
		seen[name] = true
	}
	return out
}

// stays reports whether a placed instance keeps its place: a silent one does
// until it is certainly gone, and for a while after that.
func (p *plan) stays(g *group, name string) bool {
	e, known := p.members[name]
	if !known {
		return !p.Gone(name)
	}
	if !serves(e, g) || e.State == membership.Leaving || e.Member.Leaving {
		return false
	}
	return !e.Dead || p.Now.Sub(e.HeardAt) < damping(g.readyBy, p.Now)
}

const (
	defaultDamping = 30 * time.Second
	lateDamping    = 10 * time.Second
	leastDamping   = 3 * time.Second
	dampingShare   = 10 // part of the time left until the target
)

// damping is how long a dead instance keeps its place, in case it only
// restarts: longer without a target in time, shorter the nearer the target.
func damping(readyBy, now time.Time) time.Duration {
	if readyBy.IsZero() {
		return defaultDamping
	}
	if !readyBy.After(now) {
		return lateDamping
	}
	return min(max(readyBy.Sub(now)/dampingShare, leastDamping), defaultDamping)
}

func serves(e membership.Entry, g *group) bool {
	kind := settings.KindEngine
	if g.kind == operator.Plain {
		kind = settings.KindPlain
	}
	return e.Member.Service == g.service && e.Member.Kind == kind
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
