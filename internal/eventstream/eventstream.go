// Package eventstream splits a server-sent event stream (text/event-stream) into
// events. It preserves their exact bytes, which common libraries do not.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"almondreel.example/almondreel/internal/bounded"
)

const (
	// MaxEventBytes limits the size of an event including the comments before it.
	// Events of the users' engines have some hundred bytes.
	MaxEventBytes = 64 << 10
	// bufferBytes is the size of the read buffer, which holds a few events.
	bufferBytes = 2 << 10
)

// Errors of an incomplete stream.
var (
	ErrPartial = errors.New("stream ends within an event or with text that is no event")
	ErrTooLong = errors.New("event is too long")
)

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
)

// Event is a part of a stream that is forwarded as a unit: an event with the comments
// and empty lines before it, or those after the last event.
type Event struct {
	Bytes []byte
	ID    string // value of the id field; empty if there is none
}

// Reader reads events. Comments and empty lines are not events but part of the next
// one. It is not safe for concurrent use.
type Reader struct {
	src         *bufio.Reader
	reservation *bounded.Reservation
}

// NewReader returns a reader of r. The memory of events longer than its buffer is
// added to reservation.
func NewReader(r io.Reader, reservation *bounded.Reservation) *Reader {
	return &Reader{src: bufio.NewReaderSize(r, bufferBytes), reservation: reservation}
}

// Next reads one event. At the end of the stream it returns io.EOF with the comments
// and empty lines after the last event. Any other error, such as ErrPartial,
// ErrTooLong or bounded.ErrNoMemory, means that the stream is incomplete.
func (r *Reader) Next() (Event, error) {
	var e Event
	hasField := false    // an id or data field was read
	onlyComments := true // all lines so far are comments or empty
	for {
		start := len(e.Bytes)
		complete, err := r.readLine(&e.Bytes)
		line := e.Bytes[start:]
		if !complete {
			if errors.Is(err, io.EOF) && (!onlyComments || len(line) > 0) {
				err = ErrPartial
			}
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) > 0 && text[0] != ':' {
			onlyComments = false
		}
		switch {
		case len(text) == 0 && hasField:
			return e, nil
		case bytes.HasPrefix(text, idField):
			e.ID, hasField = string(bytes.TrimSpace(text[len(idField):])), true
		case bytes.HasPrefix(text, dataField):
			hasField = true
		}
	}
}

// readLine appends a line to event. It returns true if the line is complete.
func (r *Reader) readLine(event *[]byte) (bool, error) {
	for {
		part, err := r.src.ReadSlice('\n')
		size := len(*event) + len(part)
		if size > MaxEventBytes {
			return false, ErrTooLong
		}
		if size > bufferBytes {
			if err := r.reservation.Grow(int64(size)); err != nil {
				return false, err
			}
		}
		*event = append(*event, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err == nil, err
		}
	}
}
