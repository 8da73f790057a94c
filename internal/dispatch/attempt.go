package dispatch

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

// result is how one attempt ended: declined, whole or broken.
type result interface{ result() }

// declined says that the attempt was not run.
type declined struct{ reason outcome.Reason }

// whole says that the whole answer was passed on.
type whole struct{}

// broken says that the attempt may have run and brought no whole answer.
type broken struct {
	reason outcome.Reason
	died   bool // the server that ran it is dead
	cause  error
}

// gone says that the caller left while the attempt ran.
type gone struct{}

func (declined) result() {}
func (whole) result()    {}
func (broken) result()   {}
func (gone) result()     {}

// attempt is one dispatch of a request to an agent.
type attempt struct {
	dispatcher *Dispatcher
	request    Request
	member     gateway.Member
	id         string
	suspect    bool
	progress   *progress
	sink       Sink
	begun      func() // first byte of the answer
}

func (a *attempt) header() http.Header {
	r := a.request
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(agent.HeaderRequestID, r.ID)
	h.Set(agent.HeaderAttempt, a.id)
	h.Set(agent.HeaderClass, r.Class.Name)
	h.Set(agent.HeaderOrganisation, r.Organisation)
	h.Set(agent.HeaderDigest, string(a.progress.digest))
	h.Set(agent.HeaderDeadline, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	h.Set(agent.HeaderFingerprint, r.Fingerprint)
	h.Set(agent.HeaderPriority, strconv.Itoa(r.Class.Priority))
	h.Set(agent.HeaderResumeFrom, strconv.Itoa(a.progress.tokens))
	if a.suspect {
		h.Set(agent.HeaderSuspect, "1")
	}
	return h
}

// run sends the dispatch and passes the answer on.
func (a *attempt) run(ctx context.Context) result {
	a.id = uuid.NewString()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := a.patience(cancel)
	defer patience.stop()
	response, err := a.dispatcher.client.Send(attemptCtx, transmit.Message{
		Address: a.member.Address,
		Path:    agent.DispatchPath,
		Header:  a.header(),
		Body:    a.request.Body,
		Fresh:   !a.request.Class.Idempotent,
	})
	if err != nil {
		return a.sendFailed(ctx, err)
	}
	defer response.Body.Close()
	if refused := a.refused(response); refused != nil {
		return refused
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(agent.HeaderAttempt) != a.id {
		cause := errs.New("dispatch", a.member.Address, "status %d for attempt %q", response.StatusCode, response.Header.Get(agent.HeaderAttempt))
		return broken{reason: outcome.StreamCut, cause: cause}
	}
	a.begun()
	if a.request.Class.Kind == operator.Model {
		err = a.readTokens(response.Body, patience)
	} else {
		err = a.readAnswer(response)
	}
	return a.end(ctx, response, err)
}

// refused reports an agent's refusal. One of another attempt proves nothing.
func (a *attempt) refused(response *http.Response) result {
	a.told(response.Header)
	reason := response.Header.Get(agent.HeaderRefused)
	if reason == "" || response.Header.Get(agent.HeaderAttempt) != a.id {
		return nil
	}
	return declined{reason: outcome.Reason(reason)}
}

func (a *attempt) told(h http.Header) {
	running, err := strconv.Atoi(h.Get(agent.HeaderRunning))
	if err != nil {
		return
	}
	slots, err := strconv.Atoi(h.Get(agent.HeaderSlots))
	if err != nil {
		return
	}
	a.dispatcher.router.Told(a.member.Name, running, slots)
}

func (a *attempt) sendFailed(ctx context.Context, err error) result {
	var unsent *transmit.Unsent
	if errors.As(err, &unsent) {
		if ctx.Err() != nil {
			return declined{reason: outcome.DeadlinePassed}
		}
		return declined{reason: outcome.ReplicaUnreachable}
	}
	return a.broke(ctx, outcome.ReplicaUnreachable, err)
}

// broke says how an attempt ended whose answer stopped at the connection.
func (a *attempt) broke(ctx context.Context, reason outcome.Reason, err error) result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return broken{reason: outcome.DeadlinePassed, cause: err}
	case ctx.Err() != nil:
		return gone{}
	}
	return broken{reason: reason, died: transmit.Refuses(a.member.Address), cause: err}
}

// end judges an answer that was read to its end.
func (a *attempt) end(ctx context.Context, response *http.Response, err error) result {
	if errors.Is(err, errCallerGone) {
		return gone{}
	}
	var wrong *wrongAnswer
	trailer := outcome.Reason(response.Trailer.Get(agent.TrailerEnd))
	switch {
	case trailer == agent.EndWhole && err == nil:
		return whole{}
	case a.progress.finished && !errors.As(err, &wrong):
		return whole{} // only the end marker is missing
	}
	if errors.As(err, &wrong) {
		return broken{reason: wrong.reason, cause: err}
	}
	switch trailer {
	case "", agent.EndWhole:
		return a.broke(ctx, outcome.StreamCut, err)
	case outcome.CallerGone:
		if ctx.Err() != nil {
			return gone{}
		}
		return broken{reason: outcome.StreamCut, cause: err}
	}
	return broken{reason: trailer, died: trailer == outcome.BackendDied, cause: err}
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
func (a *attempt) readTokens(body io.Reader, patience *patience) error {
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
		if err := a.passToken(e.Data); err != nil {
			return err
		}
		patience.renew()
	}
	if !done {
		return errNotWhole
	}
	return nil
}

func (a *attempt) passToken(data string) error {
	var t engine.Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return &wrongAnswer{outcome.StreamCut, "token is not JSON: " + err.Error()}
	}
	if t.RequestID != a.id {
		return &wrongAnswer{outcome.StreamCut, fmt.Sprintf("token of attempt %q", t.RequestID)}
	}
	if t.Digest != a.progress.digest {
		return &wrongAnswer{outcome.ReplicaOther, fmt.Sprintf("token of version %s, not %s", t.Digest, a.progress.digest)}
	}
	if t.Index < a.progress.tokens {
		counter.Add("RepeatedTokens", 1)
		return nil
	}
	if t.Index > a.progress.tokens {
		return &wrongAnswer{outcome.StreamCut, fmt.Sprintf("token %d follows token %d", t.Index, a.progress.tokens-1)}
	}
	invariant.Assert(t.Digest == a.progress.digest, invariant.ServedDigestPlaced, "request %s got %s", a.request.ID, t.Digest)
	t.RequestID = a.request.ID
	if err := a.sink.Token(t); err != nil {
		return errCallerGone
	}
	a.progress.tokens++
	a.progress.finished = t.Finish != ""
	return nil
}

func (a *attempt) readAnswer(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(text) > MaxAnswerBytes {
		return &wrongAnswer{outcome.TooLarge, fmt.Sprintf("answer exceeds %d bytes", MaxAnswerBytes)}
	}
	status, err := strconv.Atoi(response.Header.Get(agent.HeaderStatus))
	if err != nil {
		return &wrongAnswer{outcome.StreamCut, "answer without a status"}
	}
	a.progress.answer = Answer{Status: status, ContentType: response.Header.Get("Content-Type"), Body: text}
	return nil
}

// patience cancels an attempt that brings nothing for too long.
type patience struct {
	timer *time.Timer
	next  func() time.Duration
}

func (a *attempt) patience(cancel context.CancelFunc) *patience {
	target := a.request.Class.Target
	if a.request.Class.Kind != operator.Model || !a.request.Class.Idempotent {
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
