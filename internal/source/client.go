package source

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/link"
	"almondreel.example/almondreel/internal/manifest"
)

const (
	maxManifestBytes  = 64 << 20
	idleConnections   = 4
	idleTimeout       = 30 * time.Second
	firstByteDeadline = 10 * time.Second
)

// StatusError is an answer of the source with an unexpected status.
type StatusError struct {
	Code       int
	RetryAfter string // as the source sent it; may be empty
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d", e.Code)
}

// Client reads from one source. It is safe for concurrent use.
type Client struct {
	kind Kind
	base string
	http *http.Client
}

// NewClient returns a client of the source at base, a URL.
func NewClient(kind Kind, base string) *Client {
	transport := &http.Transport{MaxResponseHeaderBytes: bounded.MaxHeadBytes, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}
	return &Client{kind: kind, base: base, http: &http.Client{Transport: transport}}
}

// Kind tells which source the client reads.
func (c *Client) Kind() Kind { return c.kind }

// Manifest reads the manifest of a version and refuses one whose digest is not want.
func (c *Client) Manifest(ctx context.Context, model, version string, want manifest.Digest) (manifest.Manifest, error) {
	text, err := c.text(ctx, ManifestPath(model, version))
	if err != nil {
		return manifest.Manifest{}, errs.Wrap(err, "read manifest", c.base)
	}
	m, err := manifest.Decode(text, want)
	return m, errs.Wrap(err, "check manifest", c.base)
}

func (c *Client) text(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, firstByteDeadline)
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
		return nil, refused(response)
	}
	return bounded.ReadAll(response.Body, maxManifestBytes)
}

// Chunk reads one chunk's bytes by range, at the limiter's rate (nil:
// unlimited); chunkstore.Store.Put verifies them. A source that makes no
// progress gives link.ErrStalled.
func (c *Client) Chunk(ctx context.Context, model, version string, chunk manifest.Chunk, limiter *rate.Limiter) ([]byte, error) {
	ctx, watch := link.Guard(ctx)
	defer watch.Stop()
	data, err := c.chunk(ctx, watch, WeightsPath(model, version), chunk, limiter)
	if err != nil {
		return nil, errs.Wrap(watch.Explain(err), "draw chunk", c.base)
	}
	return data, nil
}

func (c *Client) chunk(ctx context.Context, w *link.Watch, path string, chunk manifest.Chunk, limiter *rate.Limiter) ([]byte, error) {
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
	whole := response.StatusCode == http.StatusOK && chunk.Offset == 0 && response.ContentLength == chunk.Bytes
	if response.StatusCode != http.StatusPartialContent && !whole {
		return nil, refused(response)
	}
	w.Progress()
	return link.Read(ctx, w, response.Body, chunk.Bytes, limiter)
}

func refused(response *http.Response) error {
	return &StatusError{Code: response.StatusCode, RetryAfter: response.Header.Get("Retry-After")}
}

// Latest reads the manifest that the source now publishes under a version's
// name. Use its digest from then on: the name may be published again.
func (c *Client) Latest(ctx context.Context, model, version string) (manifest.Manifest, error) {
	text, err := c.text(ctx, ManifestPath(model, version))
	if err != nil {
		return manifest.Manifest{}, errs.Wrap(err, "read manifest", c.base)
	}
	var m manifest.Manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return manifest.Manifest{}, errs.Wrap(err, "decode manifest", c.base)
	}
	if m.Model != model || m.Version != version {
		return manifest.Manifest{}, errs.New("check manifest", c.base, "names %s %s, not %s %s", m.Model, m.Version, model, version)
	}
	return m, errs.Wrap(m.Check(), "check manifest", c.base)
}
