package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/eventstream"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/pkg/quarantine"
)

// result is the result of one attempt at a backend server: complete, rejected,
// failed or cancelled.
type result interface{ schedulerEnd() schedule.End }

// complete means that the server's whole response was forwarded to the caller.
type complete struct{}

// rejected means that the server did not run the request and never will.
type rejected struct {
	reason   outcome.Reason
	endState schedule.End
	final    bool // no other server would run it either
	detail   string
}

// failed means that the server may have run the request and sent either no
// response that can be forwarded or an error response; another server may succeed.
type failed struct {
	reason         outcome.Reason
	endState       schedule.End
	mayHaveCrashed bool
	survived       bool              // the server had answered for provenAnswerTime
	errorResponse  *bufferedResponse // the server's own 5xx response; nil if it sent none
	detail         string
}

// cancelled means that the caller disconnected or the deadline passed.
type cancelled struct {
	notRun bool // nothing was sent to the server
}

func (complete) schedulerEnd() schedule.End   { return schedule.Finished }
func (r rejected) schedulerEnd() schedule.End { return r.endState }
func (r failed) schedulerEnd() schedule.End   { return r.endState }
func (cancelled) schedulerEnd() schedule.End  { return schedule.Abandoned }

// bufferedResponse is a response that has been read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	signed bool
	body   bounded.Body
}

const (
	// connectTimeout bounds connecting to a backend server. It leaves time for a
	// few round trips between regions.
	connectTimeout = 150 * time.Millisecond
	// maxResponseBytes bounds the body of a response that is not a stream. It is
	// twice the largest request body that the operators' limits allow.
	maxResponseBytes = 8 << 20
	// stallCheckFactor times the route's target latency is the delay after which
	// the proxy starts to check whether a request has stalled.
	stallCheckFactor = 1.5
	// minStallCheckDelay is the least such delay, so that a server that is only
	// busy is not taken for a stalled one.
	minStallCheckDelay = 350 * time.Millisecond
)

var (
	errStalled      = errors.New("server stopped sending data")
	errVersionEnded = errors.New("model version ended before the response began")
)

// attempt is one dispatch of a request to a server. Its response is first opened, which
// shows that the server works, and then forwarded to the caller.
type attempt struct {
	exchange *exchange
	server   schedule.Server
	verdict  quarantine.Verdict // on the request when the attempt began
	from     position           // where its response goes on
	sentAt   time.Time
	ctx      context.Context // of the attempt, which may outlive the current one
	cancel   context.CancelCauseFunc
	memory   *bounded.Reservation
	// versionTimer cancels the attempt when the server's model version ends, unless decided
	// is set by then.
	versionTimer *time.Timer
	decided      atomic.Bool // the response has begun, or the version has ended

	// Set by open:
	response *http.Response
	whole    *bufferedResponse   // of a response that is not a stream
	events   *eventstream.Reader // of a stream
	first    eventstream.Event   // of events
	empty    bool                // the stream has no event
	started  bool                // the server has begun to answer
}

