package direct

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"almondreel.example/almondreel/internal/schedule"
)

// Streams are passed on event by event, byte for byte: an event's bytes reach
// the caller only once they are complete. So a stream that breaks off in the
// middle of an event can go on at another server after the last whole one, and
// the caller sees one unbroken answer. Libraries for event streams decode
// events and lose their bytes, so events are only told apart here.

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	streamBuffer  = 2 << 10
	// longestPause is how long a stream may rest before another server takes
	// over; callers leave after two seconds.
	longestPause = time.Second
)

var (
	errPartialEvent = errors.New("stream ends within an event")
	errGap          = errors.New("stream does not go on after the last event")
	errEventTooLong = errors.New("event is too long")
	eventID         = []byte("id:")
)

// stream passes a server's events on.
func (e *exchange) stream(ctx context.Context, s schedule.Server, response *http.Response, cancel context.CancelCauseFunc) result {
	pause := &rest{cancel: cancel}
	defer pause.stop()
	reader := bufio.NewReaderSize(response.Body, streamBuffer)
	begun := false
	for {
		block, id, err := readEvent(reader)
		if len(block) > 0 && err == nil {
			if e.movable() {
				pause.begin()
			}
			e.front.hearing.goesOn(s.ID, time.Now())
			if !begun {
				begun = true
				if !e.follows(id) {
					return e.cut(ctx, errGap, true)
				}
				e.answeredBy(s)
			}
			e.pass(response, block, id)
			continue
		}
		if errors.Is(err, io.EOF) && len(block) == 0 {
			if !e.begun {
				e.pass(response, nil, "")
			}
			return complete{}
		}
		if errors.Is(err, io.EOF) {
			err = errPartialEvent
		}
		return e.cut(ctx, err, begun)
	}
}

// rest watches the pauses of a stream that another server could take over.
type rest struct {
	timer  *time.Timer // nil before the first pause
	cancel context.CancelCauseFunc
}

// begin cancels the attempt unless the next event comes within longestPause.
func (r *rest) begin() {
	if r.timer == nil {
		r.timer = time.AfterFunc(longestPause, func() { r.cancel(errSilent) })
		return
	}
	r.timer.Reset(longestPause)
}

func (r *rest) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// follows reports whether a stream that was taken up again begins with the
// event after the last one.
func (e *exchange) follows(id string) bool {
	if e.lastEvent == "" || !e.begun {
		return true
	}
	last, err := strconv.ParseInt(e.lastEvent, 10, 64)
	if err != nil {
		return true // events are not numbered
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err == nil && next == last+1
}

// pass sends the caller one event, after the headers if it is the first.
func (e *exchange) pass(response *http.Response, block []byte, id string) {
	if !e.begun {
		e.begun = true
		e.front.Dialect.Relay(e.w.Header(), response.Header, true)
		e.w.WriteHeader(response.StatusCode)
	}
	_, _ = e.w.Write(block)
	if flusher, ok := e.w.(http.Flusher); ok {
		flusher.Flush()
	}
	if id != "" {
		e.lastEvent = id
	}
	now := time.Now()
	if pause := now.Sub(e.eventAt).Milliseconds(); !e.eventAt.IsZero() && pause > e.pauseMS {
		e.pauseMS = pause
	}
	e.eventAt = now
	if !e.brokenAt.IsZero() {
		e.resumeMS, e.brokenAt = now.Sub(e.brokenAt).Milliseconds(), time.Time{}
	}
}

// readEvent reads the bytes up to and including an event's empty line and
// returns the event's ID. At an error it returns what it has read.
func readEvent(r *bufio.Reader) (block []byte, id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		block = append(block, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(block) > maxEventBytes {
				return block, id, errEventTooLong
			}
			continue
		}
		if err != nil {
			return block, id, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return block, id, nil
		}
		if value, ok := bytes.CutPrefix(text, eventID); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}
