package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/outcome"
)

const writeTimeout = 10 * time.Second // in which a caller must take what it is sent

// statuses of refusals; any other reason answers 503.
var statuses = map[outcome.Reason]int{
	outcome.Malformed:    http.StatusBadRequest,
	outcome.KeyMissing:   http.StatusBadRequest,
	outcome.Unauthorised: http.StatusUnauthorized,
	outcome.UnknownClass: http.StatusNotFound,
	outcome.TooLarge:     http.StatusRequestEntityTooLarge,
	outcome.KeyReused:    http.StatusUnprocessableEntity,
	outcome.Quarantined:  http.StatusUnprocessableEntity,
	outcome.QueueFull:    http.StatusTooManyRequests,
	outcome.WaitTooLong:  http.StatusTooManyRequests,
}

// refuse answers a request that was not run.
func (v *visit) refuse(o outcome.Refused) {
	status, ok := statuses[o.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	v.state(status, v.record(o))
}

// state answers with a record alone.
func (v *visit) state(status int, r outcome.Record) {
	text := encode(r)
	h := v.writer.Header()
	if !r.RetryAt.IsZero() {
		seconds := math.Ceil(time.Until(r.RetryAt).Seconds())
		h.Set("Retry-After", strconv.Itoa(int(math.Max(1, seconds))))
	}
	h.Set(HeaderOutcome, string(text))
	h.Set("Content-Type", "application/json")
	v.writer.WriteHeader(status)
	_, _ = v.writer.Write(text)
}

// stream passes a completion's tokens to the caller as server-sent events.
type stream struct {
	visit      *visit
	controller *http.ResponseController
	begun      bool
}

// Token sends one token.
func (s *stream) Token(t engine.Token) error {
	text, err := json.Marshal(t)
	if err != nil {
		return err
	}
	return s.send("data: " + string(text) + "\n\n")
}

func (s *stream) send(event string) error {
	if !s.begun {
		s.begun = true
		h := s.visit.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set("Trailer", HeaderOutcome)
		s.visit.writer.WriteHeader(http.StatusOK)
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.visit.writer.Write([]byte(event)); err != nil {
		return err
	}
	return s.controller.Flush()
}

// end states the outcome. Only a whole answer ends with [DONE].
func (s *stream) end(o outcome.Outcome) {
	if !s.begun {
		s.visit.answerUnbegun(o)
		return
	}
	text := string(encode(s.visit.record(o)))
	s.visit.writer.Header().Set(HeaderOutcome, text)
	last := "event: " + OutcomeEvent + "\ndata: " + text + "\n\n"
	if _, whole := o.(outcome.Answered); whole {
		last += "data: " + engine.Done + "\n\n"
	}
	_ = s.send(last)
}

// answerUnbegun answers a request of which nothing was sent to the caller.
func (v *visit) answerUnbegun(o outcome.Outcome) {
	if refused, ok := o.(outcome.Refused); ok {
		v.refuse(refused)
		return
	}
	status := http.StatusBadGateway
	switch o := o.(type) {
	case outcome.Answered: // told again; its tokens are not kept
		status = http.StatusOK
	case outcome.Unknown:
		if o.Reason == outcome.ClaimPending {
			status = http.StatusConflict
		}
	}
	v.state(status, v.record(o))
}

// answer sends a plain service's answer and states the outcome in the trailer.
func (v *visit) answer(a attempt.Answer, o outcome.Outcome) {
	v.repeat = a.Repeat
	if _, whole := o.(outcome.Answered); !whole {
		v.answerUnbegun(o)
		return
	}
	if a.Status == 0 { // the body was too large to be kept for repeats
		v.state(http.StatusOK, v.record(o))
		return
	}
	h := v.writer.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set("Trailer", HeaderOutcome)
	_ = http.NewResponseController(v.writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	v.writer.WriteHeader(a.Status)
	_, _ = v.writer.Write(a.Body)
	h.Set(HeaderOutcome, string(encode(v.record(o))))
}
