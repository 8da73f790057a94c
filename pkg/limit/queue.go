// Package limit implements admission control for a pool of servers: a bounded
// queue with fair sharing between organisations, a concurrency limit that
// adapts to the observed latency, early refusal with a realistic retry time,
// and limits on retries.
package limit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	defaultMaxWaiting  = 1024
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 4 * time.Second
	maxJitterShare     = 0.5   // maximum random addition of Jittered, as a share of the wait
	retrySpacing       = 0.75  // gap between two retry times, as a share of the pool's time per request
	minHoldGrowth      = 1.002 // factor on minHoldMS at each release, so that it follows a rising hold time
	refusalJitterShare = 0.1   // maximum random addition to a refusal's retry time, as a share of its delay
	holdSampleWeight   = 0.05  // weight of a new sample in the moving average
)

// Cause says why a Request was refused.
type Cause int

// Causes.
const (
	QueueFull   Cause = iota // too many requests wait
	WaitTooLong              // the request cannot start by Request.StartBy
	Cancelled                // the context ended while the request waited
)

// Refusal is the error of a Request that got no permit.
type Refusal struct {
	Cause   Cause
	RetryAt time.Time // may be zero if Cause is Cancelled
}

// Error names the cause and the retry time.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not admitted (cause %d), retry at %s", r.Cause, r.RetryAt.Format(time.RFC3339Nano))
}

// Request is a request for a permit.
type Request struct {
	Organisation string
	Weight       float64   // weight relative to other organisations, above 0
	Cost         float64   // estimated work, such as tokens, above 0
	Priority     int       // higher goes first
	StartBy      time.Time // latest start
}

// Options of a queue.
type Options struct {
	MaxWaiting int // maximum number of waiting requests; 0 means 1024
	Ceiling    int // maximum and initial concurrency limit; at least 1
}

// Queue grants permits to requests, higher priorities first. It is safe for
// concurrent use.
//
// Requests of one priority are ordered by start-time fair queueing: the start
// tags of an organisation's requests are spaced by cost divided by weight, and
// the request with the lowest tag goes next. An organisation that exceeds its
// share only delays itself.
type Queue struct {
	mu          sync.Mutex
	maxWaiting  int
	levels      map[int]*priorityLevel
	running     int
	waiting     int
	limit       adaptiveLimit
	minHoldMS   float64   // recent minimum hold time of a permit; 0 if unknown
	nextRetryAt time.Time // earliest retry time for the next refusal
	meanHoldMS  float64   // moving average of the hold time; 0 if unknown
}

// priorityLevel holds the waiting requests of one priority.
type priorityLevel struct {
	virtualTime float64          // start tag of the request dispatched last
	flows       map[string]*flow // by organisation
}

// flow holds the waiting requests of one organisation, lowest start tag first.
type flow struct {
	finishTag float64 // lowest start tag of the next request
	waiters   []*waiter
}

type waiter struct {
	request  Request
	startTag float64
	granted  chan struct{} // closed when a permit is granted
	refused  chan *Refusal
}

// Permit allows one request to run. Release it exactly once.
type Permit struct {
	queue *Queue
	since time.Time
}

// NewQueue returns an empty queue.
func NewQueue(o Options) *Queue {
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	return &Queue{maxWaiting: o.MaxWaiting, levels: map[int]*priorityLevel{}, limit: newAdaptiveLimit(o.Ceiling)}
}

// SetCeiling sets the maximum concurrency limit, such as the number of slots of
// the pool.
func (q *Queue) SetCeiling(ceiling int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.setCeiling(ceiling)
	q.dispatch(time.Now())
}

// Acquire waits for a permit until r.StartBy or the end of ctx. The error is
// always a *Refusal.
func (q *Queue) Acquire(ctx context.Context, r Request) (*Permit, error) {
	w, refusal := q.enqueue(r, time.Now())
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(time.Until(r.StartBy))
	defer timer.Stop()
	select {
	case <-w.granted:
		return &Permit{queue: q, since: time.Now()}, nil
	case refused := <-w.refused:
		return nil, refused
	case <-timer.C:
		return q.withdraw(w, WaitTooLong)
	case <-ctx.Done():
		return q.withdraw(w, Cancelled)
	}
}

