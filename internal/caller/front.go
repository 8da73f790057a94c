package caller

import (
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/pkg/limit"
)

const (
	defaultMaxBody   = 1 << 20
	maxKeyBytes      = 256
	maxBodiesAtOnce  = 64 << 20 // bytes of bodies that are being read or answered
	defaultAnswer    = 30 * time.Second
	shuttingDownWait = 2 * time.Second
	bodyTimeout      = 10 * time.Second
)

// Recorder takes each request's record; it must not block.
type Recorder func(outcome.Record)

// Outcomes looks up the outcome of an earlier request by its key.
type Outcomes interface {
	// Outcome reports false when the organisation has no such key.
	Outcome(r *http.Request, organisation, key string) (outcome.Outcome, bool)
}

// Options of a Front.
type Options struct {
	Settings   settings.Gateway
	Desired    *desired.State
	Dispatcher *dispatch.Dispatcher
	Record     Recorder // may be nil
	Outcomes   Outcomes // may be nil
}

// Front is the HTTP handler for callers.
type Front struct {
	options Options
	mux     *http.ServeMux
	maxBody int64
	// organisations by the SHA-256 of their credential, so that the time of a
	// look-up tells nothing of a credential.
	organisations map[[sha256.Size]byte]settings.Organisation

	mu      sync.Mutex
	closed  bool
	running int
	bytes   int64
	idle    chan struct{} // closed when closed and nothing runs
}

// NewFront returns a front that takes requests.
func NewFront(o Options) *Front {
	f := &Front{options: o, mux: http.NewServeMux(), maxBody: o.Settings.MaxBodyBytes, idle: make(chan struct{})}
	f.organisations = map[[sha256.Size]byte]settings.Organisation{}
	for _, a := range o.Settings.Organisations {
		f.organisations[sha256.Sum256([]byte(a.Key))] = a
	}
	if f.maxBody == 0 {
		f.maxBody = defaultMaxBody
	}
	if o.Record == nil {
		f.options.Record = func(outcome.Record) {}
	}
	f.mux.HandleFunc("POST "+CompletionsPath, f.complete)
	f.mux.HandleFunc("POST "+CallsPath+"{class}", f.call)
	f.mux.HandleFunc("GET "+OutcomePath+"{key}", f.outcome)
	return f
}

// ServeHTTP takes a caller's request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.enter() {
		v := &visit{front: f, writer: w, id: uuid.NewString()}
		v.refuse(outcome.Refused{Reason: outcome.ShuttingDown, RetryAt: limit.Jittered(time.Now(), shuttingDownWait)})
		return
	}
	defer f.leave()
	f.mux.ServeHTTP(w, r)
}

func (f *Front) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.running++
	return true
}

func (f *Front) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	if f.closed && f.running == 0 {
		close(f.idle)
	}
}

// Close refuses new requests. The channel closes when none is in progress.
func (f *Front) Close() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.closed = true
		if f.running == 0 {
			close(f.idle)
		}
	}
	return f.idle
}

// Running returns the number of requests in progress.
func (f *Front) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running
}

// reserve takes bytes from the memory that bodies may use at once.
func (f *Front) reserve(bytes int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bytes+bytes > maxBodiesAtOnce {
		return false
	}
	f.bytes += bytes
	return true
}

func (f *Front) release(bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes -= bytes
}

// organisation returns whose credential the request carries.
func (f *Front) organisation(r *http.Request) (settings.Organisation, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return settings.Organisation{}, false
	}
	found, ok := f.organisations[sha256.Sum256([]byte(key))]
	return found, ok
}

// class returns the class called name.
func (f *Front) class(name string, kind operator.Kind) (operator.Class, bool) {
	snapshot, _ := f.options.Desired.Current()
	c, ok := snapshot.Configuration.Class(name)
	return c, ok && c.Kind == kind
}

// visit is one caller's request being answered.
type visit struct {
	front        *Front
	writer       http.ResponseWriter
	id           string
	organisation string
	class        string
	repeat       bool // the outcome is that of an earlier request
}

// record counts and keeps the request's outcome.
func (v *visit) record(o outcome.Outcome) outcome.Record {
	r := outcome.NewRecord(o)
	r.RequestID = v.id
	r.Organisation = v.organisation
	r.Class = v.class
	r.At = time.Now().UTC()
	r.Repeat = v.repeat
	counter.Add("Outcomes."+r.Outcome, 1)
	if r.Reason != "" {
		counter.Add(r.Outcome+"."+string(r.Reason), 1)
	}
	v.log(r)
	if v.organisation != "" {
		v.front.options.Record(r)
	}
	return r
}

func (v *visit) log(r outcome.Record) {
	number := event.RequestRefused
	switch r.Outcome {
	case outcome.NameFailed:
		number = event.RequestFailed
	case outcome.NameUnknown:
		number = event.RequestUnknown
	case outcome.NameAnswered, outcome.NameCancelled:
		return
	}
	event.Log(number, "Request", r.RequestID, "Organisation", r.Organisation, "Class", r.Class, "Reason", string(r.Reason))
}

func encode(r outcome.Record) []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return text
}
