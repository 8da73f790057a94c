// Package limit admits requests to a pool of servers: a bounded queue that is
// shared fairly between organisations, a concurrency limit that follows the
// latency it observes, and early refusal with an honest time to come back.
package limit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	defaultMaxWaiting = 1024
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 4 * time.Second
	retryJitter       = 0.5   // share of the delay that is added at random
	promiseShare      = 0.75  // of the time that the pool needs a request, between promises
	quickDrift        = 1.002 // growth of the best holding time a permit
	promiseJitter     = 0.1   // of a delay that was promised
	holdWeight        = 0.05  // of a new sample in the moving average
)

// Cause says why an Ask was refused.
type Cause int

// Causes.
const (
	QueueFull   Cause = iota // too many wait
	WaitTooLong              // it would not start by Ask.StartBy
	Gone                     // the context ended while it waited
)

// Refusal reports an Ask that got no permit.
type Refusal struct {
	Cause   Cause
	RetryAt time.Time
}

// Error names the reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not admitted (cause %d), retry at %s", r.Cause, r.RetryAt.Format(time.RFC3339Nano))
}

// Ask is a request for a permit.
type Ask struct {
	Organisation string
	Weight       float64 // share relative to the other organisations, above 0
	Cost         float64 // estimated work, such as tokens, above 0
	Priority     int     // higher goes first
	StartBy      time.Time
}

// Options of a queue.
type Options struct {
	MaxWaiting int // requests that wait at most; 0 means 1024
	Ceiling    int // highest concurrency limit and the first one; at least 1
}

// Queue admits asks. It is safe for concurrent use.
//
// Start-time fair queueing orders the asks of one priority: each organisation's
// asks are tagged one after the other at cost over weight apart, and the lowest
// tag goes next. An organisation that asks for more than its share only delays
// itself.
type Queue struct {
	mu         sync.Mutex
	maxWaiting int
	levels     map[int]*level
	running    int
	waiting    int
	limit      adaptive
	quick      float64   // milliseconds that a permit was held at best, lately
	promised   time.Time // when the last refused ask may come back
	hold       float64   // milliseconds that a permit is held on average; 0: not known
}

type level struct {
	virtual float64
	lanes   map[string]*lane
}

type lane struct {
	finish  float64
	tickets []*ticket
}

type ticket struct {
	ask     Ask
	start   float64
	granted chan struct{}
	refused chan *Refusal
}

// Permit lets one request run. Return it once.
type Permit struct {
	queue *Queue
	since time.Time
}

// NewQueue returns an empty queue.
func NewQueue(o Options) *Queue {
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	return &Queue{maxWaiting: o.MaxWaiting, levels: map[int]*level{}, limit: newAdaptive(o.Ceiling)}
}

// SetCeiling sets the highest concurrency limit, such as the pool's slots.
func (q *Queue) SetCeiling(ceiling int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.setCeiling(ceiling)
	q.pump(time.Now())
}

// Acquire waits for a permit. The error is always a *Refusal.
func (q *Queue) Acquire(ctx context.Context, a Ask) (*Permit, error) {
	t, refusal := q.join(a, time.Now())
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(time.Until(a.StartBy))
	defer timer.Stop()
	select {
	case <-t.granted:
		return &Permit{queue: q, since: time.Now()}, nil
	case r := <-t.refused:
		return nil, r
	case <-timer.C:
		return q.abandon(t, WaitTooLong)
	case <-ctx.Done():
		return q.abandon(t, Gone)
	}
}

func (q *Queue) join(a Ask, now time.Time) (*ticket, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.level(a.Priority)
	lane := l.lane(a.Organisation)
	t := &ticket{ask: a, granted: make(chan struct{}), refused: make(chan *Refusal, 1)}
	t.start = max(l.virtual, lane.finish)
	ahead := q.ahead(t)
	wait := q.projected(ahead)
	if q.full() && now.Add(wait).After(a.StartBy) {
		return nil, q.refusal(WaitTooLong, wait, now)
	}
	if q.waiting >= q.maxWaiting && !q.evict(t, now) {
		return nil, q.refusal(QueueFull, wait, now)
	}
	lane.finish = t.start + a.Cost/a.Weight
	lane.tickets = append(lane.tickets, t)
	q.waiting++
	q.pump(now)
	return t, nil
}

// evict makes room for t by refusing the waiting ticket that would go last.
func (q *Queue) evict(t *ticket, now time.Time) bool {
	var last *ticket
	for _, l := range q.levels {
		for _, lane := range l.lanes {
			if n := len(lane.tickets); n > 0 && (last == nil || last.before(lane.tickets[n-1])) {
				last = lane.tickets[n-1]
			}
		}
	}
	if last == nil || !t.before(last) {
		return false
	}
	q.remove(last)
	last.refused <- q.refusal(QueueFull, q.projected(q.waiting), now)
	return true
}

