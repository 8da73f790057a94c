// Package control carries calls between almondreel's own processes over net/rpc.
//
// net/rpc has no deadlines. A Client closes its connection when a call's
// deadline passes, so a late answer reaches nobody.
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

// Handle registers receiver's methods under name and returns the handler that
// serves them at rpc.DefaultRPCPath.
func Handle(receivers map[string]any) (http.Handler, error) {
	server := rpc.NewServer()
	for name, receiver := range receivers {
		if err := server.RegisterName(name, receiver); err != nil {
			return nil, errs.Wrap(err, "register "+name, "")
		}
	}
	return counted(server), nil
}

// Path is where the handler must be mounted.
const Path = rpc.DefaultRPCPath

// Client calls one peer, connecting on demand. It is safe for concurrent use.
type Client struct {
	address string
	mu      sync.Mutex
	client  *rpc.Client
}

// NewClient returns a client of the peer at address (IP:port).
func NewClient(address string) *Client {
	return &Client{address: address}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Call runs method ("Gateway.Heartbeat") and waits for reply until ctx ends.
// After an error reply is as it was.
//
// net/rpc writes the request before it returns and the reply whenever it comes.
// A peer that reads nothing would hold the call, and a late answer would change
// a reply that its owner uses again. So the request is sent beside the wait, and
// the answer is taken into a value of its own.
func (c *Client) Call(ctx context.Context, method string, request, reply any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return errs.Wrap(err, "connect", c.address)
	}
	counter.Add("ControlCalls."+method, 1)
	own := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		client.Go(method, request, own.Interface(), done)
	}()
	select {
	case call := <-done:
		<-sent
		if _, answered := call.Error.(rpc.ServerError); call.Error != nil && !answered {
			c.drop(client)
		}
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(own.Elem())
		}
		return errs.Wrap(call.Error, method, c.address)
	case <-ctx.Done():
		c.drop(client)
		<-sent
		return errs.Wrap(ctx.Err(), method, c.address)
	}
}

// Connect connects within a time, unless the client is connected already.
func (c *Client) Connect(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, err := c.connect(ctx)
	return errs.Wrap(err, "connect", c.address)
}

// Close closes the connection; a later call connects again.
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

func (c *Client) drop(client *rpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// dial asks the peer's HTTP server for its net/rpc service, as
// rpc.DialHTTPPath does, within ctx and dialTimeout.
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
	return rpc.NewClient(countedConn{conn}), nil
}
