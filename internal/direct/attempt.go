package direct

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/internal/transmit"
)

// result is what became of a request at one server: complete, rejected,
// unusable or stopped.
type result interface{ end() schedule.End }

// complete means that the caller was sent the server's whole answer.
type complete struct{}

// rejected means that the server certainly did not run the request.
type rejected struct {
	reason outcome.Reason
	at     schedule.End
	detail string
}

// unusable means that the server may have run the request and gave no answer
// that can be passed on, or a failure that another server may not give.
type unusable struct {
	reason      outcome.Reason
	at          schedule.End
	answered    bool
	mayHaveDied bool
	failure     *whole // the server's own failure, if it gave one
	detail      string
}

// stopped means that the caller left or the time was up.
type stopped struct{ answered bool }

func (complete) end() schedule.End   { return schedule.Finished }
func (r rejected) end() schedule.End { return r.at }
func (r unusable) end() schedule.End { return r.at }
func (stopped) end() schedule.End    { return schedule.Left }

// answered reports whether the server had begun to answer.
func answered(r result) bool {
	switch r := r.(type) {
	case complete:
		return true
	case unusable:
		return r.answered
	case stopped:
		return r.answered
	}
	return false
}

// whole is an answer that has been read to its end.
type whole struct {
	status int
	header http.Header
	signed bool
	body   []byte
}

const (
	// connectWithin bounds the opening of a connection to a server that is up:
	// some round trips between regions.
	connectWithin = 150 * time.Millisecond
	// maxAnswerBytes bounds an answer that is not a stream. Source: twice the
	// longest body that operators' limits let callers send.
	maxAnswerBytes = 8 << 20
	// silenceFactor times its target is how long a request waits before it is
	// looked at whether it hangs.
	silenceFactor = 1.5
	// leastSilence spares servers that are only busy.
	leastSilence = 350 * time.Millisecond
)

var (
	errSilent = errors.New("server is silent")
	errEnded  = errors.New("version of the weights ended before the answer began")
)

// send sends the request to one server and passes its answer on.
func (e *exchange) send(ctx context.Context, s schedule.Server) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := time.Now()
	e.sentAt = now
	silence := e.watchSilence(s, cancel)
	defer silence.stop()
	e.guardVersion(s, cancel)
	defer e.endGuard()
	response, err := e.front.client.Send(ctx, transmit.Message{
		Method: e.r.Method, Address: s.Address, Host: e.r.Host, Path: e.r.RequestURI,
		Header: e.front.Dialect.Forward(e.r.Header, e.forward(ctx, s), now),
		Body:   e.body, Fresh: true, ConnectBy: now.Add(connectWithin),
	})
	if err != nil {
		return e.failedSend(ctx, err)
	}
	defer response.Body.Close()
	reply := e.front.Dialect.Reply(response.StatusCode, response.Header, time.Now())
	e.heed(s, reply)
	switch {
	case reply.NotRun:
		return rejected{reason: outcome.BackendRefused, at: rejection(response.StatusCode), detail: response.Status}
	case reply.AttemptID != e.call.AttemptID || response.Header.Get("Content-Encoding") != "" || !reply.Signed:
		return unusable{reason: outcome.BackendFailed, at: schedule.Broken, detail: "answer is not the server's own: " + response.Status}
	case e.route.Kind == site.Stream && response.StatusCode == http.StatusOK:
		return e.stream(ctx, s, response, silence, cancel)
	}
	return e.plain(ctx, s, response)
}

// heed takes what a server's answer says of the server itself.
func (e *exchange) heed(s schedule.Server, r Reply) {
	if r.Departs && e.front.Pools.Depart(e.service.Name, schedule.Departure{Server: s.ID, Born: s.Born, At: time.Now()}) {
		counter.Add("ServersDeparting", 1)
		event.Log(event.ServerDeparts, "Server", s.ID, "Address", s.Address, "Service", e.service.Name, "From", "server")
	}
	if !r.RestUntil.IsZero() {
		e.front.Pools.rest(e.service.Name, s.ID, r.RestUntil)
		counter.Add("ServersResting", 1)
	}
}

// rejection tells a server that is another one, or serves other weights, from
// one that is full.
func rejection(status int) schedule.End {
	if status == http.StatusMisdirectedRequest {
		return schedule.Unreachable
	}
	return schedule.Rejected
}

// unsaid leaves a request's urgency to the server.
const unsaid = -1

func (e *exchange) forward(ctx context.Context, s schedule.Server) Forward {
	f := Forward{Server: s.ID, Organisation: e.organisation, AfterEvent: e.lastEvent, Urgency: unsaid}
	if e.begun {
		f.Urgency = 0 // its caller waits in the middle of an answer
	}
	f.Deadline, _ = ctx.Deadline()
	if e.route.Generates && e.front.View.MinVersion(e.call.Model, time.Now().Add(expectTime)) > 0 {
		f.Version = s.Version
	}
	return f
}

// expectTime is how long before an older version ends servers are told which one
// is expected, as one may have it for longer than its agent announced: the time
// that requests may take to begin.
const expectTime = 2 * time.Second

