// Package slotqueue is the request queue of the stand-in engine. It admits requests
// to a fixed number of slots by priority and reports the load with a delay.
package slotqueue

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/engine"
)

// Queue runs a limited number of requests at once. The others wait in order of
// priority, then of arrival. It is safe for concurrent use.
type Queue struct {
	slots           int
	lagMilliseconds int

	mu       sync.Mutex
	running  int
	waiting  waiterHeap
	arrivals uint64
	idle     chan struct{} // from Drained; closed when no request runs or waits; nil: not requested
	history  []sample      // oldest first
}

// sample is the load from the time at until the next sample.
type sample struct {
	at   time.Time
	load engine.Load
}

// Waiter is a request that waits for a slot or holds one.
type Waiter struct {
	priority  int
	arrival   uint64
	admitted  chan struct{}
	heapIndex int // -1: no longer in the heap
}

// New returns a queue with the given number of slots. Its load report is
// lagMilliseconds old.
func New(slots, lagMilliseconds int) *Queue {
	return &Queue{slots: slots, lagMilliseconds: lagMilliseconds}
}

// Enqueue adds a request and admits it at once if a slot is free. A higher priority
// is admitted first.
func (q *Queue) Enqueue(priority int) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals++
	w := &Waiter{priority: priority, arrival: q.arrivals, admitted: make(chan struct{})}
	heap.Push(&q.waiting, w)
	q.admit()
	return w
}

// Wait waits until w is admitted. If ctx is done first, it removes w and returns
// ctx's error.
func (q *Queue) Wait(ctx context.Context, w *Waiter) error {
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		q.cancel(w)
		return ctx.Err()
	}
}

// cancel removes w, or releases its slot if it was admitted in the meantime.
func (q *Queue) cancel(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.heapIndex < 0 {
		q.running--
	} else {
		heap.Remove(&q.waiting, w.heapIndex)
	}
	q.admit()
}

// Release frees the slot of an admitted request.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.admit()
}

// admit fills free slots, records the load and closes idle if the queue is empty.
// The caller holds mu.
func (q *Queue) admit() {
	for q.running < q.slots && q.waiting.Len() > 0 {
		w := heap.Pop(&q.waiting).(*Waiter)
		q.running++
		close(w.admitted)
	}
	q.record(time.Now())
	if q.idle != nil && q.running == 0 && q.waiting.Len() == 0 {
		close(q.idle)
		q.idle = nil
	}
}

// Drained returns a channel that is closed as soon as no request runs or waits.
func (q *Queue) Drained() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.idle == nil {
		q.idle = make(chan struct{})
	}
	idle := q.idle
	if q.running == 0 && q.waiting.Len() == 0 {
		close(q.idle)
		q.idle = nil
	}
	return idle
}

func (q *Queue) record(now time.Time) {
	load := engine.Load{Running: q.running, Waiting: q.waiting.Len(), Slots: q.slots}
	q.history = append(q.history, sample{at: now, load: load})
	q.pruneHistory(now)
}

// pruneHistory drops samples that are too old for any later report.
func (q *Queue) pruneHistory(now time.Time) {
	cutoff := now.Add(-time.Duration(q.lagMilliseconds) * time.Millisecond)
	for len(q.history) > 1 && !q.history[1].at.After(cutoff) {
		q.history = q.history[1:]
	}
}

// Report returns the load as it was lagMilliseconds ago.
func (q *Queue) Report() engine.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.pruneHistory(now)
	cutoff := now.Add(-time.Duration(q.lagMilliseconds) * time.Millisecond)
	if len(q.history) == 0 || q.history[0].at.After(cutoff) {
		return engine.Load{Slots: q.slots}
	}
	return q.history[0].load
}

// waiterHeap implements heap.Interface, highest priority first.
type waiterHeap []*Waiter

// Len returns the number of waiters.
func (h waiterHeap) Len() int { return len(h) }

// Less orders by priority, then by arrival.
func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

// Swap exchanges two waiters.
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a *Waiter.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter.
func (h *waiterHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	w.heapIndex = -1
	return w
}
