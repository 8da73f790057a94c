package status

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/manifest"
)

// projector estimates when the release of a class will finish, from its progress
// between the first sample of the version and now.
type projector struct {
	mu    sync.Mutex
	first map[string]sample // by class
}

type sample struct {
	digest manifest.Digest
	at     time.Time
	done   float64 // progress of the release, 0 to 1
}

func newProjector() *projector {
	return &projector{first: map[string]sample{}}
}

// projectFinish returns when the release of the class is expected to finish, which is
// when Target.Replicas instances serve it. It returns the zero time if the release has
// finished or has made no progress since the first sample. A new version or a drop in
// progress starts with a new first sample.
func (p *projector) projectFinish(c Class, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	done := progress(c)
	start, ok := p.first[c.Name]
	if !ok || start.digest != c.Digest || done < start.done {
		p.first[c.Name] = sample{digest: c.Digest, at: now, done: done}
		return time.Time{}
	}
	if done >= 1 || done <= start.done {
		return time.Time{}
	}
	perUnit := float64(now.Sub(start.at)) / (done - start.done)
	return now.Add(time.Duration((1 - done) * perUnit)).UTC()
}

// progress returns the progress of the class's release, 0 to 1. Fetched chunks and
// serving replicas count half each.
func progress(c Class) float64 {
	if c.Target.Replicas == 0 {
		return 0
	}
	served := float64(c.Serving) / float64(c.Target.Replicas)
	if c.ChunksWanted == 0 {
		return min(1, served)
	}
	fetched := float64(c.ChunksHave) / float64(c.ChunksWanted)
	return min(1, (max(fetched, served)+served)/2)
}
