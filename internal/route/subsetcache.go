package route

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/membership"
)

const subsetTTL = 50 * time.Millisecond

// SubsetCache caches the agents of each service that this gateway uses for 50 ms,
// so that not every request ranks all agents. It is safe for concurrent use.
type SubsetCache struct {
	members  *membership.Table
	gateways func() []string
	self     string

	mu     sync.Mutex
	cached map[string]cachedSubset // by service
}

type cachedSubset struct {
	members   []gateway.Member
	expiresAt time.Time
}

// NewSubsetCache returns an empty cache for the gateway self. gateways returns
// the names of all gateways.
func NewSubsetCache(members *membership.Table, gateways func() []string, self string) *SubsetCache {
	return &SubsetCache{members: members, gateways: gateways, self: self, cached: map[string]cachedSubset{}}
}

// Get returns the service's routable agents that this gateway uses. The slice
// must not be modified.
func (s *SubsetCache) Get(service string, now time.Time) []gateway.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.cached[service]
	if ok && now.Before(entry.expiresAt) {
		return entry.members
	}
	entry.members = Subset(s.members.Routable(service, now), s.gateways(), s.self)
	entry.expiresAt = now.Add(subsetTTL)
	s.cached[service] = entry
	return entry.members
}
