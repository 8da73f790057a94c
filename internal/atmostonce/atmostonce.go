// Package atmostonce is an HTTP client that sends each request at most once. For a
// failed request it tells whether the peer can have received any of it.
//
// On a reused connection, net/http repeats a request by itself if its method is
// idempotent or it has an Idempotency-Key header, and its body can be read again.
// So a Client uses reused connections only for POSTs, removes that header from
// them, and gives them a body that can be read only once. Other methods, and
// requests that need the header, use new connections.
package atmostonce

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/peerconn"
)

const (
	dialTimeout         = 1 * time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerPeer = 64
	probeTimeout        = 300 * time.Millisecond
	probeCount          = 3
	probeInterval       = 20 * time.Millisecond
	// connBufferBytes is the size of a connection's read and write buffers. An event
	// or the response to a call fits.
	connBufferBytes = 2 << 10
)

// errSealed is returned by writes on a sealed connection.
var errSealed = errors.New("connection closed for writing after a failed request")

// NotSentError reports that no byte of a request was written and that none will be.
type NotSentError struct{ Cause error }

// Error returns the text of the cause, prefixed with "not sent: ".
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Client sends each request at most once. It is safe for concurrent use.
type Client struct {
	keepAlive *http.Client
	fresh     *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{keepAlive: newHTTPClient(true), fresh: newHTTPClient(false)}
}

func newHTTPClient(reuse bool) *http.Client {
	transport := &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerPeer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
	}
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: peerconn.NewTransport(transport), CheckRedirect: noRedirects}
}

// Request is an HTTP request to a peer.
type Request struct {
	Method    string // empty: POST
	Address   string // IP:port
	Host      string // empty: Address
	Path      string // path and query, written to the request line unchanged
	Header    http.Header
	Body      []byte
	NewConn   bool      // use a new connection; always so if Method is not POST
	ConnectBy time.Time // zero: only the dialler's timeout applies
}

// errConnectTimeout cancels a request that has no connection by ConnectBy.
var errConnectTimeout = errors.New("connect deadline exceeded")

// Send sends r. The error is a *NotSentError if no byte was written; after any
// other error the peer may have acted on the request. The response body can be read
// until ctx ends.
func (c *Client) Send(ctx context.Context, r Request) (*http.Response, error) {
	if method := r.Method; method != "" && method != http.MethodPost {
		r.NewConn = true
	}
	parent, recorder := ctx, &connRecorder{}
	if !r.ConnectBy.IsZero() {
		connectCtx, cancel := context.WithCancelCause(ctx)
		timer := time.AfterFunc(time.Until(r.ConnectBy), func() { recorder.cancelUnlessConnected(cancel) })
		defer timer.Stop()
		ctx = connectCtx
	}
	request, err := newHTTPRequest(httptrace.WithClientTrace(ctx, recorder.trace()), r)
	if err != nil {
		return nil, &NotSentError{Cause: errs.Wrap(err, "build request", r.Address)}
	}
	client := c.keepAlive
	if r.NewConn {
		client = c.fresh
	}
	response, err := client.Do(request)
	if err == nil {
		response.Body = &responseBody{ReadCloser: response.Body, recorder: recorder}
		return response, nil
	}
	if cause := context.Cause(ctx); errors.Is(cause, errConnectTimeout) {
		err = cause
	}
	err = errs.Wrap(err, "send", r.Address)
	switch {
	case !recorder.sealUnwritten():
		return nil, err
	case recorder.anyDiscarded() && !r.NewConn:
		r.NewConn = true
		return c.Send(parent, r)
	}
	return nil, &NotSentError{Cause: err}
}

// responseBody is the body of a response to a request that Send sent.
type responseBody struct {
	io.ReadCloser
	recorder *connRecorder
}

