package limit

import (
	"sync"
	"time"
)

// windowSlots is the number of time slots of a RetryWindow.
const windowSlots = 10

// RetryWindow limits the retries in a sliding time window to a share of the
// requests in it, plus a fixed number. Unlike a RetryBudget, whose reserve is
// capped, it allows a burst of retries in proportion to all requests of the
// window. It is safe for concurrent use.
type RetryWindow struct {
	mu        sync.Mutex
	share     float64   // retries per request
	slotNS    int64     // duration of a slot in nanoseconds
	slotStart time.Time // start of the current slot
	current   int       // index of the current slot
	requests  [windowSlots]int
	retries   [windowSlots]int
}

// NewRetryWindow returns a window of length span with share retries per
// request. The span must be at least windowSlots nanoseconds.
func NewRetryWindow(share float64, span time.Duration) *RetryWindow {
	return &RetryWindow{share: share, slotNS: int64(span / windowSlots), slotStart: time.Now()}
}

// CountRequest counts a request at now.
func (w *RetryWindow) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
}

// TakeRetry counts a retry at now. It reports false if the requests in the
// window and extra, the fixed number of retries, do not allow another.
func (w *RetryWindow) TakeRetry(now time.Time, extra int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := w.advance(now)
	requests, retries := 0, 0
	for i := range windowSlots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > w.share*float64(requests)+float64(extra) {
		return false
	}
	w.retries[slot]++
	return true
}

// advance clears the slots that have expired by now and returns the index of
// the current one.
func (w *RetryWindow) advance(now time.Time) int {
	passed := int64(now.Sub(w.slotStart)) / w.slotNS
	if passed <= 0 {
		return w.current
	}
	for range min(passed, windowSlots) {
		w.current = (w.current + 1) % windowSlots
		w.requests[w.current], w.retries[w.current] = 0, 0
	}
	w.slotStart = w.slotStart.Add(time.Duration(passed * w.slotNS))
	return w.current
}
