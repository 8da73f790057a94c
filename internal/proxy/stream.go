package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/eventstream"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/silence"
)

// Streams are forwarded byte for byte, one event at a time, and only complete
// events reach the caller. So a stream that is interrupted within an event can resume
// at another server after the last complete event, and the caller receives one
// uninterrupted response.

// maxStreamPause is the longest time without an event before another server is asked to go
// on with the stream. Callers disconnect after two seconds.
const maxStreamPause = time.Second

var errNoEvent = errors.New("connection closed before the first event")

// openStream reads the first event of a stream. It returns nil if the caller may receive
// that event, or if the stream is complete without one.
func (a *attempt) openStream(response *http.Response) result {
	if err := a.from.checkStream(response); err != nil {
		return failed{reason: outcome.BackendFailed, endState: continuationEnd(response.StatusCode), detail: err.Error() + ": " + response.Status}
	}
	a.response, a.events = response, eventstream.NewReader(response.Body, a.memory)
	first, err := a.events.Next()
	if errors.Is(err, io.EOF) && hasLength(response) {
		a.first, a.empty = first, true
		return nil
	}
	if errors.Is(err, io.EOF) {
		err = errNoEvent
	}
	if err == nil {
		err = a.from.checkEvent(first, true)
	}
	if err != nil {
		return a.interrupted(err, false)
	}
	a.first = first
	return a.start()
}

// forwardStream forwards an open stream to the caller.
func (a *attempt) forwardStream() result {
	e := a.exchange
	if a.empty {
		return a.endStream(a.first, false)
	}
	e.recordFirstByte()
	firstEventAt, survived := time.Now(), false
	event, err := a.first, error(nil)
	for ; err == nil; event, err = a.nextEvent() {
		e.stall.Stop() // a caller that reads slowly is no pause of the server
		now := time.Now()
		e.handler.activity.received(a.server.ID, now)
		if !survived && now.Sub(firstEventAt) >= provenAnswerTime {
			survived = true
			e.handler.CrashDetector.Survived(e.suspect)
		}
		if !e.failover.progressed() {
			return a.interrupted(errSuperseded, survived)
		}
		if err := e.response.writeEvent(a.response, event); err != nil {
			return cancelled{} // the connection to the caller has failed
		}
		e.recordEvent(time.Now())
		if e.route.Repeatable() {
			e.stall.Start(e.lastEventAt.Add(maxStreamPause), silence.Always)
		}
	}
	e.stall.Stop()
	if !errors.Is(err, io.EOF) {
		return a.interrupted(err, survived)
	}
	if !survived {
		e.handler.CrashDetector.Survived(e.suspect)
	}
	return a.endStream(event, survived)
}

// nextEvent reads an event and checks that it follows the last one that was written.
func (a *attempt) nextEvent() (eventstream.Event, error) {
	event, err := a.events.Next()
	if err == nil {
		err = a.exchange.response.position().checkEvent(event, false)
	}
	return event, err
}

// endStream completes the caller's stream with the comments after the last event.
func (a *attempt) endStream(comments eventstream.Event, survived bool) result {
	e := a.exchange
	e.stall.Stop()
	if !e.failover.progressed() {
		return a.interrupted(errSuperseded, survived)
	}
	if err := e.response.endStream(a.response, comments.Bytes); err != nil {
		return cancelled{} // the connection to the caller has failed
	}
	return complete{}
}

// hasLength reports whether a response states where its body ends. A body that ends with
// its connection may have been cut off before its first event.
func hasLength(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// continuationEnd returns how the scheduler records a response with this status that
// does not continue a stream. A server that answered with an error has finished.
func continuationEnd(status int) schedule.End {
	if status >= http.StatusBadRequest {
		return schedule.Finished
	}
	return schedule.Incomplete
}

// recordEvent records when an event was sent to the caller.
func (e *exchange) recordEvent(now time.Time) {
	if pause := now.Sub(e.lastEventAt).Milliseconds(); !e.lastEventAt.IsZero() && pause > e.maxPauseMS {
		e.maxPauseMS = pause
	}
	e.lastEventAt = now
	if !e.interruptedAt.IsZero() {
		e.resumeMS, e.interruptedAt = now.Sub(e.interruptedAt).Milliseconds(), time.Time{}
	}
}
