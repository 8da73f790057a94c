// Package service is the stand-in for a plain service, such as a ledger. It records
// every call that it runs in a journal, which tests read over HTTP.
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

// JournalPath is the path of the journal; GET returns Journal.
const JournalPath = "/v1/journal"

const maxBodyBytes = 4 << 20

// Options configures a service.
type Options struct {
	AnswerMilliseconds int    // time from running a call to its response
	CrashMarker        string // a body that contains it crashes the service; empty: none does
	Crash              func() // called once on a crash; no call is served afterwards
}

// Faults are the faults that the service injects.
type Faults struct {
	CloseAfterReading bool // calls are read but not run, and their connections closed
	AnswerLost        bool // calls run, and their connections are closed without a response
	DelayMilliseconds int  // delay before a call runs
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
	crashed context.Context // done after a crash
	crash   context.CancelFunc

	mu      sync.Mutex
	faults  Faults
	entries []Entry
}

// New returns a service with an empty journal.
func New(o Options) *Server {
	s := &Server{options: o, mux: http.NewServeMux()}
	s.crashed, s.crash = context.WithCancel(context.Background())
	s.mux.HandleFunc("POST "+service.CallsPath, s.call)
	s.mux.HandleFunc("GET "+JournalPath, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Journal())
	})
	standin.HandleFaults(s.mux, func() any { return s.Faults() }, s.decodeFaults)
	return s
}

// ResponseBody returns the body of the response to a call with the given body.
func ResponseBody(body []byte) []byte {
	return fmt.Appendf(nil, `{"Receipt":"%016x","Bytes":%d}`, xxhash.Sum64(body), len(body))
}

// ServeHTTP handles the requests that clients of internal/service send, and those that
// read the journal and set faults. After a crash it closes every connection.
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

// SetFaults replaces the faults.
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
		standin.WriteError(w, http.StatusBadRequest, "read request body: %v", err)
		return
	}
	faults := s.Faults()
	if faults.CloseAfterReading {
		standin.Abort()
	}
	standin.Sleep(r.Context(), faults.DelayMilliseconds)
	s.recordCall(r, body)
	s.crashOnMarker(body)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.crashed, cancel)()
	standin.Sleep(ctx, s.options.AnswerMilliseconds)
	if faults.AnswerLost || s.crashed.Err() != nil {
		standin.Abort()
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(ResponseBody(body))
}

// crashOnMarker crashes the service if the body contains the crash marker.
func (s *Server) crashOnMarker(body []byte) {
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

// recordCall adds the call to the journal even if its sender has disconnected: a plain
// service does not abort a call that it has read.
func (s *Server) recordCall(r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, Entry{
		RequestID: r.Header.Get(service.HeaderRequestID),
		Class:     r.Header.Get(service.HeaderClass),
		Body:      string(body),
	})
}
