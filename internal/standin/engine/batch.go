package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/engine"
)

// batch admits at most slots requests at once; the others wait in order of
// priority, then of arrival.
type batch struct {
	slots     int
	lagMillis int

	mu       sync.Mutex
	running  int
	waiting  queue
	arrivals uint64
	idle     chan struct{} // closed when nothing runs or waits
	history  []sample      // oldest first
}

// sample is the load from one moment on.
type sample struct {
	at   time.Time
	load engine.Load
}

// ticket is a request that waits.
type ticket struct {
	priority int
	arrival  uint64
	admitted chan struct{}
	index    int // in the queue; -1: left it
}

func newBatch(slots, lagMillis int) *batch {
	return &batch{slots: slots, lagMillis: lagMillis}
}

// join queues a request, or admits it at once when a slot is free.
func (b *batch) join(priority int) *ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals++
	t := &ticket{priority: priority, arrival: b.arrivals, admitted: make(chan struct{})}
	heap.Push(&b.waiting, t)
	b.admit()
	return t
}

// wait waits for the ticket's slot. It returns ctx's error when ctx ends first.
func (b *batch) wait(ctx context.Context, t *ticket) error {
	select {
	case <-t.admitted:
		return nil
	case <-ctx.Done():
		b.abandon(t)
		return ctx.Err()
	}
}

// abandon gives up a ticket, or its slot if it was admitted meanwhile.
func (b *batch) abandon(t *ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.index < 0 {
		b.running--
	} else {
		heap.Remove(&b.waiting, t.index)
	}
	b.admit()
}

// leave gives a slot back.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.admit()
}

// admit fills free slots and records the load. The lock is held.
func (b *batch) admit() {
	for b.running < b.slots && b.waiting.Len() > 0 {
		t := heap.Pop(&b.waiting).(*ticket)
		b.running++
		close(t.admitted)
	}
	b.record(time.Now())
	if b.idle != nil && b.running == 0 && b.waiting.Len() == 0 {
		close(b.idle)
		b.idle = nil
	}
}

// drained returns a channel that closes when nothing runs or waits.
func (b *batch) drained() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.idle == nil {
		b.idle = make(chan struct{})
	}
	idle := b.idle
	if b.running == 0 && b.waiting.Len() == 0 {
		close(b.idle)
		b.idle = nil
	}
	return idle
}

func (b *batch) record(now time.Time) {
	load := engine.Load{Running: b.running, Waiting: b.waiting.Len(), Slots: b.slots}
	b.history = append(b.history, sample{at: now, load: load})
	b.forget(now)
}

// forget drops the samples that no report can need any more.
func (b *batch) forget(now time.Time) {
	shown := now.Add(-time.Duration(b.lagMillis) * time.Millisecond)
	for len(b.history) > 1 && !b.history[1].at.After(shown) {
		b.history = b.history[1:]
	}
}

// report returns the load as it was the lag ago.
func (b *batch) report() engine.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.forget(now)
	shown := now.Add(-time.Duration(b.lagMillis) * time.Millisecond)
	if len(b.history) == 0 || b.history[0].at.After(shown) {
		return engine.Load{Slots: b.slots}
	}
	return b.history[0].load
}

// queue is a heap of tickets, highest priority first.
type queue []*ticket

// Len returns the number of tickets.
func (q queue) Len() int { return len(q) }

// Less orders by priority, then by arrival.
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two tickets.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends a *ticket.
func (q *queue) Push(x any) {
	t := x.(*ticket)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop removes the last ticket.
func (q *queue) Pop() any {
	old := *q
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*q = old[:last]
	t.index = -1
	return t
}
