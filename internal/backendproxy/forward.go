package backendproxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	sse "github.com/tmaxmax/go-sse"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/service"
)

const (
	cancelTimeout = 2 * time.Second
)

// interruptedError reports an answer that was not passed on completely.
type interruptedError struct {
	reason outcome.Reason
	cause  error
}

// Error returns the reason and the cause.
func (e *interruptedError) Error() string { return fmt.Sprintf("%s: %v", e.reason, e.cause) }

// serveCompletion runs a completion in the engine and forwards its token events.
func (p *Proxy) serveCompletion(ctx context.Context, w http.ResponseWriter, req dispatchRequest) {
	var c engine.Completion
	if err := json.Unmarshal(req.body, &c); err != nil {
		p.refuse(w, req, outcome.Malformed)
		return
	}
	c.Stream = true
	c.RequestID = req.attempt
	c.ResumeFrom = req.resumeFrom
	c.Priority = req.priority
	body, err := json.Marshal(c)
	if err != nil {
		p.refuse(w, req, outcome.Malformed)
		return
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := p.client.Send(ctx, p.backendRequest(engine.CompletionsPath, header, body))
	if p.refuseUnsent(w, req, err) {
		return
	}
	if err == nil {
		defer response.Body.Close()
		if notRun(response.StatusCode) {
			p.refuse(w, req, outcome.BackendRefused)
			return
		}
	}
	p.startAnswer(w, req, "text/event-stream")
	if err == nil {
		err = p.forwardEvents(w, req, response)
	}
	p.finishAnswer(ctx, w, req, err)
}

// notRun reports whether an engine's status means that it did not run the request.
func notRun(status int) bool {
	return status >= 400 && status < 500 || status == http.StatusServiceUnavailable
}

// serveCall runs a plain call in the service and forwards its answer.
func (p *Proxy) serveCall(ctx context.Context, w http.ResponseWriter, req dispatchRequest) {
	header := http.Header{"Content-Type": {"application/json"}}
	header.Set(service.HeaderRequestID, req.requestID)
	header.Set(service.HeaderClass, req.class)
	response, err := p.client.Send(ctx, p.backendRequest(service.CallsPath, header, req.body))
	if p.refuseUnsent(w, req, err) {
		return
	}
	if err != nil {
		p.startAnswer(w, req, "application/json")
		p.finishAnswer(ctx, w, req, err)
		return
	}
	defer response.Body.Close()
	w.Header().Set(agent.HeaderStatus, fmt.Sprint(response.StatusCode))
	p.startAnswer(w, req, response.Header.Get("Content-Type"))
	_, err = io.Copy(w, response.Body)
	p.finishAnswer(ctx, w, req, err)
}

// backendRequest returns a request on a connection of its own. On a reused one, a
// response that the backend server sends twice would answer the next request, and a
// refusal says that its request was not run.
func (p *Proxy) backendRequest(path string, header http.Header, body []byte) atmostonce.Request {
	return atmostonce.Request{Address: p.backend.Address, Path: path, Header: header, Body: body, NewConn: true}
}

// refuseUnsent refuses the dispatch and reports true if err proves that no byte of
// it was sent to the backend server.
func (p *Proxy) refuseUnsent(w http.ResponseWriter, req dispatchRequest, err error) bool {
	var unsent *atmostonce.NotSentError
	if !errors.As(err, &unsent) {
		return false
	}
	if errors.Is(err, context.DeadlineExceeded) {
		p.refuse(w, req, outcome.DeadlinePassed)
		return true
	}
	p.refuse(w, req, outcome.BackendUnreachable)
	return true
}

// startAnswer sends the header of the answer to an accepted dispatch.
func (p *Proxy) startAnswer(w http.ResponseWriter, req dispatchRequest, contentType string) {
	p.setCommonHeaders(w, req)
	w.Header().Set("Trailer", agent.TrailerEnd)
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusOK)
}

