package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/peerconn"
)

const (
	callTimeout        = 5 * time.Second
	dialTimeout        = 2 * time.Second
	maxIdleConnections = 16
	maxAnswerBytes     = 64 << 20
	defaultPurpose     = "Other"
)

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	base    string
	purpose string
	http    *http.Client
}

// NewClient returns a client of the service at baseURL.
func NewClient(baseURL string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
	}
	return &Client{base: baseURL, purpose: defaultPurpose, http: &http.Client{Transport: peerconn.NewTransport(transport)}}
}

// WithPurpose returns a client that shares c's connections and counts its calls in
// the counters KeyValueCalls.Purpose.Path.
func (c *Client) WithPurpose(purpose string) *Client {
	return &Client{base: c.base, purpose: purpose, http: c.http}
}

// Get reads one key. An absent key has revision 0.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.read(ctx, GetPath, callTimeout, Get{Key: key}, &e)
	return e, err
}

// List reads the keys that l selects, in key order.
func (c *Client) List(ctx context.Context, l List) ([]Entry, error) {
	var e Entries
	err := c.read(ctx, ListPath, callTimeout, l, &e)
	return e.Entries, err
}

// Watch waits for a revision of the key above w.After. It returns false if the wait
// ended without one.
func (c *Client) Watch(ctx context.Context, w Watch) (Entry, bool, error) {
	var e Entry
	wait := time.Duration(w.WaitMilliseconds) * time.Millisecond
	err := c.read(ctx, WatchPath, callTimeout+wait, w, &e)
	return e, err == nil && e.Revision > w.After, err
}

// Swap writes a value if the key's revision is s.Revision. It returns *Conflict if
// the revision differs, *Unavailable if the write certainly has no effect, and
// *Ambiguous if the write may have taken effect or may do so later.
func (c *Client) Swap(ctx context.Context, s Swap) (Entry, error) {
	var e Entry
	err := c.call(ctx, SwapPath, callTimeout, s, &e)
	if err == nil && len(s.Value) > 0 && e.Revision == 0 {
		return Entry{}, c.callError(SwapPath, errors.New("response to a write lacks a revision"), true)
	}
	return e, err
}

// Grant requests a lease that expires after ttlMilliseconds unless it is renewed.
func (c *Client) Grant(ctx context.Context, ttlMilliseconds int) (Lease, error) {
	var l Lease
	err := c.call(ctx, GrantPath, callTimeout, Grant{TTLMilliseconds: ttlMilliseconds}, &l)
	return l, err
}

// KeepAlive renews a lease. It returns *LeaseExpired if the lease no longer exists.
func (c *Client) KeepAlive(ctx context.Context, lease string) (Lease, error) {
	var l Lease
	err := c.call(ctx, KeepAlivePath, callTimeout, KeepAlive{Lease: lease}, &l)
	return l, err
}

// read makes a call without side effects: if the response is lost, it returns
// *Unavailable rather than *Ambiguous.
func (c *Client) read(ctx context.Context, path string, timeout time.Duration, request, reply any) error {
	err := c.call(ctx, path, timeout, request, reply)
	if a, ok := err.(*Ambiguous); ok {
		return &Unavailable{Cause: a.Cause}
	}
	return err
}

func (c *Client) call(ctx context.Context, path string, timeout time.Duration, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return errs.Wrap(err, "encode "+path, c.base)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	post, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err, path, c.base)
	}
	post.Header.Set("Content-Type", "application/json")
	counter.Add("KeyValueCalls."+c.purpose+"."+path[len("/v1/"):], 1)
	response, err := c.http.Do(post)
	if err != nil {
		return c.callError(path, err, connected.Load())
	}
	defer response.Body.Close()
	return c.parse(path, response, reply)
}

func (c *Client) callError(path string, err error, connected bool) error {
	cause := errs.Wrap(err, path, c.base)
	if connected {
		counter.Add("KeyValueFailed.Ambiguous", 1)
		return &Ambiguous{Cause: cause}
	}
	counter.Add("KeyValueFailed.NotConnected", 1)
	return &Unavailable{Cause: cause}
}

func (c *Client) parse(path string, response *http.Response, reply any) error {
	text, err := bounded.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return c.callError(path, err, true)
	}
	status := response.StatusCode
	switch {
	case status == http.StatusNoContent:
		return nil
	case status == http.StatusOK:
		if err := json.Unmarshal(text, reply); err != nil {
			return c.callError(path, err, true)
		}
		return nil
	case status == http.StatusConflict:
		return c.conflict(path, text)
	case status == http.StatusNotFound && path == KeepAlivePath:
		return &LeaseExpired{}
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		counter.Add(fmt.Sprintf("KeyValueFailed.Status%d", status), 1)
		return &Unavailable{Cause: errs.New(path, c.base, "status %d", status)}
	case status >= http.StatusInternalServerError:
		return c.callError(path, fmt.Errorf("status %d", status), true)
	}
	return errs.New(path, c.base, "status %d: %.200s", status, text)
}

func (c *Client) conflict(path string, text []byte) error {
	var current Entry
	if err := json.Unmarshal(text, &current); err != nil {
		return c.callError(path, err, true)
	}
	return &Conflict{Current: current}
}
