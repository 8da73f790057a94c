package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/eventstream"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
)

// Streams are forwarded byte for byte, one event at a time, and only complete
// events reach the caller. So a stream that is interrupted within an event can resume
// at another server after the last complete event, and the caller receives one
// uninterrupted response.

// maxStreamPause is the longest time without an event before the stream fails over
// to another server, if one can take it. Callers disconnect after two seconds.
const maxStreamPause = time.Second

var errNoEvent = errors.New("connection closed before the first event")

// forwardStream forwards a server's events to the caller. Only a complete event
// stops the watchdog: a stalled server may still send headers, comments and single
// bytes.
func (e *exchange) forwardStream(ctx context.Context, s schedule.Server, response *http.Response, watchdog *stallWatchdog, cancel context.CancelCauseFunc) result {
	if err := e.response.checkStream(response); err != nil {
		return failed{reason: outcome.BackendFailed, endState: continuationEnd(response.StatusCode), responseBegun: true, detail: err.Error() + ": " + response.Status}
	}
	pauseTimer := &streamPauseTimer{giveUp: func() bool { return e.giveUpStalled(cancel) }}
	defer pauseTimer.stop()
	memory := e.handler.ResponseMemory.NewReservation()
	defer memory.Release()
	events := eventstream.NewReader(response.Body, memory)
	began, survived := false, false
	var firstEventAt time.Time
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && !began && !hasLength(response) {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			if began && !survived {
				e.handler.CrashDetector.Survived(e.suspect)
			}
			if err := e.response.endStream(response, event.Bytes); err != nil {
				return cancelled{responseBegun: began} // the connection to the caller has failed
			}
			return complete{}
		}
		if err == nil {
			err = e.response.checkEvent(event, !began)
		}
		if err != nil {
			return e.interrupted(ctx, err, began, survived)
		}
		watchdog.stop()
		pauseTimer.stop() // a caller that reads slowly is no pause of the server
		now := time.Now()
		e.handler.activity.received(s.ID, now)
		if !began {
			began, firstEventAt = true, now
			e.recordFirstByte(s)
		}
		if !survived && now.Sub(firstEventAt) >= provenAnswerTime {
			survived = true
			e.handler.CrashDetector.Survived(e.suspect)
		}
		if err := e.response.writeEvent(response, event); err != nil {
			return cancelled{responseBegun: true} // the connection to the caller has failed
		}
		e.recordEvent(time.Now())
		if e.canFailOver() {
			pauseTimer.restart()
		}
	}
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
