// Package instances is a stand-in for the platform's list of live and leaving
// instances, which shows changes late.
package instances

import (
	"io"
	"net/http"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/standin"
)

const maxBodyBytes = 4 << 20

// Options of the list.
type Options struct {
	LagMilliseconds int // until a replaced list is shown
}

// Faults are the list's fault switches.
type Faults struct {
	LagMilliseconds int  // in place of the option when more than 0
	Down            bool // connections are closed
	Frozen          bool // the list stays as it was shown when this was set
}

// version is a list and when it was set.
type version struct {
	at   time.Time
	list instances.List
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options Options
	mux     *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	frozen   instances.List
	versions []version // oldest first
}

// New returns an empty list.
func New(o Options) *Server {
	s := &Server{options: o, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+instances.ListPath, s.list)
	s.mux.HandleFunc("PUT "+instances.ListPath, s.replace)
	standin.HandleFaults(s.mux, func() any { return s.Faults() }, s.decodeFaults)
	return s
}

// ServeHTTP answers the calls of internal/instances.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

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
	if f.Frozen && !s.faults.Frozen {
		s.frozen = s.lagging(time.Now())
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

// Replace sets the list; it is shown after the lag.
func (s *Server) Replace(l instances.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version{at: time.Now(), list: l})
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	var l instances.List
	if !standin.Decode(w, r, maxBodyBytes, &l) {
		return
	}
	s.Replace(l)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	if s.Faults().Down {
		standin.Abort()
	}
	standin.Answer(w, http.StatusOK, s.shown())
}

func (s *Server) shown() instances.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Frozen {
		return s.frozen
	}
	return s.lagging(time.Now())
}

// lagging returns the newest list that is at least as old as the lag, and drops
// those that are older.
func (s *Server) lagging(now time.Time) instances.List {
	lag := s.options.LagMilliseconds
	if s.faults.LagMilliseconds > 0 {
		lag = s.faults.LagMilliseconds
	}
	shown := now.Add(-time.Duration(lag) * time.Millisecond)
	for len(s.versions) > 1 && !s.versions[1].at.After(shown) {
		s.versions = s.versions[1:]
	}
	if len(s.versions) == 0 || s.versions[0].at.After(shown) {
		return instances.List{Instances: []instances.Instance{}}
	}
	return s.versions[0].list
}
