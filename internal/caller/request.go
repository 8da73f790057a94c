package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/pkg/limit"
)

const (
	defaultTokens  = 16
	maxTokens      = 1 << 16
	busyWait       = time.Second
	firstBodyBytes = 2 << 10
)

// completion is the body of a completion, which takes no other keys.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// admitted is a request whose credential and body were read.
type admitted struct {
	visit
	account  settings.Organisation
	body     []byte
	key      string
	deadline time.Time // zero: the class's
	reserved int64     // bytes of the memory for bodies
}

// admit checks credential, headers and body, and hands the request to then.
func (f *Front) admit(w http.ResponseWriter, r *http.Request, then func(*admitted)) {
	a := &admitted{visit: visit{front: f, writer: w, id: uuid.NewString()}}
	organisation, ok := f.organisation(r)
	if !ok {
		a.refuse(outcome.Refused{Reason: outcome.Unauthorised})
		return
	}
	a.account = organisation
	a.organisation = organisation.Name
	defer func() { f.release(a.reserved) }()
	if reason := a.read(r); reason != "" {
		refused := outcome.Refused{Reason: reason}
		if reason == outcome.QueueFull {
			refused.RetryAt = limit.Jittered(time.Now(), busyWait)
		}
		a.refuse(refused)
		return
	}
	then(a)
}

// read reads the body, key and deadline, or returns why the request is refused.
func (a *admitted) read(r *http.Request) outcome.Reason {
	a.key = r.Header.Get(HeaderIdempotencyKey)
	if len(a.key) > maxKeyBytes {
		return outcome.Malformed
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return outcome.Malformed
		}
		a.deadline = at
	}
	controller := http.NewResponseController(a.writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	err := a.readBody(http.MaxBytesReader(a.writer, r.Body, a.front.maxBody))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == errNoMemory:
		return outcome.QueueFull
	case errors.As(err, &tooLarge):
		return outcome.TooLarge
	case err != nil:
		return outcome.Malformed
	}
	return ""
}

// errNoMemory reports that the bodies of other requests take all the memory
// that bodies may use.
var errNoMemory = errors.New("too many bodies at once")

// readBody reads to the end. It takes memory as bytes arrive, so a caller that
// announces a large body and sends nothing holds little.
func (a *admitted) readBody(body io.Reader) error {
	for {
		if len(a.body) == cap(a.body) {
			grown := max(firstBodyBytes, 2*cap(a.body))
			if !a.front.reserve(int64(grown - cap(a.body))) {
				return errNoMemory
			}
			a.reserved += int64(grown - cap(a.body))
			larger := make([]byte, len(a.body), grown)
			copy(larger, a.body)
			a.body = larger
		}
		n, err := body.Read(a.body[len(a.body):cap(a.body)])
		a.body = a.body[:len(a.body)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// request builds the dispatch of body to class, or returns why it is refused.
func (a *admitted) request(class operator.Class, body []byte) (attempt.Request, outcome.Reason) {
	if !class.Idempotent && a.key == "" {
		return attempt.Request{}, outcome.KeyMissing
	}
	wait := time.Duration(class.Target.AnswerMilliseconds) * time.Millisecond
	if wait <= 0 {
		wait = defaultAnswer
	}
	deadline := time.Now().Add(wait)
	if !a.deadline.IsZero() && a.deadline.Before(deadline) {
		deadline = a.deadline
	}
	if !time.Now().Before(deadline) {
		return attempt.Request{}, outcome.DeadlinePassed
	}
	return attempt.Request{
		ID:           a.id,
		Organisation: a.account.Name,
		Weight:       a.account.Weight,
		Class:        class,
		Key:          a.key,
		Body:         body,
		Deadline:     deadline,
		Fingerprint:  attempt.Fingerprint(a.account.Name, class.Name, body),
	}, ""
}

func (f *Front) complete(w http.ResponseWriter, r *http.Request) {
	f.admit(w, r, func(a *admitted) {
		c, reason := parseCompletion(a.body)
		a.class = c.Model
		if reason != "" {
			a.class = ""
			a.refuse(outcome.Refused{Reason: reason})
			return
		}
		f.dispatchCompletion(r.Context(), a, c)
	})
}

func (f *Front) dispatchCompletion(ctx context.Context, a *admitted, c completion) {
	class, ok := f.class(c.Model, operator.Model)
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
	request, reason := a.request(class, body)
	if reason != "" {
		a.refuse(outcome.Refused{Reason: reason})
		return
	}
	request.Prompt = c.Prompt
	request.Tokens = c.MaxTokens
	s := &stream{visit: &a.visit, controller: http.NewResponseController(a.writer)}
	answer, o := f.options.Dispatcher.Stream(ctx, request, s)
	a.repeat = answer.Repeat
	s.end(o)
}

// parseCompletion refuses unknown keys, trailing text and values out of range.
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
		c.MaxTokens = defaultTokens
	}
	return c, ""
}

func (f *Front) call(w http.ResponseWriter, r *http.Request) {
	f.admit(w, r, func(a *admitted) {
		class, ok := f.class(r.PathValue("class"), operator.Plain)
		if !ok {
			a.refuse(outcome.Refused{Reason: outcome.UnknownClass})
			return
		}
		a.class = class.Name
		if !json.Valid(a.body) {
			a.refuse(outcome.Refused{Reason: outcome.Malformed})
			return
		}
		request, reason := a.request(class, a.body)
		if reason != "" {
			a.refuse(outcome.Refused{Reason: reason})
			return
		}
		ctx := r.Context()
		if !class.Idempotent {
			ctx = context.WithoutCancel(ctx) // its outcome is recorded for repeats
		}
		a.answer(f.options.Dispatcher.Call(ctx, request))
	})
}

// outcome answers what became of the organisation's earlier request.
func (f *Front) outcome(w http.ResponseWriter, r *http.Request) {
	a := &admitted{visit: visit{front: f, writer: w, id: uuid.NewString()}}
	organisation, ok := f.organisation(r)
	if !ok {
		a.refuse(outcome.Refused{Reason: outcome.Unauthorised})
		return
	}
	if f.options.Outcomes == nil {
		http.NotFound(w, r)
		return
	}
	o, ok := f.options.Outcomes.Outcome(r, organisation.Name, r.PathValue("key"))
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
	a.state(status, record)
}
