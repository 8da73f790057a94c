package proxy

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	// quarantineTTL is how long a request that crashed servers is refused.
	quarantineTTL = time.Minute
	// quarantineRetryDelay is the retry delay in the refusal of such a request.
	quarantineRetryDelay = 30 * time.Second
	// If at least outageCrashes servers crash within outageWindow, the cause is
	// taken to be an outage, and no request is quarantined for it.
	outageWindow  = 1500 * time.Millisecond
	outageCrashes = 3
)

// maxPendingChecks bounds the interrupted responses whose servers wait to be
// checked.
const maxPendingChecks = 256

// CrashDetector finds requests that crash the servers that run them, and
// quarantines them.
type CrashDetector struct {
	Table     *quarantine.Table
	pending   chan interruptedResponse
	mu        sync.Mutex
	crashedAt map[string]time.Time // by server
}

// NewCrashDetector returns a detector without suspects.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{Table: quarantine.NewTable(), pending: make(chan interruptedResponse, maxPendingChecks), crashedAt: map[string]time.Time{}}
}

// Verdict returns the verdict on a fingerprint.
func (c *CrashDetector) Verdict(fingerprint string) quarantine.Verdict {
	return c.Table.Verdict(fingerprint, time.Now())
}

// Completed records that a request completed, which clears it of suspicion.
func (c *CrashDetector) Completed(fingerprint string) {
	if c.Table.Verdict(fingerprint, time.Now()) != quarantine.Clear {
		c.Table.RecordCompletion(fingerprint)
	}
}

// interruptedResponse is a response that ended before it was complete.
type interruptedResponse struct {
	attemptID   string
	fingerprint string
	parts       []string // shared parts of the prompt
	began       bool     // the server had begun to answer
	server      schedule.Server
	verdict     quarantine.Verdict
}

// ReportInterrupted reports an interrupted response and returns the new verdict on
// its request. If the request is not yet a suspect, the server is checked in the
// background so that the retry is not delayed.
func (c *CrashDetector) ReportInterrupted(response interruptedResponse) quarantine.Verdict {
	if response.verdict == quarantine.Clear {
		select {
		case c.pending <- response:
		default:
			counter.Add("BreaksOverlooked", 1)
		}
		return response.verdict
	}
	return c.checkServer(response)
}

// Run checks the servers of interrupted responses until ctx ends.
func (c *CrashDetector) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case response := <-c.pending:
			c.checkServer(response)
		}
	}
}

// checkServer probes the server of an interrupted response. Only a server that
// refuses connections counts as crashed.
func (c *CrashDetector) checkServer(response interruptedResponse) quarantine.Verdict {
	if !atmostonce.ProbeRefused(response.server.Address) {
		return response.verdict
	}
	counter.Add("BackendsDied", 1)
	event.Log(event.BackendDied, "Server", response.server.ID, "Request", response.attemptID, "Fingerprint", response.fingerprint, "Parts", strings.Join(response.parts, ","), "Began", response.began)
	if c.recordCrash(response.server.ID) {
		return response.verdict
	}
	verdict := c.Table.RecordCrash(response.fingerprint, response.server.ID, response.verdict == quarantine.Suspect, time.Now().Add(quarantineTTL))
	if verdict == quarantine.Quarantined {
		event.Log(event.RequestQuarantined, "Fingerprint", response.fingerprint, "Server", response.server.ID)
	}
	return verdict
}

// recordCrash records a server's crash and reports whether enough servers crashed
// within outageWindow to be an outage.
func (c *CrashDetector) recordCrash(server string) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashedAt[server] = now
	for s, at := range c.crashedAt {
		if now.Sub(at) > outageWindow {
			delete(c.crashedAt, s)
		}
	}
	return len(c.crashedAt) >= outageCrashes
}

// fingerprint identifies the request; it is the same at every gateway and for
// every attempt.
func (e *exchange) fingerprint() string {
	h := xxhash.New()
	for _, part := range []string{e.organisation, e.r.Method, e.r.Host, e.r.RequestURI} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(e.body)
	return strconv.FormatUint(h.Sum64(), 16)
}
