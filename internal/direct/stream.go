package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"almondreel.example/almondreel/internal/eventstream"
	"almondreel.example/almondreel/internal/schedule"
)

// Streams are passed on event by event, byte for byte: an event's bytes reach
// the caller only once they are complete. So a stream that breaks off in the
// middle of an event can go on at another server after the last whole one, and
// the caller sees one unbroken answer.

// longestPause is how long a stream may rest before another server takes over;
// callers leave after two seconds.
const longestPause = time.Second

var errGap = errors.New("stream does not go on after the last event")

// stream passes a server's events on. Only a whole event ends the watch for
// silence: a head, comments and single bytes may come from a server that is stuck.
func (e *exchange) stream(ctx context.Context, s schedule.Server, response *http.Response, silence *silence, cancel context.CancelCauseFunc) result {
	pause := &rest{cancel: cancel}
	defer pause.stop()
	hold := e.front.Answers.Hold()
	defer hold.Release()
	events := eventstream.NewReader(response.Body, hold)
	begun := false
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !e.begun || len(event.Bytes) > 0 {
				e.pass(response, event)
			}
			return complete{}
		}
		if err == nil && !e.follows(event.ID, !begun) {
			err = errGap
		}
		if err != nil {
			return e.cut(ctx, err, begun)
		}
		silence.stop()
		if e.movable() {
			pause.begin()
		}
		e.front.hearing.goesOn(s.ID, time.Now())
		if !begun {
			begun = true
			e.answeredBy(s)
		}
		e.pass(response, event)
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

// follows reports whether an event may come after the last one that the caller
// was sent. In a stream of numbered events all are numbered, upwards, and one
// that was taken up again begins with the next number.
func (e *exchange) follows(id string, takenUp bool) bool {
	if e.lastEvent == "" || !e.begun {
		return true
	}
	last, err := strconv.ParseInt(e.lastEvent, 10, 64)
	if err != nil {
		return true // events are not numbered
	}
	next, err := strconv.ParseInt(id, 10, 64)
	if takenUp {
		return err == nil && next == last+1
	}
	return err == nil && next > last
}

// pass sends the caller one event, after the headers if it is the first.
func (e *exchange) pass(response *http.Response, event eventstream.Event) {
	if !e.begun {
		e.begun = true
		e.front.Dialect.Relay(e.w.Header(), response.Header, true)
		e.w.WriteHeader(response.StatusCode)
	}
	_, _ = e.w.Write(event.Bytes)
	if flusher, ok := e.w.(http.Flusher); ok {
		flusher.Flush()
	}
	if event.ID != "" {
		e.lastEvent = event.ID
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
