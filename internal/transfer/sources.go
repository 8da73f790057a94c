package transfer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/source"
)

const (
	sourceBackoffMin   = 200 * time.Millisecond
	sourceBackoffMax   = 5 * time.Second
	maxSourceDoublings = 8                // of sourceBackoffMin
	maxSourceDelay     = 30 * time.Second // after status 404, and the limit of Retry-After
)

// ErrNoSource reports that every source is in backoff after a failure, or that
// none is configured.
var ErrNoSource = errors.New("no source is available")

// sourceState is the load and health of one source as measured by the agent.
type sourceState struct {
	client *source.Client

	mu             sync.Mutex
	notBefore      time.Time
	failures       int     // in a row
	active         int     // downloads in progress
	bytesPerSecond float64 // moving average of recent downloads
}

func (s *sourceState) usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Before(s.notBefore)
}

// cost returns a value that grows with the expected time of one more download.
func (s *sourceState) cost() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytesPerSecond == 0 {
		return float64(s.active)
	}
	return float64(s.active+1) / s.bytesPerSecond
}

func (s *sourceState) beginDownload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

// endDownload records the end of a download of size bytes and sets the backoff
// after a failure.
func (s *sourceState) endDownload(size int64, elapsed time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if err == nil {
		s.failures = 0
		s.bytesPerSecond = 0.7*s.bytesPerSecond + 0.3*float64(size)/max(elapsed.Seconds(), 0.001)
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	backoff := min(sourceBackoffMin<<s.failures, sourceBackoffMax)
	s.failures = min(s.failures+1, maxSourceDoublings)
	s.notBefore = time.Now().Add(max(jittered(backoff), requestedDelay(err)))
}

// requestedDelay returns the delay that the source's answer calls for, at most
// maxSourceDelay.
func requestedDelay(err error) time.Duration {
	var status *source.StatusError
	if !errors.As(err, &status) {
		return 0
	}
	if status.Code == http.StatusNotFound {
		return maxSourceDelay
	}
	seconds, _ := strconv.Atoi(status.RetryAfter)
	return min(time.Duration(seconds)*time.Second, maxSourceDelay)
}

// pickSource returns the source for the next download: the first usable one if
// the weighing is OriginBytes, else the one with the lowest cost; nil if none is
// usable.
func (t *Transfer) pickSource() *sourceState {
	now := time.Now()
	t.mu.Lock()
	preferFirst := t.current.Weighing == operator.OriginBytes
	t.mu.Unlock()
	var best *sourceState
	for _, s := range t.manager.sources {
		if !s.usable(now) {
			continue
		}
		if best == nil || (!preferFirst && s.cost() < best.cost()) {
			best = s
		}
	}
	return best
}

// download reads chunk c from a source and stores it. It returns ErrNoSource if
// no source is usable.
func (t *Transfer) download(ctx context.Context, c manifest.Chunk) error {
	s := t.pickSource()
	if s == nil {
		return ErrNoSource
	}
	s.beginDownload()
	started := time.Now()
	data, err := s.client.Chunk(ctx, t.plan.Model, t.plan.Version, c, t.manager.options.DownLimiter)
	if err == nil {
		err = t.put(c, data, string(s.client.Kind()))
	}
	s.endDownload(c.Bytes, time.Since(started), err)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.downloadMicroseconds = (3*t.downloadMicroseconds + time.Since(started).Microseconds()) / 4
	t.mu.Unlock()
	counter.Add("ChunksDrawn."+string(s.client.Kind()), 1)
	counter.Add("ChunkDrawnBytes."+string(s.client.Kind()), c.Bytes)
	return nil
}

// findManifest returns the stored manifest. Without one it asks other agents, and
// from the agent's turn on also the sources, until one has it or ctx ends.
func (t *Transfer) findManifest(ctx context.Context) (manifest.Manifest, error) {
	if m, ok := t.manager.options.Store.Manifest(t.plan.Digest); ok {
		return m, nil
	}
	turn := t.manifestTurn(time.Now())
	for {
		if m, ok := t.manifestFromPeers(ctx); ok {
			return m, nil
		}
		if !time.Now().Before(turn) {
			m, err := t.manifestFromSources(ctx)
			if err == nil {
				return m, nil
			}
			counter.Add("ManifestRetries."+errs.Step(err), 1)
			turn = time.Now().Add(jittered(sourceBackoffMax / 4))
		}
		if !pause.For(ctx, jittered(manifestRetryInterval)) {
			return manifest.Manifest{}, ctx.Err()
		}
	}
}