func (e *exchange) newAttempt(ctx context.Context, s schedule.Server, verdict quarantine.Verdict) *attempt {
	a := &attempt{exchange: e, server: s, verdict: verdict, from: e.response.position(), sentAt: time.Now(), memory: e.handler.ResponseMemory.NewReservation()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// close ends the attempt's connection to the server, unless the response is complete.
func (a *attempt) close() {
	a.stopVersionTimer()
	a.cancel(nil)
	if a.response != nil {
		_ = a.response.Body.Close() // nothing more is read
	}
	a.memory.Release()
}

// open sends the request and reads the response as far as shows that the server works: the
// first event of a stream, or the whole of another response. It returns nil then, and the
// result of the attempt otherwise.
func (a *attempt) open() result {
	e, s := a.exchange, a.server
	a.startVersionTimer()
	defer a.stopVersionTimer()
	forward := a.forwardInfo()
	response, err := e.handler.client.Send(a.ctx, atmostonce.Request{
		Method: e.r.Method, Address: s.Address, Host: e.r.Host, Path: originForm(e.r.RequestURI),
		Header: e.handler.HeaderCodec.BackendHeader(e.r.Header, forward, a.sentAt),
		Body:   e.body, NewConn: true, ConnectBy: a.sentAt.Add(connectTimeout),
	})
	if err != nil {
		return a.sendFailed(err)
	}
	a.response = response
	info := e.handler.HeaderCodec.ParseResponse(response.StatusCode, response.Header, time.Now())
	a.recordServerState(info)
	if response.StatusCode != http.StatusMisdirectedRequest { // another server may run at the address
		a.recordRateLimit(info)
		a.recordCold(info)
	}
	foreign := info.AttemptID != "" && info.AttemptID != e.info.AttemptID
	switch {
	case info.NotRun && !foreign && response.StatusCode == http.StatusBadRequest && e.info.AttemptID == "": // any server refuses that
		return rejected{reason: outcome.Malformed, endState: schedule.Finished, final: true, detail: response.Status}
	case info.NotRun && !foreign:
		return rejected{reason: outcome.BackendRefused, endState: rejectionEnd(response.StatusCode, forward), detail: response.Status}
	case info.AttemptID != e.info.AttemptID || response.Header.Get("Content-Encoding") != "" || !info.Signed:
		return failed{reason: outcome.BackendFailed, endState: schedule.Incomplete, detail: "response is encoded, unsigned or for another attempt: " + response.Status}
	case a.from.begun || e.route.Kind == site.Stream && response.StatusCode == http.StatusOK:
		return a.openStream(response)
	}
	return a.openWhole(response)
}

// opened reports whether open has opened the response.
func (a *attempt) opened() bool { return a.whole != nil || a.events != nil && (a.started || a.empty) }

// forward sends the open response to the caller.
func (a *attempt) forward() result {
	if a.whole != nil {
		return a.forwardWhole()
	}
	return a.forwardStream()
}

// originForm returns the path and query of a request target, which may have the absolute
// form.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, _ := strings.Cut(target, "://")
	if path := strings.Index(rest, "/"); path >= 0 {
		return rest[path:]
	}
	return "/"
}

// recordServerState applies what a response's headers say about the server's own
// state: that it is about to shut down, or that it is to receive no requests for a time.
func (a *attempt) recordServerState(r ResponseInfo) {
	e, s := a.exchange, a.server
	if r.Departing && e.handler.Pools.MarkDeparting(e.service.Name, schedule.Departure{Server: s.ID, StartUnixMS: s.StartUnixMS, At: time.Now()}) {
		counter.Add("ServersDeparting", 1)
		event.Log(event.ServerLeaving, "Server", s.ID, "Address", s.Address, "Service", e.service.Name, "From", "server")
	}
	if !r.BusyUntil.IsZero() {
		e.handler.Pools.markBusy(e.service.Name, s.ID, r.BusyUntil)
		counter.Add("ServersResting", 1)
	}
}

// recordRateLimit applies the rate limit that a response states, or the end of one.
func (a *attempt) recordRateLimit(r ResponseInfo) {
	e, s := a.exchange, a.server
	limit := schedule.RateLimit{Server: s.ID, StartUnixMS: s.StartUnixMS, Limited: r.RateLimited, PerSecond: r.RequestsPerSecond, At: time.Now()}
	if e.handler.Pools.RecordRateLimit(e.service.Name, limit, a.sentAt) {
		counter.Add("RateLimitsChanged", 1)
		event.Log(event.RateLimitChanged, "Server", s.ID, "Address", s.Address, "Service", e.service.Name, "Limited", r.RateLimited, "PerSecond", r.RequestsPerSecond, "From", "server")
	}
}

// recordCold applies until when a response states that the server is cold.
func (a *attempt) recordCold(r ResponseInfo) {
	if !r.ColdUntil.IsZero() {
		e, s := a.exchange, a.server
		e.handler.Pools.markCold(e.service.Name, s.ID, s.StartUnixMS, r.ColdUntil)
	}
}

// rejectionEnd returns how the scheduler records a rejection. Status 421 means that
// another server runs at the address, or that it serves another version if one was
// expected; any other status means that the server is full.
func rejectionEnd(status int, f ForwardInfo) schedule.End {
	switch {
	case status != http.StatusMisdirectedRequest:
		return schedule.Rejected
	case f.Version > 0:
		return schedule.Unreachable
	}
	return schedule.Misdirected
}

// urgencyUnset sends no urgency, so the server applies its default.
const urgencyUnset = -1

func (a *attempt) forwardInfo() ForwardInfo {
	e := a.exchange
	f := ForwardInfo{Server: a.server.ID, Organisation: e.organisation, AfterEvent: a.from.lastEventID, Urgency: urgencyUnset}
	if a.from.begun {
		f.Urgency = 0 // the caller has received part of the response
	}
	f.Deadline, _ = a.ctx.Deadline()
	if e.route.Generates && e.handler.View.MinVersion(e.info.Model, time.Now().Add(versionNoticeTime)) > 0 {
		f.Version = a.server.Version
	}
	return f
}

// versionNoticeTime is how long before an older version ends the proxy starts to
// send the expected version with each request, because a server may serve the old
// version for longer than its agent announced. It covers the time that a request
// may take to begin.
const versionNoticeTime = 2 * time.Second

// stalled reports whether the server has stalled with the request, whose response has not
// begun.
func (a *attempt) stalled(now time.Time) bool {
	return !now.Before(a.stallCheckAt()) && a.exchange.handler.activity.stalled(a.server.ID, a.sentAt, now)
}

// stallCheckAt returns the time from which the attempt may have stalled.
func (a *attempt) stallCheckAt() time.Time {
	delay := time.Duration(stallCheckFactor*float64(a.exchange.route.TargetMilliseconds)) * time.Millisecond
	if a.from.begun {
		delay = 0 // the caller waits for the next event, not for the target
	}
	return a.sentAt.Add(max(delay, minStallCheckDelay))
}

// versionEndMargin is how long before a version ends the attempt is cancelled, so
// that the cancellation reaches the server in time.
const versionEndMargin = 50 * time.Millisecond

// startVersionTimer cancels the attempt if its response has not begun when the
// model version that the server serves ends.
func (a *attempt) startVersionTimer() {
	if !a.exchange.route.Generates || a.server.ServesUntil.IsZero() {
		return
	}
	a.versionTimer = time.AfterFunc(time.Until(a.server.ServesUntil.Add(-versionEndMargin)), func() {
		if a.decided.CompareAndSwap(false, true) {
			counter.Add("AttemptsEndedWithVersion", 1)
			a.cancel(errVersionEnded)
		}
	})
}

// stopVersionTimer is called when the response begins or the attempt is over.
func (a *attempt) stopVersionTimer() {
	if a.versionTimer != nil {
		a.versionTimer.Stop()
		a.versionTimer = nil
	}
}

func (a *attempt) sendFailed(err error) result {
	ctx := a.ctx
	var notSentError *atmostonce.NotSentError
	notSent := errors.As(err, &notSentError)
	versionOver, stalled := errors.Is(context.Cause(ctx), errVersionEnded), errors.Is(context.Cause(ctx), errStalled)
	switch {
	case versionOver && notSent:
		return rejected{reason: outcome.BackendUnreachable, endState: schedule.Abandoned, detail: errVersionEnded.Error()}
	case versionOver:
		return versionEnded()
	case ctx.Err() != nil && !stalled:
		return cancelled{notRun: notSent}
	case notSent:
		return rejected{reason: outcome.BackendUnreachable, endState: schedule.Unreachable, detail: err.Error()}
	case stalled:
		return failed{reason: outcome.BackendFailed, endState: schedule.Superseded, detail: errStalled.Error()}
	}
	return failed{reason: outcome.BackendDied, endState: schedule.Incomplete, mayHaveCrashed: true, detail: err.Error()}
}

// versionEnded is the result of an attempt that was cancelled when the model
// version ended. It does not count as a failure of the server; the request may
// have begun to run.
func versionEnded() result {
	return failed{reason: outcome.BackendFailed, endState: schedule.Abandoned, detail: errVersionEnded.Error()}
}

// openWhole reads a response that is not a stream to its end.
func (a *attempt) openWhole(response *http.Response) result {
	body, err := a.memory.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return a.interrupted(err, false)
	}
	whole := &bufferedResponse{status: response.StatusCode, header: response.Header, signed: true, body: body}
	if r := a.start(); r != nil {
		return r
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return failed{reason: outcome.BackendFailed, endState: schedule.Finished, errorResponse: whole, detail: response.Status}
	}
	a.whole = whole
	return nil
}

