// Package route chooses the agent to which a gateway sends a request.
//
// A gateway uses a deterministic subset of the agents. Within the subset a
// request goes to the agent with the highest rendezvous rank for its prompt's
// prefix whose load is within a bound (consistent hashing with bounded loads).
package route

import (
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/rendezvous"
)

const (
	minSubset      = 24                      // agents in a subset, if there are as many
	loadFactor     = 1.25                    // maximum load of an agent as a multiple of the mean
	reportFreshFor = 1200 * time.Millisecond // a little more than the heartbeat interval
	reportMaxAge   = 3 * time.Second         // older load reports are ignored
	defaultSlots   = 64                      // of an agent that has not reported its slots
	maxSlots       = 1 << 16                 // of an agent; a larger number is not used
	evictAfter     = time.Minute             // since an agent was last used
)

// Criteria is what the agent for a request must satisfy.
type Criteria struct {
	Affinity string // requests with the same value prefer the same agent
	// UnprovenFingerprint is the fingerprint of a request that has not completed
	// lately, else empty. Such a request uses only the agent that ranks first for
	// Affinity and the one that ranks first for the fingerprint, unless both are
	// full.
	UnprovenFingerprint string
	Exclude             map[string]bool // names of agents that were tried
}

// Router tracks the load of agents and picks one for each request. It is safe
// for concurrent use.
type Router struct {
	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	own        int       // requests in progress from this gateway
	others     int       // requests in progress from other gateways, as last reported
	slots      int       // requests that the agent takes at once
	reportedAt time.Time // of others and slots
	usedAt     time.Time // when a request was last sent there
	sequence   uint64    // of the last heartbeat that was counted
}

// NewRouter returns a router without any load.
func NewRouter() *Router {
	return &Router{loads: map[string]*load{}}
}

// Pick chooses the agent for c among members and counts a request as in progress
// there. It reports false if every member is excluded.
func (r *Router) Pick(members []gateway.Member, c Criteria) (gateway.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.evictIdle(now)
	var candidates []gateway.Member
	total := 0.0
	for _, m := range members {
		if c.Exclude[m.Name] {
			continue
		}
		candidates = append(candidates, m)
		total += r.load(m, now).total(now)
	}
	if len(candidates) == 0 {
		return gateway.Member{}, false
	}
	bound := math.Ceil(loadFactor * (total + 1) / float64(len(candidates)))
	if c.UnprovenFingerprint != "" {
		candidates = r.restrictUnproven(candidates, c, now)
	}
	Rank(candidates, c.Affinity)
	chosen := r.pickBounded(candidates, bound, now)
	l := r.loads[chosen.Name]
	l.own++
	l.usedAt = now
	return chosen, true
}

// restrictUnproven returns the agents that rank first for the affinity and for the
// unproven fingerprint. They are the same on every gateway, so the request runs on
// at most two agents. If both are full it returns all candidates.
func (r *Router) restrictUnproven(candidates []gateway.Member, c Criteria, now time.Time) []gateway.Member {
	Rank(candidates, c.UnprovenFingerprint)
	second := candidates[0]
	Rank(candidates, c.Affinity)
	first := candidates[0]
	for _, m := range []gateway.Member{first, second} {
		if l := r.loads[m.Name]; l.total(now) < float64(l.slots) {
			return []gateway.Member{first, second}
		}
	}
	return candidates
}

// pickBounded returns the first agent in rank that is below the bound and has a
// free slot. If there is none it returns the less loaded of the first two.
func (r *Router) pickBounded(ranked []gateway.Member, bound float64, now time.Time) gateway.Member {
	for _, m := range ranked {
		l := r.loads[m.Name]
		if total := l.total(now); total < bound && total < float64(l.slots) {
			return m
		}
	}
	if len(ranked) > 1 && r.loads[ranked[1].Name].total(now) < r.loads[ranked[0].Name].total(now) {
		return ranked[1]
	}
	return ranked[0]
}

// Start counts a request as in progress on an agent that was chosen without Pick.
func (r *Router) Start(m gateway.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	l := r.load(m, now)
	l.own++
	l.usedAt = now
}

// Finish ends what Pick or Start counted.
func (r *Router) Finish(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.loads[name]; ok {
		l.own--
	}
}

// FreeSlots returns how many requests of this gateway the members can run at
// once: their slots less the requests of other gateways.
func (r *Router) FreeSlots(members []gateway.Member) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	free := 0.0
	for _, m := range members {
		l := r.load(m, now)
		free += math.Max(0, float64(l.slots)-l.decayedOthers(now))
	}
	return int(free)
}

// HasRoom reports whether one of the members that are not excluded has a free slot.
func (r *Router) HasRoom(members []gateway.Member, exclude map[string]bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(members, func(m gateway.Member) bool {
		l := r.load(m, now)
		return !exclude[m.Name] && l.total(now) < float64(l.slots)
	})
}

// UpdateLoad records the load that an agent reported in an answer. It ignores
// agents that were never considered.
func (r *Router) UpdateLoad(name string, running, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.loads[name]
	if !ok || slots <= 0 {
		return
	}
	l.update(running, slots, time.Now())
}

// load returns the agent's load, updated from its heartbeat if that is new.
func (r *Router) load(m gateway.Member, now time.Time) *load {
	l, ok := r.loads[m.Name]
	if !ok {
		l = &load{slots: defaultSlots, usedAt: now}
		r.loads[m.Name] = l
	}
	if m.Sequence > l.sequence {
		l.sequence = m.Sequence
		l.update(m.Running, m.Slots, now)
	}
	return l
}

func (l *load) update(running, slots int, now time.Time) {
	l.others = max(0, running-l.own)
	if slots > 0 && slots <= maxSlots {
		l.slots = slots
	}
	l.reportedAt = now
}

// total returns the number of requests in progress on the agent. Those of other
// gateways count less the older the report is.
func (l *load) total(now time.Time) float64 {
	return float64(l.own) + l.decayedOthers(now)
}

// decayedOthers returns the requests of other gateways, weighted by 1 until the
// report is reportFreshFor old and then linearly less, down to 0 at reportMaxAge.
func (l *load) decayedOthers(now time.Time) float64 {
	weight := float64(reportMaxAge-now.Sub(l.reportedAt)) / float64(reportMaxAge-reportFreshFor)
	return math.Min(1, math.Max(0, weight)) * float64(l.others)
}

// evictIdle removes agents that were not used for evictAfter, once there are many.
func (r *Router) evictIdle(now time.Time) {
	if len(r.loads) < 4*minSubset {
		return
	}
	for name, l := range r.loads {
		if l.own == 0 && now.Sub(l.usedAt) > evictAfter {
			delete(r.loads, name)
		}
	}
}

// Rank sorts members in place by rendezvous hashing: the highest score for key
// comes first.
func Rank(members []gateway.Member, key string) {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m.Name] = rendezvous.Score(key, m.Name)
	}
	sort.Slice(members, func(i, j int) bool {
		a, b := scores[members[i].Name], scores[members[j].Name]
		if a != b {
			return a > b
		}
		return members[i].Name < members[j].Name
	})
}
