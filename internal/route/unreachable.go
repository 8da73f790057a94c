package route

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/gateway"
)

const unreachableFor = time.Second

// Unreachable remembers agents that could not be reached just now, before
// their heartbeats are missed. It is safe for concurrent use.
type Unreachable struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// NewUnreachable returns one that remembers nothing.
func NewUnreachable() *Unreachable {
	return &Unreachable{until: map[string]time.Time{}}
}

// Add remembers an agent for a while.
func (u *Unreachable) Add(name string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for other, until := range u.until {
		if now.After(until) {
			delete(u.until, other)
		}
	}
	u.until[name] = now.Add(unreachableFor)
}

// Without returns the members that are not remembered, or all if none is left.
func (u *Unreachable) Without(members []gateway.Member, now time.Time) []gateway.Member {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.until) == 0 {
		return members
	}
	var out []gateway.Member
	for _, m := range members {
		if now.After(u.until[m.Name]) {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return members
	}
	return out
}
