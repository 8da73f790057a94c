package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/callerapi"
	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/desired"
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func newCallerServer(h http.Handler) *http.Server {
	s := newServer(h)
	s.ConnContext = callerconn.Context
	return s
}

// shutDown shuts the server down and closes it if requests still run after stopTimeout.
func shutDown(ctx context.Context, s *http.Server) { shutDownWithin(ctx, s, stopTimeout) }

// writeEndTimeout bounds the wait for the ends of answers, which may be written after
// their handlers have returned: one write to a caller. A gateway reads on from an agent
// only after that.
const writeEndTimeout = callerapi.WriteTimeout + time.Second

// shutDownCallers shuts down a gateway's server for callers after its drain.
func shutDownCallers(ctx context.Context, s *http.Server) { shutDownWithin(ctx, s, writeEndTimeout) }

// shutDownAgent shuts down an agent's server after its drain.
func shutDownAgent(ctx context.Context, s *http.Server) { shutDownWithin(ctx, s, writeEndTimeout) }

// shutDownWithin shuts the server down and closes it if requests still run after timeout.
func shutDownWithin(ctx context.Context, s *http.Server, timeout time.Duration) {
	stopCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if s.Shutdown(stopCtx) != nil {
		_ = s.Close()
	}
}

// readiness answers /health and /ready. The gateway is ready from when it has a
// configuration and a placement until it is leaving.
type readiness struct {
	desired *desired.State
	leaving atomic.Bool
}

func (r *readiness) leave() { r.leaving.Store(true) }

func (r *readiness) handle(mux *http.ServeMux) {
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (r *readiness) ready() bool {
	snapshot, _ := r.desired.Current()
	complete := snapshot.Configuration.Revision > 0 && snapshot.Placement.Revision > 0
	return complete && !r.leaving.Load()
}
