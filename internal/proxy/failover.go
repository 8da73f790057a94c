package proxy

import (
	"slices"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/schedule"
)

// failover holds the slot at another server with which a request goes on if its current
// attempt is given up. An attempt whose server is silent is given up only once there is
// such a slot, since the server may still answer. It is safe for concurrent use.
type failover struct {
	pools   *Pools
	service string
	// takeRetry takes a retry from the budget, or reports that none is left.
	takeRetry func() bool

	mu       sync.Mutex
	request  schedule.Request // of the attempt
	server   string           // of the attempt
	open     bool             // the attempt is running
	reserved *schedule.Start
}

// begin allows reservations while the attempt at a server runs.
func (f *failover) begin(request schedule.Request, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.request, f.server, f.open = request, server, true
}

// reserve takes a slot at another server and a retry for it. It reports whether the
// attempt may be given up.
func (f *failover) reserve() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.open || f.reserved != nil {
		return false
	}
	request := f.request
	request.Resumed, request.Retried = true, true
	request.Failed = append(slices.Clone(request.Failed), f.server)
	start, ok := f.pools.startElsewhere(f.service, request)
	if !ok {
		return false
	}
	if !f.takeRetry() {
		f.free(start)
		return false
	}
	f.reserved = &start
	return true
}

// end ends the reservations of an attempt. It reports whether a slot is reserved.
func (f *failover) end() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = false
	return f.reserved != nil
}

// take returns the reserved slot, or nil. The caller must use or release it.
func (f *failover) take() *schedule.Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	start := f.reserved
	f.reserved = nil
	return start
}

// release frees the slot of a request that ended without it.
func (f *failover) release() {
	if start := f.take(); start != nil {
		f.free(*start)
	}
}

func (f *failover) free(start schedule.Start) {
	f.pools.release(f.service, start.Server.ID, schedule.Abandoned, f.request.PromptMS)
}

// streamPauseTimer gives up an attempt whose stream pauses for longer than maxStreamPause,
// once another server can go on with it.
type streamPauseTimer struct {
	giveUp func() bool // reports whether the attempt was given up

	mu    sync.Mutex
	timer *time.Timer // nil before the first event
	round int         // of restart and stop; the timer of an earlier one does nothing
}

// restart starts to wait for the next event.
func (t *streamPauseTimer) restart() { t.start(maxStreamPause) }

func (t *streamPauseTimer) start(delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.round++
	round := t.round
	t.timer = time.AfterFunc(delay, func() { t.fire(round) })
}

func (t *streamPauseTimer) fire(round int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if round == t.round && !t.giveUp() {
		t.timer.Reset(stallCheckInterval)
	}
}

// stop ends the wait.
func (t *streamPauseTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.round++
	if t.timer != nil {
		t.timer.Stop()
	}
}