func (t *ticket) before(o *ticket) bool {
	if t.ask.Priority != o.ask.Priority {
		return t.ask.Priority > o.ask.Priority
	}
	return t.start < o.start
}

func (q *Queue) ahead(t *ticket) int {
	n := 0
	for _, l := range q.levels {
		for _, lane := range l.lanes {
			for _, o := range lane.tickets {
				if o.before(t) {
					n++
				}
			}
		}
	}
	return n
}

func (q *Queue) full() bool { return q.running >= q.limit.allowed() }

// projected is the wait of a ticket with ahead tickets before it.
func (q *Queue) projected(ahead int) time.Duration {
	if !q.full() {
		return 0
	}
	each := q.hold / float64(q.limit.allowed())
	return time.Duration(float64(ahead+1) * each * float64(time.Millisecond))
}

// refusal promises each refused ask a time of its own, one after the other at
// the rate at which the pool works, so that they do not all come back at once.
func (q *Queue) refusal(c Cause, wait time.Duration, now time.Time) *Refusal {
	at := now.Add(max(wait, minRetryAfter))
	if q.promised.After(at) {
		at = q.promised
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	each := time.Duration(q.quick / q.limit.ceiling * float64(time.Millisecond))
	q.promised = at.Add(time.Duration(promiseShare * float64(each)))
	return &Refusal{Cause: c, RetryAt: at.Add(time.Duration(rand.Float64() * promiseJitter * float64(at.Sub(now))))}
}

// Jittered returns now plus wait plus up to half of wait at random.
func Jittered(now time.Time, wait time.Duration) time.Time {
	return now.Add(wait + time.Duration(rand.Float64()*retryJitter*float64(wait)))
}

// RetryAt returns a jittered time at which the work that waits now should be done.
func (q *Queue) RetryAt(now time.Time) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.refusal(QueueFull, q.projected(q.waiting), now).RetryAt
}

// abandon leaves the queue; a permit that was granted meanwhile is used.
func (q *Queue) abandon(t *ticket, c Cause) (*Permit, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-t.granted:
		if c != Gone {
			return &Permit{queue: q, since: time.Now()}, nil
		}
		q.running--
		q.pump(time.Now())
		return nil, &Refusal{Cause: Gone}
	case r := <-t.refused:
		return nil, r
	default:
	}
	wait := q.projected(q.ahead(t))
	q.remove(t)
	return nil, q.refusal(c, wait, time.Now())
}

func (q *Queue) remove(t *ticket) {
	lane := q.level(t.ask.Priority).lane(t.ask.Organisation)
	for i, o := range lane.tickets {
		if o == t {
			lane.tickets = append(lane.tickets[:i], lane.tickets[i+1:]...)
			q.waiting--
			return
		}
	}
}

// pump grants permits while the limit allows.
func (q *Queue) pump(now time.Time) {
	for q.waiting > 0 && !q.full() {
		t := q.next()
		q.remove(t)
		q.level(t.ask.Priority).virtual = t.start
		if now.After(t.ask.StartBy) {
			t.refused <- q.refusal(WaitTooLong, q.projected(q.waiting), now)
			continue
		}
		q.running++
		close(t.granted)
	}
}

func (q *Queue) next() *ticket {
	var best *ticket
	for _, l := range q.levels {
		for _, lane := range l.lanes {
			if len(lane.tickets) > 0 && (best == nil || lane.tickets[0].before(best)) {
				best = lane.tickets[0]
			}
		}
	}
	return best
}

func (q *Queue) level(priority int) *level {
	l, ok := q.levels[priority]
	if !ok {
		l = &level{lanes: map[string]*lane{}}
		q.levels[priority] = l
	}
	return l
}

func (l *level) lane(organisation string) *lane {
	n, ok := l.lanes[organisation]
	if !ok {
		n = &lane{}
		l.lanes[organisation] = n
	}
	return n
}

// Observed tells the queue how long a request took to its first result and
// what its target was, while the permit is held.
func (p *Permit) Observed(firstMilliseconds, targetMilliseconds int) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.observe(time.Now(), firstMilliseconds, targetMilliseconds, q.waiting > 0 || q.running >= q.limit.allowed())
	q.pump(time.Now())
}

// Overloaded tells the queue that a server refused the request as busy.
func (p *Permit) Overloaded() {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.overloaded(time.Now())
}

// Return gives the permit back.
func (p *Permit) Return() {
	q := p.queue
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	held := float64(now.Sub(p.since).Microseconds()) / 1000
	q.hold = average(q.hold, held)
	if q.quick == 0 || held < q.quick {
		q.quick = held
	}
	q.quick *= quickDrift
	q.pump(now)
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + holdWeight*(sample-old)
}

// State is what a queue does at one moment.
type State struct {
	Running, Waiting, Limit int
}

// State returns what the queue does now.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{Running: q.running, Waiting: q.waiting, Limit: q.limit.allowed()}
}
