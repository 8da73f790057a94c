package limit

import (
	"sync"
	"time"
)

// windowSlots is the number of parts in which a Window counts.
const windowSlots = 10

// Window bounds retries to a share of the requests of the last span, plus a
// fixed number. Unlike a Budget it does not run dry after a burst of retries
// that the requests before it have paid for. It is safe for concurrent use.
type Window struct {
	mu       sync.Mutex
	share    float64
	slot     int64 // nanoseconds of a part
	openedAt time.Time
	current  int // part that is open
	requests [windowSlots]int
	retries  [windowSlots]int
}

// NewWindow returns a window over span with share retries a request.
func NewWindow(share float64, span time.Duration) *Window {
	return &Window{share: share, slot: int64(span / windowSlots), openedAt: time.Now()}
}

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.roll(now)]++
}

// Retry takes one retry, or reports that the requests of the span and extra
// allow none.
func (w *Window) Retry(now time.Time, extra int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.roll(now)
	requests, retries := 0, 0
	for i := range windowSlots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > w.share*float64(requests)+float64(extra) {
		return false
	}
	w.retries[at]++
	return true
}

// roll empties the parts that have passed and returns the open one.
func (w *Window) roll(now time.Time) int {
	passed := int64(now.Sub(w.openedAt)) / w.slot
	if passed <= 0 {
		return w.current
	}
	for range min(passed, windowSlots) {
		w.current = (w.current + 1) % windowSlots
		w.requests[w.current], w.retries[w.current] = 0, 0
	}
	w.openedAt = w.openedAt.Add(time.Duration(passed * w.slot))
	return w.current
}
