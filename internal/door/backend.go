package door

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
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/service"
	"almondreel.example/almondreel/internal/transmit"
)

const (
	cancelTimeout = 2 * time.Second
)

// cut is an answer that was not passed on whole.
type cut struct {
	reason outcome.Reason
	cause  error
}

// Error names the reason and the cause.
func (c *cut) Error() string { return fmt.Sprintf("%s: %v", c.reason, c.cause) }

// complete runs a completion and passes its events on.
func (d *Door) complete(ctx context.Context, w http.ResponseWriter, o dispatch) {
	var c engine.Completion
	if err := json.Unmarshal(o.body, &c); err != nil {
		d.refuse(w, o, outcome.Malformed)
		return
	}
	c.Stream = true
	c.RequestID = o.attempt
	c.ResumeFrom = o.resumeFrom
	c.Priority = o.priority
	body, err := json.Marshal(c)
	if err != nil {
		d.refuse(w, o, outcome.Malformed)
		return
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := d.client.Send(ctx, d.message(engine.CompletionsPath, header, body))
	if d.unreachable(w, o, err) {
		return
	}
	if err == nil {
		defer response.Body.Close()
		if notRun(response.StatusCode) {
			d.refuse(w, o, outcome.BackendRefused)
			return
		}
	}
	d.open(w, o, "text/event-stream")
	if err == nil {
		err = d.passEvents(w, o, response)
	}
	d.end(ctx, w, o, err)
}

// notRun reports an engine's statuses that say it did not run the request.
func notRun(status int) bool {
	return status >= 400 && status < 500 || status == http.StatusServiceUnavailable
}

// call runs a plain call and passes its answer on.
func (d *Door) call(ctx context.Context, w http.ResponseWriter, o dispatch) {
	header := http.Header{"Content-Type": {"application/json"}}
	header.Set(service.HeaderRequestID, o.requestID)
	header.Set(service.HeaderClass, o.class)
	message := d.message(service.CallsPath, header, o.body)
	message.Fresh = true
	response, err := d.client.Send(ctx, message)
	if d.unreachable(w, o, err) {
		return
	}
	if err != nil {
		d.open(w, o, "application/json")
		d.end(ctx, w, o, err)
		return
	}
	defer response.Body.Close()
	w.Header().Set(agent.HeaderStatus, fmt.Sprint(response.StatusCode))
	d.open(w, o, response.Header.Get("Content-Type"))
	_, err = io.Copy(w, response.Body)
	d.end(ctx, w, o, err)
}

func (d *Door) message(path string, header http.Header, body []byte) transmit.Message {
	return transmit.Message{Address: d.backend.Address, Path: path, Header: header, Body: body}
}

// unreachable refuses the dispatch if no byte went to the backend server.
func (d *Door) unreachable(w http.ResponseWriter, o dispatch, err error) bool {
	var unsent *transmit.Unsent
	if !errors.As(err, &unsent) {
		return false
	}
	if errors.Is(err, context.DeadlineExceeded) {
		d.refuse(w, o, outcome.DeadlinePassed)
		return true
	}
	d.refuse(w, o, outcome.BackendUnreachable)
	return true
}

func (d *Door) open(w http.ResponseWriter, o dispatch, contentType string) {
	d.describe(w, o)
	w.Header().Set("Trailer", agent.TrailerEnd)
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusOK)
}

// passEvents copies token events until the engine says that the answer is whole.
func (d *Door) passEvents(w http.ResponseWriter, o dispatch, response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		return &cut{outcome.BackendFailed, fmt.Errorf("engine answered status %d", response.StatusCode)}
	}
	flusher := http.NewResponseController(w)
	for e, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return err
		}
		if e.Data == engine.Done {
			_, err := io.WriteString(w, "data: "+engine.Done+"\n\n")
			return err
		}
		if err := checkToken(o, e.Data); err != nil {
			return err
		}
		if _, err := io.WriteString(w, "data: "+e.Data+"\n\n"); err != nil {
			return &cut{outcome.CallerGone, err}
		}
		if err := flusher.Flush(); err != nil {
			return &cut{outcome.CallerGone, err}
		}
	}
	return io.ErrUnexpectedEOF
}

func checkToken(o dispatch, data string) error {
	var t engine.Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return &cut{outcome.StreamCut, errs.Wrap(err, "token", "")}
	}
	if t.RequestID != o.attempt {
		return &cut{outcome.StreamCut, fmt.Errorf("token of request %q", t.RequestID)}
	}
	if t.Digest != o.digest {
		return &cut{outcome.ReplicaOther, fmt.Errorf("token of version %s, not %s", t.Digest, o.digest)}
	}
	return nil
}

// end sets the trailer that says how the answer ended.
func (d *Door) end(ctx context.Context, w http.ResponseWriter, o dispatch, err error) {
	if err == nil {
		w.Header().Set(agent.TrailerEnd, agent.EndWhole)
		return
	}
	reason := d.reason(ctx, err)
	counter.Add("DoorCut."+string(reason), 1)
	w.Header().Set(agent.TrailerEnd, string(reason))
	if reason == outcome.BackendDied {
		event.Fail(event.BackendDied, err, "Request", o.requestID, "Peer", d.backend.Address)
		return
	}
	d.cancel(o)
}

func (d *Door) reason(ctx context.Context, err error) outcome.Reason {
	var c *cut
	if errors.As(err, &c) {
		return c.reason
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.DeadlinePassed
	}
	if ctx.Err() != nil {
		return outcome.CallerGone
	}
	if transmit.Refuses(d.backend.Address) {
		return outcome.BackendDied
	}
	return outcome.StreamCut
}

// cancel asks the engine to stop, beside closing its connection.
func (d *Door) cancel(o dispatch) {
	select {
	case d.cancels <- o.attempt:
	default:
		counter.Add("CancelsDropped", 1)
	}
}

// Run sends cancels to the engine until ctx ends.
func (d *Door) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-d.cancels:
			d.sendCancel(ctx, id)
		}
	}
}

func (d *Door) sendCancel(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	body, err := json.Marshal(engine.Cancel{RequestID: id})
	if err != nil {
		return
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := d.client.Send(ctx, d.message(engine.CancelPath, header, body))
	if err != nil {
		counter.Add("CancelsFailed", 1)
		return
	}
	_ = response.Body.Close()
}