// forwardWhole sends the caller a response that is not a stream.
func (a *attempt) forwardWhole() result {
	e := a.exchange
	e.stall.Stop()
	if !e.failover.progressed() {
		return a.interrupted(errSuperseded, false)
	}
	e.handler.CrashDetector.Survived(e.suspect)
	if !e.mayWrite(a.whole) {
		return failed{reason: outcome.BackendFailed, endState: schedule.Finished, detail: strconv.Itoa(a.whole.status) + " is not marked as not run"}
	}
	e.recordFirstByte()
	if err := e.response.writeWhole(a.whole); err != nil {
		return cancelled{} // the connection to the caller has failed
	}
	return complete{}
}

// interrupted returns the result of an attempt whose response ended with err before
// it was complete.
func (a *attempt) interrupted(err error, survived bool) result {
	ctx := a.ctx
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errVersionEnded):
		return versionEnded()
	case errors.Is(cause, errStalled):
		return failed{reason: outcome.BackendFailed, endState: schedule.Superseded, detail: errStalled.Error()}
	case ctx.Err() != nil:
		return cancelled{}
	}
	return failed{reason: outcome.StreamCut, endState: schedule.Incomplete, mayHaveCrashed: true, survived: survived, detail: err.Error()}
}

// start records that the response has begun, or returns the attempt's result if the model
// version ended before.
func (a *attempt) start() result {
	if !a.decided.CompareAndSwap(false, true) {
		return versionEnded()
	}
	e, now := a.exchange, time.Now()
	a.started = true
	e.handler.Pools.responseBegan(e.service.Name, a.server.ID, float64(now.Sub(a.sentAt).Milliseconds()), e.promptMS())
	e.handler.activity.responseBegan(a.server.ID, a.sentAt, now)
	return nil
}

