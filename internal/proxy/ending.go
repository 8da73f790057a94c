package proxy

import (
	"context"
	"errors"
	"time"
)

// errGatewayEnds is the cause of the end of requests that outlast the gateway.
var errGatewayEnds = errors.New("gateway ends")

// ending ends the requests that still run shortly before the process ends, so that their
// callers get a final answer.
type ending struct {
	ctx context.Context
	end context.CancelFunc
}

func newEnding() ending {
	ctx, cancel := context.WithCancel(context.Background())
	return ending{ctx, cancel}
}

// bind returns a context that ends with ctx or, with the cause errGatewayEnds, when the
// requests are to end. The caller must call release.
func (e ending) bind(ctx context.Context) (bound context.Context, release func()) {
	bound, cancel := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(e.ctx, func() { cancel(errGatewayEnds) })
	return bound, func() {
		unbind()
		cancel(nil)
	}
}

// EndBy makes the handler start only requests whose answers are complete before endsAt,
// when End is called, and refuse the others.
func (h *Handler) EndBy(endsAt time.Time) { h.Pools.stop(endsAt) }

// End ends all requests in progress. Their callers get a final answer, unless part of it
// was sent.
func (h *Handler) End() { h.ending.end() }

// stop makes the pools start only requests whose answers are complete before endsAt.
func (p *Pools) stop(endsAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endsAt = endsAt
	now := time.Now()
	for _, pool := range p.pools {
		p.deliver(pool.Stop(now, endsAt))
	}
}
