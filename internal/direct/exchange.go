package direct

import (
	"context"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/pkg/quarantine"
)

// maxRejections bounds the servers that may say they did not run a request
// before its caller is refused.
const maxRejections = 3

// exchange is one caller's request on its way.
type exchange struct {
	front        *Front
	w            http.ResponseWriter
	r            *http.Request
	arrivedAt    time.Time
	firstCallAt  time.Time // of its caller; arrivedAt if that is not known
	deadline     time.Time // zero: none
	call         Call
	route        site.Route
	service      site.Service
	organisation string
	priority     int
	version      int64 // of the configuration
	body         []byte

	sentAt    time.Time   // to the last server
	guard     *time.Timer // ends the attempt with the version of its server's weights
	server    string      // that has or had the request last
	sent      int         // servers that were sent the request
	runs      int         // servers that may have run it
	rejected  int         // servers that said they did not
	avoid     []string
	begun     bool   // a byte of the answer is on its way to the caller
	lastEvent string // last event that the caller was sent
	firstMS   int64
	eventAt   time.Time // of the last event that was passed on
	pauseMS   int64     // longest pause between events
	queueMS   int64     // waited for places at servers
	brokenAt  time.Time // an answer broke off that is to go on
	resumeMS  int64     // from there until the next event
}

// run sends the request until one server answers or no other may be tried.
func (e *exchange) run(ctx context.Context) outcome.Outcome {
	e.front.budget(e.service.Name).Request(e.arrivedAt)
	fingerprint := e.fingerprint()
	for {
		verdict := e.front.Crashes.Judge(fingerprint)
		if verdict == quarantine.Convicted {
			return e.notRun(outcome.Refused{Reason: outcome.Quarantined, RetryAt: time.Now().Add(convictedDelay)})
		}
		asked := time.Now()
		place := e.front.Pools.acquire(ctx, e.service.Name, e.ask())
		e.queueMS += time.Since(asked).Milliseconds()
		switch p := place.(type) {
		case schedule.Start:
			// The server's version may have run out while the request waited.
			if p.Server.Version < e.minVersion() {
				e.front.Pools.ended(e.service.Name, p.Server.ID, schedule.Left, e.promptMS())
				continue
			}
			o, again := e.attempt(ctx, p.Server, fingerprint, verdict)
			if !again {
				return o
			}
		case schedule.Refuse:
			return e.notRun(outcome.Refused{Reason: p.Reason, RetryAt: p.RetryAt})
		default:
			return e.late()
		}
	}
}

// notRun is the refusal, if no server can have run the request.
func (e *exchange) notRun(r outcome.Refused) outcome.Outcome {
	if e.runs == 0 {
		return r
	}
	return outcome.Unknown{Reason: r.Reason}
}

// late is the outcome of a request whose caller left or whose time was up
// before an answer.
func (e *exchange) late() outcome.Outcome {
	if e.r.Context().Err() != nil {
		return outcome.Cancelled{}
	}
	return e.notRun(outcome.Refused{Reason: outcome.DeadlinePassed, RetryAt: time.Now().Add(unknownDelay)})
}

// attempt sends the request to a server. It returns false and the outcome, or
// true if another server may be tried.
func (e *exchange) attempt(ctx context.Context, s schedule.Server, fingerprint string, verdict quarantine.Verdict) (outcome.Outcome, bool) {
	e.server = s.ID
	e.sent++
	result := e.send(ctx, s)
	e.front.Pools.ended(e.service.Name, s.ID, result.end(), e.promptLeft(result))
	switch r := result.(type) {
	case complete:
		e.front.Crashes.Completed(fingerprint)
		return outcome.Answered{}, false
	case rejected:
		return e.afterRejection(s, r)
	case unusable:
		return e.afterBreak(s, r, fingerprint, verdict)
	}
	e.runs++
	return e.late(), false
}

