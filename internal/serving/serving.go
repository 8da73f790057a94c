// Package serving holds the current status of an agent's backend server: the version
// it serves and fetches, whether it may receive requests, and its load. The agent's
// components update and read it, and it is served over HTTP.
package serving

import (
	"encoding/json"
	"net/http"
	"sync"

	"almondreel.example/almondreel/internal/manifest"
)

// Status is the status of an agent and its backend server.
type Status struct {
	Open    bool            // the agent accepts requests for the backend server
	Digest  manifest.Digest // version that the engine reports; empty for a plain service
	Want    manifest.Digest // version being fetched; empty: none
	Have    int             // verified chunks of Want
	Chunks  int             // chunks of Want
	Leaving bool            // the agent is shutting down
	Running int             // requests in progress
	Slots   int             // maximum number of concurrent requests
}

// Tracker holds the current status. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	status Status
}

// NewTracker returns a tracker with the zero status, which is closed to requests.
func NewTracker() *Tracker { return &Tracker{} }

// Status returns a copy of the current status.
func (t *Tracker) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status
}

// Update applies change to the status while holding the tracker's lock.
func (t *Tracker) Update(change func(*Status)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.status)
}

// Path is the URL path at which an agent serves its status as JSON.
const Path = "/v1/serving"

// Handler returns a handler that answers with the status as JSON.
func (t *Tracker) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(t.Status())
	})
}
