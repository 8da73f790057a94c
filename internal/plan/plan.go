// Package plan computes the next placement from the configuration, the current
// placement and the members. It is a pure function without state or I/O.
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

// Input holds everything that the next placement depends on.
type Input struct {
	Configuration operator.Document
	Current       placement.Placement
	Members       []membership.Entry
	// Gone reports whether an instance that is not among Members has certainly ended.
	Gone func(instance string) bool
	// Digest returns the digest that the origin has for a version, or "" if it is
	// not known yet.
	Digest func(model, version string) manifest.Digest
	// LoadTimedOut reports whether the instance was allowed to load a's digest so
	// long ago that it no longer counts as loading.
	LoadTimedOut func(instance string, a placement.Assignment) bool
	Now          time.Time
}

// group holds the classes that share a version, and therefore their instances.
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
	members        map[string]membership.Entry
	currentByClass map[string]classAssignment // by class name
	placed         map[string]bool            // instances that the current placement uses, including retiring ones
	assigned       map[string]bool            // instances that were added to a group
	groups         []*group
}

// Make returns the next placement for in. The caller sets its revision, holder and
// change ID. The same input gives the same placement.
func Make(in Input) placement.Placement {
	p := &plan{Input: in, members: map[string]membership.Entry{}, currentByClass: map[string]classAssignment{}, placed: map[string]bool{}, assigned: map[string]bool{}}
	for _, e := range in.Members {
		p.members[e.Member.Name] = e
	}
	p.indexCurrent()
	p.formGroups()
	for _, g := range p.groups {
		p.keepSameVersion(g)
	}
	for _, g := range p.groups {
		if g.replicas < loadingDivisor {
			p.addFree(g) // too few replicas for a rolling update, so prefer free instances over current ones
		}
		p.keepOtherVersions(g)
	}
	for _, g := range p.groups {
		p.addFree(g)
		p.preemptLowerPriority(g)
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

// formGroups groups the classes by version and sorts the groups by descending priority.
func (p *plan) formGroups() {
	byKey := map[string]*group{}
	for _, c := range p.Configuration.Classes {
		g, ok := p.newGroup(c)
		if !ok {
			continue
		}
		existing := byKey[g.key]
		if existing == nil {
			existing = &g
			byKey[g.key] = existing
			p.groups = append(p.groups, existing)
		}
		existing.classes = append(existing.classes, c)
		existing.replicas = max(existing.replicas, c.Target.Replicas)
		existing.priority = max(existing.priority, c.Priority)
		existing.readyBy = earliest(existing.readyBy, c.Target.ReadyBy)
	}
	slices.SortFunc(p.groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.key, b.key))
	})
}

// newGroup returns a group with the key of c but without classes, or false if c has
// no model or no version with a known digest. While the digest of the target
// version is unknown, the class keeps its current version.
func (p *plan) newGroup(c operator.Class) (group, bool) {
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
		current, ok := p.Current.Assignment(c.Name)
		if !ok || current.Digest == "" {
			return g, false
		}
		g.model, g.version, g.digest = current.Model, current.Version, current.Digest
	}
	g.key = c.Service + "/" + g.model + "/" + g.version + "/" + string(g.digest)
	return g, true
}

// resolve returns the digest that the current placement has for a version, else the
// origin's. A version that is published again under the same name therefore does
// not change a running placement.
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

// keepSameVersion gives the group instances that are already placed with its
// version, or are retiring and still serve it.
func (p *plan) keepSameVersion(g *group) {
	var current []string
	for _, a := range p.Current.Assignments {
		if a.Digest == g.digest && a.Service == g.service && a.Kind == g.kind {
			current = append(current, a.Instances...)
		}
	}
	for _, name := range p.retiringOf(g) {
		if p.servedDigest(name) == g.digest {
			current = append(current, name)
		}
	}
	p.addBest(g, p.retainable(g, current))
}

// retiringOf returns the retiring instances of the group's classes.
func (p *plan) retiringOf(g *group) []string {
	var out []string
	for _, c := range g.classes {
		current, _ := p.Current.Assignment(c.Name)
		out = append(out, current.Retiring...)
	}
	return out
}

// keepOtherVersions gives the group instances that its classes use with another version.
func (p *plan) keepOtherVersions(g *group) {
	var current []string
	for _, c := range g.classes {
		if a, ok := p.Current.Assignment(c.Name); ok {
			current = append(current, a.Instances...)
		}
	}
	p.addBest(g, p.retainable(g, current))
	p.addBest(g, p.retainable(g, p.retiringOf(g)))
}

// addFree gives the group live instances of its service that the current placement
// does not use.
func (p *plan) addFree(g *group) {
	var free []string
	for _, e := range p.Members {
		if e.State == membership.Live && serves(e, g) && !p.placed[e.Member.Name] {
			free = append(free, e.Member.Name)
		}
	}
	p.addBest(g, free)
}

// classAssignment is the current assignment of a class, with instance names as sets.
type classAssignment struct {
	digest                       manifest.Digest
	instances, waiting, retiring map[string]bool
}

// mayLoad reports whether the assignment allows the instance to load its version.
func (c classAssignment) mayLoad(instance string) bool {
	return c.instances[instance] && !c.waiting[instance]
}

// indexCurrent fills currentByClass and placed from the current placement.
func (p *plan) indexCurrent() {
	for _, a := range p.Current.Assignments {
		p.currentByClass[a.Class] = classAssignment{a.Digest, toSet(a.Instances), toSet(a.Waiting), toSet(a.Retiring)}
		if _, configured := p.Configuration.Class(a.Class); !configured {
			continue
		}
		for _, name := range slices.Concat(a.Instances, a.Retiring) {
			p.placed[name] = true
		}
	}
}

func toSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}

// retainable returns the names, without duplicates, that keep their place in the group.
func (p *plan) retainable(g *group, names []string) []string {
	var out []string
	seen := map[string]bool{}
	for _, name := range names {
		if !seen[name] && p.keepsPlace(g, name) {
			out = append(out, name)
		}
		seen[name] = true
	}
	return out
}

// keepsPlace reports whether a placed instance stays in the group. A dead instance
// stays for replacementDelay; one that is not a member stays until it is gone.
func (p *plan) keepsPlace(g *group, name string) bool {
	e, known := p.members[name]
	if !known {
		return !p.Gone(name)
	}
	if !serves(e, g) || e.State == membership.Leaving || e.Member.Leaving {
		return false
	}
	return !e.Dead || p.Now.Sub(e.LastSeen) < replacementDelay(g.readyBy, p.Now)
}

const (
	defaultReplacementDelay = 30 * time.Second
	overdueReplacementDelay = 10 * time.Second // when readyBy has passed
	minReplacementDelay     = 3 * time.Second
	replacementDelayDivisor = 10 // divides the time left until readyBy
)

// replacementDelay returns how long a dead instance keeps its place, in case it is
// only restarting. The delay is longest without a readyBy time and gets shorter as
// that time approaches.
func replacementDelay(readyBy, now time.Time) time.Duration {
	if readyBy.IsZero() {
		return defaultReplacementDelay
	}
	if !readyBy.After(now) {
		return overdueReplacementDelay
	}
	return min(max(readyBy.Sub(now)/replacementDelayDivisor, minReplacementDelay), defaultReplacementDelay)
}

func serves(e membership.Entry, g *group) bool {
	kind := settings.KindEngine
	if g.kind == operator.Plain {
		kind = settings.KindPlain
	}
	return e.Member.Service == g.service && e.Member.Kind == kind
}

// earliest returns the earlier of a and b; a zero time means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
