package route

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/membership"
)

const subsetAge = 50 * time.Millisecond

// Subsets keeps each service's agents that this gateway uses for a moment, so
// that requests do not each rank all agents. It is safe for concurrent use.
type Subsets struct {
	members  *membership.Table
	gateways func() []string
	self     string

	mu   sync.Mutex
	held map[string]subset // by service
}

type subset struct {
	members []gateway.Member
	until   time.Time
}

// NewSubsets returns the subsets of the gateway self among gateways.
func NewSubsets(members *membership.Table, gateways func() []string, self string) *Subsets {
	return &Subsets{members: members, gateways: gateways, self: self, held: map[string]subset{}}
}

// Of returns the service's agents. The slice must not be changed.
func (s *Subsets) Of(service string, now time.Time) []gateway.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.held[service]
	if ok && now.Before(h.until) {
		return h.members
	}
	h.members = Subset(s.members.Routable(service, now), s.gateways(), s.self)
	h.until = now.Add(subsetAge)
	s.held[service] = h
	return h.members
}
