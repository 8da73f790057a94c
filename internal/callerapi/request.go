package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/callermemory"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/pkg/limit"
)

const (
	defaultMaxTokens = 16
	maxTokens        = 1 << 16
	busyRetryDelay   = time.Second
	// decodedCopies is the number of copies of a completion's body that exist at the same
	// time while it is decoded and encoded for the engine, with the body itself.
	decodedCopies = 4
)

// completion is the body of a completion request. Other keys are refused.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// admittedRequest is a request with a valid credential.
type admittedRequest struct {
	responder
	organisationSettings settings.Organisation
	body                 []byte
	key                  string
	deadline             time.Time // zero: the class's answer time applies
	memory               *callermemory.Holder
}

// admit checks the credential, headers and body, and passes the request to handle.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, handle func(*admittedRequest)) {
	a := &admittedRequest{responder: responder{handler: h, writer: w, id: uuid.NewString()}}
	defer a.recoverPanic()
	organisation, ok := h.authenticate(r)
	if !ok {
		h.discardBody(w, r)
		a.refuse(outcome.Refused{Reason: outcome.Unauthorised})
		return
	}
	a.organisationSettings = organisation
	a.organisation = organisation.Name
	defer func() {
		if a.memory != nil {
			a.memory.Release()
		}
	}()
	if reason := a.readRequest(r); reason != "" {
		refused := outcome.Refused{Reason: reason}
		if reason == outcome.MemoryExhausted {
			refused.RetryAt = limit.Jittered(time.Now(), busyRetryDelay)
		}
		a.refuse(refused)
		return
	}
	handle(a)
}

// readRequest reads the body, idempotency key and deadline. It returns "" or the reason to
// refuse the request.
func (a *admittedRequest) readRequest(r *http.Request) outcome.Reason {
	if reason := a.readWholeBody(r); reason != "" {
		return reason
	}
	a.key = r.Header.Get(HeaderIdempotencyKey)
	if len(a.key) > maxKeyBytes {
		return outcome.Malformed
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return outcome.Malformed
		}
		if !time.Now().Before(at) { // also of the zero time, which would be no deadline
			return outcome.DeadlinePassed
		}
		a.deadline = at
	}
	return ""
}

func (a *admittedRequest) readWholeBody(r *http.Request) outcome.Reason {
	controller := http.NewResponseController(a.writer)
	now := time.Now()
	deadline := now.Add(bodyTimeout)
	_ = controller.SetReadDeadline(deadline)
	a.memory = a.handler.memory.Open(callermemory.Body, now, func() { _ = controller.SetReadDeadline(time.Now()) })
	body, err := a.memory.ReadAll(r.Context(), http.MaxBytesReader(a.writer, r.Body, a.handler.maxBodyBytes), r.ContentLength, a.handler.maxBodyBytes, deadline)
	a.body = body
	received := a.memory.Received()
	var tooLarge *http.MaxBytesError
	switch {
	case !received:
		a.memory.Release()
		return outcome.MemoryExhausted
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
		return ""
	case errors.Is(err, callermemory.ErrExhausted):
		a.memory.Release()
		callerconn.DiscardBody(a.writer, r, a.handler.maxBodyBytes, now.Add(discardTimeout))
		return outcome.MemoryExhausted
	case errors.As(err, &tooLarge):
		return outcome.TooLarge
	case errors.Is(err, os.ErrDeadlineExceeded): // the deadline stays, as net/http reads on before it responds
		return outcome.DeadlinePassed
	case errors.Is(err, io.ErrUnexpectedEOF):
		return outcome.CallerBodyIncomplete
	}
	return outcome.Malformed
}

// attemptRequest builds the request to dispatch to a replica of the class, or returns
// the reason to refuse it.
func (a *admittedRequest) attemptRequest(class operator.Class, body []byte) (attempt.Request, outcome.Reason) {
	if !class.Idempotent && a.key == "" {
		return attempt.Request{}, outcome.IdempotencyKeyMissing
	}
	wait := time.Duration(class.Target.AnswerMilliseconds) * time.Millisecond
	if wait <= 0 {
		wait = defaultAnswerTime
	}
	deadline := time.Now().Add(wait)
	if !a.deadline.IsZero() && a.deadline.Before(deadline) {
		deadline = a.deadline
	}
	if !time.Now().Before(deadline) {
		return attempt.Request{}, outcome.DeadlinePassed
	}
	return attempt.Request{
		ID:             a.id,
		Organisation:   a.organisationSettings.Name,
		Weight:         a.organisationSettings.Weight,
		Class:          class,
		IdempotencyKey: a.key,
		Body:           body,
		Deadline:       deadline,
		Fingerprint:    attempt.Fingerprint(a.organisationSettings.Name, class.Name, body),
	}, ""
}

