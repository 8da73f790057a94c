// Package peerconn reads HTTP responses from peers. It rejects responses with an
// invalid head that net/http accepts, and closes their connections. A body that ends with
// its connection is complete only if the connection was not aborted.
package peerconn

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an http.RoundTripper that fails for responses with an invalid head.
type Transport struct{ transport *http.Transport }

// NewTransport returns a Transport that sends requests through t. It takes t over and
// sets the functions with which t connects. The connections speak HTTP/1.1.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(newAbortConn(c)), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secure, err := startTLS(ctx, newAbortConn(c), address, t)
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return newConn(secure), nil
	}
	return &Transport{transport: t}
}

// DefaultClient is like http.DefaultClient, but fails for responses with an invalid head.
var DefaultClient = &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// startTLS makes the TLS handshake with the peer at address on c, with t's settings.
func startTLS(ctx context.Context, c net.Conn, address string, t *http.Transport) (net.Conn, error) {
	if t.TLSHandshakeTimeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, t.TLSHandshakeTimeout)
		defer cancel()
		ctx = bounded
	}
	config := &tls.Config{}
	if t.TLSClientConfig != nil {
		config = t.TLSClientConfig.Clone()
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
	}
	secure := tls.Client(c, config)
	return secure, secure.HandshakeContext(ctx)
}

// RoundTrip implements http.RoundTripper. A connection that is used once expects a head
// from its start.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !t.transport.DisableKeepAlives {
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.reader.expectHead()
			}
		}}
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	}
	response, err := t.transport.RoundTrip(r)
	if err == nil && len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{ReadCloser: response.Body, response: response}
	}
	return response, err
}

// chunkedBody is a body that trailers may follow.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader. At the end of the body it checks the trailers.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if trailerErr := checkNames(b.response.Trailer); trailerErr != nil {
			err = trailerErr
		}
	}
	return n, err
}

// CloseIdleConnections closes the connections that no request uses. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// conn is a connection on which responses are received, one for each request.
type conn struct {
	net.Conn
	reader *reader
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, reader: &reader{source: c}} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// NetConn returns the connection below, as tls.Conn does.
func (c *conn) NetConn() net.Conn { return c.Conn }

// NewReader returns a reader of one response. It fails at the place at which the
// response's head is invalid.
func NewReader(source io.Reader) io.Reader { return &reader{source: source} }

// reader checks the heads of the responses that it reads.
type reader struct {
	source io.Reader
	mu     sync.Mutex
	head   head
}

// Read implements io.Reader. Once a head was invalid, it reads nothing more.
func (r *reader) Read(p []byte) (int, error) {
	if err := r.failure(); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	if valid, headErr := r.head.check(p[:n]); headErr != nil {
		return valid, headErr
	}
	return n, err
}

func (r *reader) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head.err
}

// expectHead makes the reader check another head, if the last one is complete. It is
// called before a request is sent, when the response to the one before has been read.
func (r *reader) expectHead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head.complete {
		r.head = head{}
	}
}

// Check returns an error if the response, which another client read, has an invalid head.
// It cannot tell a line that begins with a blank from the end of the line before.
func Check(response *http.Response) error {
	if !IsFinalStatus(response.StatusCode) {
		return fmt.Errorf("%w: status %d", errInvalidHead, response.StatusCode)
	}
	return checkNames(response.Header)
}
