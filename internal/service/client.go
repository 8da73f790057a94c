package service

import (
	"context"
	"net"
	"time"

	"almondreel.example/almondreel/internal/errs"
)

const dialTimeout = time.Second

// Probe returns an error unless the plain service at address (IP:port) accepts a
// TCP connection within a second.
func Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errs.Wrap(err, "connect", address)
	}
	return conn.Close()
}
