// Package redial opens TCP connections to peers that may lose power briefly. Such a peer
// drops the SYN, and the kernel retransmits it only after a second, long after the peer
// may be back, so Dial retries earlier.
package redial

import (
	"context"
	"errors"
	"net"
	"time"
)

// firstAttemptTimeout bounds the first attempt: many round trips between regions. The
// timeout doubles with each attempt, for peers that are distant or slow.
const firstAttemptTimeout = 60 * time.Millisecond

// Dial connects to address over TCP within d.Timeout (0: until ctx ends). It retries an
// attempt that times out, and returns any other error at once.
func Dial(ctx context.Context, d net.Dialer, address string) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	for d.Timeout = firstAttemptTimeout; ; d.Timeout *= 2 {
		conn, err := d.DialContext(ctx, "tcp", address)
		var netErr net.Error
		if err == nil || expired(ctx) || !errors.As(err, &netErr) || !netErr.Timeout() {
			return conn, err
		}
	}
}

// DialContext returns a function for http.Transport.DialContext that calls Dial with d.
func DialContext(d net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return Dial(ctx, d, address) }
}

// expired reports whether ctx has ended or its deadline has passed. A dial that reaches
// the deadline may return shortly before ctx ends.
func expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}
