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
	routes map[string]*recentMS // answers of each route
}

// NewAnswerTimes returns estimates without recorded responses.
func NewAnswerTimes() *AnswerTimes { return &AnswerTimes{routes: map[string]*recentMS{}} }

const (
	// answerSpan is how long an answer is used.
	answerSpan = time.Minute
	// longAnswerShare is the share of a route's answers that may take longer than expected.
	longAnswerShare = 0.02
	// unknownAnswerMS is assumed for a route without recent responses, in milliseconds.
	unknownAnswerMS = 2000
	// silenceMS is added for a server that is silent for a while and then goes on, in
	// milliseconds.
	silenceMS = 1500
)

// Record records that a response was complete milliseconds after its request had been sent.
func (t *AnswerTimes) Record(route string, now time.Time, milliseconds int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	answers, ok := t.routes[route]
	if !ok {
		answers = &recentMS{}
		t.routes[route] = answers
	}
	answers.add(now, milliseconds)
}

// LongestMS returns the milliseconds in which nearly every response of a route is complete.
func (t *AnswerTimes) LongestMS(route string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	answers, ok := t.routes[route]
	if !ok {
		return unknownAnswerMS + silenceMS
	}
	ms, count := answers.longest(now, answerSpan, longAnswerShare)
	if count == 0 {
		return unknownAnswerMS + silenceMS
	}
	return float64(ms + silenceMS)
}
