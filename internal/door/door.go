// Package door is the only way to the backend server beside an agent.
//
// A dispatch that the door refuses was not run. One that it lets through ends
// with the trailer Almondreel-End, which says whether the answer was passed on
// whole.
package door

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/transmit"
)

const (
	maxBodyBytes = 16 << 20
	defaultSlots = 64
	bodyTimeout  = 10 * time.Second // in which a gateway sends a dispatch's body
	writeGrace   = time.Second      // after the deadline, for the end of the answer
	spareDivisor = 4                // of the slots that may wait inside the backend server
	drainPoll    = 10 * time.Millisecond
)

// Door serves agent.DispatchPath.
type Door struct {
	backend settings.Backend
	board   *serving.Board
	client  *transmit.Client
	cancels chan string // bounded; a full one drops the cancel, the closed connection remains

	mu       sync.Mutex
	suspects int
}

const maxCancels = 256

// New returns the door of the agent's backend server.
func New(s settings.Agent, b *serving.Board) *Door {
	return &Door{
		backend: s.Backend,
		board:   b,
		client:  transmit.NewClient(),
		cancels: make(chan string, maxCancels),
	}
}

// dispatch is a parsed request of a gateway.
type dispatch struct {
	requestID  string
	attempt    string
	class      string
	digest     manifest.Digest
	deadline   time.Time
	suspect    bool
	resumeFrom int
	priority   int
	body       []byte
}

// ServeHTTP takes one dispatch. A gateway whose link stalls holds a slot until
// the request's deadline, not longer.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	_ = controller.SetWriteDeadline(time.Now().Add(bodyTimeout + writeGrace))
	o, err := parse(w, r)
	if err != nil { // the read deadline stays, for what is left of the body
		d.refuse(w, o, outcome.Malformed)
		return
	}
	_ = controller.SetReadDeadline(time.Time{})
	if reason := d.enter(o); reason != "" {
		d.refuse(w, o, reason)
		return
	}
	defer d.leave(o)
	_ = controller.SetWriteDeadline(o.deadline.Add(writeGrace))
	ctx, cancel := context.WithDeadline(r.Context(), o.deadline)
	defer cancel()
	if d.backend.Kind == settings.KindEngine {
		d.complete(ctx, w, o)
		return
	}
	d.call(ctx, w, o)
}

// parse reads headers and body; the body is read before a slot is taken.
func parse(w http.ResponseWriter, r *http.Request) (dispatch, error) {
	h := r.Header
	o := dispatch{
		requestID: h.Get(agent.HeaderRequestID),
		attempt:   h.Get(agent.HeaderAttempt),
		class:     h.Get(agent.HeaderClass),
		digest:    manifest.Digest(h.Get(agent.HeaderDigest)),
		suspect:   h.Get(agent.HeaderSuspect) == "1",
	}
	if r.Method != http.MethodPost || o.attempt == "" {
		return o, errors.New("dispatch is not a POST with an attempt")
	}
	milliseconds, err := strconv.ParseInt(h.Get(agent.HeaderDeadline), 10, 64)
	if err != nil {
		return o, err
	}
	o.deadline = time.UnixMilli(milliseconds)
	if o.resumeFrom, err = number(h.Get(agent.HeaderResumeFrom)); err != nil {
		return o, err
	}
	if o.priority, err = number(h.Get(agent.HeaderPriority)); err != nil {
		return o, err
	}
	o.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	return o, err
}

func number(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// enter takes a slot, or returns why the dispatch is refused.
func (d *Door) enter(o dispatch) outcome.Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	var reason outcome.Reason
	d.board.Update(func(s *serving.Status) {
		reason = d.check(o, *s)
		if reason == "" {
			s.Running++
		}
	})
	if reason == "" && o.suspect {
		d.suspects++
	}
	return reason
}

func (d *Door) check(o dispatch, s serving.Status) outcome.Reason {
	switch {
	case s.Leaving:
		return outcome.ReplicaLeaving
	case !s.Open:
		return outcome.NoReplica
	case s.Digest != o.digest:
		return outcome.ReplicaOther
	case s.Running >= capacity(s):
		return outcome.ReplicaBusy
	case o.suspect && d.suspects > 0:
		return outcome.ReplicaBusy
	case !time.Now().Before(o.deadline):
		return outcome.DeadlinePassed
	}
	return ""
}

// capacity lets a few more in than the backend server runs at once, so that it
// never waits for the next request.
func capacity(s serving.Status) int {
	return slots(s) + max(1, slots(s)/spareDivisor)
}

func slots(s serving.Status) int {
	if s.Slots <= 0 {
		return defaultSlots
	}
	return s.Slots
}

func (d *Door) leave(o dispatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.board.Update(func(s *serving.Status) { s.Running-- })
	if o.suspect {
		d.suspects--
	}
}

func (d *Door) refuse(w http.ResponseWriter, o dispatch, reason outcome.Reason) {
	counter.Add("DoorRefused."+string(reason), 1)
	d.describe(w, o)
	w.Header().Set(agent.HeaderRefused, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// describe sets the headers that every answer carries.
func (d *Door) describe(w http.ResponseWriter, o dispatch) {
	s := d.board.Status()
	h := w.Header()
	h.Set(agent.HeaderAttempt, o.attempt)
	h.Set(agent.HeaderDigest, string(s.Digest))
	h.Set(agent.HeaderRunning, strconv.Itoa(s.Running))
	h.Set(agent.HeaderSlots, strconv.Itoa(slots(s)))
}

// Drain refuses new dispatches and waits until none is in progress or ctx ends.
func (d *Door) Drain(ctx context.Context) {
	d.board.Update(func(s *serving.Status) { s.Leaving = true })
	event.Log(event.DrainStarted, "Running", d.board.Status().Running)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for d.board.Status().Running > 0 {
		select {
		case <-ctx.Done():
			event.Fail(event.DrainEnded, ctx.Err(), "Running", d.board.Status().Running)
			return
		case <-ticker.C:
		}
	}
	event.Log(event.DrainEnded)
}
