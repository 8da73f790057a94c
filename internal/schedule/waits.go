package schedule

import (
	"sync"
	"time"
)

// Waits infers how long callers have waited before. A call says how long its
// caller still waits, not when it called first; but callers of one route set
// out with about the same time, so one that has much less left was here before.
// It is safe for concurrent use.
type Waits struct {
	mu     sync.Mutex
	routes map[string]longest
}

// longest is the longest time left that callers of a route had, lately.
type longest struct {
	openedAt time.Time
	lastMS   int64 // of the span before
	ms       int64
}

// NewWaits returns waits that know no caller.
func NewWaits() *Waits { return &Waits{routes: map[string]longest{}} }

const (
	// freshShare of the longest time left is what a first call has at least:
	// callers on both users' sites vary theirs by 15 in a hundred.
	freshShare = 0.85
	// longestSpan is remembered once or twice: longer than a caller waits.
	longestSpan = 10 * time.Second
)

// FirstCall returns when the caller of a call that arrived now called first: now,
// or at an earlier call of a caller that has much less time left than others.
func (w *Waits) FirstCall(route string, now, deadline time.Time) time.Time {
	left := deadline.Sub(now).Milliseconds()
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.routes[route]
	if elapsed := now.Sub(l.openedAt); elapsed >= 2*longestSpan {
		l = longest{openedAt: now}
	} else if elapsed >= longestSpan {
		l = longest{openedAt: now, lastMS: l.ms}
	}
	l.ms = max(l.ms, left)
	w.routes[route] = l
	most := max(l.lastMS, l.ms)
	if float64(left) >= freshShare*float64(most) {
		return now
	}
	return now.Add(-time.Duration(most-left) * time.Millisecond)
}
