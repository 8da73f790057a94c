// Package engine is a stand-in for a model engine: it batches completions in
// slots, streams tokens that follow from version and prompt, loads versions on
// orders, and has fault switches.
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
	"almondreel.example/almondreel/internal/standin/batch"
)

const (
	maxBodyBytes = 4 << 20
	defaultSlots = 8
)

// Options of an engine.
type Options struct {
	FirstTokenMilliseconds    int // with nothing of the prompt in the cache
	BetweenTokensMilliseconds int
	Slots                     int // requests batched at most; 0 means 8
	LoadLagMilliseconds       int // age of the load report
	LoadMilliseconds          int // between checked weights and serving them
	ChecksOrders              bool
	CrashMarker               string          // a prompt with it ends the engine; empty: none does
	Crash                     func()          // called once by a crash, after which nothing is answered
	Digest                    manifest.Digest // served from the start; empty: none
}

// Faults are the engine's fault switches.
type Faults struct {
	StallMilliseconds      int  // pause after an answer's first token
	CutAfterTokens         int  // connections are closed after so many tokens; 0: none
	LoseOrderAnswers       bool // orders take effect, their connections are closed
	DelayOrderMilliseconds int  // before an order is looked at, also when its sender is gone
	CloseAfterReading      bool // completions are read, not run, and their connections closed
	WrongDigest            bool // tokens state a version other than the loaded one
	FailLoads              bool // load orders are answered 500
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options Options
	mux     *http.ServeMux
	batch   *batch.Batch
	prefix  *prefixCache
	crashed context.Context // ends with the crash
	crash   context.CancelFunc
	started string

	mu       sync.Mutex
	faults   Faults
	digest   manifest.Digest
	fencing  uint64
	swapping bool // requests are refused until the load is over
	load     *load
	cancels  map[string]context.CancelFunc // by request ID
}

// New returns an engine.
func New(o Options) *Server {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	s := &Server{
		options: o,
		mux:     http.NewServeMux(),
		batch:   batch.New(o.Slots, o.LoadLagMilliseconds),
		prefix:  newPrefixCache(),
		started: uuid.NewString(),
		digest:  o.Digest,
		cancels: map[string]context.CancelFunc{},
	}
	s.crashed, s.crash = context.WithCancel(context.Background())
	s.mux.HandleFunc("POST "+engine.CompletionsPath, s.complete)
	s.mux.HandleFunc("POST "+engine.CancelPath, s.cancel)
	s.mux.HandleFunc("POST "+engine.LoadModelPath, s.loadModel)
	s.mux.HandleFunc("GET "+engine.StatePath, func(w http.ResponseWriter, _ *http.Request) {
		standin.Answer(w, http.StatusOK, s.State())
	})
	s.mux.HandleFunc("GET "+engine.LoadPath, func(w http.ResponseWriter, _ *http.Request) {
		standin.Answer(w, http.StatusOK, s.batch.Report())
	})
	standin.HandleFaults(s.mux, func() any { return s.Faults() }, s.decodeFaults)
	return s
}

// ServeHTTP answers the calls of internal/engine.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.crashed.Err() != nil {
		standin.Abort()
	}
	s.mux.ServeHTTP(w, r)
}

// Faults returns the fault switches.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the fault switches.
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

// State returns what the engine serves and does.
func (s *Server) State() engine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state()
}

func (s *Server) state() engine.State {
	state := engine.State{Digest: s.digest, FencingNumber: s.fencing, Started: s.started}
	if s.load != nil {
		state.Loading = s.load.order.Digest
	}
	return state
}

// crashIf ends the engine when the prompt holds the crash marker.
func (s *Server) crashIf(prompt string) {
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
