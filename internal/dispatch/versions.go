package dispatch

import (
	"math/rand/v2"
	"sync"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
)

// versions remembers, by class, the placed version and the one before it, which
// goes on answering while instances change over. It is safe for concurrent use.
type versions struct {
	mu     sync.Mutex
	placed map[string]placedVersion
}

type placedVersion struct {
	current, previous manifest.Digest
}

func newVersions() *versions {
	return &versions{placed: map[string]placedVersion{}}
}

// place records the class's placed version and returns both.
func (v *versions) place(class string, d manifest.Digest) placedVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.placed[class]
	if !ok || p.current != d {
		p = placedVersion{current: d, previous: p.current}
		v.placed[class] = p
	}
	return p
}

// choose returns the version that a new request is pinned to: each in
// proportion to the members that serve it.
func (p placedVersion) choose(members []gateway.Member) manifest.Digest {
	current, previous := 0, 0
	for _, m := range members {
		switch m.Digest {
		case p.current:
			current++
		case p.previous:
			previous++
		}
	}
	if p.previous == "" || previous == 0 || rand.IntN(current+previous) < current {
		return p.current
	}
	return p.previous
}
