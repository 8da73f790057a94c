package proxy

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
)

const (
	// stallCheckFactor times the route's target latency is the delay after which
	// the proxy starts to check whether a request has stalled.
	stallCheckFactor = 1.5
	// minStallCheckDelay is the least such delay, so that a server that is only
	// busy is not taken for a stalled one.
	minStallCheckDelay = 350 * time.Millisecond
	// stallCheckInterval is the time between checks of a silent server.
	stallCheckInterval = 100 * time.Millisecond
	// maxStreamPause is the longest time without an event before another server is asked to
	// go on with the stream. Callers disconnect after two seconds.
	maxStreamPause = time.Second
	// maxCheckDelay is the delay of a check from which the gateway itself has paused. Its
	// servers may have sent data that it has not read.
	maxCheckDelay = stallCheckInterval
)

// stallTimer calls onSilence while an attempt's server is silent. Only a complete event
// ends a silence: a stalled server may still send headers, comments and single bytes.
type stallTimer struct {
	onSilence func(since time.Time)

	mu      sync.Mutex
	timer   *time.Timer
	checkAt time.Time
	since   time.Time   // start of the silence
	stalled func() bool // nil: the timer is stopped
}

// start begins the checks at a time. The server is silent while stalled returns true.
func (t *stallTimer) start(at time.Time, stalled func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since, t.checkAt, t.stalled = time.Now(), at, stalled
	if t.timer == nil {
		t.timer = time.AfterFunc(time.Until(at), t.check)
		return
	}
	t.timer.Reset(time.Until(at))
}

// check calls onSilence if the server is silent. The timer of an earlier start finds that
// its time has not come.
func (t *stallTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch {
	case t.stalled == nil, now.Before(t.checkAt):
		return
	case now.Sub(t.checkAt) > maxCheckDelay:
		counter.Add("StallChecksLate", 1)
	case t.stalled():
		t.onSilence(t.since)
	}
	t.checkAt = time.Now().Add(stallCheckInterval)
	t.timer.Reset(stallCheckInterval)
}

// stop ends the checks. None is in progress when it returns.
func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalled = nil
	if t.timer != nil {
		t.timer.Stop()
	}
}
