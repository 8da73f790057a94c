package attempt

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	sse "github.com/tmaxmax/go-sse"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/ending"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/peerconn"
)

// MaxAnswerBytes is the maximum size of a plain service's answer.
const MaxAnswerBytes = 4 << 20

// ErrSuperseded cancels the context of an attempt because another one goes on with the
// answer.
var ErrSuperseded = errors.New("another agent goes on with the answer")

// Result is the result of an attempt: NotRun, Completed, Interrupted, CallerGone or
// Superseded.
type Result interface{ result() }

// NotRun means that the request was certainly not run.
type NotRun struct{ Reason outcome.Reason }

// Completed means that the whole answer was received and passed on.
type Completed struct{}

// Interrupted means that the request may have run but the answer is incomplete
// or invalid.
type Interrupted struct {
	Reason outcome.Reason
	Died   bool // the process that ran the request, agent or backend server, has ended
	Cause  error
}

// CallerGone means that the caller disconnected during the attempt.
type CallerGone struct{}

// Superseded means that another attempt goes on with the answer. The request may have run.
type Superseded struct{}

func (NotRun) result()      {}
func (Completed) result()   {}
func (Interrupted) result() {}
func (CallerGone) result()  {}
func (Superseded) result()  {}

// Attempt is one dispatch of a request to an agent.
type Attempt struct {
	Client     *atmostonce.Client
	ReportLoad func(agent string, running, slots int) // called with the load that the agent reports in its answer
	Request    Request
	Member     gateway.Member // agent that gets the request
	Suspect    bool           // the request may crash the backend server
	Progress   *Progress      // of this attempt and those before it; updated by Run
	Sink       Sink           // receives a completion's tokens; nil for a plain call
	OnAccepted func()         // called when the agent has passed the request to its backend server
	// GoOn is called before each new token is passed on. It reports false if another
	// attempt goes on with the answer.
	GoOn func() bool
	// OnSilence is called repeatedly while the agent makes no progress, with the time of
	// the last. It is called neither while a token is passed on nor after Run has returned.
	OnSilence func(since time.Time)

	id string
}

func (a *Attempt) header() http.Header {
	r := a.Request
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(agent.HeaderRequestID, r.ID)
	h.Set(agent.HeaderAttempt, a.id)
	h.Set(agent.HeaderClass, r.Class.Name)
	h.Set(agent.HeaderOrganisation, r.Organisation)
	h.Set(agent.HeaderDigest, string(a.Progress.Digest))
	h.Set(agent.HeaderDeadline, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	h.Set(agent.HeaderFingerprint, r.Fingerprint)
	h.Set(agent.HeaderPriority, strconv.Itoa(r.Class.Priority))
	h.Set(agent.HeaderResumeFrom, strconv.Itoa(a.Progress.Tokens))
	if a.Suspect {
		h.Set(agent.HeaderSuspect, "1")
	}
	return h
}

// Run sends the request to the agent, passes the answer on and returns the result.
func (a *Attempt) Run(ctx context.Context) Result {
	a.id = uuid.NewString()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := a.startProgressTimer(cancel)
	defer timer.hold()
	response, err := a.Client.Send(attemptCtx, atmostonce.Request{
		Address: a.Member.Address,
		Path:    agent.DispatchPath,
		Header:  a.header(),
		Body:    a.Request.Body,
		NewConn: !a.Request.Class.Idempotent,
	})
	if err != nil {
		return a.classifySendError(ctx, err)
	}
	defer response.Body.Close()
	if refusal := a.refusal(response); refusal != nil {
		return refusal
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(agent.HeaderAttempt) != a.id {
		atmostonce.CloseConn(response)
		cause := errs.New("dispatch", a.Member.Address, "status %d for attempt %q", response.StatusCode, response.Header.Get(agent.HeaderAttempt))
		return Interrupted{Reason: outcome.StreamCut, Cause: cause}
	}
	a.OnAccepted()
	if a.Request.Class.Kind == operator.Model {
		err = a.forwardTokens(response.Body, timer)
	} else {
		err = a.readAnswer(response)
	}
	return a.classify(ctx, response, err)
}

// refusal returns NotRun if the agent refused this attempt, else nil. A refusal
// of another attempt does not prove that this one was not run.
func (a *Attempt) refusal(response *http.Response) Result {
	a.reportLoad(response.Header)
	reason := response.Header.Get(agent.HeaderRefused)
	if reason == "" || response.Header.Get(agent.HeaderAttempt) != a.id {
		return nil
	}
	return NotRun{Reason: outcome.Reason(reason)}
}

// reportLoad passes on the load in an answer's headers, if they contain one.
func (a *Attempt) reportLoad(h http.Header) {
	running, err := strconv.Atoi(h.Get(agent.HeaderRunning))
	if err != nil {
		return
	}
	slots, err := strconv.Atoi(h.Get(agent.HeaderSlots))
	if err != nil {
		return
	}
	a.ReportLoad(a.Member.Name, running, slots)
}

// classifySendError returns the result of an attempt that got no response.
func (a *Attempt) classifySendError(ctx context.Context, err error) Result {
	var unsent *atmostonce.NotSentError
	if errors.As(err, &unsent) {
		if ctx.Err() != nil {
			return NotRun{Reason: outcome.DeadlinePassed}
		}
		return NotRun{Reason: outcome.ReplicaUnreachable}
	}
	return a.classifyFailure(ctx, outcome.ReplicaUnreachable, err)
}

// classifyFailure returns the result of an attempt that got no response or whose
// answer was interrupted. reason applies unless ctx has ended.
func (a *Attempt) classifyFailure(ctx context.Context, reason outcome.Reason, err error) Result {
	switch {
	case errors.Is(context.Cause(ctx), ErrSuperseded):
		return Superseded{}
	case ending.Ended(ctx):
		return Interrupted{Reason: outcome.ShuttingDown, Cause: err}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Interrupted{Reason: outcome.DeadlinePassed, Cause: err}
	case ctx.Err() != nil:
		return CallerGone{}
	}
	return Interrupted{Reason: reason, Died: atmostonce.AnyProbeRefused(a.Member.Address), Cause: err}
}

// classify returns the result of an accepted attempt from the trailer and the
// error of reading the answer.
func (a *Attempt) classify(ctx context.Context, response *http.Response, err error) Result {
	if errors.Is(err, errCallerGone) {
		return CallerGone{}
	}
	if errors.Is(err, ErrSuperseded) {
		return Superseded{}
	}
	var invalid *invalidAnswer
	trailer := outcome.Reason(response.Trailer.Get(agent.TrailerEnd))
	switch {
	case trailer == agent.EndWhole && err == nil:
		return Completed{}
	case a.Progress.Finished && !errors.As(err, &invalid):
		return Completed{} // only the end marker is missing
	}
	if errors.As(err, &invalid) {
		return Interrupted{Reason: invalid.reason, Cause: err}
	}
	switch trailer {
	case "", agent.EndWhole:
		return a.classifyFailure(ctx, outcome.StreamCut, err)
	case outcome.CallerGone:
		if ctx.Err() != nil && !ending.Ended(ctx) {
			return CallerGone{}
		}
		return Interrupted{Reason: outcome.StreamCut, Cause: err}
	}
	return Interrupted{Reason: trailer, Died: trailer == outcome.BackendDied, Cause: err}
}

var (
	errCallerGone = errors.New("caller disconnected")
	errIncomplete = errors.New("answer ended before its last event")
)

// invalidAnswer reports an answer that violates the protocol between gateway and
// agent.
type invalidAnswer struct {
	reason outcome.Reason
	detail string
}

// Error returns the detail of the violation.
func (e *invalidAnswer) Error() string { return e.detail }

// forwardTokens passes each new token on once and in order.
func (a *Attempt) forwardTokens(body io.Reader, timer *progressTimer) error {
	done := false
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			return err
		}
		if e.Data == engine.Done {
			done = true
			continue
		}
		if done {
			return &invalidAnswer{outcome.StreamCut, "token after the end of the answer"}
		}
		if err := a.forwardToken(e.Data, timer); err != nil {
			return err
		}
	}
	if !done || !a.Progress.Finished {
		return errIncomplete
	}
	return nil
}

