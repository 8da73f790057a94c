package planner

import (
	"time"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/placement"
)

const stuckAfter = 2 * time.Minute

// turn is an instance that was let load a version.
type turn struct {
	instance string
	digest   manifest.Digest
}

// remember notes when each instance was let load its version.
func (p *Planner) remember(next placement.Placement, now time.Time) {
	granted := map[turn]time.Time{}
	for _, a := range next.Assignments {
		waiting := map[string]bool{}
		for _, name := range a.Waiting {
			waiting[name] = true
		}
		for _, name := range a.Instances {
			key := turn{name, a.Digest}
			if waiting[name] {
				continue
			}
			granted[key] = now
			if at, ok := p.granted[key]; ok {
				granted[key] = at
			}
		}
	}
	p.granted = granted
}

// stuck reports whether an instance was let load a version so long ago that it
// no longer counts as loading.
func (p *Planner) stuck(t turn, now time.Time) bool {
	at, ok := p.granted[t]
	return ok && now.Sub(at) > stuckAfter
}
