package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/callermemory"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/ending"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/pkg/limit"
)

const (
	// defaultMaxBodyBytes bounds a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// notReadyRetryDelay is the retry delay in refusals for a temporary reason, such
	// as a configuration that has not been read yet.
	notReadyRetryDelay = 300 * time.Millisecond
	// overloadRetryDelay, with jitter, is the retry delay in refusals of a gateway that
	// has too many requests in progress. One of them takes about as long.
	overloadRetryDelay = time.Second
	// retryBudgetUse is the fraction of the allowed retries that the proxy uses. The
	// rest is a margin for requests that are counted differently outside the gateway.
	retryBudgetUse = 0.92
	// maxLogLinesPerSecond limits the log lines for ended requests to several times a
	// gateway's peak request rate. Calls that run at most once are always logged.
	maxLogLinesPerSecond = 250
)

// Options of a Handler.
type Options struct {
	View          View
	HeaderCodec   HeaderCodec
	Pools         *Pools
	CrashDetector *CrashDetector
	RetryBudget   RetryBudget
	Admission     Admission
	// ResponseMemory bounds the memory that buffered backend responses use in total.
	ResponseMemory *bounded.MemoryBudget
	// CallerMemory bounds the memory that requests use in total until they end.
	CallerMemory *callermemory.Account
}

// Admission reports whether the gateway has capacity for more requests and
// connections. Its methods are safe for concurrent use.
type Admission interface {
	// Full reports whether new requests must be refused.
	Full() bool
	// NearLimit reports whether refused callers should be told to close their
	// connections.
	NearLimit() bool
}

// RetryBudget bounds the retries of all gateways together: within a window of
// time, Ratio times the number of requests, plus Base.
type RetryBudget struct {
	Ratio    float64
	Base     int
	WindowMS int // length of the window, in milliseconds
	// Gateways returns the number of gateways that share Base.
	Gateways func() int
}

// Handler serves callers over HTTP.
type Handler struct {
	Options
	client           *atmostonce.Client
	retryWindows     sync.Map // service to *limit.RetryWindow
	activity         activityTracker
	arrivalEstimator *schedule.ArrivalEstimator
	answerTimes      *schedule.AnswerTimes
	ending           ending.Ending
	logLimiter       *rate.Limiter // for the log lines of ended requests
	running          atomic.Int64
	draining         atomic.Bool
}

// NewHandler returns a handler without requests.
func NewHandler(o Options) *Handler {
	return &Handler{Options: o, client: atmostonce.NewClient(), logLimiter: rate.NewLimiter(maxLogLinesPerSecond, maxLogLinesPerSecond), activity: activityTracker{servers: map[string]serverActivity{}}, arrivalEstimator: schedule.NewArrivalEstimator(), answerTimes: schedule.NewAnswerTimes(), ending: ending.New()}
}

// retryWindow returns the window that counts a service's requests and retries.
func (h *Handler) retryWindow(service string) *limit.RetryWindow {
	window, ok := h.retryWindows.Load(service)
	if !ok {
		window, _ = h.retryWindows.LoadOrStore(service, limit.NewRetryWindow(retryBudgetUse*h.RetryBudget.Ratio, time.Duration(h.RetryBudget.WindowMS)*time.Millisecond))
	}
	return window.(*limit.RetryWindow)
}

// takeRetry takes one retry from a service's budget, or reports that none is left.
func (h *Handler) takeRetry(service string) bool {
	base := retryBudgetUse * float64(h.RetryBudget.Base) / float64(max(1, h.RetryBudget.Gateways()))
	return h.retryWindow(service).TakeRetry(time.Now(), int(base))
}

// Running returns the number of requests in progress.
func (h *Handler) Running() int64 { return h.running.Load() }

// Drain makes the handler refuse new requests.
func (h *Handler) Drain() { h.draining.Store(true) }

// ServeHTTP handles one request and ends it in one outcome.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	e := &exchange{handler: h, response: callerResponse{w: w, codec: h.HeaderCodec}, r: r, arrivedAt: time.Now()}
	defer e.recoverPanic()
	defer e.releaseMemory()
	e.firstCallAt = e.arrivedAt
	e.info = h.HeaderCodec.ParseRequest(r.Header, e.arrivedAt)
	refused, ok := e.admit(w)
	if !ok {
		if !e.bodyRead {
			e.discardBody(w)
		}
		e.finish(refused)
		return
	}
	ctx, cancel := e.withDeadline(r.Context())
	defer cancel()
	ctx, release := e.handler.ending.Bind(ctx)
	defer release()
	e.setWriteDeadline(w)
	e.finish(e.run(ctx))
}

