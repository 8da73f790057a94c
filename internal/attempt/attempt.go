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
	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/transmit"
)

// MaxAnswerBytes bounds a plain service's answer.
const MaxAnswerBytes = 4 << 20

const (
	minPatience           = time.Second
	firstTokenPatience    = 3  // times the class's first-token target
	betweenTokensPatience = 40 // times the class's between-tokens target
)

// Result is how one attempt ended: Declined, Whole, Broken or Gone.
type Result interface{ result() }

// Declined says that the attempt was not run.
type Declined struct{ Reason outcome.Reason }

// Whole says that the whole answer was passed on.
type Whole struct{}

// Broken says that the attempt may have run and brought no whole answer.
type Broken struct {
	Reason outcome.Reason
	Died   bool // the server that ran it is dead
	Cause  error
}

// Gone says that the caller left while the attempt ran.
type Gone struct{}

func (Declined) result() {}
func (Whole) result()    {}
func (Broken) result()   {}
func (Gone) result()     {}

// Attempt is one dispatch of a request to an agent.
type Attempt struct {
	Client   *transmit.Client
	Told     func(agent string, running, slots int) // what the agent says of its load
	Request  Request
	Member   gateway.Member
	Suspect  bool // it may crash the backend server
	Progress *Progress
	Sink     Sink
	Begun    func() // the agent took the request to its backend server

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

// Run sends the dispatch and passes the answer on.
func (a *Attempt) Run(ctx context.Context) Result {
	a.id = uuid.NewString()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := a.patience(cancel)
	defer patience.stop()
	response, err := a.Client.Send(attemptCtx, transmit.Message{
		Address: a.Member.Address,
		Path:    agent.DispatchPath,
		Header:  a.header(),
		Body:    a.Request.Body,
		Fresh:   !a.Request.Class.Idempotent,
	})
	if err != nil {
		return a.sendFailed(ctx, err)
	}
	defer response.Body.Close()
	if refused := a.refused(response); refused != nil {
		return refused
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(agent.HeaderAttempt) != a.id {
		cause := errs.New("dispatch", a.Member.Address, "status %d for attempt %q", response.StatusCode, response.Header.Get(agent.HeaderAttempt))
		return Broken{Reason: outcome.StreamCut, Cause: cause}
	}
	a.Begun()
	if a.Request.Class.Kind == operator.Model {
		err = a.readTokens(response.Body, patience)
	} else {
		err = a.readAnswer(response)
	}
	return a.end(ctx, response, err)
}

// refused reports an agent's refusal. One of another attempt proves nothing.
func (a *Attempt) refused(response *http.Response) Result {
	a.told(response.Header)
	reason := response.Header.Get(agent.HeaderRefused)
	if reason == "" || response.Header.Get(agent.HeaderAttempt) != a.id {
		return nil
	}
	return Declined{Reason: outcome.Reason(reason)}
}

func (a *Attempt) told(h http.Header) {
	running, err := strconv.Atoi(h.Get(agent.HeaderRunning))
	if err != nil {
		return
	}
	slots, err := strconv.Atoi(h.Get(agent.HeaderSlots))
	if err != nil {
		return
	}
	a.Told(a.Member.Name, running, slots)
}

func (a *Attempt) sendFailed(ctx context.Context, err error) Result {
	var unsent *transmit.Unsent
	if errors.As(err, &unsent) {
		if ctx.Err() != nil {
			return Declined{Reason: outcome.DeadlinePassed}
		}
		return Declined{Reason: outcome.ReplicaUnreachable}
	}
	return a.broke(ctx, outcome.ReplicaUnreachable, err)
}

// broke says how an attempt ended whose answer stopped at the connection.
func (a *Attempt) broke(ctx context.Context, reason outcome.Reason, err error) Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Broken{Reason: outcome.DeadlinePassed, Cause: err}
	case ctx.Err() != nil:
		return Gone{}
	}
	return Broken{Reason: reason, Died: transmit.Refuses(a.Member.Address), Cause: err}
}