// CloseConn closes the connection on which Send received the response, so that no later
// request uses it. It must be called if the response is not one to the request that was
// sent: all later ones on the connection might be one request behind.
func CloseConn(response *http.Response) {
	if body, ok := response.Body.(*responseBody); ok {
		body.recorder.discardConns()
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.keepAlive.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

func newHTTPRequest(ctx context.Context, r Request) (*http.Request, error) {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	var body io.ReadCloser = http.NoBody
	if len(r.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(r.Body))
	}
	target, err := requestURL(r.Address, r.Path)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.Address, body)
	if err != nil {
		return nil, err
	}
	request.URL = target
	request.Host = r.Host
	request.ContentLength = int64(len(r.Body))
	if r.Header != nil {
		request.Header = r.Header
	}
	if !r.NewConn {
		request.Header.Del("Idempotency-Key")
		request.Header.Del("X-Idempotency-Key")
	}
	return request, nil
}

// requestURL returns a URL for which net/http writes path to the request line unchanged.
// An opaque URL does, but for one that begins with two slashes.
func requestURL(address, path string) (*url.URL, error) {
	if strings.HasPrefix(path, "//") {
		return url.Parse("http://" + address + path)
	}
	return &url.URL{Scheme: "http", Host: address, Opaque: path}, nil
}

// connRecorder records the connections that the transport used for a request.
type connRecorder struct {
	mu    sync.Mutex
	conns []connStart
}

// cancelUnlessConnected cancels the request if it has not got a connection.
func (rec *connRecorder) cancelUnlessConnected(cancel context.CancelCauseFunc) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.conns) == 0 {
		cancel(errConnectTimeout)
	}
}

// connStart is a connection and the number of bytes that had been written to it
// before the request. conn is nil if the connection does not count bytes.
type connStart struct {
	conn  *countingConn
	start int64
}

func (rec *connRecorder) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		c, ok := innermostConn(info.Conn).(*countingConn)
		if !ok {
			rec.conns = append(rec.conns, connStart{})
			return
		}
		rec.conns = append(rec.conns, connStart{conn: c, start: c.bytesWritten()})
	}}
}

// innermostConn returns the connection that c wraps, directly or through others, or c.
func innermostConn(c net.Conn) net.Conn {
	for {
		wrapping, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapping.NetConn()
	}
}

// sealUnwritten seals the connections, so that no later write succeeds, and reports
// whether no byte of the request was written to any of them.
func (rec *connRecorder) sealUnwritten() bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	clean := true
	for _, c := range rec.conns {
		if c.conn == nil || c.conn.seal() != c.start {
			clean = false
		}
	}
	return clean
}

func (rec *connRecorder) discardConns() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, c := range rec.conns {
		if c.conn != nil {
			c.conn.discard()
		}
	}
}

// anyDiscarded reports whether CloseConn closed a connection of the request. The pool
// may hand out such a connection for a moment.
func (rec *connRecorder) anyDiscarded() bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, c := range rec.conns {
		if c.conn != nil && c.conn.isDiscarded() {
			return true
		}
	}
	return false
}

// countingConn counts the bytes passed to the kernel. Once sealed, it rejects
// writes.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
	// discarded is set if the connection was closed by CloseConn.
	discarded bool
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c}, nil
}

// Write counts b before it writes, so that seal includes a write in progress.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal rejects all later writes and returns the number of bytes written.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// discard seals the connection and closes it.
func (c *countingConn) discard() {
	c.mu.Lock()
	c.sealed, c.discarded = true, true
	c.mu.Unlock()
	_ = c.Close() // nothing more is expected from the connection
}

func (c *countingConn) isDiscarded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.discarded
}

// ProbeRefused makes one connection attempt and reports whether it was refused.
func ProbeRefused(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// AnyProbeRefused makes up to three connection attempts and reports whether one was
// refused, which means that the peer's process has ended. It returns false at once
// after any other error: a peer that does not respond may still be running.
func AnyProbeRefused(address string) bool {
	for i := 0; i < probeCount; i++ {
		conn, err := net.DialTimeout("tcp", address, probeTimeout)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = conn.Close()
		time.Sleep(probeInterval)
	}
	return false
}
