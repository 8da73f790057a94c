// Package serving holds what an agent's backend server serves and how busy it is.
package serving

import (
	"encoding/json"
	"net/http"
	"sync"

	"almondreel.example/almondreel/internal/manifest"
)

// Status is the agent's state at one moment.
type Status struct {
	Open    bool            // the backend server takes requests
	Digest  manifest.Digest // version that the engine states; empty for a plain service
	Want    manifest.Digest // version being fetched; empty: none
	Have    int             // verified chunks of Want
	Chunks  int             // chunks of Want
	Leaving bool
	Running int // requests in progress
	Slots   int // requests taken at once
}

// Board holds the status. It is safe for concurrent use.
type Board struct {
	mu     sync.Mutex
	status Status
}

// NewBoard returns a board that is closed.
func NewBoard() *Board { return &Board{} }

// Status returns the status now.
func (b *Board) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.status
}

// Update applies change to the status under the board's lock.
func (b *Board) Update(change func(*Status)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.status)
}

// Path answers the agent's status as JSON.
const Path = "/v1/serving"

// Handler serves the board's status as JSON.
func (b *Board) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(b.Status())
	})
}
