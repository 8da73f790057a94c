package callermemory

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrExhausted reports that the memory for a request is exhausted.
var ErrExhausted = errors.New("memory for requests is exhausted")

const (
	// maxWait bounds the wait for the memory of an evicted request.
	maxWait = 500 * time.Millisecond
	// firstBytes is the first size of a buffer for a body of unknown length. It grows by
	// growth, so that the buffers that were outgrown add up to a third of the last one.
	firstBytes = 4 << 10
	growth     = 4
)

// Wait is Reserve, but waits for memory of evicted requests, at most until deadline. It
// returns ErrExhausted if there is none.
func (h *Holder) Wait(ctx context.Context, total int64, deadline time.Time) error {
	if h.Reserve(total, time.Now()) == Granted {
		return nil
	}
	if latest := time.Now().Add(maxWait); deadline.IsZero() || deadline.After(latest) {
		deadline = latest
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		released := h.account.Released()
		switch h.Reserve(total, time.Now()) {
		case Granted:
			return nil
		case Exhausted:
			return ErrExhausted
		}
		select {
		case <-released:
		case <-ctx.Done():
			return ErrExhausted
		}
	}
}

// ReadAll reads a body to its end. length is the length that the caller has announced, -1
// if none; maxBytes is the length that r yields at most before it fails. Memory is reserved before it is
// filled: at once if the length is known, else as the body grows. A long body is allocated
// only once a part of it has arrived, as a caller may announce one and send none. A body that is
// announced as longer than maxBytes is read into one small buffer until r fails, so that it
// is refused for its length also when only the reserve for short requests is left.
func (h *Holder) ReadAll(ctx context.Context, r io.Reader, length, maxBytes int64, deadline time.Time) ([]byte, error) {
	if length > maxBytes {
		return nil, h.readTooLarge(ctx, r, deadline)
	}
	size, reserved := min(firstBytes, maxBytes), int64(0)
	if length >= 0 && length <= smallBytes {
		size = length
	}
	if size < length { // both buffers of an announced body
		if err := h.Wait(ctx, size+1+length+1, deadline); err != nil {
			return nil, err
		}
	}
	var body []byte
	for {
		// The byte beyond the body lets its end be read without another buffer.
		reserved += size + 1
		if err := h.Wait(ctx, reserved, deadline); err != nil {
			return nil, err
		}
		grown := make([]byte, len(body), size+1)
		copy(grown, body)
		body = grown
		for len(body) < cap(body) {
			n, err := r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if err == io.EOF {
				return body, nil
			}
			if err != nil {
				return nil, err
			}
		}
		if size < length {
			size = length
		} else {
			size = min(growth*size, maxBytes)
		}
	}
}

// readTooLarge reads a body that is not kept until r fails.
func (h *Holder) readTooLarge(ctx context.Context, r io.Reader, deadline time.Time) error {
	if err := h.Wait(ctx, firstBytes, deadline); err != nil {
		return err
	}
	buffer := make([]byte, firstBytes)
	for {
		if _, err := r.Read(buffer); err != nil {
			return err
		}
	}
}
