package schedule

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/outcome"
)

// Stop makes the pool start only requests whose responses are complete before endsAt,
// when the gateway ends what still runs. It returns refusals of queued requests.
func (p *Pool) Stop(now, endsAt time.Time) []Resolved {
	p.endsAt = endsAt
	return p.Tick(now)
}

// endsBeforeAnswer reports whether the gateway ends before the response to r would be
// complete. A request whose deadline passes before that is still answered. So is one of
// whose response the caller has a part, because it cannot be refused any more.
func (p *Pool) endsBeforeAnswer(now time.Time, r Request) bool {
	if p.endsAt.IsZero() || r.AnswerMS == 0 || !r.Deadline.IsZero() && !r.Deadline.After(p.endsAt) {
		return false
	}
	return now.Add(time.Duration(r.AnswerMS * float64(time.Millisecond))).After(p.endsAt)
}

// stoppingRetryDelay is the retry delay in refusals of a gateway that is stopping. Others
// can serve the request at once.
const stoppingRetryDelay = 300 * time.Millisecond

func refuseStopping(now time.Time) Refuse {
	return Refuse{Reason: outcome.ShuttingDown, RetryAt: now.Add(stoppingRetryDelay)}
}

// AnswerTimes estimates how long requests of a route take from when they are sent to a
// server until the response is complete. It is safe for concurrent use.
type AnswerTimes struct {
	mu     sync.Mutex
	routes map[string]maxWindow
}

// NewAnswerTimes returns estimates without recorded responses.
func NewAnswerTimes() *AnswerTimes { return &AnswerTimes{routes: map[string]maxWindow{}} }

const (
	// answerSpan is the length of the period over which a maximum is taken.
	answerSpan = 30 * time.Second
	// unknownAnswerMS is assumed for a route without recent responses, in milliseconds.
	unknownAnswerMS = 2000
	// silenceMS is added for a server that is silent for a while and then goes on, in
	// milliseconds.
	silenceMS = 1500
)

// Record records that a response was complete, or was given up, milliseconds after its
// request had been sent.
func (t *AnswerTimes) Record(route string, now time.Time, milliseconds int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes[route] = t.routes[route].add(now, answerSpan, milliseconds)
}

// LongestMS returns the milliseconds in which nearly every response of a route is complete.
func (t *AnswerTimes) LongestMS(route string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.routes[route].at(now, answerSpan)
	if !window.known() {
		return unknownAnswerMS + silenceMS
	}
	return float64(window.longest() + silenceMS)
}
