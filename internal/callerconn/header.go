package callerconn

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/callermemory"
	"almondreel.example/almondreel/internal/counter"
)

const (
	// maxHeaderLines bounds the lines of a request's header. Within the 16,384 bytes that
	// operators' limits allow, fields of 16 bytes and more fit.
	maxHeaderLines = 1024
	// freeHeaderLines and freeHeaderBytes are the size up to which headers are not
	// accounted for. Ordinary headers are shorter.
	freeHeaderLines = 64
	freeHeaderBytes = 4 << 10
	// lineBytes is the memory that net/http uses for a field beside its text.
	lineBytes = 200
)

var errHeaderTooLong = errors.New("header exceeds the limits on its fields or their memory")

// header bounds the header of the request that a connection receives. net/http stores
// fields as they arrive, and has no limit on their number. The connection's mutex
// guards it.
type header struct {
	account  *callermemory.Account // nil: headers are not accounted for
	holder   *callermemory.Holder  // nil: of an ordinary header
	complete bool
	lines    int
	bytes    int64
	partial  bool // the last line has begun
}

// read accounts for received bytes. It returns errHeaderTooLong if the header exceeds the
// limits.
func (h *header) read(received []byte, c net.Conn) error {
	if h.complete {
		return nil
	}
	for len(received) > 0 && !h.complete {
		end := bytes.IndexByte(received, '\n')
		if end < 0 {
			h.bytes += int64(len(received))
			h.partial = h.partial || received[0] != '\r' || len(received) > 1
			break
		}
		h.complete = !h.partial && (end == 0 || end == 1 && received[0] == '\r')
		h.partial = false
		h.lines++
		h.bytes += int64(end + 1)
		received = received[end+1:]
	}
	if h.lines > maxHeaderLines {
		counter.Add("HeadersRejected.Lines", 1)
		return errHeaderTooLong
	}
	if h.account == nil || h.lines <= freeHeaderLines && h.bytes <= freeHeaderBytes {
		return nil
	}
	now := time.Now()
	if h.holder == nil {
		h.holder = h.account.Open(callermemory.Header, now, func() { _ = c.SetReadDeadline(time.Now()) })
	}
	if h.holder.Reserve(2*h.bytes+lineBytes*int64(h.lines), now) != callermemory.Granted {
		counter.Add("HeadersRejected.Memory", 1)
		return errHeaderTooLong
	}
	return nil
}

// reset makes the header that of the next request.
func (h *header) reset() {
	if h.holder != nil {
		h.holder.Release()
	}
	*h = header{account: h.account}
}

// Hook returns a ConnState hook for an http.Server with a Listener, which calls next, too.
func Hook(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(c net.Conn, s http.ConnState) {
		Track(c, s)
		next(c, s)
	}
}

// Track records a change of a connection's state. It must be called by the ConnState hook
// of the http.Server.
func Track(c net.Conn, s http.ConnState) {
	if wrapping, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapping.NetConn()
	}
	conn, ok := c.(*conn)
	if !ok {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	switch s {
	case http.StateActive: // the header has been received
		conn.header.complete = true
		if conn.header.holder != nil {
			conn.header.holder.Received()
		}
	case http.StateHijacked: // no header follows
		conn.header.reset()
		conn.header.complete = true
	case http.StateIdle, http.StateClosed:
		conn.header.reset()
	}
}
