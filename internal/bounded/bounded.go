// Package bounded reads what peers send without holding more of it than is
// allowed. A peer in trouble may send bytes without end.
package bounded

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// MaxHeadBytes bounds the head of an answer of any peer: what the platform lets a
// caller's request have, several times over.
const MaxHeadBytes = 64 << 10

var (
	// ErrTooLong reports more bytes than one answer may have.
	ErrTooLong = errors.New("answer is longer than allowed")
	// ErrNoMemory reports that the answers in progress take all the memory that
	// they may have together.
	ErrNoMemory = errors.New("answers in progress take all the memory set aside for them")
)

// ReadAll reads r to its end. It returns ErrTooLong, and no bytes, if there are
// more than most bytes.
func ReadAll(r io.Reader, most int64) ([]byte, error) {
	data, err := io.ReadAll(Reader(r, most))
	if err != nil {
		return nil, err
	}
	return data, nil
}

// Reader returns a reader that fails with ErrTooLong after most bytes, where
// io.LimitReader would end as if the text were whole.
func Reader(r io.Reader, most int64) io.Reader { return &reader{r: r, left: most} }

type reader struct {
	r    io.Reader
	left int64
}

// Read reads up to the bound.
func (l *reader) Read(p []byte) (int, error) {
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.r.Read(p)
	if int64(n) > l.left {
		return int(l.left), ErrTooLong
	}
	l.left -= int64(n)
	return n, err
}

// Memory bounds the bytes that many answers hold together. It is safe for
// concurrent use.
type Memory struct {
	free atomic.Int64
}

// NewMemory returns a memory of so many bytes.
func NewMemory(bytes int64) *Memory {
	m := &Memory{}
	m.free.Store(bytes)
	return m
}

// Hold is a part of a Memory that one answer uses. It is not safe for
// concurrent use.
type Hold struct {
	memory *Memory
	taken  int64
}

// Hold returns an empty part.
func (m *Memory) Hold() *Hold { return &Hold{memory: m} }

// Grow makes the part count at least so many bytes, or returns ErrNoMemory.
func (h *Hold) Grow(bytes int64) error {
	more := bytes - h.taken
	if more <= 0 {
		return nil
	}
	if h.memory.free.Add(-more) < 0 {
		h.memory.free.Add(more)
		return ErrNoMemory
	}
	h.taken = bytes
	return nil
}

// Release gives the part back.
func (h *Hold) Release() {
	h.memory.free.Add(h.taken)
	h.taken = 0
}

// readStep is how many bytes are set aside at a time: most answers fit.
const readStep = 4 << 10

// ReadAll is as the function of this name, within the memory.
func (h *Hold) ReadAll(r io.Reader, most int64) ([]byte, error) {
	var data bytes.Buffer
	limited := Reader(r, most)
	for {
		if err := h.Grow(int64(data.Len()) + readStep); err != nil {
			return nil, err
		}
		switch _, err := io.CopyN(&data, limited, readStep); {
		case errors.Is(err, io.EOF):
			return data.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}
