// Package transmit sends HTTP requests at most once and proves whether a failed
// one can have reached its peer.
//
// net/http repeats a request by itself on a reused connection when its method
// is idempotent or an Idempotency-Key header is present, and its body can be
// read again. A Client's requests on reused connections are POSTs without that
// header whose body can be read once, so the transport has nothing to repeat;
// other methods and that header go over fresh connections only.
package transmit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/errs"
)

const (
	dialTimeout    = 1 * time.Second
	idleTimeout    = 30 * time.Second
	maxIdlePerPeer = 64
	probeTimeout   = 300 * time.Millisecond
	probes         = 3
	probePause     = 20 * time.Millisecond
	// bufferBytes of a connection each way: an event or a call's answer fits.
	bufferBytes = 2 << 10
)

// errSealed is what a write on a sealed connection returns.
var errSealed = errors.New("connection sealed after a failed request")

// Unsent reports a request of which certainly no byte was written, now or later.
type Unsent struct{ Cause error }

// Error names the cause.
func (e *Unsent) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Unsent) Unwrap() error { return e.Cause }

// Client sends requests. It is safe for concurrent use.
type Client struct {
	reused *http.Client
	fresh  *http.Client
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	return &Client{reused: newHTTP(true), fresh: newHTTP(false)}
}

func newHTTP(reuse bool) *http.Client {
	transport := &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerPeer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: bounded.MaxHeadBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
	refuse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: refuse}
}

// Message is one request.
type Message struct {
	Method    string // empty: POST
	Address   string // IP:port
	Host      string // empty: Address
	Path      string // with the query, as it stands in the request line
	Header    http.Header
	Body      []byte
	Fresh     bool      // use a new connection
	ConnectBy time.Time // zero: no bound beside the dialler's own
}

// errConnectLate ends a request that had no connection by ConnectBy.
var errConnectLate = errors.New("no connection in time")

// Send sends m. An error is an *Unsent if no byte was written; otherwise the
// peer may have acted on the request. The answer's body can be read until ctx
// ends.
func (c *Client) Send(ctx context.Context, m Message) (*http.Response, error) {
	if method := m.Method; method != "" && method != http.MethodPost {
		m.Fresh = true
	}
	sent := &witness{}
	if !m.ConnectBy.IsZero() {
		bounded, cancel := context.WithCancelCause(ctx)
		timer := time.AfterFunc(time.Until(m.ConnectBy), func() { sent.giveUp(cancel) })
		defer timer.Stop()
		ctx = bounded
	}
	request, err := newRequest(httptrace.WithClientTrace(ctx, sent.trace()), m)
	if err != nil {
		return nil, &Unsent{Cause: errs.Wrap(err, "build request", m.Address)}
	}
	client := c.reused
	if m.Fresh {
		client = c.fresh
	}
	response, err := client.Do(request)
	if err == nil {
		return response, nil
	}
	if cause := context.Cause(ctx); errors.Is(cause, errConnectLate) {
		err = cause
	}
	err = errs.Wrap(err, "send", m.Address)
	if sent.nothing() {
		return nil, &Unsent{Cause: err}
	}
	return nil, err
}

// Close closes idle connections.
func (c *Client) Close() {
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

func newRequest(ctx context.Context, m Message) (*http.Request, error) {
	method := m.Method
	if method == "" {
		method = http.MethodPost
	}
	var body io.ReadCloser = http.NoBody
	if len(m.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(m.Body))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.Address+m.Path, body)
	if err != nil {
		return nil, err
	}
	request.Host = m.Host
	request.ContentLength = int64(len(m.Body))
	if m.Header != nil {
		request.Header = m.Header
	}
	if !m.Fresh {
		request.Header.Del("Idempotency-Key")
		request.Header.Del("X-Idempotency-Key")
	}
	return request, nil
}

// witness remembers the connections that a request was given.
type witness struct {
	mu   sync.Mutex
	seen []mark
}

// giveUp cancels the request unless it has a connection.
func (w *witness) giveUp(cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.seen) == 0 {
		cancel(errConnectLate)
	}
}

type mark struct {
	conn  *countedConn
	start int64
}

func (w *witness) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		w.mu.Lock()
		defer w.mu.Unlock()
		c, ok := info.Conn.(*countedConn)
		if !ok {
			w.seen = append(w.seen, mark{})
			return
		}
		w.seen = append(w.seen, mark{conn: c, start: c.count()})
	}}
}

// nothing seals the connections, so that no write can follow, and reports
// whether none of them carried a byte of the request.
func (w *witness) nothing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	clean := true
	for _, m := range w.seen {
		if m.conn == nil || m.conn.seal() != m.start {
			clean = false
		}
	}
	return clean
}

// countedConn counts the bytes handed to the kernel and can be sealed.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c}, nil
}

// Write counts b before it writes, so a seal never overlooks a write in progress.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

func (c *countedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// Down reports whether the peer's address refuses a connection right now.
func Down(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// Refuses reports whether the peer's address refuses connections: its process
// has ended. A peer that does not answer is not taken for dead.
func Refuses(address string) bool {
	for i := 0; i < probes; i++ {
		conn, err := net.DialTimeout("tcp", address, probeTimeout)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = conn.Close()
		time.Sleep(probePause)
	}
	return false
}