// recoverPanic ends a request whose handler panicked. net/http would close the caller's
// connection without an answer.
func (e *exchange) recoverPanic() {
	cause := recover()
	switch {
	case cause == nil:
		return
	case cause == http.ErrAbortHandler: // by callerResponse.close
		panic(cause)
	}
	counter.Add("HandlerPanics", 1)
	event.Fail(event.HandlerPanicked, errs.New("handle request", e.r.RemoteAddr, "%v", cause), "Request", e.info.AttemptID, "Route", e.route.Name, "Stack", string(debug.Stack()))
	if e.serversTried == 0 {
		e.finish(e.refuseNotReady(outcome.InternalError))
		return
	}
	e.finish(outcome.Unknown{Reason: outcome.InternalError})
}

const (
	// bodyReadTimeout bounds reading the body of a request, whatever its deadline.
	bodyReadTimeout = 20 * time.Second
	// minDiscardTime is the least time for reading the body of a refused request.
	minDiscardTime = time.Second
	// writeGrace is how long after the request's deadline the response may still be
	// written. A caller that reads nothing must not hold a connection forever.
	writeGrace = 2 * time.Second
	// maxResponseTime bounds the time from the arrival to the end of the response to a
	// request without a deadline. Routes have timeouts of minutes at most.
	maxResponseTime = time.Hour
)

// setWriteDeadline bounds writes to a caller that reads slowly or not at all:
// they fail once writeGrace has passed after the request's deadline.
func (e *exchange) setWriteDeadline(w http.ResponseWriter) {
	deadline := e.deadline
	if deadline.IsZero() {
		deadline = e.arrivedAt.Add(maxResponseTime)
	}
	if err := http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace)); err != nil {
		counter.Add("WriteDeadlinesUnset", 1)
	}
}

// admit finds the request's route and organisation and reads its body. It
// returns an outcome and false if the request is not forwarded.
func (e *exchange) admit(w http.ResponseWriter) (outcome.Outcome, bool) {
	if e.handler.draining.Load() {
		return e.refuseNotReady(outcome.ShuttingDown), false
	}
	if e.handler.Admission.Full() {
		e.handler.CallerMemory.Evict(e.arrivedAt)
		return outcome.Refused{Reason: outcome.QueueFull, RetryAt: e.arrivedAt.Add(pause.Jitter(overloadRetryDelay))}, false
	}
	configuration := e.handler.View.Configuration()
	if configuration == nil {
		return e.refuseNotReady(outcome.KeyValueUnavailable), false
	}
	e.configVersion = configuration.Version
	route, ok := configuration.Route(hostname(e.r.Host), e.r.URL.EscapedPath())
	if !ok {
		return e.refuseMissing(outcome.UnknownClass), false
	}
	e.route = route
	organisation, ok := configuration.OrganisationByKey(e.info.Credential)
	if !ok && !route.Public && len(configuration.Organisations) > 0 {
		return e.refuseMissing(outcome.Unauthorised), false
	}
	e.organisation = organisation.Name
	if e.home.update(configuration, e).Bound {
		counter.Add("HomeRequests", 1)
	}
	if !e.info.Deadline.IsZero() {
		if !e.arrivedAt.Before(e.info.Deadline) {
			return e.refuseNotReady(outcome.DeadlinePassed), false
		}
		e.firstCallAt = e.handler.arrivalEstimator.FirstCall(route.Name, e.arrivedAt, e.info.Deadline)
	}
	e.priority = route.Priority
	if organisation.HasPriority {
		e.priority = organisation.Priority
	}
	e.service = configuration.Services[pickTarget(route.Targets)]
	return e.readBody(w, maxBodyBytes(configuration))
}

func (e *exchange) readBody(w http.ResponseWriter, maxBytes int64) (outcome.Outcome, bool) {
	e.bodyRead = true
	if e.r.Body == http.NoBody {
		return nil, true
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(e.bodyDeadline()); err != nil {
		counter.Add("ReadDeadlinesUnset", 1)
	}
	// The read fails once the request is evicted. SetReadDeadline may be called then.
	e.memory = e.handler.CallerMemory.Open(callermemory.Body, e.arrivedAt, func() { _ = controller.SetReadDeadline(time.Now()) })
	body, err := e.memory.ReadAll(e.r.Context(), http.MaxBytesReader(w, e.r.Body, maxBytes), e.r.ContentLength, maxBytes, e.bodyDeadline())
	if errors.Is(err, callermemory.ErrExhausted) {
		e.bodyRead = false
		return e.refuseNoMemory(), false
	}
	if !e.memory.Received() {
		return e.refuseNoMemory(), false
	}
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{}) // an error was counted at the first call
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return e.refuseNotReady(outcome.DeadlinePassed), false
	}
	if err != nil {
		return outcome.Refused{Reason: bodyErrorReason(err)}, false
	}
	e.body = body
	return nil, true
}

// refuseNoMemory refuses a request whose body does not fit into the memory for requests.
func (e *exchange) refuseNoMemory() outcome.Outcome {
	e.releaseMemory()
	return outcome.Refused{Reason: outcome.MemoryExhausted, RetryAt: time.Now().Add(pause.Jitter(overloadRetryDelay))}
}