// forwardEvents forwards token events up to the engine's event that ends the
// answer. A stream that ends without that event, or in which it does not follow the
// last token, is an error.
func (p *Proxy) forwardEvents(w http.ResponseWriter, req dispatchRequest, response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		return &interruptedError{outcome.BackendFailed, fmt.Errorf("engine returned status %d", response.StatusCode)}
	}
	flusher := http.NewResponseController(w)
	finished := false
	for e, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return err
		}
		if e.Data == engine.Done && !finished {
			return &interruptedError{outcome.StreamCut, errors.New("end of the answer without its last token")}
		}
		if e.Data == engine.Done {
			_, err := io.WriteString(w, "data: "+engine.Done+"\n\n")
			return err
		}
		t, err := parseToken(req, e.Data)
		if err != nil {
			return err
		}
		finished = t.Finish != ""
		if _, err := io.WriteString(w, "data: "+e.Data+"\n\n"); err != nil {
			return &interruptedError{outcome.CallerGone, err}
		}
		if err := flusher.Flush(); err != nil {
			return &interruptedError{outcome.CallerGone, err}
		}
	}
	return io.ErrUnexpectedEOF
}

// parseToken returns an *interruptedError if the token is not of this attempt and
// version.
func parseToken(req dispatchRequest, data string) (engine.Token, error) {
	var t engine.Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return t, &interruptedError{outcome.StreamCut, errs.Wrap(err, "token", "")}
	}
	if t.RequestID != req.attempt {
		return t, &interruptedError{outcome.StreamCut, fmt.Errorf("token belongs to attempt %q", t.RequestID)}
	}
	if t.Digest != req.digest {
		return t, &interruptedError{outcome.ReplicaServesOtherVersion, fmt.Errorf("token is from version %s, expected %s", t.Digest, req.digest)}
	}
	return t, nil
}

// finishAnswer sets the trailer that says how the answer ended. An interrupted
// attempt is also cancelled in the backend server, unless that died.
func (p *Proxy) finishAnswer(ctx context.Context, w http.ResponseWriter, req dispatchRequest, err error) {
	if err == nil {
		w.Header().Set(agent.TrailerEnd, agent.EndWhole)
		return
	}
	reason := p.interruptReason(ctx, err)
	counter.Add("DoorCut."+string(reason), 1)
	w.Header().Set(agent.TrailerEnd, string(reason))
	if reason == outcome.BackendDied {
		event.Fail(event.BackendDied, err, "Request", req.requestID, "Peer", p.backend.Address)
		return
	}
	p.queueCancel(req)
}

// interruptReason returns the reason for an answer that err interrupted.
func (p *Proxy) interruptReason(ctx context.Context, err error) outcome.Reason {
	var interrupted *interruptedError
	if errors.As(err, &interrupted) {
		return interrupted.reason
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.DeadlinePassed
	}
	if ctx.Err() != nil {
		return outcome.CallerGone
	}
	if p.backendEnded(ctx) {
		return outcome.BackendDied
	}
	return outcome.StreamCut
}

// queueCancel queues a cancel of the attempt for Run to send. The connection on
// which the attempt runs is closed as well.
func (p *Proxy) queueCancel(req dispatchRequest) {
	select {
	case p.cancels <- req.attempt:
	default:
		counter.Add("CancelsDropped", 1)
	}
}

// Run sends the queued cancels to the backend server until ctx ends, and returns
// ctx's error.
func (p *Proxy) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-p.cancels:
			p.sendCancel(ctx, id)
		}
	}
}

func (p *Proxy) sendCancel(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	body, err := json.Marshal(engine.Cancel{RequestID: id})
	if err != nil {
		return
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := p.client.Send(ctx, p.backendRequest(engine.CancelPath, header, body))
	if err != nil {
		counter.Add("CancelsFailed", 1)
		return
	}
	_ = response.Body.Close()
}
