// Package backendproxy admits the dispatches that gateways send to an agent and
// forwards them to the agent's backend server. No request reaches the backend
// server any other way.
//
// A refused dispatch was certainly not run. The answer to an admitted one ends
// with the trailer Almondreel-End, which says whether the answer is complete.
package backendproxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/callermemory"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
)

const (
	maxBodyBytes      = 16 << 20
	defaultSlots      = 64               // of a backend server that reports none
	bodyTimeout       = 10 * time.Second // for reading a dispatch's body
	writeGrace        = time.Second      // after the deadline, for writing the end of the answer
	extraSlotsDivisor = 4                // slots / extraSlotsDivisor more requests are admitted
	drainPollInterval = 10 * time.Millisecond
)

// Proxy is the HTTP handler of agent.DispatchPath.
type Proxy struct {
	backend settings.Backend
	tracker *serving.Tracker
	client  *atmostonce.Client
	engine  *engine.Client // reads the state of an engine
	// cancels holds the attempts to cancel in the backend server. If it is full a
	// cancel is dropped; the attempt's connection is closed in any case.
	cancels chan string
	memory  *callermemory.Account // for the bodies of dispatches

	mu              sync.Mutex
	runningSuspects int
}

const maxCancels = 256

// New returns a proxy for the agent's backend server. It admits dispatches by the
// tracker's status and counts those in progress there.
func New(s settings.Agent, tracker *serving.Tracker) *Proxy {
	return &Proxy{
		backend: s.Backend,
		tracker: tracker,
		client:  atmostonce.NewClient(),
		memory:  callermemory.New(s.BodyMemoryBytes()),
		engine:  engine.NewClient(s.Backend.Address),
		cancels: make(chan string, maxCancels),
	}
}

// dispatchRequest is a parsed dispatch.
type dispatchRequest struct {
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

// ServeHTTP handles one dispatch. If the gateway's connection stalls, the slot is
// held until writeGrace after the request's deadline at the latest.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	now := time.Now()
	_ = controller.SetReadDeadline(now.Add(bodyTimeout))
	_ = controller.SetWriteDeadline(now.Add(bodyTimeout + writeGrace))
	memory := p.memory.Open(callermemory.Body, now, func() { _ = controller.SetReadDeadline(time.Now()) })
	defer memory.Release()
	req, err := parse(w, r, memory)
	if !memory.Received() || errors.Is(err, callermemory.ErrExhausted) {
		_ = controller.SetReadDeadline(time.Now()) // net/http would read the rest of the body
		p.refuse(w, req, outcome.ReplicaBusy)
		return
	}
	if err != nil { // the read deadline stays set for the unread rest of the body
		p.refuse(w, req, outcome.Malformed)
		return
	}
	_ = controller.SetReadDeadline(time.Time{})
	if reason := p.admit(req); reason != "" {
		p.refuse(w, req, reason)
		return
	}
	defer p.release(req)
	_ = controller.SetWriteDeadline(req.deadline.Add(writeGrace))
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	if p.backend.Kind == settings.KindEngine {
		p.serveCompletion(ctx, w, req)
		return
	}
	p.serveCall(ctx, w, req)
}

// parse reads the headers and the whole body, so that no slot is held while a
// body arrives.
func parse(w http.ResponseWriter, r *http.Request, memory *callermemory.Holder) (dispatchRequest, error) {
	h := r.Header
	req := dispatchRequest{
		requestID: h.Get(agent.HeaderRequestID),
		attempt:   h.Get(agent.HeaderAttempt),
		class:     h.Get(agent.HeaderClass),
		digest:    manifest.Digest(h.Get(agent.HeaderDigest)),
		suspect:   h.Get(agent.HeaderSuspect) == "1",
	}
	if r.Method != http.MethodPost || req.attempt == "" {
		return req, errors.New("dispatch must be a POST with an attempt header")
	}
	milliseconds, err := strconv.ParseInt(h.Get(agent.HeaderDeadline), 10, 64)
	if err != nil {
		return req, err
	}
	req.deadline = time.UnixMilli(milliseconds)
	if req.resumeFrom, err = parseOptionalInt(h.Get(agent.HeaderResumeFrom)); err != nil {
		return req, err
	}
	if req.priority, err = parseOptionalInt(h.Get(agent.HeaderPriority)); err != nil {
		return req, err
	}
	req.body, err = memory.ReadAll(r.Context(), http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength, maxBodyBytes, time.Time{})
	return req, err
}

// parseOptionalInt returns 0 for an empty text.
func parseOptionalInt(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// admit takes a slot and returns "", or returns why the dispatch is refused.
func (p *Proxy) admit(req dispatchRequest) outcome.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reason outcome.Reason
	p.tracker.Update(func(s *serving.Status) {
		reason = p.checkAdmission(req, *s)
		if reason == "" {
			s.Running++
		}
	})
	if reason == "" && req.suspect {
		p.runningSuspects++
	}
	return reason
}

// checkAdmission returns why the dispatch must be refused, or "". At most one
// suspect runs at a time. The caller holds p.mu.
func (p *Proxy) checkAdmission(req dispatchRequest, s serving.Status) outcome.Reason {
	switch {
	case s.Leaving:
		return outcome.ReplicaLeaving
	case !s.Open:
		return outcome.NoReplicaServing
	case s.Digest != req.digest:
		return outcome.ReplicaServesOtherVersion
	case s.Running >= capacity(s):
		return outcome.ReplicaBusy
	case req.suspect && p.runningSuspects > 0:
		return outcome.ReplicaBusy
	case !time.Now().Before(req.deadline):
		return outcome.DeadlinePassed
	}
	return ""
}

// capacity returns how many dispatches are admitted at once: a quarter more than
// the backend server runs, at least one more, so that it always has a next
// request queued.
func capacity(s serving.Status) int {
	return slots(s) + max(1, slots(s)/extraSlotsDivisor)
}

func slots(s serving.Status) int {
	if s.Slots <= 0 {
		return defaultSlots
	}
	return s.Slots
}

// release frees the slot that admit took.
func (p *Proxy) release(req dispatchRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Update(func(s *serving.Status) { s.Running-- })
	if req.suspect {
		p.runningSuspects--
	}
}

// refuse answers that the dispatch was not run, for the given reason.
func (p *Proxy) refuse(w http.ResponseWriter, req dispatchRequest, reason outcome.Reason) {
	counter.Add("DoorRefused."+string(reason), 1)
	p.setCommonHeaders(w, req)
	w.Header().Set(agent.HeaderRefused, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setCommonHeaders sets the headers of every answer, among them the agent's load.
func (p *Proxy) setCommonHeaders(w http.ResponseWriter, req dispatchRequest) {
	s := p.tracker.Status()
	h := w.Header()
	h.Set(agent.HeaderAttempt, req.attempt)
	h.Set(agent.HeaderDigest, string(s.Digest))
	h.Set(agent.HeaderRunning, strconv.Itoa(s.Running))
	h.Set(agent.HeaderSlots, strconv.Itoa(slots(s)))
}

// Drain marks the agent as leaving, so that new dispatches are refused, and waits
// until none is in progress or ctx ends.
func (p *Proxy) Drain(ctx context.Context) {
	p.tracker.Update(func(s *serving.Status) { s.Leaving = true })
	event.Log(event.DrainStarted, "Running", p.tracker.Status().Running)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for p.tracker.Status().Running > 0 {
		select {
		case <-ctx.Done():
			event.Fail(event.DrainEnded, ctx.Err(), "Running", p.tracker.Status().Running)
			return
		case <-ticker.C:
		}
	}
	event.Log(event.DrainEnded)
}
