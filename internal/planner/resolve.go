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
	resolveTimeout = 10 * time.Second
	resolveRetry   = 3 * time.Second
	resolveExpiry  = 30 * time.Second
	maxQuestions   = 64
)

type version struct {
	model, name string
}

type resolution struct {
	digest manifest.Digest
	asking bool
	until  time.Time // kept until then, or not asked again before
}

// resolver asks the origin for versions' digests. A digest is kept only until
// a plan has fixed it: a name that is placed anew later is resolved anew.
type resolver struct {
	origin    *source.Client
	questions chan version  // full: the version is asked for by a later plan
	resolved  chan struct{} // wakes the planner

	mu    sync.Mutex
	known map[version]resolution
}

func newResolver(origin string) *resolver {
	return &resolver{
		origin:    source.NewClient(source.Origin, origin),
		questions: make(chan version, maxQuestions),
		resolved:  make(chan struct{}, 1),
		known:     map[version]resolution{},
	}
}

// digest returns the version's digest, or "" until the origin has told it.
func (r *resolver) digest(model, name string) manifest.Digest {
	v := version{model, name}
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.known[v]
	if held.asking {
		return ""
	}
	if time.Now().Before(held.until) {
		return held.digest
	}
	select {
	case r.questions <- v:
		r.known[v] = resolution{asking: true}
	default:
	}
	return ""
}

func (r *resolver) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-r.questions:
			r.ask(ctx, v)
		}
	}
}

func (r *resolver) ask(ctx context.Context, v version) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	m, err := r.origin.Latest(ctx, v.model, v.name)
	answer := resolution{until: time.Now().Add(resolveRetry)}
	if err != nil {
		counter.Add("VersionUnresolved", 1)
		event.Fail(event.VersionUnresolved, err, "Model", v.model, "Version", v.name)
	} else {
		answer = resolution{digest: m.Digest(), until: time.Now().Add(resolveExpiry)}
	}
	r.mu.Lock()
	r.known[v] = answer
	r.mu.Unlock()
	select {
	case r.resolved <- struct{}{}:
	default: // a wake-up is already waiting
	}
}
