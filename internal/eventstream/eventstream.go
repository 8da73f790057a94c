// Package eventstream tells the events of a stream (text/event-stream) apart and
// keeps their bytes, which libraries for such streams lose.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"almondreel.example/almondreel/internal/bounded"
)

const (
	// MaxEventBytes bounds one event with the comments before it. Source: events
	// of the users' engines have some hundred bytes.
	MaxEventBytes = 64 << 10
	// bufferBytes are read at once: a few events fit.
	bufferBytes = 2 << 10
)

// Errors of a stream that is not whole.
var (
	ErrPartial = errors.New("stream ends within an event")
	ErrTooLong = errors.New("event is too long")
)

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
)

// Event is a part of a stream that is passed on as a whole: an event, or what
// follows the last one.
type Event struct {
	Bytes []byte
	ID    string // empty: it has none
}

// Reader reads events. Comments and empty lines are no event, however many of
// them come: they stand in front of the next one. It is not safe for concurrent
// use.
type Reader struct {
	r    *bufio.Reader
	hold *bounded.Hold
}

// NewReader returns a reader of r, whose long events are counted in hold.
func NewReader(r io.Reader, hold *bounded.Hold) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferBytes), hold: hold}
}

// Next reads one event. At the stream's end it returns io.EOF with the comments
// and empty lines after the last event. Other errors, among them ErrPartial,
// ErrTooLong and bounded.ErrNoMemory, mean that the stream broke off.
func (v *Reader) Next() (Event, error) {
	var e Event
	begun := false // a field that makes an event was read
	for {
		from := len(e.Bytes)
		whole, err := v.line(&e.Bytes)
		line := e.Bytes[from:]
		if !whole {
			if errors.Is(err, io.EOF) && (begun || len(line) > 0) {
				err = ErrPartial
			}
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		switch {
		case len(text) == 0 && begun:
			return e, nil
		case bytes.HasPrefix(text, idField):
			e.ID, begun = string(bytes.TrimSpace(text[len(idField):])), true
		case bytes.HasPrefix(text, dataField):
			begun = true
		}
	}
}

// line appends a line to block. It returns true if the line came to its end.
func (v *Reader) line(block *[]byte) (bool, error) {
	for {
		part, err := v.r.ReadSlice('\n')
		size := len(*block) + len(part)
		if size > MaxEventBytes {
			return false, ErrTooLong
		}
		if size > bufferBytes {
			if err := v.hold.Grow(int64(size)); err != nil {
				return false, err
			}
		}
		*block = append(*block, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err == nil, err
		}
	}
}
