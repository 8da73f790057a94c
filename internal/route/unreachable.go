package route

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/gateway"
)

const unreachableTTL = time.Second

// Unreachable holds the agents that could not be reached in the last second, so
// that they are avoided before their heartbeats are missed. It is safe for
// concurrent use.
type Unreachable struct {
	mu        sync.Mutex
	expiresAt map[string]time.Time
}

// NewUnreachable returns an empty set.
func NewUnreachable() *Unreachable {
	return &Unreachable{expiresAt: map[string]time.Time{}}
}

// Add adds an agent for unreachableTTL.
func (u *Unreachable) Add(name string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for other, expiresAt := range u.expiresAt {
		if now.After(expiresAt) {
			delete(u.expiresAt, other)
		}
	}
	u.expiresAt[name] = now.Add(unreachableTTL)
}

// Filter returns the members without the unreachable ones, or all members if
// every one is unreachable.
func (u *Unreachable) Filter(members []gateway.Member, now time.Time) []gateway.Member {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.expiresAt) == 0 {
		return members
	}
	var out []gateway.Member
	for _, m := range members {
		if now.After(u.expiresAt[m.Name]) {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return members
	}
	return out
}
