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
	// provenAnswerTime is how long an answer must go on for its server to have survived
	// the request.
	provenAnswerTime = 250 * time.Millisecond
)

const (
	// maxPendingChecks bounds the interrupted responses whose servers wait to be
	// checked.
	maxPendingChecks = 256
	// checkWorkers check servers at the same time. A server that does not respond
	// occupies one for the whole time-out of a connection attempt.
	checkWorkers = 4
	// crashKnownFor is how long a server that refused connections counts as crashed
	// without another check.
	crashKnownFor = 500 * time.Millisecond
)

// CrashDetector finds requests, and parts of prompts, that crash the servers that run
// them, and quarantines them.
type CrashDetector struct {
	Table     *quarantine.Table
	Parts     *quarantine.Parts
	pending   chan interruptedResponse
	mu        sync.Mutex
	crashedAt map[string]time.Time // by start of a server
}

// NewCrashDetector returns a detector without suspects.
func NewCrashDetector() *CrashDetector {
	table := quarantine.NewTable()
	return &CrashDetector{
		Table: table, Parts: quarantine.NewParts(table),
		pending: make(chan interruptedResponse, maxPendingChecks), crashedAt: map[string]time.Time{},
	}
}

// Verdict returns the verdict on a request.
func (c *CrashDetector) Verdict(r suspectRequest) quarantine.Verdict {
	now := time.Now()
	if _, ok := c.Parts.Quarantined(r.parts, now); ok {
		return quarantine.Quarantined
	}
	return c.Table.Verdict(r.fingerprint, now)
}

// Completed records that a request completed, which clears it of suspicion.
func (c *CrashDetector) Completed(fingerprint string) {
	if c.Table.Verdict(fingerprint, time.Now()) != quarantine.Clear {
		c.Table.RecordCompletion(fingerprint)
	}
}

// Survived records that a server answered a request and did not crash.
func (c *CrashDetector) Survived(r suspectRequest) { c.Parts.RecordAnswer(r.parts, time.Now()) }

// suspectRequest is what identifies a request, and others like it, to the detector.
type suspectRequest struct {
	attemptID   string
	fingerprint string
	parts       []string // shared parts of the prompt
}

// interruptedResponse is a response that ended before it was complete.
type interruptedResponse struct {
	suspectRequest
	at       time.Time
	survived bool // the server had answered for provenAnswerTime
	server   schedule.Server
	verdict  quarantine.Verdict
}

// ReportInterrupted reports an interrupted response and returns the new verdict on
// its request. If neither the request nor a part of its prompt is a suspect, the server
// is checked in the background so that the retry is not delayed.
func (c *CrashDetector) ReportInterrupted(response interruptedResponse) quarantine.Verdict {
	if response.verdict == quarantine.Clear && !c.Parts.Suspected(response.parts, response.at) {
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
	ended := make(chan struct{})
	for range checkWorkers {
		go func() {
			defer func() { ended <- struct{}{} }()
			c.checkPending(ctx)
		}()
	}
	for range checkWorkers {
		<-ended
	}
	return ctx.Err()
}

func (c *CrashDetector) checkPending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case response := <-c.pending:
			c.checkServer(response)
		}
	}
}

// checkServer checks whether the server of an interrupted response crashed, and returns
// the verdict on the request.
func (c *CrashDetector) checkServer(response interruptedResponse) quarantine.Verdict {
	if !c.crashed(response.server) {
		return response.verdict
	}
	counter.Add("BackendsDied", 1)
	event.Log(event.BackendDied, "Server", response.server.ID, "Request", response.attemptID, "Fingerprint", response.fingerprint, "Parts", strings.Join(response.parts, ","), "Survived", response.survived)
	if !response.survived && c.recordPartCrash(response) {
		return quarantine.Quarantined
	}
	if c.isOutage() {
		return response.verdict
	}
	verdict := c.Table.RecordCrash(response.fingerprint, response.server.ID, response.verdict == quarantine.Suspect, time.Now().Add(quarantineTTL))
	if verdict == quarantine.Quarantined {
		event.Log(event.RequestQuarantined, "Fingerprint", response.fingerprint, "Server", response.server.ID)
	}
	return verdict
}

// recordPartCrash records a crash against the parts of the request's prompt and
// reports whether one of them is quarantined.
func (c *CrashDetector) recordPartCrash(response interruptedResponse) bool {
	part, ok := c.Parts.RecordCrash(quarantine.PartCrash{
		Server: serverStart(response.server), Request: response.fingerprint, Parts: response.parts, At: response.at,
	}, time.Now())
	if ok {
		LogQuarantinedParts([]string{part}, "crash of "+response.server.ID)
	}
	_, quarantined := c.Parts.Quarantined(response.parts, time.Now())
	return quarantined
}

// LogQuarantinedParts logs parts that are quarantined because of what from reported.
func LogQuarantinedParts(parts []string, from string) {
	for _, part := range parts {
		counter.Add("PartsQuarantined", 1)
		event.Log(event.PartQuarantined, "Part", part, "From", from)
	}
}

// serverStart names one start of a server, which may start again under the same ID.
func serverStart(s schedule.Server) string {
	return s.ID + "/" + strconv.FormatInt(s.StartUnixMS, 10)
}

// crashed reports whether a server crashed: only one that refuses connections counts.
func (c *CrashDetector) crashed(s schedule.Server) bool {
	start := serverStart(s)
	c.mu.Lock()
	known := time.Since(c.crashedAt[start]) < crashKnownFor
	c.mu.Unlock()
	if known {
		return true
	}
	if !atmostonce.ProbeRefused(s.Address) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashedAt[start] = time.Now()
	return true
}

// isOutage reports whether enough servers crashed within outageWindow to be an outage.
func (c *CrashDetector) isOutage() bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
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
