package control

import (
	"errors"
	"net"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
)

const (
	// maxConnectResponseBytes bounds the head of a peer's answer to CONNECT.
	maxConnectResponseBytes = 4 << 10
	// maxMessageBytes bounds one message of a peer. The largest are the state of the
	// metadata store and of all instances, which a process gets when it starts.
	maxMessageBytes = 4 << 20
	// maxBufferedBytes bounds the messages that all connections of the process receive at
	// the same time.
	maxBufferedBytes = 16 << 20
	// smallMessageBytes is the size up to which messages are received without a share of
	// maxBufferedBytes and without a deadline. Each connection has a buffer of that size.
	smallMessageBytes = 4 << 10
	// messageTimeout bounds the time to receive a larger message, and the time to write a
	// part of any message.
	messageTimeout = 10 * time.Second
	// maxLengthBytes is the number of bytes of the longest length that gob writes.
	maxLengthBytes = 8
)

// errMessageTooLong reports bytes of a peer that are no message, or one longer than
// maxMessageBytes.
var errMessageTooLong = errors.New("message exceeds the size limit")

// bufferedMessages is shared by all connections of the process.
var bufferedMessages = bounded.NewMemoryBudget(maxBufferedBytes)

// limitedConn is a connection on which the peer's messages are bounded. encoding/gob
// allocates a message before it has arrived, up to 8 GB by its length, and a faulty peer or
// one of another protocol may send any. So the lengths between the messages are read here,
// before the decoder sees them. A gob length is one byte up to 127, or the negated count of
// the big-endian bytes that follow.
type limitedConn struct {
	net.Conn
	// Only the goroutine that reads uses these.
	length      uint64 // of the next message, as far as it was read
	lengthBytes int    // of length that have not been read
	remaining   uint64 // bytes of the current message that have not been read
	failed      error

	mu          sync.Mutex
	reservation *bounded.Reservation // of the message that is received or decoded
	reserved    bool
	closed      bool
}

func newLimitedConn(conn net.Conn) *limitedConn {
	return &limitedConn{Conn: conn, reservation: bufferedMessages.NewReservation()}
}

// Read implements net.Conn. It fails before a message that exceeds the limits.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	if c.remaining == 0 && c.lengthBytes == 0 {
		c.release() // the decoder asks for the next message once it has decoded the last
	}
	n, err := c.Conn.Read(p)
	accepted, limitErr := c.scan(p[:n])
	if limitErr != nil {
		err = errs.Wrap(limitErr, "receive message", c.RemoteAddr().String())
		counter.Add("ControlMessagesRejected", 1)
		event.Fail(event.PeerMessageRejected, err, "Bytes", c.length)
	}
	if err != nil {
		c.failed = err
		c.release()
	}
	return accepted, err
}

// Write implements net.Conn. It fails if the peer does not read for messageTimeout.
func (c *limitedConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(messageTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// scan follows the message boundaries in received bytes. It returns the number of bytes
// before a message that exceeds the limits, and the reason.
func (c *limitedConn) scan(received []byte) (int, error) {
	for i := 0; i < len(received); {
		if c.remaining > 0 {
			part := min(c.remaining, uint64(len(received)-i))
			c.remaining -= part
			i += int(part)
			continue
		}
		complete, err := c.addLengthByte(received[i])
		if err == nil && complete {
			err = c.begin(c.length)
		}
		if err != nil {
			return i, err
		}
		i++
	}
	return len(received), nil
}

// addLengthByte adds a byte of a message's length and reports whether it was the last.
func (c *limitedConn) addLengthByte(b byte) (complete bool, err error) {
	switch {
	case c.lengthBytes > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthBytes--
	case b <= 0x7f:
		c.length = uint64(b)
	default:
		c.length, c.lengthBytes = 0, -int(int8(b))
	}
	if c.lengthBytes > maxLengthBytes {
		return false, errMessageTooLong
	}
	return c.lengthBytes == 0, nil
}

// begin reserves memory for a message and sets the deadline to receive it.
func (c *limitedConn) begin(length uint64) error {
	if length > maxMessageBytes {
		return errMessageTooLong
	}
	c.remaining = length
	c.release()
	if length <= smallMessageBytes {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if err := c.reservation.Grow(int64(length)); err != nil {
		return err
	}
	c.reserved = true
	return c.Conn.SetReadDeadline(time.Now().Add(messageTimeout))
}

// release returns the memory that is reserved for a message and removes its deadline.
func (c *limitedConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserved {
		c.reservation.Release()
		c.reserved = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only once the connection is closed
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.mu.Lock()
	c.closed = true // the reader reserves nothing more
	c.mu.Unlock()
	c.release()
	return c.Conn.Close()
}
