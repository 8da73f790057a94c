package peerconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// abortConn is a connection whose Read returns io.EOF only if the peer has closed the
// connection cleanly. The kernel reports an abort, such as a reset by the peer, to one
// call only. If that is Write, the Read after it returns io.EOF, as after a clean close.
type abortConn struct {
	net.Conn
	mu    sync.Mutex // held during a write
	abort error      // the write error that reported an abort
}

func newAbortConn(c net.Conn) *abortConn { return &abortConn{Conn: c} }

// Write implements net.Conn.
func (c *abortConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if isAbort(err) {
		c.abort = err
	}
	return n, err
}

// isAbort reports whether err, of a write, reports that the connection was aborted before
// the peer had closed it. An EPIPE means that the peer closed it first or that an earlier
// call reported the abort.
func isAbort(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// Read implements net.Conn. At the end it interrupts a write in progress: that one may be
// about to return the abort, or may be blocked for as long as the peer reads nothing.
func (c *abortConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !c.mu.TryLock() {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends writes, too
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.abort != nil {
		return n, fmt.Errorf("connection aborted: %w", c.abort)
	}
	return n, io.EOF
}

// NetConn returns the connection below, as tls.Conn does.
func (c *abortConn) NetConn() net.Conn { return c.Conn }
