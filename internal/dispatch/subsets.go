package dispatch

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/route"
)

const subsetAge = 50 * time.Millisecond

// subsets keeps each service's agents that this gateway uses for a moment, so
// that requests do not each rank all agents. It is safe for concurrent use.
type subsets struct {
	options Options

	mu   sync.Mutex
	held map[string]subset // by service
}

type subset struct {
	members []gateway.Member
	until   time.Time
}

func newSubsets(o Options) *subsets {
	return &subsets{options: o, held: map[string]subset{}}
}

// of returns the service's agents. The slice must not be changed.
func (s *subsets) of(service string, now time.Time) []gateway.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.held[service]
	if ok && now.Before(h.until) {
		return h.members
	}
	o := s.options
	h.members = route.Subset(o.Members.Routable(service, now), o.Gateways(), o.Gateway)
	h.until = now.Add(subsetAge)
	s.held[service] = h
	return h.members
}
