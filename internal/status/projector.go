package status

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/manifest"
)

// projector works out from two sights of a release when it will be finished.
type projector struct {
	mu    sync.Mutex
	first map[string]sight // by class
}

type sight struct {
	digest manifest.Digest
	at     time.Time
	done   float64 // part of the release, 0 to 1
}

func newProjector() *projector {
	return &projector{first: map[string]sight{}}
}

// finish returns when the class is expected to be whole, or the zero time while
// that is not known. A release is whole when all placed instances serve.
func (p *projector) finish(c Class, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	done := progress(c)
	held, ok := p.first[c.Name]
	if !ok || held.digest != c.Digest || done < held.done {
		p.first[c.Name] = sight{digest: c.Digest, at: now, done: done}
		return time.Time{}
	}
	if done >= 1 || done <= held.done {
		return time.Time{}
	}
	perUnit := float64(now.Sub(held.at)) / (done - held.done)
	return now.Add(time.Duration((1 - done) * perUnit)).UTC()
}

// progress counts a fetched chunk and a served replica alike, half each.
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
