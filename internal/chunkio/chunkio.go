// Package chunkio reads and writes the bytes of chunks at limited rates and
// detects senders that stall.
package chunkio

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
	// stallTimeout is the longest time without progress in the middle of a chunk.
	stallTimeout = 2 * time.Second
	// blockBytes is the largest size of one read or write, and the burst of a
	// limiter.
	blockBytes = 16 << 10
)

// Errors of a chunk that did not arrive with its exact size.
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
	return rate.NewLimiter(rate.Limit(bytesPerSecond), blockBytes)
}

// Wait waits until each limiter that is not nil permits n bytes.
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

// StallTimer cancels a context if no progress is reported for stallTimeout.
type StallTimer struct {
	cancel  context.CancelFunc
	timer   *time.Timer
	mu      sync.Mutex
	stalled bool
}

// WithStallTimeout returns a context that the returned, running timer cancels
// when it expires.
func WithStallTimeout(ctx context.Context) (context.Context, *StallTimer) {
	ctx, cancel := context.WithCancel(ctx)
	t := &StallTimer{cancel: cancel}
	t.timer = time.AfterFunc(stallTimeout, t.stall)
	return ctx, t
}

func (t *StallTimer) stall() {
	t.mu.Lock()
	t.stalled = true
	t.mu.Unlock()
	t.cancel()
}

// Progress restarts the timeout.
func (t *StallTimer) Progress() { t.timer.Reset(stallTimeout) }

// Pause suspends the timeout, while the reader waits for its own limiters.
func (t *StallTimer) Pause() { t.timer.Stop() }

// Stop stops the timer and cancels its context.
func (t *StallTimer) Stop() {
	t.timer.Stop()
	t.cancel()
}

// StallError returns ErrStalled, wrapped, in place of a non-nil err if the timer
// has expired; otherwise it returns err.
func (t *StallTimer) StallError(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil && t.stalled {
		return fmt.Errorf("%w for %s", ErrStalled, stallTimeout)
	}
	return err
}

// Read reads exactly size bytes of body at the limiters' rate. A body of another
// size gives ErrCutShort or ErrTooLong.
func Read(ctx context.Context, timer *StallTimer, body io.Reader, size int64, limiters ...*rate.Limiter) ([]byte, error) {
	data := make([]byte, size)
	for read := 0; read < len(data); {
		end := min(read+blockBytes, len(data))
		n, err := body.Read(data[read:end])
		read += n
		if n > 0 {
			timer.Pause()
			if err := Wait(ctx, n, limiters...); err != nil {
				return nil, err
			}
			timer.Progress()
		}
		if errors.Is(err, io.EOF) && read < len(data) {
			return nil, fmt.Errorf("%w: %d of %d bytes", ErrCutShort, read, size)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	return data, checkEnd(body)
}

// checkEnd returns ErrTooLong if body holds another byte.
func checkEnd(body io.Reader) error {
	var extra [1]byte
	if n, _ := io.ReadFull(body, extra[:]); n > 0 {
		return ErrTooLong
	}
	return nil
}

// Write writes data at the limiters' rate.
func Write(ctx context.Context, out io.Writer, data []byte, limiters ...*rate.Limiter) error {
	for len(data) > 0 {
		n := min(blockBytes, len(data))
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
