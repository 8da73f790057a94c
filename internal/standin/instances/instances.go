// Package instances is the stand-in for the platform's list of live and leaving
// instances. A replaced list becomes visible only after a configurable delay.
package instances

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/standin"
)

const maxBodyBytes = 4 << 20

// Options configures the list.
type Options struct {
	LagMilliseconds int // delay until a replaced list becomes visible
}

// Faults are the faults that the server injects.
type Faults struct {
	LagMilliseconds int  // replaces Options.LagMilliseconds if greater than 0
	Down            bool // connections are closed without a response
	Frozen          bool // the list stays as it was visible when this was set
}

// timedList is an encoded list and the time at which it was set.
type timedList struct {
	setAt time.Time
	list  json.RawMessage
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options Options
	mux     *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	frozen  json.RawMessage
	history []timedList // oldest first
}

// New returns a server with an empty list.
func New(o Options) *Server {
	s := &Server{options: o, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+instances.ListPath, s.list)
	s.mux.HandleFunc("PUT "+instances.ListPath, s.replace)
	standin.HandleFaults(s.mux, func() any { return s.Faults() }, s.decodeFaults)
	return s
}

// ServeHTTP handles the requests that clients of internal/instances send, and those
// that replace the list and set faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

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
	if f.Frozen && !s.faults.Frozen {
		s.frozen = s.laggedList(time.Now())
	}
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

// Replace sets the list, which becomes visible after the delay.
func (s *Server) Replace(l instances.List) {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // a list holds only strings
	}
	s.replaceText(text)
}

// replaceText sets the list to any JSON value, since other writers may list odd entries.
func (s *Server) replaceText(l json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, timedList{setAt: time.Now(), list: l})
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	var l json.RawMessage
	if !standin.Decode(w, r, maxBodyBytes, &l) {
		return
	}
	s.replaceText(l)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	if s.Faults().Down {
		standin.Abort()
	}
	standin.WriteJSON(w, http.StatusOK, s.currentList())
}

func (s *Server) currentList() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Frozen {
		return s.frozen
	}
	return s.laggedList(time.Now())
}

// laggedList returns the newest list that was set at least the delay ago, and drops
// older ones.
func (s *Server) laggedList(now time.Time) json.RawMessage {
	lag := s.options.LagMilliseconds
	if s.faults.LagMilliseconds > 0 {
		lag = s.faults.LagMilliseconds
	}
	cutoff := now.Add(-time.Duration(lag) * time.Millisecond)
	for len(s.history) > 1 && !s.history[1].setAt.After(cutoff) {
		s.history = s.history[1:]
	}
	if len(s.history) == 0 || s.history[0].setAt.After(cutoff) {
		return json.RawMessage(`{"Instances":[]}`)
	}
	return s.history[0].list
}
