package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/peerconn"
)

// WriteTimeout bounds each write to a caller.
const WriteTimeout = 10 * time.Second

// refusalStatus is the HTTP status of a refusal by reason. For other reasons it is
// 503.
var refusalStatus = map[outcome.Reason]int{
	outcome.Malformed:             http.StatusBadRequest,
	outcome.CallerBodyIncomplete:  http.StatusBadRequest,
	outcome.IdempotencyKeyMissing: http.StatusBadRequest,
	outcome.Unauthorised:          http.StatusUnauthorized,
	outcome.UnknownClass:          http.StatusNotFound,
	outcome.TooLarge:              http.StatusRequestEntityTooLarge,
	outcome.IdempotencyKeyReused:  http.StatusUnprocessableEntity,
	outcome.Quarantined:           http.StatusUnprocessableEntity,
	outcome.QueueFull:             http.StatusTooManyRequests,
	outcome.ProjectedWaitTooLong:  http.StatusTooManyRequests,
}

// refuse responds to a request that was not run.
func (resp *responder) refuse(o outcome.Refused) {
	status, ok := refusalStatus[o.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	resp.writeRecord(status, resp.record(o))
}

// writeRecord sends a response that contains only a record.
func (resp *responder) writeRecord(status int, r outcome.Record) {
	text := encodeRecord(r)
	h := resp.writer.Header()
	if !r.RetryAt.IsZero() {
		seconds := math.Ceil(time.Until(r.RetryAt).Seconds())
		h.Set("Retry-After", strconv.Itoa(int(math.Max(1, seconds))))
	}
	h.Set(HeaderOutcome, string(text))
	h.Set("Content-Type", "application/json")
	resp.begun = true
	resp.writer.WriteHeader(status)
	_, _ = resp.writer.Write(text)
}

// tokenStream sends a completion's tokens to the caller as server-sent events.
type tokenStream struct {
	responder  *responder
	controller *http.ResponseController
	started    bool
}

// Token sends one token.
func (s *tokenStream) Token(t engine.Token) error {
	text, err := json.Marshal(t)
	if err != nil {
		return err
	}
	return s.writeEvent("data: " + string(text) + "\n\n")
}

func (s *tokenStream) writeEvent(event string) error {
	if !s.started {
		s.started, s.responder.begun = true, true
		h := s.responder.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set("Trailer", HeaderOutcome)
		s.responder.writer.WriteHeader(http.StatusOK)
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(WriteTimeout))
	if _, err := s.responder.writer.Write([]byte(event)); err != nil {
		return err
	}
	return s.controller.Flush()
}

// finish ends the stream with the outcome. Only a complete response ends with
// [DONE].
func (s *tokenStream) finish(o outcome.Outcome) {
	if !s.started {
		s.responder.writeOutcome(o)
		return
	}
	text := string(encodeRecord(s.responder.record(o)))
	s.responder.writer.Header().Set(HeaderOutcome, text)
	events := "event: " + OutcomeEvent + "\ndata: " + text + "\n\n"
	if _, complete := o.(outcome.Answered); complete {
		events += "data: " + engine.Done + "\n\n"
	}
	_ = s.writeEvent(events)
}

// writeOutcome responds to a request whose response has not begun.
func (resp *responder) writeOutcome(o outcome.Outcome) {
	if refused, ok := o.(outcome.Refused); ok {
		resp.refuse(refused)
		return
	}
	status := http.StatusBadGateway
	switch o := o.(type) {
	case outcome.Answered: // a repeat of an answered request, whose tokens are not kept
		status = http.StatusOK
	case outcome.Unknown:
		if o.Reason == outcome.ClaimPending {
			status = http.StatusConflict
		}
	}
	resp.writeRecord(status, resp.record(o))
}

// writeAnswer sends a plain service's response, with the outcome in the trailer.
func (resp *responder) writeAnswer(a attempt.Answer, o outcome.Outcome) {
	resp.repeat = a.Repeat
	if _, complete := o.(outcome.Answered); !complete {
		resp.writeOutcome(o)
		return
	}
	if !peerconn.IsFinalStatus(a.Status) { // 0: the body was too large to be kept for repeats
		resp.writeRecord(http.StatusOK, resp.record(o))
		return
	}
	h := resp.writer.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set("Trailer", HeaderOutcome)
	_ = http.NewResponseController(resp.writer).SetWriteDeadline(time.Now().Add(WriteTimeout))
	resp.begun = true
	resp.writer.WriteHeader(a.Status)
	_, _ = resp.writer.Write(a.Body)
	h.Set(HeaderOutcome, string(encodeRecord(resp.record(o))))
}
