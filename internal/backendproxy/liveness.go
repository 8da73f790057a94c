package backendproxy

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/settings"
)

const (
	// endedCheckTime bounds the check whether an engine has ended. An ending process
	// may close its connections a while before it stops listening.
	endedCheckTime = 500 * time.Millisecond
	// stateReadTimeout bounds one read of the engine's state, on the same instance.
	stateReadTimeout = 100 * time.Millisecond
	// stateReadInterval is the time between two reads.
	stateReadInterval = 20 * time.Millisecond
)

// backendEnded reports whether the backend server's process has ended, after it broke
// off an answer. A plain service has no state to read, so a few connection attempts
// decide.
func (p *Proxy) backendEnded(ctx context.Context) bool {
	if p.backend.Kind != settings.KindEngine {
		return atmostonce.AnyProbeRefused(p.backend.Address)
	}
	ctx, cancel := context.WithTimeout(ctx, endedCheckTime)
	defer cancel()
	for {
		switch err := p.readState(ctx); {
		case isResponse(err):
			return false
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		}
		if !pause.For(ctx, stateReadInterval) {
			return false
		}
	}
}

func (p *Proxy) readState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	_, err := p.engine.State(ctx)
	return err
}

// isResponse reports whether a read of the engine's state proves that the engine works.
// Accepting a connection does not, since the kernel does that for a process that ends;
// neither does an internal error.
func isResponse(err error) bool {
	var status *engine.StatusError
	return err == nil || errors.As(err, &status) && status.Code < http.StatusInternalServerError
}
