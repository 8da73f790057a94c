// Package callerconn records why a caller's connection can no longer be read from or
// written to. net/http only ends the context of a request then, whatever the reason.
package callerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"

	"almondreel.example/almondreel/internal/callermemory"
	"almondreel.example/almondreel/internal/outcome"
)

// Listener records the errors of the connections that it accepts, and bounds the headers
// of requests. The http.Server must have Context as its ConnContext, and call Track in its
// ConnState hook.
type Listener struct {
	net.Listener
	// Memory accounts for long headers; nil: they are not accounted for.
	Memory *callermemory.Account
}

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, header: header{account: l.Memory}}, nil
}

type conn struct {
	net.Conn

	mu       sync.Mutex
	header   header
	readErr  error // the last one
	writeErr error // the first one
}

// Read reads from the connection and records an error.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if headerErr := c.header.read(p[:n], c.Conn); headerErr != nil {
		n, err = 0, headerErr
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Write writes to the connection and records an error.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.writeErr == nil {
			c.writeErr = err
		}
	}
	return n, err
}

// CloseWrite closes the sending side, if the connection can do that. net/http closes it
// before the connection if the caller may still be sending.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

type contextKey struct{}

// Context returns a context that EndReason takes.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// EndReason returns why net/http ended the context of a request. It returns
// outcome.CallerGone if the connection was not accepted by a Listener.
func EndReason(ctx context.Context) outcome.Reason {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return outcome.CallerGone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return outcome.CallerWriteTimedOut
	case c.writeErr != nil:
		return outcome.CallerWriteFailed
	}
	return ReadReason(c.readErr)
}

// ReadReason returns the reason for an error of reading from a caller's connection.
func ReadReason(err error) outcome.Reason {
	switch {
	case err == nil:
		return outcome.CallerGone
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return outcome.CallerClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.CallerReadTimedOut
	case errors.Is(err, net.ErrClosed):
		return outcome.GatewayClosed
	}
	return outcome.CallerReset
}