// releaseMemory frees the memory for the request's body.
func (e *exchange) releaseMemory() {
	if e.memory != nil {
		e.memory.Release()
	}
}

// bodyDeadline returns the time until which the request's body must have been read.
func (e *exchange) bodyDeadline() time.Time {
	latest := e.arrivedAt.Add(bodyReadTimeout)
	if e.info.Deadline.IsZero() || e.info.Deadline.After(latest) {
		return latest
	}
	return e.info.Deadline
}

// discardBody reads the body of a request that is refused unread. If connections are
// short, it does so for minDiscardTime only.
func (e *exchange) discardBody(w http.ResponseWriter) {
	deadline := e.bodyDeadline()
	if earliest := e.arrivedAt.Add(minDiscardTime); deadline.Before(earliest) || e.handler.Admission.NearLimit() {
		deadline = earliest
	}
	callerconn.DiscardBody(w, e.r, maxBodyBytes(e.handler.View.Configuration()), deadline)
}

// maxBodyBytes returns the length of the longest body that is accepted.
func maxBodyBytes(c *site.Configuration) int64 {
	if c == nil || c.Limits.BodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return c.Limits.BodyBytes
}

// bodyErrorReason returns why a request is refused whose body could not be read.
func bodyErrorReason(err error) outcome.Reason {
	var tooLarge *http.MaxBytesError
	var netError net.Error
	switch {
	case errors.As(err, &tooLarge):
		return outcome.TooLarge
	case errors.Is(err, io.ErrUnexpectedEOF):
		return outcome.CallerBodyIncomplete
	case errors.As(err, &netError):
		return callerconn.ReadReason(err)
	}
	return outcome.Malformed // of a body in chunks
}

// refuseMissing refuses a request whose route or credential is not in the
// configuration. If the configuration may be out of date, the refusal gives a
// time to retry.
func (e *exchange) refuseMissing(reason outcome.Reason) outcome.Outcome {
	if !e.handler.View.Fresh(e.arrivedAt) {
		return e.refuseNotReady(outcome.KeyValueUnavailable)
	}
	return outcome.Refused{Reason: reason}
}

// refuseNotReady refuses a request for a temporary reason.
func (e *exchange) refuseNotReady(reason outcome.Reason) outcome.Outcome {
	return outcome.Refused{Reason: reason, RetryAt: time.Now().Add(notReadyRetryDelay)}
}

// withDeadline sets the request's deadline to the earlier of its route's timeout
// and the caller's deadline, and returns a context that ends then.
func (e *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	e.deadline = e.info.Deadline
	if timeout := e.route.TimeoutMilliseconds; timeout > 0 {
		at := e.arrivedAt.Add(time.Duration(timeout) * time.Millisecond)
		if e.deadline.IsZero() || at.Before(e.deadline) {
			e.deadline = at
		}
	}
	if e.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, e.deadline)
}

// finish records the outcome and reports it to the caller, unless the response has
// begun.
func (e *exchange) finish(o outcome.Outcome) {
	record := outcome.NewRecord(o)
	e.record(record)
	if !e.response.begun() {
		header := http.Header{}
		if refused, ok := o.(outcome.Refused); ok {
			e.handler.HeaderCodec.SetRefusalHeader(header, refused.RetryAt, time.Now())
			if e.handler.Admission.NearLimit() {
				header.Set("Connection", "close")
			}
		}
		// After an error, close cuts the connection.
		_ = e.response.writeOwn(statusCode(o), header, string(record.Reason)+"\n")
	}
	e.response.close()
}

// record logs the request's end and counts its outcome.
func (e *exchange) record(r outcome.Record) {
	took := time.Since(e.arrivedAt).Milliseconds()
	counter.Add("Ended."+r.Outcome+string(r.Reason), 1)
	counter.Observe("RequestMilliseconds."+r.Outcome, took)
	if e.route.Kind != site.AtMostOnce && !e.handler.logLimiter.Allow() {
		counter.Add("LogLinesLeftOut", 1)
		return
	}
	event.Log(event.RequestEnded,
		"Request", e.info.AttemptID, "Route", e.route.Name, "Organisation", e.organisation,
		"Outcome", r.Outcome, "Reason", string(r.Reason), "Server", e.lastServer, "Version", e.configVersion,
		"Sent", e.serversTried, "Runs", e.runs(), "FirstMS", e.firstMS, "PauseMS", e.maxPauseMS, "QueueMS", e.queueMS, "ResumeMS", e.resumeMS, "MS", took, "Prompt", e.info.PromptTokens, "Parts", strings.Join(e.info.SharedParts, ","), "WaitedMS", e.arrivedAt.Sub(e.firstCallAt).Milliseconds())
}

// pickTarget returns the service of a random target, chosen by weight, or "" if no
// target has a weight above 0.
func pickTarget(targets []site.Target) string {
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.N(total)
	for _, t := range targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return ""
}

// hostname returns a Host header's value without the port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