// silence watches an attempt that another server could take over.
type silence struct {
	timer   *time.Timer
	stopped bool
	mu      sync.Mutex
}

// watchSilence cancels an attempt whose server leaves it without an answer.
func (e *exchange) watchSilence(s schedule.Server, cancel context.CancelCauseFunc) *silence {
	w := &silence{}
	if !e.movable() {
		w.stopped = true
		return w
	}
	sent := e.sentAt
	patience := time.Duration(silenceFactor*float64(e.route.TargetMilliseconds)) * time.Millisecond
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(max(patience, leastSilence), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.stopped:
		case e.front.hearing.hangs(s.ID, sent, time.Now()):
			cancel(errSilent)
		default:
			w.timer.Reset(silenceStep)
		}
	})
	return w
}

// guardMargin is kept of a version's time for a cancellation's way to the server.
const guardMargin = 50 * time.Millisecond

// guardVersion cancels an attempt whose answer has not begun when the time of the
// server's weights ends.
func (e *exchange) guardVersion(s schedule.Server, cancel context.CancelCauseFunc) {
	if !e.route.Generates {
		return
	}
	ends, ok := e.front.View.EndsAt(e.call.Model, s.Version)
	if !ok {
		return
	}
	e.guard = time.AfterFunc(time.Until(ends.Add(-guardMargin)), func() {
		counter.Add("AttemptsEndedWithVersion", 1)
		cancel(errEnded)
	})
}

// endGuard lets the attempt go on, or notes that it is over.
func (e *exchange) endGuard() {
	if e.guard != nil {
		e.guard.Stop()
		e.guard = nil
	}
}

// silenceStep separates looks at a request that waits.
const silenceStep = 100 * time.Millisecond

// stop ends the watch.
func (w *silence) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// movable reports whether another server may be tried after this one.
func (e *exchange) movable() bool {
	return e.route.Repeatable() && e.runs+1 < e.route.MaxAttempts
}

func (e *exchange) failedSend(ctx context.Context, err error) result {
	var unsent *transmit.Unsent
	notSent := errors.As(err, &unsent)
	switch {
	case errors.Is(context.Cause(ctx), errEnded) && !notSent:
		return versionEnded()
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) && !notSent:
		return stopped{}
	case notSent:
		return rejected{reason: outcome.BackendUnreachable, at: schedule.Unreachable, detail: err.Error()}
	case errors.Is(context.Cause(ctx), errSilent):
		return unusable{reason: outcome.BackendFailed, at: schedule.Silent, detail: errSilent.Error()}
	}
	return unusable{reason: outcome.BackendDied, at: schedule.Broken, mayHaveDied: true, detail: err.Error()}
}

// versionEnded is no failure of the server's. The request may have begun
// unseen.
func versionEnded() result {
	return unusable{reason: outcome.BackendFailed, at: schedule.Left, detail: errEnded.Error()}
}

// plain reads an answer to its end before a byte of it is passed on.
func (e *exchange) plain(ctx context.Context, s schedule.Server, response *http.Response) result {
	hold := e.front.Answers.Hold()
	defer hold.Release()
	body, err := hold.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return e.cut(ctx, err, false)
	}
	e.answeredBy(s)
	answer := &whole{status: response.StatusCode, header: response.Header, signed: true, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		return unusable{reason: outcome.BackendFailed, at: schedule.Finished, answered: true, failure: answer, detail: response.Status}
	}
	e.relayWhole(answer)
	return complete{}
}

// cut is the result of an answer that broke off.
func (e *exchange) cut(ctx context.Context, err error, begun bool) result {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errEnded):
		return versionEnded()
	case errors.Is(cause, errSilent):
		return unusable{reason: outcome.BackendFailed, at: schedule.Silent, answered: begun, detail: errSilent.Error()}
	case ctx.Err() != nil:
		return stopped{answered: begun}
	}
	return unusable{reason: outcome.StreamCut, at: schedule.Broken, answered: begun, mayHaveDied: true, detail: err.Error()}
}

// answeredBy notes the moment of the first byte of an answer.
func (e *exchange) answeredBy(s schedule.Server) {
	e.front.Pools.answered(e.service.Name, s.ID, float64(time.Since(e.sentAt).Milliseconds()), e.promptMS())
	e.front.hearing.begun(s.ID, e.sentAt, time.Now())
	e.endGuard()
	if e.firstMS == 0 {
		e.firstMS = time.Since(e.arrivedAt).Milliseconds()
		counter.Observe("FirstAnswerMilliseconds."+e.route.Name, e.firstMS)
	}
}

// relayWhole passes a server's answer on as it is. A failure of a request that
// may run once is not passed on with a status that says it has not run.
func (e *exchange) relayWhole(a *whole) outcome.Outcome {
	if !e.route.Repeatable() && promisesNotRun(a.status) {
		return outcome.Unknown{Reason: outcome.BackendFailed}
	}
	e.begun = true
	e.front.Dialect.Relay(e.w.Header(), a.header, a.signed)
	e.w.WriteHeader(a.status)
	_, _ = e.w.Write(a.body)
	return outcome.Answered{}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
