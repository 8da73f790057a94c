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
	routes map[string]*recentMS // remaining time of the last calls
}

// NewArrivalEstimator returns an estimator without recorded calls.
func NewArrivalEstimator() *ArrivalEstimator {
	return &ArrivalEstimator{routes: map[string]*recentMS{}}
}

const (
	// firstCallShare is the least share of the usual timeout of a route that a first
	// call has left: callers' timeouts vary by 15% on both users' sites.
	firstCallShare = 0.85
	// minRetryShare is the least share that a retry has left. Callers retry a few times,
	// so a call with less comes from a caller with another timeout.
	minRetryShare = 0.15
	// longTimeoutShare is the share of a route's calls whose timeouts may be longer
	// than the usual one.
	longTimeoutShare = 0.1
	// minRouteCalls is the number of calls without which no timeout is usual.
	minRouteCalls = 10
	// routeSpan is how long a call is used, longer than a caller waits.
	routeSpan = 20 * time.Second
)

// FirstCall returns the estimated time of the first attempt for a call that
// arrives at now: now, or an earlier time if the call has much less time left than
// other recent calls on the route.
func (e *ArrivalEstimator) FirstCall(route string, now, deadline time.Time) time.Time {
	leftMS := deadline.Sub(now).Milliseconds()
	e.mu.Lock()
	defer e.mu.Unlock()
	calls, ok := e.routes[route]
	if !ok {
		calls = &recentMS{}
		e.routes[route] = calls
	}
	calls.add(now, leftMS)
	usualMS := usualTimeoutMS(now, calls)
	share := float64(leftMS) / float64(max(1, usualMS))
	if share < minRetryShare || share >= firstCallShare {
		return now
	}
	return now.Add(-time.Duration(usualMS-leftMS) * time.Millisecond)
}

// usualTimeoutMS returns the usual timeout of first calls, or 0 if there are too few calls:
// the longest remaining time but for the longTimeoutShare longest ones, so that few callers
// with long timeouts do not make retries of all others.
func usualTimeoutMS(now time.Time, calls *recentMS) int64 {
	ms, count := calls.longest(now, routeSpan, longTimeoutShare)
	if count < minRouteCalls {
		return 0
	}
	return ms
}