// enqueue adds r to the queue, or refuses it if its projected start is too late
// or the queue is full.
func (q *Queue) enqueue(r Request, now time.Time) (*waiter, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.level(r.Priority)
	flow := l.flow(r.Organisation)
	w := &waiter{request: r, granted: make(chan struct{}), refused: make(chan *Refusal, 1)}
	w.startTag = max(l.virtualTime, flow.finishTag)
	ahead := q.countAhead(w)
	wait := q.projectedWait(ahead)
	if q.full() && now.Add(wait).After(r.StartBy) {
		return nil, q.newRefusal(WaitTooLong, wait, now)
	}
	if q.waiting >= q.maxWaiting && !q.evict(w, now) {
		return nil, q.newRefusal(QueueFull, wait, now)
	}
	flow.finishTag = w.startTag + r.Cost/r.Weight
	flow.waiters = append(flow.waiters, w)
	q.waiting++
	q.dispatch(now)
	return w, nil
}

// evict makes room for w by refusing the last waiter in queue order. It reports
// false if w itself would be the last.
func (q *Queue) evict(w *waiter, now time.Time) bool {
	var last *waiter
	for _, l := range q.levels {
		for _, flow := range l.flows {
			if n := len(flow.waiters); n > 0 && (last == nil || last.before(flow.waiters[n-1])) {
				last = flow.waiters[n-1]
			}
		}
	}
	if last == nil || !w.before(last) {
		return false
	}
	q.drop(last)
	last.refused <- q.newRefusal(QueueFull, q.projectedWait(q.waiting), now)
	return true
}

func (w *waiter) before(other *waiter) bool {
	if w.request.Priority != other.request.Priority {
		return w.request.Priority > other.request.Priority
	}
	return w.startTag < other.startTag
}

func (q *Queue) countAhead(w *waiter) int {
	n := 0
	for _, l := range q.levels {
		for _, flow := range l.flows {
			for _, other := range flow.waiters {
				if other.before(w) {
					n++
				}
			}
		}
	}
	return n
}

func (q *Queue) full() bool { return q.running >= q.limit.current() }

// projectedWait estimates the wait of a request with ahead waiters before it.
func (q *Queue) projectedWait(ahead int) time.Duration {
	if !q.full() {
		return 0
	}
	releaseInterval := q.meanHoldMS / float64(q.limit.current())
	return time.Duration(float64(ahead+1) * releaseInterval * float64(time.Millisecond))
}

// newRefusal returns a refusal. Successive refusals get successive retry times,
// spaced at the service rate of the pool, so that the callers do not all retry
// at once.
func (q *Queue) newRefusal(c Cause, wait time.Duration, now time.Time) *Refusal {
	at := now.Add(max(wait, minRetryAfter))
	if q.nextRetryAt.After(at) {
		at = q.nextRetryAt
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	releaseInterval := time.Duration(q.minHoldMS / q.limit.ceiling * float64(time.Millisecond))
	q.nextRetryAt = at.Add(time.Duration(retrySpacing * float64(releaseInterval)))
	return &Refusal{Cause: c, RetryAt: at.Add(time.Duration(rand.Float64() * refusalJitterShare * float64(at.Sub(now))))}
}

// Jittered returns now plus wait plus a random duration of up to half of wait.
func Jittered(now time.Time, wait time.Duration) time.Time {
	return now.Add(wait + time.Duration(rand.Float64()*maxJitterShare*float64(wait)))
}

// RetryAt returns a jittered estimate of when the requests that wait now will
// have started.
func (q *Queue) RetryAt(now time.Time) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.newRefusal(QueueFull, q.projectedWait(q.waiting), now).RetryAt
}

