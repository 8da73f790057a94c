// Package service is a stand-in for a plain service, such as a ledger. It keeps
// a journal of every call that it ran.
package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/service"
	"almondreel.example/almondreel/internal/standin"
)

// JournalPath answers Journal.
const JournalPath = "/v1/journal"

const maxBodyBytes = 4 << 20

// Options of a service.
type Options struct {
	AnswerMilliseconds int    // a call's time
	CrashMarker        string // a body with it ends the service; empty: none does
	Crash              func() // called once by a crash, after which nothing is answered
}

// Faults are the service's fault switches.
type Faults struct {
	CloseAfterReading bool // calls are read, not run, and their connections closed
	AnswerLost        bool // calls run and their connections are closed
	DelayMilliseconds int  // before a call runs
}

// Entry is a call that ran.
type Entry struct {
	RequestID string
	Class     string
	Body      string
}

// Journal lists the calls that ran, oldest first.
type Journal struct {
	Entries []Entry
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options Options
	mux     *http.ServeMux
	crashed context.Context // ends with the crash
	crash   context.CancelFunc

	mu      sync.Mutex
	faults  Faults
	entries []Entry
}

// New returns a service that has run nothing.
func New(o Options) *Server {
	s := &Server{options: o, mux: http.NewServeMux()}
	s.crashed, s.crash = context.WithCancel(context.Background())
	s.mux.HandleFunc("POST "+service.CallsPath, s.call)
	s.mux.HandleFunc("GET "+JournalPath, func(w http.ResponseWriter, _ *http.Request) {
		standin.Answer(w, http.StatusOK, s.Journal())
	})
	standin.HandleFaults(s.mux, func() any { return s.Faults() }, s.decodeFaults)
	return s
}

// Answer returns the service's answer to a body.
func Answer(body []byte) []byte {
	return fmt.Appendf(nil, `{"Receipt":"%016x","Bytes":%d}`, xxhash.Sum64(body), len(body))
}

// ServeHTTP answers the calls of internal/service.
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

// Journal returns the calls that ran so far.
func (s *Server) Journal() Journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Journal{Entries: append([]Entry{}, s.entries...)}
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		standin.Refuse(w, http.StatusBadRequest, "read body: %v", err)
		return
	}
	faults := s.Faults()
	if faults.CloseAfterReading {
		standin.Abort()
	}
	standin.Sleep(r.Context(), faults.DelayMilliseconds)
	s.run(r, body)
	s.crashIf(body)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.crashed, cancel)()
	standin.Sleep(ctx, s.options.AnswerMilliseconds)
	if faults.AnswerLost || s.crashed.Err() != nil {
		standin.Abort()
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(Answer(body))
}

// crashIf ends the service when the body holds the crash marker.
func (s *Server) crashIf(body []byte) {
	marker := s.options.CrashMarker
	if marker == "" || !bytes.Contains(body, []byte(marker)) {
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

// run enters the call in the journal, also when its sender is gone: a plain
// service does not stop a call that it has read.
func (s *Server) run(r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, Entry{
		RequestID: r.Header.Get(service.HeaderRequestID),
		Class:     r.Header.Get(service.HeaderClass),
		Body:      string(body),
	})
}
