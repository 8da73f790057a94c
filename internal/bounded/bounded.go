// Package bounded reads responses of peers within limits on their size and on the
// memory that buffered responses use in total. A faulty peer may send data without
// end.
package bounded

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// MaxHeaderBytes bounds the headers of a response from any peer. It is several times
// what the platform allows for the headers of a caller's request.
const MaxHeaderBytes = 64 << 10

var (
	// ErrTooLong reports a response that is larger than its limit.
	ErrTooLong = errors.New("response exceeds the size limit")
	// ErrNoMemory reports that buffered responses use the whole memory budget.
	ErrNoMemory = errors.New("memory budget for buffered responses is exhausted")
)

// ReadAll reads r to its end. It returns ErrTooLong, and no bytes, if there are
// more than maxBytes bytes.
func ReadAll(r io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(Reader(r, maxBytes))
	if err != nil {
		return nil, err
	}
	return data, nil
}

// Reader returns a reader that fails with ErrTooLong if r has more than maxBytes
// bytes, where io.LimitReader would return io.EOF as if the data were complete.
func Reader(r io.Reader, maxBytes int64) io.Reader { return &reader{r: r, remaining: maxBytes} }

type reader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader. It reads at most one byte past the limit.
func (l *reader) Read(p []byte) (int, error) {
	if int64(len(p)) > l.remaining+1 {
		p = p[:l.remaining+1]
	}
	n, err := l.r.Read(p)
	if int64(n) > l.remaining {
		return int(l.remaining), ErrTooLong
	}
	l.remaining -= int64(n)
	return n, err
}

// MemoryBudget bounds the memory that concurrent responses use in total. It is safe
// for concurrent use.
type MemoryBudget struct {
	free atomic.Int64
}

// NewMemoryBudget returns a budget of the given number of bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	b := &MemoryBudget{}
	b.free.Store(bytes)
	return b
}

// Reservation is the part of a MemoryBudget that one response uses. It is not safe
// for concurrent use.
type Reservation struct {
	budget   *MemoryBudget
	reserved int64
}

// NewReservation returns a reservation of 0 bytes.
func (b *MemoryBudget) NewReservation() *Reservation { return &Reservation{budget: b} }

// Grow raises the reservation to at least the given number of bytes. It returns
// ErrNoMemory, and reserves nothing more, if the budget does not allow it.
func (res *Reservation) Grow(bytes int64) error {
	more := bytes - res.reserved
	if more <= 0 {
		return nil
	}
	if res.budget.free.Add(-more) < 0 {
		res.budget.free.Add(more)
		return ErrNoMemory
	}
	res.reserved = bytes
	return nil
}

// Release returns the reserved bytes to the budget.
func (res *Reservation) Release() {
	res.budget.free.Add(res.reserved)
	res.reserved = 0
}

// growStep is the number of bytes that ReadAll reserves at a time. Most responses
// fit.
const growStep = 4 << 10

// ReadAll is like the function ReadAll, and reserves memory as it reads. It returns
// ErrNoMemory if the budget is exhausted.
func (res *Reservation) ReadAll(r io.Reader, maxBytes int64) ([]byte, error) {
	var data bytes.Buffer
	limitedReader := Reader(r, maxBytes)
	for {
		if err := res.Grow(int64(data.Len()) + growStep); err != nil {
			return nil, err
		}
		switch _, err := io.CopyN(&data, limitedReader, growStep); {
		case errors.Is(err, io.EOF):
			return data.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}