// release frees the server's slot.
func (a *attempt) release(end schedule.End) {
	promptMS := a.exchange.promptMS()
	if a.started {
		promptMS = 0 // the scheduler does not count it any more
	}
	a.exchange.handler.Pools.release(a.exchange.service.Name, a.server.ID, end, promptMS)
}

// recordFirstByte records when the response to the caller began.
func (e *exchange) recordFirstByte() {
	if e.firstMS == 0 {
		e.firstMS = time.Since(e.arrivedAt).Milliseconds()
		counter.Observe("FirstAnswerMilliseconds."+e.route.Name, e.firstMS)
	}
}

// mayWrite reports whether the caller may receive a server's response. Of a request that
// may run at most once, it must not receive a status which says that it has not run.
func (e *exchange) mayWrite(b *bufferedResponse) bool {
	return e.route.Repeatable() || !impliesNotRun(b.status)
}

// writeErrorResponse sends the caller the error response of a server that failed, if
// it may receive that, and returns the outcome.
func (e *exchange) writeErrorResponse(r failed) outcome.Outcome {
	if !e.mayWrite(r.errorResponse) || e.response.writeWhole(r.errorResponse) != nil {
		return outcome.Unknown{Reason: r.reason}
	}
	return outcome.Answered{}
}

// impliesNotRun reports whether callers take a status to mean that the request has
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
