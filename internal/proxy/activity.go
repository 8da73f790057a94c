package proxy

import (
	"sync"
	"time"
)

// activityTracker records when servers sent data, to distinguish a request that has
// stalled at a server from one that is queued there. It is safe for concurrent use.
type activityTracker struct {
	mu      sync.Mutex
	servers map[string]serverActivity
}

type serverActivity struct {
	receivedAt    time.Time // when the server last sent data
	newestStarted time.Time // latest send time of a request whose response has begun
}

const (
	// maxSilence is how long a busy server may send no data at all: the time of a few
	// of its forward passes.
	maxSilence = 500 * time.Millisecond
	// A request has stalled if the response to one that was sent more than
	// maxReorderTime later has begun, since servers start requests in about the order
	// of arrival.
	maxReorderTime = 150 * time.Millisecond
	// maxTrackedServers bounds the number of servers whose activity is recorded.
	maxTrackedServers = 4096
)

// responseBegan records that the response to a request sent at sent has begun.
func (a *activityTracker) responseBegan(server string, sent, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.servers) > maxTrackedServers {
		clear(a.servers)
	}
	s := a.servers[server]
	s.receivedAt = now
	if sent.After(s.newestStarted) {
		s.newestStarted = sent
	}
	a.servers[server] = s
}

// received records that a server sent more of a response.
func (a *activityTracker) received(server string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.servers[server]
	s.receivedAt = now
	a.servers[server] = s
}

// stalled reports whether a request that was sent at sent, and whose response has
// not begun, has stalled.
func (a *activityTracker) stalled(server string, sent, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.servers[server]
	if s.receivedAt.Before(sent) {
		s.receivedAt = sent
	}
	return now.Sub(s.receivedAt) > maxSilence || s.newestStarted.Sub(sent) > maxReorderTime
}