// end judges an answer that was read to its end.
func (a *Attempt) end(ctx context.Context, response *http.Response, err error) Result {
	if errors.Is(err, errCallerGone) {
		return Gone{}
	}
	var wrong *wrongAnswer
	trailer := outcome.Reason(response.Trailer.Get(agent.TrailerEnd))
	switch {
	case trailer == agent.EndWhole && err == nil:
		return Whole{}
	case a.Progress.Finished && !errors.As(err, &wrong):
		return Whole{} // only the end marker is missing
	}
	if errors.As(err, &wrong) {
		return Broken{Reason: wrong.reason, Cause: err}
	}
	switch trailer {
	case "", agent.EndWhole:
		return a.broke(ctx, outcome.StreamCut, err)
	case outcome.CallerGone:
		if ctx.Err() != nil {
			return Gone{}
		}
		return Broken{Reason: outcome.StreamCut, Cause: err}
	}
	return Broken{Reason: trailer, Died: trailer == outcome.BackendDied, Cause: err}
}

var (
	errCallerGone = errors.New("caller is gone")
	errNotWhole   = errors.New("answer ended before its last event")
)

// wrongAnswer reports an answer that breaks what was agreed.
type wrongAnswer struct {
	reason outcome.Reason
	detail string
}

// Error says how the answer differs from what was asked for.
func (e *wrongAnswer) Error() string { return e.detail }

// readTokens passes each token on once and in order.
func (a *Attempt) readTokens(body io.Reader, patience *patience) error {
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
			return &wrongAnswer{outcome.StreamCut, "token after the end of the answer"}
		}
		before := a.Progress.Tokens
		if err := a.passToken(e.Data); err != nil {
			return err
		}
		if a.Progress.Tokens > before { // a token that comes again is no progress
			patience.renew()
		}
	}
	if !done {
		return errNotWhole
	}
	return nil
}

func (a *Attempt) passToken(data string) error {
	var t engine.Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return &wrongAnswer{outcome.StreamCut, "token is not JSON: " + err.Error()}
	}
	if t.RequestID != a.id {
		return &wrongAnswer{outcome.StreamCut, fmt.Sprintf("token of attempt %q", t.RequestID)}
	}
	if t.Digest != a.Progress.Digest {
		return &wrongAnswer{outcome.ReplicaOther, fmt.Sprintf("token of version %s, not %s", t.Digest, a.Progress.Digest)}
	}
	if t.Index < a.Progress.Tokens {
		counter.Add("RepeatedTokens", 1)
		return nil
	}
	if t.Index > a.Progress.Tokens {
		return &wrongAnswer{outcome.StreamCut, fmt.Sprintf("token %d follows token %d", t.Index, a.Progress.Tokens-1)}
	}
	invariant.Assert(t.Digest == a.Progress.Digest, invariant.ServedDigestPlaced, "request %s got %s", a.Request.ID, t.Digest)
	t.RequestID = a.Request.ID
	if err := a.Sink.Token(t); err != nil {
		return errCallerGone
	}
	a.Progress.Tokens++
	a.Progress.Finished = t.Finish != ""
	return nil
}

func (a *Attempt) readAnswer(response *http.Response) error {
	text, err := bounded.ReadAll(response.Body, MaxAnswerBytes)
	if errors.Is(err, bounded.ErrTooLong) {
		return &wrongAnswer{outcome.TooLarge, fmt.Sprintf("answer exceeds %d bytes", MaxAnswerBytes)}
	}
	if err != nil {
		return err
	}
	status, err := strconv.Atoi(response.Header.Get(agent.HeaderStatus))
	if err != nil {
		return &wrongAnswer{outcome.StreamCut, "answer without a status"}
	}
	a.Progress.Answer = Answer{Status: status, ContentType: response.Header.Get("Content-Type"), Body: text}
	return nil
}

// patience cancels an attempt that brings nothing for too long.
type patience struct {
	timer *time.Timer
	next  func() time.Duration
}

func (a *Attempt) patience(cancel context.CancelFunc) *patience {
	target := a.Request.Class.Target
	if a.Request.Class.Kind != operator.Model || !a.Request.Class.Idempotent {
		return &patience{}
	}
	first := max(minPatience, time.Duration(firstTokenPatience*target.FirstTokenMilliseconds)*time.Millisecond)
	between := max(minPatience, time.Duration(betweenTokensPatience*target.BetweenTokensMilliseconds)*time.Millisecond)
	return &patience{timer: time.AfterFunc(first, cancel), next: func() time.Duration { return between }}
}

func (p *patience) renew() {
	if p.timer != nil {
		p.timer.Reset(p.next())
	}
}

func (p *patience) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}
