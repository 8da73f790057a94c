package planner

import (
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/source"
)

const (
	resolveTimeout       = 10 * time.Second // of one request to the origin
	resolveRetryInterval = 3 * time.Second
	resolutionTTL        = 30 * time.Second
	maxQueued            = 64
)

type version struct {
	model, name string
}

type resolution struct {
	digest     manifest.Digest
	pending    bool
	validUntil time.Time // end of caching; a failed lookup is not retried before it
}

// resolver looks up the digests of versions at the origin. It caches a digest for
// resolutionTTL, so that a placement can record it. A version that is placed again
// later is looked up again.
type resolver struct {
	origin   *source.Client
	queue    chan version  // when full, a later plan queues the version again
	resolved chan struct{} // signals the planner to plan again

	mu          sync.Mutex
	resolutions map[version]resolution
}

func newResolver(origin string) *resolver {
	return &resolver{
		origin:      source.NewClient(source.Origin, origin),
		queue:       make(chan version, maxQueued),
		resolved:    make(chan struct{}, 1),
		resolutions: map[version]resolution{},
	}
}

// digest returns the digest of a model's version. It returns "" and queues a
// lookup if the digest is not cached.
func (r *resolver) digest(model, name string) manifest.Digest {
	v := version{model, name}
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.resolutions[v]
	if cached.pending {
		return ""
	}
	if time.Now().Before(cached.validUntil) {
		return cached.digest
	}
	select {
	case r.queue <- v:
		r.resolutions[v] = resolution{pending: true}
	default:
	}
	return ""
}

func (r *resolver) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-r.queue:
			r.resolve(ctx, v)
		}
	}
}

func (r *resolver) resolve(ctx context.Context, v version) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	m, err := r.origin.Latest(ctx, v.model, v.name)
	result := resolution{validUntil: time.Now().Add(resolveRetryInterval)}
	if err != nil {
		counter.Add("VersionUnresolved", 1)
		event.Fail(event.VersionUnresolved, err, "Model", v.model, "Version", v.name)
	} else {
		result = resolution{digest: m.Digest(), validUntil: time.Now().Add(resolutionTTL)}
	}
	r.mu.Lock()
	r.resolutions[v] = result
	r.mu.Unlock()
	select {
	case r.resolved <- struct{}{}:
	default: // a signal is already pending
	}
}
