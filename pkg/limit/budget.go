package limit

import "sync"

const (
	maxReserve = 32 // maximum burst of retries
)

// RetryBudget is a token bucket that limits retries to a share of the requests,
// plus a fixed reserve. It is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	share    float64 // retries per request
	reserve  float64 // retries available now
	requests int64
	retries  int64
}

// NewRetryBudget returns a budget of share retries per request with a full
// reserve.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, reserve: maxReserve}
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	b.reserve = min(maxReserve, b.reserve+b.share)
}

// TakeRetry takes one retry from the budget. It reports false if the budget is
// exhausted.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserve < 1 {
		return false
	}
	b.reserve--
	b.retries++
	return true
}

// Counts returns the total numbers of requests and retries.
func (b *RetryBudget) Counts() (requests, retries int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.retries
}
