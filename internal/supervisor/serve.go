package supervisor

import (
	"context"
	"net"
	"net/http"
)

// Serve returns a task that serves a listener until its context ends, then stops the
// server with stop, whose context has not ended.
func Serve(l net.Listener, s *http.Server, stop func(context.Context, *http.Server)) Task {
	return func(ctx context.Context) error {
		serveErr := make(chan error, 1)
		go func() {
			defer close(serveErr)
			serveErr <- s.Serve(l)
		}()
		select {
		case err := <-serveErr:
			return err
		case <-ctx.Done():
		}
		stop(context.WithoutCancel(ctx), s)
		<-serveErr
		return ctx.Err()
	}
}
