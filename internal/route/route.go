// Package route chooses the agent that a gateway sends a request to.
//
// A gateway uses a deterministic subset of the agents. Within it a request goes
// to the agent that ranks first for its prompt's prefix, unless that agent
// carries more than its share of the load.
package route

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/gateway"
)

const (
	minSubset    = 24
	loadBound    = 1.25                    // times the mean load that an agent may carry
	reportFresh  = 1200 * time.Millisecond // a heartbeat's distance and a little
	reportAge    = 3 * time.Second         // after which a report tells nothing
	defaultSlots = 64
	forgetAfter  = time.Minute
)

// Want describes the agent that a request needs.
type Want struct {
	Affinity string          // requests with the same value prefer the same agent
	Novelty  string          // not empty: use only the first agents for Affinity and for this
	Exclude  map[string]bool // names of agents that were tried
}

// Router knows the load that a gateway put on agents. It is safe for concurrent use.
type Router struct {
	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	own      int // in progress from this gateway
	others   int // in progress from elsewhere, as last told
	slots    int
	toldAt   time.Time
	usedAt   time.Time
	sequence uint64
}

// NewRouter returns a router that knows no load.
func NewRouter() *Router {
	return &Router{loads: map[string]*load{}}
}

// Pick returns the agent for w among members and counts it as in progress.
func (r *Router) Pick(members []gateway.Member, w Want) (gateway.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.forget(now)
	var candidates []gateway.Member
	total := 0.0
	for _, m := range members {
		if w.Exclude[m.Name] {
			continue
		}
		candidates = append(candidates, m)
		total += r.load(m, now).at(now)
	}
	if len(candidates) == 0 {
		return gateway.Member{}, false
	}
	bound := math.Ceil(loadBound * (total + 1) / float64(len(candidates)))
	if w.Novelty != "" {
		candidates = r.narrowed(candidates, w, now)
	}
	Rank(candidates, w.Affinity)
	chosen := r.bounded(candidates, bound, now)
	l := r.loads[chosen.Name]
	l.own++
	l.usedAt = now
	return chosen, true
}

// narrowed returns the first agents for the affinity and for the novelty, the
// same on every gateway, so that a request never seen to complete is on two
// agents at most. While both are full it returns all.
func (r *Router) narrowed(candidates []gateway.Member, w Want, now time.Time) []gateway.Member {
	Rank(candidates, w.Novelty)
	second := candidates[0]
	Rank(candidates, w.Affinity)
	first := candidates[0]
	for _, m := range []gateway.Member{first, second} {
		if l := r.loads[m.Name]; l.at(now) < float64(l.slots) {
			return []gateway.Member{first, second}
		}
	}
	return candidates
}

// bounded returns the first in rank under the bound with a free slot, else the
// better of the first two.
func (r *Router) bounded(ranked []gateway.Member, bound float64, now time.Time) gateway.Member {
	for _, m := range ranked {
		l := r.loads[m.Name]
		if at := l.at(now); at < bound && at < float64(l.slots) {
			return m
		}
	}
	if len(ranked) > 1 && r.loads[ranked[1].Name].at(now) < r.loads[ranked[0].Name].at(now) {
		return ranked[1]
	}
	return ranked[0]
}

// Took counts a request on an agent that was chosen without Pick.
func (r *Router) Took(m gateway.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	l := r.load(m, now)
	l.own++
	l.usedAt = now
}

// Ended counts a request as no longer in progress.
func (r *Router) Ended(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.loads[name]; ok {
		l.own--
	}
}

// Room returns how many requests of this gateway the members can run at once
// beside those of others.
func (r *Router) Room(members []gateway.Member) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	room := 0.0
	for _, m := range members {
		l := r.load(m, now)
		room += math.Max(0, float64(l.slots)-l.othersAt(now))
	}
	return int(room)
}

// Told takes what an agent said of its load in an answer.
func (r *Router) Told(name string, running, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.loads[name]
	if !ok || slots <= 0 {
		return
	}
	l.tell(running, slots, time.Now())
}

func (r *Router) load(m gateway.Member, now time.Time) *load {
	l, ok := r.loads[m.Name]
	if !ok {
		l = &load{slots: defaultSlots, usedAt: now}
		r.loads[m.Name] = l
	}
	if m.Sequence > l.sequence {
		l.sequence = m.Sequence
		l.tell(m.Running, m.Slots, now)
	}
	return l
}

func (l *load) tell(running, slots int, now time.Time) {
	l.others = max(0, running-l.own)
	if slots > 0 {
		l.slots = slots
	}
	l.toldAt = now
}

// at is the agent's load now; what was told of others fades with its age.
func (l *load) at(now time.Time) float64 {
	return float64(l.own) + l.othersAt(now)
}

func (l *load) othersAt(now time.Time) float64 {
	left := float64(reportAge-now.Sub(l.toldAt)) / float64(reportAge-reportFresh)
	return math.Min(1, math.Max(0, left)) * float64(l.others)
}

// forget drops agents that were not used for long.
func (r *Router) forget(now time.Time) {
	if len(r.loads) < 4*minSubset {
		return
	}
	for name, l := range r.loads {
		if l.own == 0 && now.Sub(l.usedAt) > forgetAfter {
			delete(r.loads, name)
		}
	}
}

// Rank sorts members by their rendezvous rank for key.
func Rank(members []gateway.Member, key string) {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m.Name] = score(key, m.Name)
	}
	sort.Slice(members, func(i, j int) bool {
		a, b := scores[members[i].Name], scores[members[j].Name]
		if a != b {
			return a > b
		}
		return members[i].Name < members[j].Name
	})
}

func score(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
