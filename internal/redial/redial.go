// Package redial opens connections to peers that may be without power for a
// moment. Such a peer drops the opening packet, and the kernel sends it again
// only after a second, when the peer may have been back for long.
package redial

import (
	"context"
	"errors"
	"net"
	"time"
)

// firstTry is the time of the first try, many times a round trip between
// regions; each further try takes twice as long, for peers that are far or slow.
const firstTry = 60 * time.Millisecond

// Dial connects to address within d.Timeout, trying anew when no answer comes.
func Dial(ctx context.Context, d net.Dialer, address string) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	for d.Timeout = firstTry; ; d.Timeout *= 2 {
		conn, err := d.DialContext(ctx, "tcp", address)
		var unanswered net.Error
		if err == nil || over(ctx) || !errors.As(err, &unanswered) || !unanswered.Timeout() {
			return conn, err
		}
	}
}

// DialContext returns a transport's way to connect with d as Dial does.
func DialContext(d net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return Dial(ctx, d, address) }
}

// over reports whether ctx has ended or its deadline has passed: a dial notices
// the deadline by itself, a moment before ctx ends.
func over(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}
