package proxy

import (
	"context"
	"net/http"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/callermemory"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/ending"
	"almondreel.example/almondreel/internal/enginemodel"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/silence"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	// maxRejections is the number of servers that may reject a request before the caller
	// is refused. A response that has begun waits before each further one instead.
	maxRejections = 3
	// resumeDelay is the first of these waits. It doubles with each.
	resumeDelay = 100 * time.Millisecond
	// maxResumeDoublings bounds these doublings, well above what resumeTimeout allows.
	maxResumeDoublings = 5
	// resumeTimeout is the time from an interruption after which no further server is asked
	// to resume the response.
	resumeTimeout = 1200 * time.Millisecond
)

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
	bodyRead      bool                 // or reading it failed
	memory        *callermemory.Holder // of body; nil if there is none
	suspect       suspectRequest
	failover      failover
	home          homeLimits

	stall         silence.Timer    // of the current attempt
	slot          schedule.Request // for a slot of the current attempt
	reserved      bool             // a successor may go on after the last attempt
	lastServer    string           // server of the last attempt
	lastFailure   failed           // of the last attempt, while its successors open; else zero
	serversTried  int              // servers that were sent the request, without successors that ended
	possibleRuns  int              // servers that may have run it, without successors that ended
	rejectedBy    []string         // servers that did not run it
	failedBy      []string         // servers that may have run it and did not complete it
	firstMS       int64            // milliseconds from arrival until the response began
	lastEventAt   time.Time        // when the last event was sent to the caller
	maxPauseMS    int64            // longest pause between events, in milliseconds
	queueMS       int64            // milliseconds spent waiting for a slot on a server
	interruptedAt time.Time        // when the last attempt failed; zero again once an event has been sent
	resumeMS      int64            // milliseconds from interruptedAt until the next event
}

// run sends the request to servers until one completes it or no other may be
// tried.
func (e *exchange) run(ctx context.Context) outcome.Outcome {
	e.handler.retryWindow(e.service.Name).CountRequest(e.arrivedAt)
	e.suspect = suspectRequest{e.info.AttemptID, e.fingerprint(), e.info.SharedParts}
	e.failover.exchange = e
	defer e.failover.stop()
	e.stall.OnSilence = func(since time.Time) { e.failover.onSilence(ctx, since) }
	defer e.stall.Stop()
	for {
		if ctx.Err() != nil {
			return e.timedOut(ctx)
		}
		if e.handler.CrashDetector.Verdict(e.suspect) == quarantine.Quarantined {
			return e.quarantined()
		}
		a, o := e.nextAttempt(ctx)
		if a == nil {
			return o
		}
		o, retry := e.complete(ctx, a)
		if !retry {
			return o
		}
	}
}

// nextAttempt returns the successor that goes on, or an attempt at a server that has a slot
// for the request. It returns nil and the outcome if there is none.
func (e *exchange) nextAttempt(ctx context.Context) (*attempt, outcome.Outcome) {
	e.slot = e.slotRequest()
	if !e.reserved {
		return e.acquireSlot(ctx)
	}
	if a := e.failover.await(ctx, e.slot, e.possibleRuns); a != nil {
		return a, nil
	}
	if ctx.Err() != nil {
		return nil, e.timedOut(ctx)
	}
	if !e.mayRetry() {
		return nil, e.afterSuccessor()
	}
	e.slot = e.slotRequest() // the successors have ended
	return e.acquireSlot(ctx)
}

