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
	sourceRetryFirst = 200 * time.Millisecond
	sourceRetryMost  = 5 * time.Second
	sourceDoublings  = 8                // of sourceRetryFirst
	sourceAbsent     = 30 * time.Second // a source without the version is left alone
)

// ErrNoSource reports that every source is waiting out a failure.
var ErrNoSource = errors.New("no source may be asked now")

// sourceState is one source's health as this agent sees it.
type sourceState struct {
	client *source.Client

	mu        sync.Mutex
	notBefore time.Time
	failures  int // in a row
	active    int
	rate      float64 // bytes per second of recent draws
}

func (s *sourceState) usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Before(s.notBefore)
}

func (s *sourceState) load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate == 0 {
		return float64(s.active)
	}
	return float64(s.active+1) / s.rate
}

func (s *sourceState) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

// leave records the end of a draw of size bytes that took so long.
func (s *sourceState) leave(size int64, took time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if err == nil {
		s.failures = 0
		s.rate = 0.7*s.rate + 0.3*float64(size)/max(took.Seconds(), 0.001)
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	retry := min(sourceRetryFirst<<s.failures, sourceRetryMost)
	s.failures = min(s.failures+1, sourceDoublings)
	s.notBefore = time.Now().Add(max(jittered(retry), asked(err)))
}

// asked returns the time that the source itself wants to be left alone.
func asked(err error) time.Duration {
	var status *source.StatusError
	if !errors.As(err, &status) {
		return 0
	}
	if status.Code == http.StatusNotFound {
		return sourceAbsent
	}
	seconds, _ := strconv.Atoi(status.RetryAfter)
	return min(time.Duration(seconds)*time.Second, sourceAbsent)
}

// pickSource returns the source for the next draw: the first usable one when
// origin bytes weigh more, else the one that promises to be done first.
func (t *Transfer) pickSource() *sourceState {
	now := time.Now()
	t.mu.Lock()
	thrifty := t.terms.Weighing == operator.OriginBytes
	t.mu.Unlock()
	var best *sourceState
	for _, s := range t.exchange.sources {
		if !s.usable(now) {
			continue
		}
		if best == nil || (!thrifty && s.load() < best.load()) {
			best = s
		}
	}
	return best
}

// draw reads chunk c from a source and stores it.
func (t *Transfer) draw(ctx context.Context, c manifest.Chunk) error {
	s := t.pickSource()
	if s == nil {
		return ErrNoSource
	}
	s.enter()
	started := time.Now()
	data, err := s.client.Chunk(ctx, t.plan.Model, t.plan.Version, c, t.exchange.options.Down)
	if err == nil {
		err = t.put(c, data, string(s.client.Kind()))
	}
	s.leave(c.Bytes, time.Since(started), err)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.drawMicroseconds = (3*t.drawMicroseconds + time.Since(started).Microseconds()) / 4
	t.mu.Unlock()
	counter.Add("ChunksDrawn."+string(s.client.Kind()), 1)
	counter.Add("ChunkDrawnBytes."+string(s.client.Kind()), c.Bytes)
	return nil
}

// findManifest asks the sources in turn of rank and other agents meanwhile,
// until one has the manifest.
func (t *Transfer) findManifest(ctx context.Context) (manifest.Manifest, error) {
	if m, ok := t.exchange.options.Store.Manifest(t.plan.Digest); ok {
		return m, nil
	}
	turn := t.manifestTurn(time.Now())
	for {
		if m, ok := t.manifestOfPeers(ctx); ok {
			return m, nil
		}
		if !time.Now().Before(turn) {
			m, err := t.manifestOfSources(ctx)
			if err == nil {
				return m, nil
			}
			counter.Add("ManifestRetries."+errs.Step(err), 1)
			turn = time.Now().Add(jittered(sourceRetryMost / 4))
		}
		if !pause.For(ctx, jittered(manifestRetry)) {
			return manifest.Manifest{}, ctx.Err()
		}
	}
}
