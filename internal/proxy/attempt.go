package proxy

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
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
	responseBegun  bool
	mayHaveCrashed bool
	survived       bool              // the server had answered for provenAnswerTime
	errorResponse  *bufferedResponse // the server's own 5xx response; nil if it sent none
	detail         string
}

// cancelled means that the caller disconnected or the deadline passed.
type cancelled struct {
	notRun        bool // nothing was sent to the server
	responseBegun bool
}

func (complete) schedulerEnd() schedule.End   { return schedule.Finished }
func (r rejected) schedulerEnd() schedule.End { return r.endState }
func (r failed) schedulerEnd() schedule.End   { return r.endState }
func (cancelled) schedulerEnd() schedule.End  { return schedule.Abandoned }

// responseBegun reports whether the server had begun to send its response.
func responseBegun(r result) bool {
	switch r := r.(type) {
	case complete:
		return true
	case failed:
		return r.responseBegun
	case cancelled:
		return r.responseBegun
	}
	return false
}

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

// send sends the request to one server and forwards the response to the caller.
func (e *exchange) send(ctx context.Context, s schedule.Server) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := time.Now()
	e.sentAt = now
	if e.canFailOver() {
		e.failover.begin(e.slotRequest(), s.ID)
	}
	watchdog := e.watchForStall(s, cancel)
	defer watchdog.stop()
	e.startVersionTimer(s, cancel)
	defer e.stopVersionTimer()
	forward := e.forwardInfo(ctx, s)
	response, err := e.handler.client.Send(ctx, atmostonce.Request{
		Method: e.r.Method, Address: s.Address, Host: e.r.Host, Path: originForm(e.r.RequestURI),
		Header: e.handler.HeaderCodec.BackendHeader(e.r.Header, forward, now),
		Body:   e.body, NewConn: true, ConnectBy: now.Add(connectTimeout),
	})
	if err != nil {
		return e.sendFailed(ctx, err)
	}
	defer response.Body.Close()
	info := e.handler.HeaderCodec.ParseResponse(response.StatusCode, response.Header, time.Now())
	e.recordServerState(s, info)
	if response.StatusCode != http.StatusMisdirectedRequest { // another server may run at the address
		e.recordRateLimit(s, info)
	}
	foreign := info.AttemptID != "" && info.AttemptID != e.info.AttemptID
	switch {
	case info.NotRun && !foreign && response.StatusCode == http.StatusBadRequest && e.info.AttemptID == "": // any server refuses that
		return rejected{reason: outcome.Malformed, endState: schedule.Finished, final: true, detail: response.Status}
	case info.NotRun && !foreign:
		return rejected{reason: outcome.BackendRefused, endState: rejectionEnd(response.StatusCode, forward), detail: response.Status}
	case info.AttemptID != e.info.AttemptID || response.Header.Get("Content-Encoding") != "" || !info.Signed:
		return failed{reason: outcome.BackendFailed, endState: schedule.Incomplete, detail: "response is encoded, unsigned or for another attempt: " + response.Status}
	case e.response.begun() || e.route.Kind == site.Stream && response.StatusCode == http.StatusOK:
		return e.forwardStream(ctx, s, response, watchdog, cancel)
	}
	return e.forwardPlain(ctx, s, response)
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
func (e *exchange) recordServerState(s schedule.Server, r ResponseInfo) {
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
func (e *exchange) recordRateLimit(s schedule.Server, r ResponseInfo) {
	limit := schedule.RateLimit{Server: s.ID, StartUnixMS: s.StartUnixMS, Limited: r.RateLimited, PerSecond: r.RequestsPerSecond, At: time.Now()}
	if e.handler.Pools.RecordRateLimit(e.service.Name, limit, e.sentAt) {
		counter.Add("RateLimitsChanged", 1)
		event.Log(event.RateLimitChanged, "Server", s.ID, "Address", s.Address, "Service", e.service.Name, "Limited", r.RateLimited, "PerSecond", r.RequestsPerSecond, "From", "server")
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

func (e *exchange) forwardInfo(ctx context.Context, s schedule.Server) ForwardInfo {
	f := ForwardInfo{Server: s.ID, Organisation: e.organisation, AfterEvent: e.response.lastEventID, Urgency: urgencyUnset}
	if e.response.begun() {
		f.Urgency = 0 // the caller has received part of the response
	}
	f.Deadline, _ = ctx.Deadline()
	if e.route.Generates && e.handler.View.MinVersion(e.info.Model, time.Now().Add(versionNoticeTime)) > 0 {
		f.Version = s.Version
	}
	return f
}

// versionNoticeTime is how long before an older version ends the proxy starts to
// send the expected version with each request, because a server may serve the old
// version for longer than its agent announced. It covers the time that a request
// may take to begin.
const versionNoticeTime = 2 * time.Second

// stallWatchdog cancels an attempt that stalls while another server could still
// run the request.
type stallWatchdog struct {
	timer    *time.Timer
	disabled bool
	mu       sync.Mutex
}

// watchForStall starts a watchdog that cancels the attempt if its response does
// not begin, once another server can take the request. The watchdog is disabled if no
// other server may be tried.
func (e *exchange) watchForStall(s schedule.Server, cancel context.CancelCauseFunc) *stallWatchdog {
	w := &stallWatchdog{}
	if !e.canFailOver() {
		w.disabled = true
		return w
	}
	sent := e.sentAt
	delay := time.Duration(stallCheckFactor*float64(e.route.TargetMilliseconds)) * time.Millisecond
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(max(delay, minStallCheckDelay), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.disabled:
		case e.handler.activity.stalled(s.ID, sent, time.Now()) && e.giveUpStalled(cancel):
		default:
			w.timer.Reset(stallCheckInterval)
		}
	})
	return w
}

// giveUpStalled cancels the attempt if another server can go on with the request, and
// reports whether it did.
func (e *exchange) giveUpStalled(cancel context.CancelCauseFunc) bool {
	if !e.failover.reserve() {
		return false
	}
	cancel(errStalled)
	return true
}

// versionEndMargin is how long before a version ends the attempt is cancelled, so
// that the cancellation reaches the server in time.
const versionEndMargin = 50 * time.Millisecond

// startVersionTimer cancels the attempt if its response has not begun when the
// model version that the server serves ends.
func (e *exchange) startVersionTimer(s schedule.Server, cancel context.CancelCauseFunc) {
	if !e.route.Generates {
		return
	}
	if s.ServesUntil.IsZero() {
		return
	}
	e.versionTimer = time.AfterFunc(time.Until(s.ServesUntil.Add(-versionEndMargin)), func() {
		counter.Add("AttemptsEndedWithVersion", 1)
		cancel(errVersionEnded)
	})
}

// stopVersionTimer is called when the response begins or the attempt is over.
func (e *exchange) stopVersionTimer() {
	if e.versionTimer != nil {
		e.versionTimer.Stop()
		e.versionTimer = nil
	}
}

// stallCheckInterval is the time between checks of a request without a response.
const stallCheckInterval = 100 * time.Millisecond

// stop disables the watchdog.
func (w *stallWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disabled = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// canFailOver reports whether another server may run the request if this attempt
// fails.
func (e *exchange) canFailOver() bool {
	return e.route.Repeatable() && e.possibleRuns+1 < e.route.MaxAttempts
}

func (e *exchange) sendFailed(ctx context.Context, err error) result {
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
		return failed{reason: outcome.BackendFailed, endState: schedule.TimedOut, detail: errStalled.Error()}
	}
	return failed{reason: outcome.BackendDied, endState: schedule.Incomplete, mayHaveCrashed: true, detail: err.Error()}
}

// versionEnded is the result of an attempt that was cancelled when the model
// version ended. It does not count as a failure of the server; the request may
// have begun to run.
func versionEnded() result {
	return failed{reason: outcome.BackendFailed, endState: schedule.Abandoned, detail: errVersionEnded.Error()}
}

// forwardPlain forwards a response that is not a stream, after it has read it to
// its end.
func (e *exchange) forwardPlain(ctx context.Context, s schedule.Server, response *http.Response) result {
	memory := e.handler.ResponseMemory.NewReservation()
	defer memory.Release()
	body, err := memory.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return e.interrupted(ctx, err, false, false)
	}
	e.recordFirstByte(s)
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, signed: true, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		return failed{reason: outcome.BackendFailed, endState: schedule.Finished, responseBegun: true, errorResponse: buffered, detail: response.Status}
	}
	e.handler.CrashDetector.Survived(e.suspect)
	if !e.mayWrite(buffered) {
		return failed{reason: outcome.BackendFailed, endState: schedule.Finished, responseBegun: true, detail: response.Status + " is not marked as not run"}
	}
	if err := e.response.writeWhole(buffered); err != nil {
		return cancelled{responseBegun: true} // the connection to the caller has failed
	}
	return complete{}
}

// interrupted returns the result of an attempt whose response ended with err before
// it was complete.
func (e *exchange) interrupted(ctx context.Context, err error, began, survived bool) result {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errVersionEnded):
		return versionEnded()
	case errors.Is(cause, errStalled):
		return failed{reason: outcome.BackendFailed, endState: schedule.TimedOut, responseBegun: began, detail: errStalled.Error()}
	case ctx.Err() != nil:
		return cancelled{responseBegun: began}
	}
	return failed{reason: outcome.StreamCut, endState: schedule.Incomplete, responseBegun: began, mayHaveCrashed: true, survived: survived, detail: err.Error()}
}

// recordFirstByte records when the response began.
func (e *exchange) recordFirstByte(s schedule.Server) {
	e.handler.Pools.responseBegan(e.service.Name, s.ID, float64(time.Since(e.sentAt).Milliseconds()), e.promptMS())
	e.handler.activity.responseBegan(s.ID, e.sentAt, time.Now())
	e.stopVersionTimer()
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
