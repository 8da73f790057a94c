package direct

import (
	"sync"
	"time"
)

// hearing notes when servers answered, to tell a request that hangs at a server
// from one that only waits its turn there. It is safe for concurrent use.
type hearing struct {
	mu      sync.Mutex
	servers map[string]heard
}

type heard struct {
	at   time.Time // it sent anything
	sent time.Time // the latest request that it has begun to answer was sent
}

const (
	// quietTime is how long a busy server may send nothing at all: some of its
	// passes.
	quietTime = 500 * time.Millisecond
	// overtakeTime is by how much a later request must have been sent that was
	// answered first: servers take up requests in about the order they come.
	overtakeTime = 150 * time.Millisecond
	// maxHeard bounds the servers that are remembered.
	maxHeard = 4096
)

// begun notes the first answer to a request sent at sent.
func (h *hearing) begun(server string, sent, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.servers) > maxHeard {
		clear(h.servers)
	}
	n := h.servers[server]
	n.at = now
	if sent.After(n.sent) {
		n.sent = sent
	}
	h.servers[server] = n
}

// goesOn notes that a server sent more of an answer.
func (h *hearing) goesOn(server string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.servers[server]
	n.at = now
	h.servers[server] = n
}

// hangs reports whether a request that was sent at sent waits in vain.
func (h *hearing) hangs(server string, sent, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.servers[server]
	if n.at.Before(sent) {
		n.at = sent
	}
	return now.Sub(n.at) > quietTime || n.sent.Sub(sent) > overtakeTime
}