// promptLeft is the reading that the server was still charged with.
func (e *exchange) promptLeft(result result) float64 {
	if answered(result) {
		return 0
	}
	return e.promptMS()
}

func (e *exchange) afterRejection(s schedule.Server, r rejected) (outcome.Outcome, bool) {
	e.rejected++
	e.avoid = append(e.avoid, s.ID)
	if e.rejected >= maxRejections || !e.front.mayRetry(e.service.Name) {
		return e.notRun(e.front.Pools.refusal(e.service.Name, r.reason, e.ask())), false
	}
	counter.Add("Retried."+string(r.reason), 1)
	event.Log(event.RequestRetried, "Request", e.call.AttemptID, "Server", s.ID, "Reason", string(r.reason), "Detail", r.detail)
	return nil, true
}

func (e *exchange) afterBreak(s schedule.Server, r unusable, fingerprint string, verdict quarantine.Verdict) (outcome.Outcome, bool) {
	e.runs++
	e.avoid = append(e.avoid, s.ID)
	if r.mayHaveDied && e.front.Crashes.Broken(fingerprint, s, verdict) == quarantine.Convicted {
		return outcome.Unknown{Reason: outcome.Quarantined}, false
	}
	failed := outcome.Unknown{Reason: r.reason}
	if e.r.Context().Err() != nil {
		return outcome.Cancelled{}, false
	}
	repeat := e.route.Repeatable() && (!e.begun || e.lastEvent != "")
	if !repeat || e.runs >= e.route.MaxAttempts || !e.front.mayRetry(e.service.Name) {
		if r.failure != nil {
			return e.relayWhole(r.failure), false
		}
		return failed, false
	}
	e.brokenAt = time.Now()
	counter.Add("Retried."+string(r.reason), 1)
	event.Log(event.RequestRetried, "Request", e.call.AttemptID, "Server", s.ID, "Reason", string(r.reason), "Detail", r.detail, "AfterEvent", e.lastEvent)
	return nil, true
}

const (
	// passMS is what a server's running pass and the way there take, in milliseconds.
	passMS = 110
	// plainHoldMS is what a plain call holds a place, in milliseconds.
	plainHoldMS = 40
)

// ask describes the request to the schedule.
func (e *exchange) ask() schedule.Ask {
	a := schedule.Ask{
		Priority:   e.priority,
		Resumed:    e.begun,
		Returning:  e.sent > 0,
		PromptMS:   e.promptMS(),
		LeastMS:    plainHoldMS,
		ArrivedAt:  e.arrivedAt,
		AnswerBy:   e.firstCallAt.Add(time.Duration(e.route.TargetMilliseconds) * time.Millisecond),
		GiveUpAt:   e.deadline,
		MinVersion: e.minVersion(),
		Avoid:      e.avoid,
	}
	if e.route.Generates {
		a.LeastMS = passMS
	}
	return a
}

// leastBeginMS covers the way to an engine and one of its passes, in milliseconds.
const leastBeginMS = 250

// beginsBy is the moment by which most requests that are sent now have begun at
// an engine: the later, the longer engines let their queues wait. The rest are
// ended with the version's time (see guardVersion).
func (e *exchange) beginsBy(now time.Time) time.Time {
	within := max(leastBeginMS, e.front.Pools.usualMS(e.service.Name)+e.promptMS())
	return now.Add(time.Duration(within * float64(time.Millisecond)))
}

// minVersion is the oldest version that may serve the request if it is sent now;
// 0 if it needs no weights.
func (e *exchange) minVersion() int64 {
	if !e.route.Generates {
		return 0
	}
	return e.front.View.MinVersion(e.call.Model, e.beginsBy(time.Now()))
}

func (e *exchange) promptMS() float64 {
	if e.service.Engine.ReadPerMillisecond <= 0 {
		return 0
	}
	return float64(e.call.PromptTokens) / e.service.Engine.ReadPerMillisecond
}