func (h *Handler) handleCompletion(w http.ResponseWriter, r *http.Request) {
	h.admit(w, r, func(a *admittedRequest) {
		if a.memory.Reserve(decodedCopies*int64(len(a.body)), time.Now()) != callermemory.Granted {
			a.refuse(outcome.Refused{Reason: outcome.MemoryExhausted, RetryAt: limit.Jittered(time.Now(), busyRetryDelay)})
			return
		}
		c, reason := parseCompletion(a.body)
		a.class = c.Model
		if reason != "" {
			a.class = ""
			a.refuse(outcome.Refused{Reason: reason})
			return
		}
		h.dispatchCompletion(r.Context(), a, c)
	})
}

func (h *Handler) dispatchCompletion(ctx context.Context, a *admittedRequest, c completion) {
	class, ok := h.findClass(c.Model, operator.Model)
	if !ok {
		a.class = ""
		a.refuse(outcome.Refused{Reason: outcome.UnknownClass})
		return
	}
	body, err := json.Marshal(engine.Completion{Model: class.Target.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Stream: true})
	if err != nil {
		a.refuse(outcome.Refused{Reason: outcome.Malformed})
		return
	}
	request, reason := a.attemptRequest(class, body)
	if reason != "" {
		a.refuse(outcome.Refused{Reason: reason})
		return
	}
	request.Prompt = c.Prompt
	request.MaxTokens = c.MaxTokens
	s := &tokenStream{responder: &a.responder, controller: http.NewResponseController(a.writer)}
	answer, o := h.options.Dispatcher.Stream(ctx, request, s)
	a.repeat = answer.Repeat
	s.finish(o)
}

// parseCompletion decodes the body of a completion request. It refuses unknown keys,
// trailing data and values out of range.
func parseCompletion(body []byte) (completion, outcome.Reason) {
	var c completion
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return c, outcome.Malformed
	}
	if _, err := decoder.Token(); err != io.EOF {
		return c, outcome.Malformed
	}
	if c.MaxTokens < 0 || c.MaxTokens > maxTokens || c.Prompt == "" {
		return c, outcome.Malformed
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	return c, ""
}

func (h *Handler) handleCall(w http.ResponseWriter, r *http.Request) {
	h.admit(w, r, func(a *admittedRequest) {
		class, ok := h.findClass(r.PathValue("class"), operator.Plain)
		if !ok {
			a.refuse(outcome.Refused{Reason: outcome.UnknownClass})
			return
		}
		a.class = class.Name
		if !json.Valid(a.body) {
			a.refuse(outcome.Refused{Reason: outcome.Malformed})
			return
		}
		request, reason := a.attemptRequest(class, a.body)
		if reason != "" {
			a.refuse(outcome.Refused{Reason: reason})
			return
		}
		ctx := r.Context()
		if !class.Idempotent {
			ctx = context.WithoutCancel(ctx) // the outcome is kept for repeats of the key
		}
		a.writeAnswer(h.options.Dispatcher.Call(ctx, request))
	})
}

// handleOutcome responds with the outcome of the organisation's earlier request.
func (h *Handler) handleOutcome(w http.ResponseWriter, r *http.Request) {
	a := &admittedRequest{responder: responder{handler: h, writer: w, id: uuid.NewString()}}
	defer a.recoverPanic()
	organisation, ok := h.authenticate(r)
	if !ok {
		a.refuse(outcome.Refused{Reason: outcome.Unauthorised})
		return
	}
	if h.options.Outcomes == nil {
		http.NotFound(w, r)
		return
	}
	o, ok := h.options.Outcomes.Outcome(r, organisation.Name, r.PathValue("key"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	record := outcome.NewRecord(o)
	record.Organisation = organisation.Name
	status := http.StatusOK
	if !record.RetryAt.IsZero() {
		status = http.StatusAccepted
	}
	a.writeRecord(status, record)
}
