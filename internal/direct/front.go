package direct

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/internal/transmit"
	"almondreel.example/almondreel/pkg/limit"
)

const (
	// defaultBodyBytes bounds a caller's body while the configuration says nothing.
	defaultBodyBytes = 4 << 20
	// unknownDelay is what a caller waits that came before a configuration did.
	unknownDelay = 300 * time.Millisecond
	// fullDelay is what a caller waits, more or less, whom a gateway refused that
	// has too many requests in progress: about as long as one of them takes.
	fullDelay = time.Second
	// retryMargin of what the site allows is spent; the rest is for requests
	// that are counted otherwise elsewhere.
	retryMargin = 0.92
	// linesPerSecond of ended requests are logged, some times what a gateway
	// serves at its peak. Calls that run at most once are always logged.
	linesPerSecond = 250
)

// Options of a front.
type Options struct {
	View    View
	Dialect Dialect
	Pools   *Pools
	Crashes *Crashes
	Retries Retries
	Intake  Intake
	// Answers is the memory that answers of backend servers may take together.
	Answers *bounded.Memory
}

// Intake is what the gateway may take up. Its methods are safe for concurrent use.
type Intake interface {
	// Full reports whether no further request may be taken up.
	Full() bool
	// Crowded reports whether callers that are refused should close their connections.
	Crowded() bool
}

// Retries bounds the requests that all gateways together send once more: a
// share of the requests of a span, and a number besides.
type Retries struct {
	Share   float64
	Besides int
	SpanMS  int // milliseconds
	// Gateways is the number of gateways that share what is allowed besides.
	Gateways func() int
}

// Front serves callers.
type Front struct {
	Options
	client  *transmit.Client
	budgets sync.Map // service to *limit.Window
	hearing hearing
	waits   *schedule.Waits
	lines   *rate.Limiter // of ended requests in the log
	running atomic.Int64
	leaving atomic.Bool
}

// NewFront returns a front without requests.
func NewFront(o Options) *Front {
	return &Front{Options: o, client: transmit.NewClient(), lines: rate.NewLimiter(linesPerSecond, linesPerSecond), hearing: hearing{servers: map[string]heard{}}, waits: schedule.NewWaits()}
}

// budget returns the retries of a service.
func (f *Front) budget(service string) *limit.Window {
	held, ok := f.budgets.Load(service)
	if !ok {
		held, _ = f.budgets.LoadOrStore(service, limit.NewWindow(retryMargin*f.Retries.Share, time.Duration(f.Retries.SpanMS)*time.Millisecond))
	}
	return held.(*limit.Window)
}

// mayRetry takes one retry from what is left of a service's.
func (f *Front) mayRetry(service string) bool {
	besides := retryMargin * float64(f.Retries.Besides) / float64(max(1, f.Retries.Gateways()))
	return f.budget(service).Retry(time.Now(), int(besides))
}

// Running returns the number of requests in progress.
func (f *Front) Running() int64 { return f.running.Load() }

// Leave makes the front refuse what comes from now on.
func (f *Front) Leave() { f.leaving.Store(true) }

// ServeHTTP ends one request in one outcome.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	e := &exchange{front: f, w: w, r: r, arrivedAt: time.Now()}
	e.firstCallAt = e.arrivedAt
	e.call = f.Dialect.Call(r.Header, e.arrivedAt)
	refused, ok := e.accept()
	if !ok {
		e.end(refused)
		return
	}
	ctx, cancel := e.bound(r.Context())
	defer cancel()
	e.boundWrites()
	e.end(e.run(ctx))
}

const (
	// bodyTime bounds the reading of a body whose caller names no deadline.
	bodyTime = 20 * time.Second
	// writeMargin after a caller's deadline, what it has not taken is given up: a
	// caller that reads nothing must not hold a connection for good.
	writeMargin = 2 * time.Second
)

// boundWrites ends what is written to a caller who does not read some time after
// its deadline. Before it, slow callers are waited for.
func (e *exchange) boundWrites() {
	if e.deadline.IsZero() {
		return
	}
	if err := http.NewResponseController(e.w).SetWriteDeadline(e.deadline.Add(writeMargin)); err != nil {
		counter.Add("WriteDeadlinesUnset", 1)
	}
}

