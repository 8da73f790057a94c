// Package control carries remote calls between almondreel's own processes, gateways and
// agents, over net/rpc.
//
// net/rpc has no deadlines. A Client closes its connection when a call's deadline
// passes, so that a late answer is discarded. It has no limits on messages either: a peer
// whose message exceeds them is disconnected, on both sides.
package control

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/redial"
)

const dialTimeout = 2 * time.Second

// Handle registers the methods of each receiver under its name and returns the handler
// that serves them. The handler must be mounted at Path.
func Handle(receivers map[string]any) (http.Handler, error) {
	server := rpc.NewServer()
	for name, receiver := range receivers {
		if err := server.RegisterName(name, receiver); err != nil {
			return nil, errs.Wrap(err, "register "+name, "")
		}
	}
	return serve(server), nil
}

// Path is the HTTP path of the handler that Handle returns.
const Path = rpc.DefaultRPCPath

// Client calls one peer and connects on demand. It is safe for concurrent use.
type Client struct {
	address string
	mu      sync.Mutex
	client  *rpc.Client
}

// NewClient returns a client of the peer at address (IP:port). It does not connect yet.
func NewClient(address string) *Client {
	return &Client{address: address}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Call calls a method such as "Gateway.Heartbeat" and waits for its answer until ctx
// ends. It changes reply only if it returns nil. Errors carry the method and the peer.
//
// net/rpc blocks while it writes the request, and writes the reply whenever the answer
// arrives. A peer that reads nothing would block the call, and a late answer would
// change a reply that the caller uses again. So the request is written in a goroutine
// of its own, and the answer is decoded into a separate value.
func (c *Client) Call(ctx context.Context, method string, request, reply any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return errs.Wrap(err, "connect", c.address)
	}
	counter.Add("ControlCalls."+method, 1)
	result := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		client.Go(method, request, result.Interface(), done)
	}()
	select {
	case call := <-done:
		<-sent
		if _, answered := call.Error.(rpc.ServerError); call.Error != nil && !answered {
			c.discard(client)
		}
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(result.Elem())
		}
		return errs.Wrap(call.Error, method, c.address)
	case <-ctx.Done():
		c.discard(client)
		<-sent
		return errs.Wrap(ctx.Err(), method, c.address)
	}
}

// Connect connects to the peer and gives up after timeout. It does nothing if the client
// is connected.
func (c *Client) Connect(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := c.connect(ctx)
	return errs.Wrap(err, "connect", c.address)
}

// Close closes the connection. A later call connects again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		_ = c.client.Close()
		c.client = nil
	}
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, nil
	}
	client, err := dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	c.client = client
	return client, nil
}

func (c *Client) discard(client *rpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// dial connects to the net/rpc service of the peer's HTTP server, like
// rpc.DialHTTPPath, but bounded by ctx and dialTimeout.
func dial(ctx context.Context, address string) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := redial.Dial(ctx, net.Dialer{}, address)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	if err := connectHTTP(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return rpc.NewClient(newLimitedConn(countingConn{conn})), nil
}
