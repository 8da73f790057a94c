package callerapi

import (
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/callermemory"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/pkg/limit"
)

const (
	defaultMaxBodyBytes = 1 << 20
	maxKeyBytes         = 256
	defaultAnswerTime   = 30 * time.Second
	shutdownRetryDelay  = 2 * time.Second
	bodyTimeout         = 10 * time.Second
	// discardTimeout bounds reading a body that does not fit into the memory for bodies.
	discardTimeout = time.Second
)

// Recorder is called with the record of each request of a known organisation. It
// must not block.
type Recorder func(outcome.Record)

// Outcomes looks up the outcome of an earlier request by its idempotency key.
type Outcomes interface {
	// Outcome returns false if the organisation has not used the key.
	Outcome(r *http.Request, organisation, key string) (outcome.Outcome, bool)
}

// Options of a Handler.
type Options struct {
	Settings   settings.Gateway
	Desired    *desired.State
	Dispatcher *dispatch.Dispatcher
	Record     Recorder // may be nil
	Outcomes   Outcomes // may be nil
}

// Handler is the HTTP handler for callers.
type Handler struct {
	options      Options
	mux          *http.ServeMux
	maxBodyBytes int64
	// organisations is keyed by the SHA-256 of the credential, so that the time of a
	// look-up reveals nothing about a credential.
	organisations map[[sha256.Size]byte]settings.Organisation

	memory *callermemory.Account // for the bodies of requests in progress

	mu       sync.Mutex
	draining bool
	running  int
	drained  chan struct{} // closed once draining is set and no request is in progress
}

// NewHandler returns a handler that accepts requests.
func NewHandler(o Options) *Handler {
	h := &Handler{options: o, mux: http.NewServeMux(), maxBodyBytes: o.Settings.MaxBodyBytes, memory: callermemory.New(o.Settings.BodyMemoryBytes()), drained: make(chan struct{})}
	h.organisations = map[[sha256.Size]byte]settings.Organisation{}
	for _, organisation := range o.Settings.Organisations {
		h.organisations[sha256.Sum256([]byte(organisation.Key))] = organisation
	}
	if h.maxBodyBytes == 0 {
		h.maxBodyBytes = defaultMaxBodyBytes
	}
	if o.Record == nil {
		h.options.Record = func(outcome.Record) {}
	}
	h.mux.HandleFunc("POST "+CompletionsPath, h.handleCompletion)
	h.mux.HandleFunc("POST "+CallsPath+"{class}", h.handleCall)
	h.mux.HandleFunc("GET "+OutcomePath+"{key}", h.handleOutcome)
	return h
}

// ServeHTTP handles a caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.begin() {
		h.discardBody(w, r)
		resp := &responder{handler: h, writer: w, id: uuid.NewString()}
		resp.refuse(outcome.Refused{Reason: outcome.ShuttingDown, RetryAt: limit.Jittered(time.Now(), shutdownRetryDelay)})
		return
	}
	defer h.finish()
	h.mux.ServeHTTP(w, r)
}

// discardBody reads the body of a request that is refused unread.
func (h *Handler) discardBody(w http.ResponseWriter, r *http.Request) {
	callerconn.DiscardBody(w, r, h.maxBodyBytes, time.Now().Add(bodyTimeout))
}

// begin counts a request as in progress, or returns false if the handler is
// draining.
func (h *Handler) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.running++
	return true
}

func (h *Handler) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	if h.draining && h.running == 0 {
		close(h.drained)
	}
}

// Drain makes the handler refuse new requests. The channel is closed once no request
// is in progress.
func (h *Handler) Drain() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.draining {
		h.draining = true
		if h.running == 0 {
			close(h.drained)
		}
	}
	return h.drained
}

// Memory returns the account of the memory for requests.
func (h *Handler) Memory() *callermemory.Account { return h.memory }

// Running returns the number of requests in progress.
func (h *Handler) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// authenticate returns the organisation whose credential the request carries.
func (h *Handler) authenticate(r *http.Request) (settings.Organisation, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return settings.Organisation{}, false
	}
	organisation, ok := h.organisations[sha256.Sum256([]byte(key))]
	return organisation, ok
}

// findClass returns the class with this name, or false if there is none of this
// kind.
func (h *Handler) findClass(name string, kind operator.Kind) (operator.Class, bool) {
	snapshot, _ := h.options.Desired.Current()
	c, ok := snapshot.Configuration.Class(name)
	return c, ok && c.Kind == kind
}

// responder writes the response to one request and records its outcome.
type responder struct {
	handler      *Handler
	writer       http.ResponseWriter
	id           string
	organisation string
	class        string
	repeat       bool // the outcome is that of an earlier request
	begun        bool // part of the response was written
}

// recoverPanic ends a request whose handler panicked. net/http would close the caller's
// connection without an answer.
func (resp *responder) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	counter.Add("HandlerPanics", 1)
	event.Fail(event.HandlerPanicked, errs.New("handle request", resp.organisation, "%v", cause), "Request", resp.id, "Class", resp.class, "Stack", string(debug.Stack()))
	if resp.begun {
		panic(http.ErrAbortHandler) // a response that ends early must not look whole
	}
	resp.writeOutcome(outcome.Unknown{Reason: outcome.InternalError})
}

// record counts and logs the request's outcome, and passes it to the Recorder.
func (resp *responder) record(o outcome.Outcome) outcome.Record {
	r := outcome.NewRecord(o)
	r.RequestID = resp.id
	r.Organisation = resp.organisation
	r.Class = resp.class
	r.At = time.Now().UTC()
	r.Repeat = resp.repeat
	counter.Add("Outcomes."+r.Outcome, 1)
	if r.Reason != "" {
		counter.Add(r.Outcome+"."+string(r.Reason), 1)
	}
	resp.log(r)
	if resp.organisation != "" {
		resp.handler.options.Record(r)
	}
	return r
}

func (resp *responder) log(r outcome.Record) {
	number := event.RequestRefused
	switch r.Outcome {
	case outcome.NameFailed:
		number = event.RequestFailed
	case outcome.NameUnknown:
		number = event.RequestUnknown
	case outcome.NameCancelled:
		number = event.RequestCancelled
	case outcome.NameAnswered:
		return
	}
	event.Log(number, "Request", r.RequestID, "Organisation", r.Organisation, "Class", r.Class, "Reason", string(r.Reason))
}

func encodeRecord(r outcome.Record) []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return text
}