// acquireSlot waits for a slot and returns an attempt at its server, or nil and the outcome.
func (e *exchange) acquireSlot(ctx context.Context) (*attempt, outcome.Outcome) {
	queuedAt := time.Now()
	decision := e.handler.Pools.acquire(ctx, e.service.Name, e.slot, e.homeRegions)
	e.queueMS += time.Since(queuedAt).Milliseconds()
	switch d := decision.(type) {
	case schedule.Start:
		if e.withdraw(d) {
			return e.acquireSlot(ctx)
		}
		if d.ExpectedMS > 0 {
			counter.Observe("ExpectedFirstAnswerMilliseconds", int64(d.ExpectedMS))
		}
		verdict := e.handler.CrashDetector.Verdict(e.suspect)
		if verdict == quarantine.Quarantined {
			e.handler.Pools.returnSlot(e.service.Name, d, schedule.Abandoned, e.promptMS())
			return nil, e.quarantined()
		}
		return e.newAttempt(ctx, d.Server, verdict), nil
	case schedule.Refuse:
		countRefusal(d)
		return nil, e.refusedOrUnknown(outcome.Refused{Reason: d.Reason, RetryAt: d.RetryAt})
	}
	return nil, e.timedOut(ctx)
}

// afterSuccessor returns the outcome of a request whose last attempt and successors have
// failed.
func (e *exchange) afterSuccessor() outcome.Outcome {
	if e.lastFailure.errorResponse != nil {
		return e.writeErrorResponse(e.lastFailure)
	}
	return e.refusedOrUnknown(e.handler.Pools.refusal(e.service.Name, outcome.BackendRefused, e.slotRequest()))
}

// runs returns the number of servers that may have run the request, or be running it.
func (e *exchange) runs() int { return e.possibleRuns + e.failover.possibleRuns() }

// mayRetry takes a retry from the budget if the request may run at another server.
func (e *exchange) mayRetry() bool {
	return e.route.Repeatable() && e.response.resumable() && e.runs() < e.route.MaxAttempts && e.handler.takeRetry(e.service.Name)
}

func (e *exchange) quarantined() outcome.Outcome {
	return e.refusedOrUnknown(outcome.Refused{Reason: outcome.Quarantined, RetryAt: time.Now().Add(quarantineRetryDelay)})
}

