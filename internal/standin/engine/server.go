// Package engine is the stand-in for a model engine. It runs completions in a fixed
// number of slots, streams tokens determined by version and prompt, loads versions on
// order and injects faults.
package engine

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/standin"
	"almondreel.example/almondreel/internal/standin/slotqueue"
)

const (
	maxBodyBytes = 4 << 20
	defaultSlots = 8
)

// Options configures an engine.
type Options struct {
	FirstTokenMilliseconds    int // time to the first token with no part of the prompt cached
	BetweenTokensMilliseconds int
	Slots                     int             // maximum of concurrent requests; 0 means 8
	LoadLagMilliseconds       int             // age of the load report
	LoadMilliseconds          int             // time between verifying weights and serving them
	ChecksOrders              bool            // refuse load orders with a lower fencing number
	CrashMarker               string          // a prompt that contains it crashes the engine; empty: none does
	Crash                     func()          // called once on a crash; no request is served afterwards
	Digest                    manifest.Digest // version served from the start; empty: none
}

// Faults are the faults that the engine injects.
type Faults struct {
	StallMilliseconds      int  // pause after the first token of a completion
	CutAfterTokens         int  // connections are closed after this many tokens; 0: off
	LoseOrderAnswers       bool // load orders take effect but their connections are closed without a response
	DelayOrderMilliseconds int  // delay before an order is handled, even if its sender has disconnected
	CloseAfterReading      bool // completions are read but not run, and their connections closed
	WrongDigest            bool // tokens carry a digest other than that of the loaded version
	FailLoads              bool // load orders are refused with status 500
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options  Options
	mux      *http.ServeMux
	queue    *slotqueue.Queue
	prefixes *prefixCache
	crashed  context.Context // done after a crash
	crash    context.CancelFunc
	started  string

	mu            sync.Mutex
	faults        Faults
	digest        manifest.Digest
	fencingNumber uint64
	swapping      bool // a load is switching versions; new requests are refused
	load          *modelLoad
	cancels       map[string]context.CancelFunc // by request ID
}

// New returns an engine that serves o.Digest.
func New(o Options) *Server {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	s := &Server{
		options:  o,
		mux:      http.NewServeMux(),
		queue:    slotqueue.New(o.Slots, o.LoadLagMilliseconds),
		prefixes: newPrefixCache(),
		started:  uuid.NewString(),
		digest:   o.Digest,
		cancels:  map[string]context.CancelFunc{},
	}
	s.crashed, s.crash = context.WithCancel(context.Background())
	s.mux.HandleFunc("POST "+engine.CompletionsPath, s.complete)
	s.mux.HandleFunc("POST "+engine.CancelPath, s.cancel)
	s.mux.HandleFunc("POST "+engine.LoadModelPath, s.loadModel)
	s.mux.HandleFunc("GET "+engine.StatePath, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.State())
	})
	s.mux.HandleFunc("GET "+engine.LoadPath, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.queue.Report())
	})
	standin.HandleFaults(s.mux, func() any { return s.Faults() }, s.decodeFaults)
	return s
}

// ServeHTTP handles the requests that clients of internal/engine send. After a crash
// it closes every connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.crashed.Err() != nil {
		standin.Abort()
	}
	s.mux.ServeHTTP(w, r)
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults. Completions in progress keep theirs.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) decodeFaults(body io.Reader) error {
	var f Faults
	if err := standin.DecodeStrict(body, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return nil
}

// State returns the served version, the version being loaded, the last fencing number
// and the identifier of this run.
func (s *Server) State() engine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state()
}

func (s *Server) state() engine.State {
	state := engine.State{Digest: s.digest, FencingNumber: s.fencingNumber, Started: s.started}
	if s.load != nil {
		state.Loading = s.load.order.Digest
	}
	return state
}

// crashOnMarker crashes the engine if the prompt contains the crash marker.
func (s *Server) crashOnMarker(prompt string) {
	marker := s.options.CrashMarker
	if marker == "" || !strings.Contains(prompt, marker) {
		return
	}
	s.mu.Lock()
	first := s.crashed.Err() == nil
	s.crash()
	s.mu.Unlock()
	if first && s.options.Crash != nil {
		s.options.Crash()
	}
	standin.Abort()
}
