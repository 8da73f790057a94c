//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// server plays a backend server of a plain service. It records what it runs.
type server struct {
	id, service, address string
	born                 int64
	sequence             int
	record               *record

	mu      sync.Mutex
	runs    []run
	leaving bool
}

// run is a request that a server ran.
type run struct {
	attempt, tenant, path, server, service string
	at                                     time.Time
}

// workTime is how long a server works on a request.
const workTime = 20 * time.Millisecond

// entry is what the server writes to the store about itself.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": dataCentre, "version": "1", "slots": 6,
		"state": state, "cold_remaining_ms": 0, "sequence": 0, "born": s.born,
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	ran := run{attempt, r.Header.Get("X-Tenant"), r.URL.Path, s.id, s.service, time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, ran)
	s.mu.Unlock()
	s.record.add(ran.at, "run", "%s tenant %s path %s server %s service %s", attempt, ran.tenant, ran.path, s.id, s.service)
	time.Sleep(workTime)
	w.Header().Set("X-Response-Signature", "sig."+s.id+"."+attempt)
	_, _ = fmt.Fprintf(w, "done %s by %s\n", attempt, s.id) // the caller may have gone
}

func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
