package duty

import (
	"context"
	"net"
	"net/http"
)

// Serve returns the duty that serves a listener until its context ends; stop
// then ends the server.
func Serve(l net.Listener, s *http.Server, stop func(context.Context, *http.Server)) Func {
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
		stop(context.WithoutCancel(ctx), s)
		<-served
		return ctx.Err()
	}
}
