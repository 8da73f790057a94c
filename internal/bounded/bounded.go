// Package bounded reads responses of peers within limits on their size and on the
// memory that buffered responses use in total. A faulty peer may send data without
// end.
package bounded

import (
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

// Body is a response body. It consists of blocks, so that it grows without being
// copied: copies would take several times the memory that is reserved for them.
type Body struct{ blocks [][]byte }

// WriteTo writes the body to w.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, block := range b.blocks {
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

const (
	// firstBlockBytes is the size of a body's first block. Most responses fit.
	firstBlockBytes = 4 << 10
	// maxBlockBytes bounds the size of the others, each of which is twice as long as
	// the one before.
	maxBlockBytes = 64 << 10
)

// ReadAll reads r to its end, and reserves memory as it reads. It returns ErrTooLong if
// there are more than maxBytes bytes, and ErrNoMemory if the budget is exhausted.
func (res *Reservation) ReadAll(r io.Reader, maxBytes int64) (Body, error) {
	limitedReader := Reader(r, maxBytes)
	var body Body
	for size := firstBlockBytes; ; size = min(2*size, maxBlockBytes) {
		if err := res.Grow(res.reserved + int64(size)); err != nil {
			return Body{}, err
		}
		block, err := readBlock(limitedReader, make([]byte, 0, size))
		body.blocks = append(body.blocks, block)
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return Body{}, err
		}
	}
}

// readBlock fills the capacity of block. It returns io.EOF at the end of r.
func readBlock(r io.Reader, block []byte) ([]byte, error) {
	for len(block) < cap(block) {
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		if err != nil {
			return block, err
		}
	}
	return block, nil
}