// withdraw removes w from the queue. If w was granted a permit in the meantime,
// the permit is returned to the caller, or released if c is Cancelled.
func (q *Queue) withdraw(w *waiter, c Cause) (*Permit, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.granted:
		if c != Cancelled {
			return &Permit{queue: q, since: time.Now()}, nil
		}
		q.running--
		q.dispatch(time.Now())
		return nil, &Refusal{Cause: Cancelled}
	case r := <-w.refused:
		return nil, r
	default:
	}
	wait := q.projectedWait(q.countAhead(w))
	q.drop(w)
	return nil, q.newRefusal(c, wait, time.Now())
}

// remove removes w from the queue and returns the waiters of its flow that were behind
// it.
func (q *Queue) remove(w *waiter) []*waiter {
	flow := q.level(w.request.Priority).flow(w.request.Organisation)
	for i, other := range flow.waiters {
		if other == w {
			flow.waiters = append(flow.waiters[:i], flow.waiters[i+1:]...)
			q.waiting--
			return flow.waiters[i:]
		}
	}
	return nil
}

// drop removes a waiter that gets no permit and gives its cost back to its
// organisation, so that requests that never ran do not delay later ones.
func (q *Queue) drop(w *waiter) {
	cost := w.request.Cost / w.request.Weight
	earliest := w.startTag
	for _, behind := range q.remove(w) {
		behind.startTag = max(earliest, behind.startTag-cost)
		earliest = behind.startTag + behind.request.Cost/behind.request.Weight
	}
	flow := q.level(w.request.Priority).flow(w.request.Organisation)
	flow.finishTag = max(earliest, flow.finishTag-cost)
}

// dispatch grants permits in queue order up to the limit. It refuses requests whose
// StartBy has passed.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 && !q.full() {
		w := q.next()
		if now.After(w.request.StartBy) {
			q.drop(w)
			w.refused <- q.newRefusal(WaitTooLong, q.projectedWait(q.waiting), now)
			continue
		}
		q.remove(w)
		q.level(w.request.Priority).virtualTime = w.startTag
		q.running++
		close(w.granted)
	}
}

func (q *Queue) next() *waiter {
	var first *waiter
	for _, l := range q.levels {
		for _, flow := range l.flows {
			if len(flow.waiters) > 0 && (first == nil || flow.waiters[0].before(first)) {
				first = flow.waiters[0]
			}
		}
	}
	return first
}

func (q *Queue) level(priority int) *priorityLevel {
	l, ok := q.levels[priority]
	if !ok {
		l = &priorityLevel{flows: map[string]*flow{}}
		q.levels[priority] = l
	}
	return l
}

func (l *priorityLevel) flow(organisation string) *flow {
	f, ok := l.flows[organisation]
	if !ok {
		f = &flow{}
		l.flows[organisation] = f
	}
	return f
}

// ObserveLatency records the time to the first result of a request and its
// target (0: none). Call it before Release.
func (p *Permit) ObserveLatency(firstMilliseconds, targetMilliseconds int) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.observe(time.Now(), firstMilliseconds, targetMilliseconds, q.waiting > 0 || q.running >= q.limit.current())
	q.dispatch(time.Now())
}

// ReportOverload records that a server refused the request because it was busy.
func (p *Permit) ReportOverload() {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.lowerForOverload(time.Now())
}

// Release returns the permit to the queue.
func (p *Permit) Release() {
	q := p.queue
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	held := float64(now.Sub(p.since).Microseconds()) / 1000
	q.meanHoldMS = average(q.meanHoldMS, held)
	if q.minHoldMS == 0 || held < q.minHoldMS {
		q.minHoldMS = held
	}
	q.minHoldMS *= minHoldGrowth
	q.dispatch(now)
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + holdSampleWeight*(sample-old)
}

// State holds the numbers of running and waiting requests and the current
// concurrency limit of a queue.
type State struct {
	Running, Waiting, Limit int
}

// State returns the current state.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{Running: q.running, Waiting: q.waiting, Limit: q.limit.current()}
}
