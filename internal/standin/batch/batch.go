// Package batch admits an engine stand-in's requests to its slots by priority
// and reports its load with a lag.
package batch

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/engine"
)

// Batch admits at most slots requests at once; the others wait in order of
// priority, then of arrival. It is safe for concurrent use.
type Batch struct {
	slots           int
	lagMilliseconds int

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

// Ticket is a request that waits or runs.
type Ticket struct {
	priority int
	arrival  uint64
	admitted chan struct{}
	index    int // in the queue; -1: left it
}

// New returns a batch of slots whose load report lags by lagMilliseconds.
func New(slots, lagMilliseconds int) *Batch {
	return &Batch{slots: slots, lagMilliseconds: lagMilliseconds}
}

// Join queues a request, or admits it at once when a slot is free.
func (b *Batch) Join(priority int) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals++
	t := &Ticket{priority: priority, arrival: b.arrivals, admitted: make(chan struct{})}
	heap.Push(&b.waiting, t)
	b.admit()
	return t
}

// Wait waits for the ticket's slot. It returns ctx's error when ctx ends first.
func (b *Batch) Wait(ctx context.Context, t *Ticket) error {
	select {
	case <-t.admitted:
		return nil
	case <-ctx.Done():
		b.abandon(t)
		return ctx.Err()
	}
}

// abandon gives up a ticket, or its slot if it was admitted meanwhile.
func (b *Batch) abandon(t *Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.index < 0 {
		b.running--
	} else {
		heap.Remove(&b.waiting, t.index)
	}
	b.admit()
}

// Leave gives a slot back.
func (b *Batch) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.admit()
}

// admit fills free slots and records the load. The lock is held.
func (b *Batch) admit() {
	for b.running < b.slots && b.waiting.Len() > 0 {
		t := heap.Pop(&b.waiting).(*Ticket)
		b.running++
		close(t.admitted)
	}
	b.record(time.Now())
	if b.idle != nil && b.running == 0 && b.waiting.Len() == 0 {
		close(b.idle)
		b.idle = nil
	}
}

// Drained returns a channel that closes when nothing runs or waits.
func (b *Batch) Drained() <-chan struct{} {
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

func (b *Batch) record(now time.Time) {
	load := engine.Load{Running: b.running, Waiting: b.waiting.Len(), Slots: b.slots}
	b.history = append(b.history, sample{at: now, load: load})
	b.forget(now)
}

// forget drops the samples that no report can need any more.
func (b *Batch) forget(now time.Time) {
	shown := now.Add(-time.Duration(b.lagMilliseconds) * time.Millisecond)
	for len(b.history) > 1 && !b.history[1].at.After(shown) {
		b.history = b.history[1:]
	}
}

// Report returns the load as it was the lag ago.
func (b *Batch) Report() engine.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.forget(now)
	shown := now.Add(-time.Duration(b.lagMilliseconds) * time.Millisecond)
	if len(b.history) == 0 || b.history[0].at.After(shown) {
		return engine.Load{Slots: b.slots}
	}
	return b.history[0].load
}

// queue is a heap of tickets, highest priority first.
type queue []*Ticket

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

// Push appends a *Ticket.
func (q *queue) Push(x any) {
	t := x.(*Ticket)
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