// accept finds the request's route and organisation and reads its body. It
// returns the refusal and false if the request goes no further.
func (e *exchange) accept() (outcome.Outcome, bool) {
	if e.front.leaving.Load() {
		return e.refusal(outcome.ShuttingDown), false
	}
	if e.front.Intake.Full() {
		return outcome.Refused{Reason: outcome.QueueFull, RetryAt: e.arrivedAt.Add(pause.Jitter(fullDelay))}, false
	}
	c := e.front.View.Configuration()
	if c == nil {
		return e.refusal(outcome.KeyValueUnavailable), false
	}
	e.version = c.Version
	route, ok := c.Route(hostname(e.r.Host), e.r.URL.EscapedPath())
	if !ok {
		return e.unknown(outcome.UnknownClass), false
	}
	e.route = route
	holder, ok := c.Holder(e.call.Credential)
	if !ok && !route.Public && len(c.Organisations) > 0 {
		return e.unknown(outcome.Unauthorised), false
	}
	e.organisation = holder.Name
	if !e.call.Deadline.IsZero() {
		e.firstCallAt = e.front.waits.FirstCall(route.Name, e.arrivedAt, e.call.Deadline)
	}
	e.priority = route.Priority
	if holder.Ranked {
		e.priority = holder.Priority
	}
	e.service = c.Services[pick(route.Targets)]
	return e.readBody(c.Limits)
}

func (e *exchange) readBody(limits site.Limits) (outcome.Outcome, bool) {
	most := limits.BodyBytes
	if most <= 0 {
		most = defaultBodyBytes
	}
	until := e.call.Deadline
	if until.IsZero() {
		until = e.arrivedAt.Add(bodyTime)
	}
	control := http.NewResponseController(e.w)
	if err := control.SetReadDeadline(until); err != nil {
		counter.Add("ReadDeadlinesUnset", 1)
	}
	body, err := io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, most))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{}) // fails like the first one, which is counted
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return outcome.Refused{Reason: outcome.TooLarge}, false
	case err != nil:
		return outcome.Cancelled{}, false
	}
	e.body = body
	return nil, true
}

// unknown refuses what the configuration lacks. A view that is out of date may
// lack it by mistake, so the caller is asked to come back.
func (e *exchange) unknown(reason outcome.Reason) outcome.Outcome {
	if !e.front.View.Fresh(e.arrivedAt) {
		return e.refusal(outcome.KeyValueUnavailable)
	}
	return outcome.Refused{Reason: reason}
}

func (e *exchange) refusal(reason outcome.Reason) outcome.Outcome {
	return outcome.Refused{Reason: reason, RetryAt: e.arrivedAt.Add(unknownDelay)}
}

// bound ends the request at its route's timeout or its caller's deadline.
func (e *exchange) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	e.deadline = e.call.Deadline
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

// end tells the caller the outcome, unless the answer has told it, and records it.
func (e *exchange) end(o outcome.Outcome) {
	record := outcome.NewRecord(o)
	e.record(record)
	switch o := o.(type) {
	case outcome.Answered:
		return
	case outcome.Cancelled:
		panic(http.ErrAbortHandler)
	case outcome.Refused:
		e.front.Dialect.Refuse(e.w.Header(), o.RetryAt, time.Now())
		if e.front.Intake.Crowded() {
			e.w.Header().Set("Connection", "close")
		}
	}
	if e.begun {
		panic(http.ErrAbortHandler) // an answer that ends early must not look whole
	}
	e.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	e.w.WriteHeader(status(o))
	_, _ = io.WriteString(e.w, string(record.Reason)+"\n")
}

// record writes the request's line and counts its outcome.
func (e *exchange) record(r outcome.Record) {
	took := time.Since(e.arrivedAt).Milliseconds()
	counter.Add("Ended."+r.Outcome+string(r.Reason), 1)
	counter.Observe("RequestMilliseconds."+r.Outcome, took)
	if e.route.Kind != site.Once && !e.front.lines.Allow() {
		counter.Add("LogLinesLeftOut", 1)
		return
	}
	event.Log(event.RequestEnded,
		"Request", e.call.AttemptID, "Route", e.route.Name, "Organisation", e.organisation,
		"Outcome", r.Outcome, "Reason", string(r.Reason), "Server", e.server, "Version", e.version,
		"Sent", e.sent, "Runs", e.runs, "FirstMS", e.firstMS, "PauseMS", e.pauseMS, "QueueMS", e.queueMS, "ResumeMS", e.resumeMS, "MS", took, "Prompt", e.call.PromptTokens, "WaitedMS", e.arrivedAt.Sub(e.firstCallAt).Milliseconds())
}

// pick draws a target by weight.
func pick(targets []site.Target) string {
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

func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