// forwardToken passes one token on. It skips a repeated one and returns an
// *invalidAnswer for one of another attempt or version or out of order.
func (a *Attempt) forwardToken(data string, timer *progressTimer) error {
	var t engine.Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return &invalidAnswer{outcome.StreamCut, "token is not JSON: " + err.Error()}
	}
	if t.RequestID != a.id {
		return &invalidAnswer{outcome.StreamCut, fmt.Sprintf("token belongs to attempt %q", t.RequestID)}
	}
	if t.Digest != a.Progress.Digest {
		return &invalidAnswer{outcome.ReplicaServesOtherVersion, fmt.Sprintf("token is from version %s, expected %s", t.Digest, a.Progress.Digest)}
	}
	if t.Index < a.Progress.Tokens {
		counter.Add("RepeatedTokens", 1)
		return nil
	}
	if t.Index > a.Progress.Tokens {
		return &invalidAnswer{outcome.StreamCut, fmt.Sprintf("token %d follows token %d", t.Index, a.Progress.Tokens-1)}
	}
	invariant.Assert(t.Digest == a.Progress.Digest, invariant.ServedDigestPlaced, "request %s got a token from version %s", a.Request.ID, t.Digest)
	t.RequestID = a.Request.ID
	timer.hold() // the caller may be slow to read
	if !a.GoOn() {
		return ErrSuperseded
	}
	if err := a.Sink.Token(t); err != nil {
		return errCallerGone
	}
	a.Progress.Tokens++
	a.Progress.Finished = t.Finish != ""
	timer.reset()
	return nil
}

// readAnswer reads a plain call's answer into Progress.
func (a *Attempt) readAnswer(response *http.Response) error {
	text, err := bounded.ReadAll(response.Body, MaxAnswerBytes)
	if errors.Is(err, bounded.ErrTooLong) {
		return &invalidAnswer{outcome.TooLarge, fmt.Sprintf("answer exceeds %d bytes", MaxAnswerBytes)}
	}
	if err != nil {
		return err
	}
	status, err := strconv.Atoi(response.Header.Get(agent.HeaderStatus))
	if err != nil || !peerconn.IsFinalStatus(status) {
		return &invalidAnswer{outcome.StreamCut, "answer has no valid status header"}
	}
	a.Progress.Answer = Answer{Status: status, ContentType: response.Header.Get("Content-Type"), Body: text}
	return nil
}
