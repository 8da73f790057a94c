package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/duty"
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serve returns the duty that serves a listener until its context ends.
func serve(l net.Listener, s *http.Server) duty.Func {
	return func(ctx context.Context) error {
		served := make(chan error, 1)
		go func() {
			defer close(served)
			served <- s.Serve(l)
		}()
		select {
		case err := <-served:
			return err
		case <-ctx.Done():
		}
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if s.Shutdown(stop) != nil {
			_ = s.Close()
		}
		<-served
		return ctx.Err()
	}
}

// readiness answers /health and /ready: ready once configuration and placement
// are in force, until the daemon leaves.
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
	adopted := snapshot.Configuration.Revision > 0 && snapshot.Placement.Revision > 0
	return adopted && !r.leaving.Load()
}
