package proxy

import (
	"context"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/ending"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/pkg/quarantine"
)

// maxRejections is the number of servers that may reject a request before the
// caller is refused.
const maxRejections = 3

// exchange is one caller's request and its response in progress.
type exchange struct {
	handler       *Handler
	response      callerResponse
	r             *http.Request
	arrivedAt     time.Time
	firstCallAt   time.Time // estimated time of the caller's first attempt; arrivedAt if unknown
	deadline      time.Time // zero: none
	info          RequestInfo
	route         site.Route
	service       site.Service
	organisation  string
	priority      int
	configVersion int64
	body          []byte
	bodyRead      bool // or reading it failed
	suspect       suspectRequest
	failover      failover

	sentAt        time.Time   // when the last attempt was sent
	versionTimer  *time.Timer // cancels the attempt when the server's model version ends
	lastServer    string      // server of the last attempt
	serversTried  int         // servers that were sent the request
	possibleRuns  int         // servers that may have run it
	rejectedBy    []string    // servers that did not run it
	failedBy      []string    // servers that may have run it and did not complete it
	firstMS       int64       // milliseconds from arrival until the response began
	lastEventAt   time.Time   // when the last event was sent to the caller
	maxPauseMS    int64       // longest pause between events, in milliseconds
	queueMS       int64       // milliseconds spent waiting for a slot on a server
	interruptedAt time.Time   // when the last attempt failed; zero again once an event has been sent
	resumeMS      int64       // milliseconds from interruptedAt until the next event
}

// run sends the request to servers until one completes it or no other may be
// tried.
func (e *exchange) run(ctx context.Context) outcome.Outcome {
	e.handler.retryWindow(e.service.Name).CountRequest(e.arrivedAt)
	e.suspect = suspectRequest{e.info.AttemptID, e.fingerprint(), e.info.SharedParts}
	e.failover.pools, e.failover.service = e.handler.Pools, e.service.Name
	e.failover.takeRetry = func() bool { return e.handler.takeRetry(e.service.Name) }
	defer e.failover.release()
	for {
		if ctx.Err() != nil {
			return e.timedOut(ctx)
		}
		if e.handler.CrashDetector.Verdict(e.suspect) == quarantine.Quarantined {
			return e.quarantined()
		}
		switch d := e.acquireSlot(ctx).(type) {
		case schedule.Start:
			verdict := e.handler.CrashDetector.Verdict(e.suspect)
			if verdict == quarantine.Quarantined {
				e.handler.Pools.release(e.service.Name, d.Server.ID, schedule.Abandoned, e.promptMS())
				return e.quarantined()
			}
			o, retry := e.attempt(ctx, d.Server, verdict)
			if !retry {
				return o
			}
		case schedule.Refuse:
			return e.refusedOrUnknown(outcome.Refused{Reason: d.Reason, RetryAt: d.RetryAt})
		default:
			return e.timedOut(ctx)
		}
	}
}

// acquireSlot returns the slot that was reserved while the last attempt ran, or waits for
// one as Pools.acquire does.
func (e *exchange) acquireSlot(ctx context.Context) schedule.Decision {
	if start := e.failover.take(); start != nil {
		return *start
	}
	queuedAt := time.Now()
	decision := e.handler.Pools.acquire(ctx, e.service.Name, e.slotRequest())
	e.queueMS += time.Since(queuedAt).Milliseconds()
	return decision
}

func (e *exchange) quarantined() outcome.Outcome {
	return e.refusedOrUnknown(outcome.Refused{Reason: outcome.Quarantined, RetryAt: time.Now().Add(quarantineRetryDelay)})
}

// refusedOrUnknown returns r if no server can have run the request, and
// outcome.Unknown otherwise.
func (e *exchange) refusedOrUnknown(r outcome.Refused) outcome.Outcome {
	if e.possibleRuns == 0 {
		return r
	}
	return outcome.Unknown{Reason: r.Reason}
}

// timedOut returns the outcome of a request whose caller disconnected, or whose
// deadline passed or whose gateway ended before the response was complete.
func (e *exchange) timedOut(ctx context.Context) outcome.Outcome {
	if e.r.Context().Err() != nil {
		return e.callerGone()
	}
	if ending.Ended(ctx) {
		return e.refusedOrUnknown(outcome.Refused{Reason: outcome.ShuttingDown, RetryAt: time.Now().Add(notReadyRetryDelay)})
	}
	return e.refusedOrUnknown(outcome.Refused{Reason: outcome.DeadlinePassed, RetryAt: time.Now().Add(notReadyRetryDelay)})
}

// callerGone returns the outcome of a request whose caller's connection ended. A caller
// that has closed only its sending side still reads the response.
func (e *exchange) callerGone() outcome.Outcome {
	reason := callerconn.EndReason(e.r.Context())
	if e.possibleRuns == 0 {
		return outcome.Refused{Reason: reason, RetryAt: time.Now().Add(notReadyRetryDelay)}
	}
	return outcome.Cancelled{Reason: reason}
}

