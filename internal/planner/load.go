package planner

import (
	"time"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/placement"
)

// loadTimeout is the time after which an instance that may load a version no
// longer counts against the limit on concurrent loads.
const loadTimeout = 2 * time.Minute

// loadPermit identifies an instance and the version that it may load.
type loadPermit struct {
	instance string
	digest   manifest.Digest
}

// recordLoadTimes records when next, or an earlier placement, first allowed each
// instance to load its version. Permits that next no longer grants are dropped.
func (p *Planner) recordLoadTimes(next placement.Placement, now time.Time) {
	allowedAt := map[loadPermit]time.Time{}
	for _, a := range next.Assignments {
		waiting := map[string]bool{}
		for _, name := range a.Waiting {
			waiting[name] = true
		}
		for _, name := range a.Instances {
			permit := loadPermit{name, a.Digest}
			if waiting[name] {
				continue
			}
			allowedAt[permit] = now
			if at, ok := p.loadAllowedAt[permit]; ok {
				allowedAt[permit] = at
			}
		}
	}
	p.loadAllowedAt = allowedAt
}

// loadTimedOut reports whether the permit was granted more than loadTimeout ago,
// so that the instance no longer counts as loading.
func (p *Planner) loadTimedOut(permit loadPermit, now time.Time) bool {
	at, ok := p.loadAllowedAt[permit]
	return ok && now.Sub(at) > loadTimeout
}
