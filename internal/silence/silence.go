// Package silence watches for peers that owe data and send none, and says how often another
// peer may be asked to go on in their place.
package silence

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
)

const (
	// CheckInterval is the time between checks of a silent peer.
	CheckInterval = 100 * time.Millisecond
	// maxCheckDelay is the delay of a check from which this process itself has paused. Its
	// peers may have sent data that it has not read.
	maxCheckDelay = CheckInterval
	// maxDoublings limits the delay between successors to a few seconds.
	maxDoublings = 5
)

// Timer calls OnSilence while a peer is silent. It is safe for concurrent use.
type Timer struct {
	// OnSilence is called at each check with the time of the last Start.
	OnSilence func(since time.Time)

	mu      sync.Mutex
	timer   *time.Timer
	since   time.Time
	checkAt time.Time
	silent  func() bool // nil: the timer is stopped
}

// Start begins the checks at a time. The peer is silent while silent returns true.
func (t *Timer) Start(at time.Time, silent func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since, t.checkAt, t.silent = time.Now(), at, silent
	if t.timer == nil {
		t.timer = time.AfterFunc(time.Until(at), t.check)
		return
	}
	t.timer.Reset(time.Until(at))
}

// check calls OnSilence if the peer is silent. The timer of an earlier Start finds that its
// time has not come.
func (t *Timer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch {
	case t.silent == nil, now.Before(t.checkAt):
		return
	case now.Sub(t.checkAt) > maxCheckDelay:
		counter.Add("StallChecksLate", 1)
	case t.silent():
		t.OnSilence(t.since)
	}
	t.checkAt = time.Now().Add(CheckInterval)
	t.timer.Reset(CheckInterval)
}

// Stop ends the checks until the next Start. None is in progress when it returns.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = nil
	if t.timer != nil {
		t.timer.Stop()
	}
}

// Always is for peers that owe data whenever they are checked.
func Always() bool { return true }

// SuccessorAfter returns the earliest time of the next successor of a silent peer, if one
// starts now after others. The delay doubles with each, so that a long silence takes few
// retries from the budget.
func SuccessorAfter(now time.Time, others int) time.Time {
	return now.Add(CheckInterval << min(others, maxDoublings))
}
