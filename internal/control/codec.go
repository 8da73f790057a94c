package control

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
)

// maxCallsPerConnection bounds the calls of one connection that have not been answered.
// The processes have a few at a time. net/rpc starts a goroutine for each call that it
// reads, also if the peer reads no answer.
const maxCallsPerConnection = 64

// serve returns a handler that serves net/rpc on the connections of CONNECT requests.
func serve(server *rpc.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			http.Error(w, "CONNECT expected", http.StatusMethodNotAllowed)
			return
		}
		hijacked, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			event.Fail(event.PeerMessageRejected, errs.Wrap(err, "take over connection", r.RemoteAddr))
			return
		}
		conn := newLimitedConn(countingConn{hijacked})
		if _, err := io.WriteString(conn, "HTTP/1.0 "+connectedStatus+"\n\n"); err != nil {
			_ = conn.Close()
			return
		}
		server.ServeCodec(newCodec(conn))
	})
}

// codec is the gob codec of net/rpc, with a bound on the calls that have not been
// answered. It reads no further call until one of them is.
type codec struct {
	conn    net.Conn
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer

	calls     chan struct{} // holds an element for each call that has not been answered
	closed    chan struct{}
	closeOnce sync.Once
}

func newCodec(conn net.Conn) *codec {
	buffer := bufio.NewWriter(conn)
	return &codec{
		conn: conn, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(buffer), buffer: buffer,
		calls: make(chan struct{}, maxCallsPerConnection), closed: make(chan struct{}),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.calls <- struct{}{}:
	default:
		counter.Add("ControlCallsDelayed", 1)
		select {
		case c.calls <- struct{}{}:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	if err := c.decoder.Decode(r); err != nil {
		<-c.calls
		return err
	}
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec. After an error the connection is closed, as an
// answer may have been written in part.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.calls }()
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		_ = c.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		close(c.closed)
		err = c.conn.Close()
	})
	return err
}