// refusedOrUnknown returns r if no server can have run the request, and
// outcome.Unknown otherwise.
func (e *exchange) refusedOrUnknown(r outcome.Refused) outcome.Outcome {
	if e.runs() == 0 {
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
	if e.runs() == 0 {
		return outcome.Refused{Reason: reason, RetryAt: time.Now().Add(notReadyRetryDelay)}
	}
	return outcome.Cancelled{Reason: reason}
}

// complete runs an attempt, whose response may be open, to its end. It returns the outcome
// and false, or true if the request is to be retried.
func (e *exchange) complete(ctx context.Context, a *attempt) (outcome.Outcome, bool) {
	e.lastServer, e.lastFailure = a.server.ID, failed{}
	e.serversTried++
	switch r := e.forward(a).(type) {
	case complete:
		e.handler.CrashDetector.Completed(e.suspect.fingerprint)
		e.handler.answerTimes.Record(e.route.Name, time.Now(), time.Since(a.sentAt).Milliseconds())
		return outcome.Answered{}, false
	case rejected:
		return e.afterRejection(ctx, a, r)
	case failed:
		return e.afterFailure(a, r)
	case cancelled:
		if !r.notRun {
			e.possibleRuns++
		}
	}
	return e.timedOut(ctx), false
}

// forward opens the attempt's response unless it is open, forwards it, and releases the
// slot, also after a panic.
func (e *exchange) forward(a *attempt) (r result) {
	r = cancelled{}
	defer func() {
		e.stall.Stop()
		e.reserved = e.failover.endCurrent()
		a.close()
		a.release(r.schedulerEnd())
	}()
	e.failover.begin(a, e.slot, e.possibleRuns)
	if a.opened() {
		return a.forward()
	}
	if e.route.Repeatable() {
		e.stall.Start(a.stallCheckAt(), func() bool { return a.stalled(time.Now()) })
	}
	if ended := a.open(); ended != nil {
		return ended
	}
	return a.forward()
}

// afterRejection returns the outcome and false, or true if the request is to be retried.
func (e *exchange) afterRejection(ctx context.Context, a *attempt, r rejected) (outcome.Outcome, bool) {
	if r.final && e.runs() == 0 {
		return outcome.Refused{Reason: r.reason}, false
	}
	e.rejectedBy = append(e.rejectedBy, a.server.ID)
	if !e.reserved && (!e.mayAskAnother(ctx) || !e.handler.takeRetry(e.service.Name)) {
		return e.refusedOrUnknown(e.handler.Pools.refusal(e.service.Name, r.reason, e.slotRequest())), false
	}
	counter.Add("Retried."+string(r.reason), 1)
	event.Log(event.RequestRetried, "Request", e.info.AttemptID, "Server", a.server.ID, "Reason", string(r.reason), "Detail", r.detail)
	return nil, true
}

// mayAskAnother reports whether one more server may be asked to run a request that the
// last one rejected. It waits if part of the response was sent, which would be cut.
func (e *exchange) mayAskAnother(ctx context.Context) bool {
	more := len(e.rejectedBy) - maxRejections
	if more < 0 || !e.response.begun() {
		return more < 0
	}
	delay := resumeDelay << min(more, maxResumeDoublings)
	if time.Now().Add(delay).After(e.interruptedAt.Add(resumeTimeout)) {
		return false
	}
	pause.For(ctx, delay)
	return true
}

// afterFailure returns the outcome and false, or true if the request is to be retried.
func (e *exchange) afterFailure(a *attempt, r failed) (outcome.Outcome, bool) {
	e.possibleRuns++
	e.failedBy = append(e.failedBy, a.server.ID)
	interrupted := interruptedResponse{e.suspect, time.Now(), r.survived, a.server, a.verdict}
	if r.mayHaveCrashed && e.handler.CrashDetector.ReportInterrupted(interrupted) == quarantine.Quarantined {
		return outcome.Unknown{Reason: outcome.Quarantined}, false
	}
	if e.r.Context().Err() != nil {
		return e.callerGone(), false
	}
	if !e.reserved && !e.mayRetry() {
		if r.errorResponse != nil {
			return e.writeErrorResponse(r), false
		}
		return outcome.Unknown{Reason: r.reason}, false
	}
	if e.reserved {
		e.lastFailure = r
	}
	e.interruptedAt = time.Now()
	counter.Add("Retried."+string(r.reason), 1)
	event.Log(event.RequestRetried, "Request", e.info.AttemptID, "Server", a.server.ID, "Reason", string(r.reason), "Detail", r.detail, "AfterEvent", e.response.lastEventID)
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
	rejectedBy, failedBy := e.failover.ended()
	request := schedule.Request{
		Priority:      e.priority,
		RoutePriority: e.route.Priority,
		Organisation:  e.organisation,
		Resumed:       e.response.begun(),
		Retried:       e.serversTried > 0,
		PromptMS:      e.promptMS(),
		BaseLatencyMS: plainBaseLatencyMS,
		ArrivedAt:     e.arrivedAt,
		AnswerBy:      e.firstCallAt.Add(time.Duration(e.route.TargetMilliseconds) * time.Millisecond),
		Deadline:      e.deadline,
		Generates:     e.route.Generates,
		Rejected:      slices.Concat(e.rejectedBy, rejectedBy),
		Failed:        slices.Concat(e.failedBy, failedBy),
		Prompt:        enginemodel.Prompt{Tokens: e.info.PromptTokens, AnswerTokens: e.info.AnswerTokens, MaxAnswerTokens: e.info.MaxAnswerTokens},
		Figures:       e.service.Engine.Figures,
	}
	if e.route.Generates {
		request.BaseLatencyMS = engineBaseLatencyMS
	}
	if !e.response.begun() {
		request.AnswerMS = e.handler.answerTimes.LongestMS(e.route.Name, time.Now())
	}
	return e.bind(request)
}

// promptMS returns how long an engine takes to process the prompt, in
// milliseconds; 0 if the engine's speed is unknown.
func (e *exchange) promptMS() float64 {
	if e.service.Engine.ReadPerMillisecond <= 0 {
		return 0
	}
	return float64(e.info.PromptTokens) / e.service.Engine.ReadPerMillisecond
}
