package proxy

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

// Streams are forwarded byte for byte, one event at a time, and only complete
// events reach the caller. So a stream that is interrupted within an event can resume
// at another server after the last complete event, and the caller receives one
// uninterrupted response.

// maxStreamPause is the longest time without an event before the stream fails over
// to another server. Callers disconnect after two seconds.
const maxStreamPause = time.Second

var errGap = errors.New("event does not follow the last one of the stream")

// forwardStream forwards a server's events to the caller. Only a complete event
// stops the watchdog: a stalled server may still send headers, comments and single
// bytes.
func (e *exchange) forwardStream(ctx context.Context, s schedule.Server, response *http.Response, watchdog *stallWatchdog, cancel context.CancelCauseFunc) result {
	pauseTimer := &streamPauseTimer{cancel: cancel}
	defer pauseTimer.stop()
	memory := e.handler.ResponseMemory.NewReservation()
	defer memory.Release()
	events := eventstream.NewReader(response.Body, memory)
	began, survived := false, false
	var firstEventAt time.Time
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if began && !survived {
				e.handler.CrashDetector.Survived(e.suspect)
			}
			if !e.responseBegun || len(event.Bytes) > 0 {
				e.sendEvent(response, event)
			}
			return complete{}
		}
		if err == nil && !e.inSequence(event.ID, !began) {
			err = errGap
		}
		if err != nil {
			return e.interrupted(ctx, err, began, survived)
		}
		watchdog.stop()
		if e.canFailOver() {
			pauseTimer.restart()
		}
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
		e.sendEvent(response, event)
	}
}

// streamPauseTimer cancels an attempt whose stream pauses for too long.
type streamPauseTimer struct {
	timer  *time.Timer // nil before the first event
	cancel context.CancelCauseFunc
}

// restart cancels the attempt unless the next event arrives within maxStreamPause.
func (t *streamPauseTimer) restart() {
	if t.timer == nil {
		t.timer = time.AfterFunc(maxStreamPause, func() { t.cancel(errStalled) })
		return
	}
	t.timer.Reset(maxStreamPause)
}

func (t *streamPauseTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// inSequence reports whether the event with this ID may follow the last one that
// was sent to the caller. If event IDs are numbers, they must increase, and the
// first event of a resumed stream must have the next number.
func (e *exchange) inSequence(id string, resumed bool) bool {
	if e.lastEventID == "" || !e.responseBegun {
		return true
	}
	last, err := strconv.ParseInt(e.lastEventID, 10, 64)
	if err != nil {
		return true // events are not numbered
	}
	next, err := strconv.ParseInt(id, 10, 64)
	if resumed {
		return err == nil && next == last+1
	}
	return err == nil && next > last
}

// sendEvent writes one event to the caller, preceded by the headers if the response
// has not begun.
func (e *exchange) sendEvent(response *http.Response, event eventstream.Event) {
	if !e.responseBegun {
		e.responseBegun = true
		e.handler.HeaderCodec.CopyResponseHeader(e.w.Header(), response.Header, true)
		e.w.WriteHeader(response.StatusCode)
	}
	_, _ = e.w.Write(event.Bytes)
	if flusher, ok := e.w.(http.Flusher); ok {
		flusher.Flush()
	}
	if event.ID != "" {
		e.lastEventID = event.ID
	}
	now := time.Now()
	if pause := now.Sub(e.lastEventAt).Milliseconds(); !e.lastEventAt.IsZero() && pause > e.maxPauseMS {
		e.maxPauseMS = pause
	}
	e.lastEventAt = now
	if !e.interruptedAt.IsZero() {
		e.resumeMS, e.interruptedAt = now.Sub(e.interruptedAt).Milliseconds(), time.Time{}
	}
}
