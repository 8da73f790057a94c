package source

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/chunkio"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/peerconn"
)

const (
	maxManifestBytes = 64 << 20
	idleConnections  = 4
	idleTimeout      = 30 * time.Second
	manifestTimeout  = 10 * time.Second
)

// StatusError is a response of the source with an unexpected status.
type StatusError struct {
	Code       int
	RetryAfter string // the source's Retry-After header; may be empty
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d", e.Code)
}

// Client reads manifests and weights from one source. It is safe for concurrent use.
type Client struct {
	kind Kind
	base string
	http *http.Client
}

// NewClient returns a client of the source at base, a URL.
func NewClient(kind Kind, base string) *Client {
	transport := &http.Transport{MaxResponseHeaderBytes: bounded.MaxHeaderBytes, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}
	return &Client{kind: kind, base: base, http: &http.Client{Transport: peerconn.NewTransport(transport)}}
}

// Kind returns the kind of the client's source.
func (c *Client) Kind() Kind { return c.kind }

// Manifest reads the manifest of a version. It returns an error if the manifest's
// digest is not want.
func (c *Client) Manifest(ctx context.Context, model, version string, want manifest.Digest) (manifest.Manifest, error) {
	text, err := c.get(ctx, ManifestPath(model, version))
	if err != nil {
		return manifest.Manifest{}, errs.Wrap(err, "read manifest", c.base)
	}
	m, err := manifest.Decode(text, want)
	return m, errs.Wrap(err, "check manifest", c.base)
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response)
	}
	return bounded.ReadAll(response.Body, maxManifestBytes)
}

// Chunk reads one chunk with a range request, at the limiter's rate in bytes per
// second (nil: unlimited). It does not verify the digest; chunkstore.Store.Put does.
// It returns chunkio.ErrStalled if the source makes no progress.
func (c *Client) Chunk(ctx context.Context, model, version string, chunk manifest.Chunk, limiter *rate.Limiter) ([]byte, error) {
	ctx, stall := chunkio.WithStallTimeout(ctx)
	defer stall.Stop()
	data, err := c.readChunk(ctx, stall, WeightsPath(model, version), chunk, limiter)
	if err != nil {
		return nil, errs.Wrap(stall.StallError(err), "fetch chunk", c.base)
	}
	return data, nil
}

func (c *Client) readChunk(ctx context.Context, stall *chunkio.StallTimer, path string, chunk manifest.Chunk, limiter *rate.Limiter) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", chunk.Offset, chunk.Offset+chunk.Bytes-1))
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	wholeObject := response.StatusCode == http.StatusOK && chunk.Offset == 0 && response.ContentLength == chunk.Bytes
	if response.StatusCode != http.StatusPartialContent && !wholeObject {
		return nil, statusError(response)
	}
	stall.Progress()
	return chunkio.Read(ctx, stall, response.Body, chunk.Bytes, limiter)
}

func statusError(response *http.Response) error {
	return &StatusError{Code: response.StatusCode, RetryAfter: response.Header.Get("Retry-After")}
}

// Latest reads the manifest that the source currently publishes under a version's
// name. Later reads must use its digest, since the name may be published again with
// other contents.
func (c *Client) Latest(ctx context.Context, model, version string) (manifest.Manifest, error) {
	text, err := c.get(ctx, ManifestPath(model, version))
	if err != nil {
		return manifest.Manifest{}, errs.Wrap(err, "read manifest", c.base)
	}
	var m manifest.Manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return manifest.Manifest{}, errs.Wrap(err, "decode manifest", c.base)
	}
	if m.Model != model || m.Version != version {
		return manifest.Manifest{}, errs.New("check manifest", c.base, "manifest is of %s %s, not of %s %s", m.Model, m.Version, model, version)
	}
	return m, errs.Wrap(m.Check(), "check manifest", c.base)
}
