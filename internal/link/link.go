// Package link moves chunk bytes at bounded rates and notices peers that stall.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// progressTimeout bounds the silence of a sender in the middle of a chunk.
	progressTimeout = 2 * time.Second
	pieceBytes      = 16 << 10
)

// Errors of a chunk that did not arrive whole.
var (
	ErrStalled  = errors.New("sender made no progress")
	ErrCutShort = errors.New("sender ended before the chunk's last byte")
	ErrTooLong  = errors.New("sender sent more than the chunk's bytes")
)

// NewLimiter returns a limiter of bytesPerSecond, or nil (unlimited) for 0.
func NewLimiter(bytesPerSecond int64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), pieceBytes)
}

// Wait takes n bytes from each limiter that is not nil.
func Wait(ctx context.Context, n int, limiters ...*rate.Limiter) error {
	for _, l := range limiters {
		if l == nil {
			continue
		}
		if err := l.WaitN(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// Watch cancels a context when no progress is reported for progressTimeout.
type Watch struct {
	cancel  context.CancelFunc
	timer   *time.Timer
	mu      sync.Mutex
	stalled bool
}

// Guard returns a context that ends when the watch sees no progress.
func Guard(ctx context.Context) (context.Context, *Watch) {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watch{cancel: cancel}
	w.timer = time.AfterFunc(progressTimeout, w.expire)
	return ctx, w
}

func (w *Watch) expire() {
	w.mu.Lock()
	w.stalled = true
	w.mu.Unlock()
	w.cancel()
}

// Progress restarts the timeout.
func (w *Watch) Progress() { w.timer.Reset(progressTimeout) }

// Pause stops the timeout while the reader itself waits.
func (w *Watch) Pause() { w.timer.Stop() }

// Stop ends the watch and its context.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.cancel()
}

// Explain turns the cancellation by the watch into ErrStalled.
func (w *Watch) Explain(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && w.stalled {
		return fmt.Errorf("%w for %s", ErrStalled, progressTimeout)
	}
	return err
}

// Read reads exactly size bytes of body at the limiters' rate.
func Read(ctx context.Context, w *Watch, body io.Reader, size int64, limiters ...*rate.Limiter) ([]byte, error) {
	data := make([]byte, size)
	for at := 0; at < len(data); {
		end := min(at+pieceBytes, len(data))
		n, err := body.Read(data[at:end])
		at += n
		if n > 0 {
			w.Pause()
			if err := Wait(ctx, n, limiters...); err != nil {
				return nil, err
			}
			w.Progress()
		}
		if errors.Is(err, io.EOF) && at < len(data) {
			return nil, fmt.Errorf("%w: %d of %d bytes", ErrCutShort, at, size)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	return data, ended(body)
}

func ended(body io.Reader) error {
	var extra [1]byte
	if n, _ := io.ReadFull(body, extra[:]); n > 0 {
		return ErrTooLong
	}
	return nil
}

// Write writes data at the limiters' rate.
func Write(ctx context.Context, out io.Writer, data []byte, limiters ...*rate.Limiter) error {
	for len(data) > 0 {
		n := min(pieceBytes, len(data))
		if err := Wait(ctx, n, limiters...); err != nil {
			return err
		}
		if _, err := out.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}
