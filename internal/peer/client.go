// Package peer transfers weights between agents. Its client exchanges holdings
// over net/rpc and reads chunks and manifests over HTTP; its server sends them.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/chunkio"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/peerconn"
)

const (
	callTimeout        = time.Second
	maxManifestBytes   = 64 << 20
	idlePerPeer        = 2
	idleTimeout        = 20 * time.Second
	readBufferBytes    = 32 << 10
	manifestTimeout    = 5 * time.Second
	maxIdleConnections = 256
	maxRefusalBytes    = 4 << 10
)

// Errors of a peer's answer, for status 503 and 404.
var (
	ErrBusy    = errors.New("all upload slots of the peer are taken")
	ErrNotHeld = errors.New("peer does not hold the requested object")
)

// Transport holds the HTTP connections and the download limiter that all clients
// of one agent share.
type Transport struct {
	http        *http.Client
	region      string
	downLimiter *rate.Limiter
}

// NewTransport returns a transport of an agent in region that reads chunks at
// the limiter's rate (nil: unlimited).
func NewTransport(region string, downLimiter *rate.Limiter) *Transport {
	t := &http.Transport{
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    idlePerPeer,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         readBufferBytes,
		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
	}
	return &Transport{http: &http.Client{Transport: peerconn.NewTransport(t)}, region: region, downLimiter: downLimiter}
}

// Close closes the idle connections.
func (t *Transport) Close() { t.http.CloseIdleConnections() }

// Client calls one other agent. It is safe for concurrent use.
type Client struct {
	control   *control.Client
	transport *Transport
}

// NewClient returns a client of the agent at address (IP:port).
func NewClient(address string, t *Transport) *Client {
	return &Client{control: control.NewClient(address), transport: t}
}

// Address returns the agent's address.
func (c *Client) Address() string { return c.control.Address() }

// Close closes the net/rpc connection.
func (c *Client) Close() { c.control.Close() }

// Have sends the agent's holdings and returns the peer's.
func (c *Client) Have(ctx context.Context, request agent.HaveRequest) (agent.HaveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply agent.HaveReply
	if err := c.control.Call(ctx, agent.MethodHave, request, &reply); err != nil {
		return agent.HaveReply{}, err // a late reply may still be decoded into reply
	}
	return reply, nil
}

// Manifest reads the manifest with the given digest and checks it. It returns
// ErrNotHeld if the peer does not hold the version.
func (c *Client) Manifest(ctx context.Context, digest manifest.Digest) (manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	response, err := c.get(ctx, agent.ManifestPath+string(digest))
	if err != nil {
		return manifest.Manifest{}, errs.Wrap(err, "read manifest", c.Address())
	}
	defer response.Body.Close()
	text, err := bounded.ReadAll(response.Body, maxManifestBytes)
	if err != nil {
		return manifest.Manifest{}, errs.Wrap(err, "read manifest", c.Address())
	}
	m, err := manifest.Decode(text, digest)
	return m, errs.Wrap(err, "check manifest", c.Address())
}

// Chunk reads a chunk's bytes without verifying them; chunkstore.Store.Put does.
// Errors: ErrBusy, ErrNotHeld, chunkio.ErrStalled, chunkio.ErrCutShort,
// chunkio.ErrTooLong.
func (c *Client) Chunk(ctx context.Context, chunk manifest.Chunk) ([]byte, error) {
	ctx, stall := chunkio.WithStallTimeout(ctx)
	defer stall.Stop()
	data, err := c.chunk(ctx, stall, chunk)
	if err != nil {
		return nil, errs.Wrap(stall.StallError(err), "fetch chunk", c.Address())
	}
	return data, nil
}

func (c *Client) chunk(ctx context.Context, stall *chunkio.StallTimer, chunk manifest.Chunk) ([]byte, error) {
	response, err := c.get(ctx, agent.ChunkPath+string(chunk.Digest))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	stall.Progress()
	return chunkio.Read(ctx, stall, response.Body, chunk.Bytes, c.transport.downLimiter)
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address()+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(agent.HeaderRegion, c.transport.region)
	response, err := c.transport.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	// Reading the short body to its end lets the connection be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusServiceUnavailable:
		return nil, ErrBusy
	case http.StatusNotFound:
		return nil, ErrNotHeld
	}
	return nil, fmt.Errorf("status %d", response.StatusCode)
}
