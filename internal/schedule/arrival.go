package schedule

import (
	"sync"
	"time"
)

// ArrivalEstimator estimates when a caller made its first attempt. A call carries
// its remaining time but not the time of the first attempt. Callers of a route
// start with about the same timeout, so a call with much less time left is
// likely a retry. An ArrivalEstimator is safe for concurrent use.
type ArrivalEstimator struct {
	mu     sync.Mutex
	routes map[string]routeMax
}

// routeMax is the longest remaining time of recent calls on a route.
type routeMax struct {
	openedAt   time.Time // start of the current period
	previousMS int64     // of the previous period
	ms         int64     // of the current period
}

// NewArrivalEstimator returns an estimator without recorded calls.
func NewArrivalEstimator() *ArrivalEstimator { return &ArrivalEstimator{routes: map[string]routeMax{}} }

const (
	// firstCallShare is the least share of the longest remaining time on a route
	// that a first call has: callers' timeouts vary by 15% on both users' sites.
	firstCallShare = 0.85
	// routeSpan is the length of the period over which a maximum is taken, longer
	// than a caller waits. A maximum is used for one to two periods.
	routeSpan = 10 * time.Second
)

// FirstCall returns the estimated time of the first attempt for a call that
// arrives at now: now, or an earlier time if the call has much less time left than
// other recent calls on the route.
func (e *ArrivalEstimator) FirstCall(route string, now, deadline time.Time) time.Time {
	left := deadline.Sub(now).Milliseconds()
	e.mu.Lock()
	defer e.mu.Unlock()
	window := e.routes[route]
	if elapsed := now.Sub(window.openedAt); elapsed >= 2*routeSpan {
		window = routeMax{openedAt: now}
	} else if elapsed >= routeSpan {
		window = routeMax{openedAt: now, previousMS: window.ms}
	}
	window.ms = max(window.ms, left)
	e.routes[route] = window
	longest := max(window.previousMS, window.ms)
	if float64(left) >= firstCallShare*float64(longest) {
		return now
	}
	return now.Add(-time.Duration(longest-left) * time.Millisecond)
}