// attempt sends the request to a server. It returns the outcome and false, or
// true if the request is to be retried.
func (e *exchange) attempt(ctx context.Context, s schedule.Server, verdict quarantine.Verdict) (outcome.Outcome, bool) {
	e.lastServer = s.ID
	e.serversTried++
	result, reserved := e.sendAndRelease(ctx, s)
	switch r := result.(type) {
	case complete:
		e.handler.CrashDetector.Completed(e.suspect.fingerprint)
		e.handler.answerTimes.Record(e.route.Name, time.Now(), time.Since(e.sentAt).Milliseconds())
		return outcome.Answered{}, false
	case rejected:
		return e.afterRejection(s, r)
	case failed:
		return e.afterFailure(s, r, verdict, reserved)
	case cancelled:
		if !r.notRun {
			e.possibleRuns++
		}
	}
	return e.timedOut(ctx), false
}

// sendAndRelease sends the request to a server and releases the slot, also after a panic.
// reserved says that there is a slot for a retry.
func (e *exchange) sendAndRelease(ctx context.Context, s schedule.Server) (r result, reserved bool) {
	r = cancelled{}
	defer func() {
		reserved = e.failover.end()
		e.handler.Pools.release(e.service.Name, s.ID, r.schedulerEnd(), e.pendingPromptMS(r))
	}()
	r = e.send(ctx, s)
	return r, reserved
}

// pendingPromptMS returns the prompt processing time that the scheduler still counts
// as the server's load: 0 once the response has begun.
func (e *exchange) pendingPromptMS(result result) float64 {
	if responseBegun(result) {
		return 0
	}
	return e.promptMS()
}

func (e *exchange) afterRejection(s schedule.Server, r rejected) (outcome.Outcome, bool) {
	if r.final && e.possibleRuns == 0 {
		return outcome.Refused{Reason: r.reason}, false
	}
	e.rejectedBy = append(e.rejectedBy, s.ID)
	if len(e.rejectedBy) >= maxRejections || !e.handler.takeRetry(e.service.Name) {
		return e.refusedOrUnknown(e.handler.Pools.refusal(e.service.Name, r.reason, e.slotRequest())), false
	}
	counter.Add("Retried."+string(r.reason), 1)
	event.Log(event.RequestRetried, "Request", e.info.AttemptID, "Server", s.ID, "Reason", string(r.reason), "Detail", r.detail)
	return nil, true
}

// afterFailure returns the outcome and false, or true if the request is to be retried.
// reserved says that there is a slot for the retry, which the budget allows.
func (e *exchange) afterFailure(s schedule.Server, r failed, verdict quarantine.Verdict, reserved bool) (outcome.Outcome, bool) {
	e.possibleRuns++
	e.failedBy = append(e.failedBy, s.ID)
	interrupted := interruptedResponse{e.suspect, time.Now(), r.survived, s, verdict}
	if r.mayHaveCrashed && e.handler.CrashDetector.ReportInterrupted(interrupted) == quarantine.Quarantined {
		return outcome.Unknown{Reason: outcome.Quarantined}, false
	}
	unknown := outcome.Unknown{Reason: r.reason}
	if e.r.Context().Err() != nil {
		return e.callerGone(), false
	}
	repeatable := e.route.Repeatable() && e.response.resumable()
	if !repeatable || e.possibleRuns >= e.route.MaxAttempts || !reserved && !e.handler.takeRetry(e.service.Name) {
		if r.errorResponse != nil {
			return e.writeErrorResponse(r), false
		}
		return unknown, false
	}
	e.interruptedAt = time.Now()
	counter.Add("Retried."+string(r.reason), 1)
	event.Log(event.RequestRetried, "Request", e.info.AttemptID, "Server", s.ID, "Reason", string(r.reason), "Detail", r.detail, "AfterEvent", e.response.lastEventID)
	return nil, true
}

const (
	// engineBaseLatencyMS is the least time of a request at a model engine: the network
	// round trip and the forward pass that is running. In milliseconds.
	engineBaseLatencyMS = 110
	// plainBaseLatencyMS is the least time that a plain call occupies a slot, in milliseconds.
	plainBaseLatencyMS = 40
)

// slotRequest returns the request for a slot on a server.
func (e *exchange) slotRequest() schedule.Request {
	request := schedule.Request{
		Priority:      e.priority,
		Resumed:       e.response.begun(),
		Retried:       e.serversTried > 0,
		PromptMS:      e.promptMS(),
		BaseLatencyMS: plainBaseLatencyMS,
		ArrivedAt:     e.arrivedAt,
		AnswerBy:      e.firstCallAt.Add(time.Duration(e.route.TargetMilliseconds) * time.Millisecond),
		Deadline:      e.deadline,
		Generates:     e.route.Generates,
		Rejected:      e.rejectedBy,
		Failed:        e.failedBy,
	}
	if e.route.Generates {
		request.BaseLatencyMS = engineBaseLatencyMS
	}
	if !e.response.begun() {
		request.AnswerMS = e.handler.answerTimes.LongestMS(e.route.Name, time.Now())
	}
	return request
}

// promptMS returns how long an engine takes to process the prompt, in
// milliseconds; 0 if the engine's speed is unknown.
func (e *exchange) promptMS() float64 {
	if e.service.Engine.ReadPerMillisecond <= 0 {
		return 0
	}
	return float64(e.info.PromptTokens) / e.service.Engine.ReadPerMillisecond
}
