// Package ending ends the requests that still run shortly before a gateway's process ends,
// so that their callers get a final answer.
package ending

import (
	"context"
	"errors"
	"time"
)

// ErrGatewayEnds is the cause of the end of a request's context that outlasts the gateway.
var ErrGatewayEnds = errors.New("gateway ends")

// Ending is the end of a gateway's requests. It is safe for concurrent use.
type Ending struct {
	ctx context.Context
	end context.CancelFunc
}

// New returns an end that has not come.
func New() Ending {
	ctx, cancel := context.WithCancel(context.Background())
	return Ending{ctx, cancel}
}

// End ends all requests, also those that are bound later.
func (e Ending) End() { e.end() }

// Bind returns a context that ends with ctx or, with the cause ErrGatewayEnds, when the
// requests are to end. The caller must call release.
func (e Ending) Bind(ctx context.Context) (bound context.Context, release func()) {
	bound, cancel := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(e.ctx, func() { cancel(ErrGatewayEnds) })
	return bound, func() {
		unbind()
		cancel(nil)
	}
}

// Ended reports whether ctx has ended because the gateway ends.
func Ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrGatewayEnds) }

// Before returns the time before the end of a grace period that leaves reserve, or the
// share of the grace period if that is less.
func Before(began time.Time, grace, reserve time.Duration, share float64) time.Time {
	return began.Add(grace - min(reserve, time.Duration(share*float64(grace))))
}
