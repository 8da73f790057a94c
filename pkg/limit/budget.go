package limit

import "sync"

const (
	maxReserve = 32 // retries that may come at once
)

// Budget bounds retries to a share of the requests, plus a fixed reserve. It is
// safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	share    float64
	reserve  float64
	requests int64
	retries  int64
}

// NewBudget returns a budget of share retries a request and a full reserve.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, reserve: maxReserve}
}

// Request counts a request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	b.reserve = min(maxReserve, b.reserve+b.share)
}

// Retry takes one retry from the budget, or reports that it is spent.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserve < 1 {
		return false
	}
	b.reserve--
	b.retries++
	return true
}

// Counts returns the requests and the retries so far.
func (b *Budget) Counts() (requests, retries int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.retries
}
