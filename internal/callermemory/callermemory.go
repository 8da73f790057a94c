// Package callermemory accounts for the memory that callers make a process hold: the
// bodies and the headers of their requests. Memory is reserved before it is filled. If a
// reservation does not fit, the request that holds the most for the longest while it is
// still being received is evicted.
//
// The package uses no clock, network or goroutine; the current time is an argument.
package callermemory

import (
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
)

const (
	// smallBytes is the size up to which a request may use the reserve. Ordinary requests
	// are shorter.
	smallBytes = 64 << 10
	// reserveDivisor is the part of the capacity that is kept for them: one eighth.
	reserveDivisor = 8
	// evictionAge is the time for which a request may be received before it can be
	// evicted. A link of 40 Mbit/s carries a body of 4 MiB in 0.84 s.
	evictionAge = time.Second
)

// Kind of memory, for the metrics.
type Kind string

// Kinds.
const (
	Body   Kind = "Body"
	Header Kind = "Header"
)

// Verdict on a reservation.
type Verdict int

// Verdicts. After Evicting, the memory may be there once Released has told of a release.
const (
	Granted Verdict = iota
	Evicting
	Exhausted
)

// Account bounds the memory of all requests together. It is safe for concurrent use.
type Account struct {
	capacity int64

	mu        sync.Mutex
	used      int64
	evicting  int64 // of used, held by evicted requests
	receiving map[*Holder]struct{}
	released  chan struct{} // closed and replaced at each release that is waited for; nil: nobody waits
}

// New returns an account of capacity bytes.
func New(capacity int64) *Account {
	return &Account{capacity: capacity, receiving: map[*Holder]struct{}{}}
}

// Holder is the memory of one request. Its methods are called by one goroutine.
type Holder struct {
	account *Account
	kind    Kind
	since   time.Time
	evict   func()

	// Guarded by account.mu:
	bytes   int64
	evicted bool
}

// Open returns a holder of no bytes for a request that is received since a time. evict
// ends the receiving; it is called at most once, must not block and must not call the
// account.
func (a *Account) Open(kind Kind, since time.Time, evict func()) *Holder {
	return &Holder{account: a, kind: kind, since: since, evict: evict}
}

// Reserve raises the holder's memory to total bytes.
func (h *Holder) Reserve(total int64, now time.Time) Verdict {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	more := total - h.bytes
	switch {
	case more <= 0:
		return Granted
	case h.evicted:
		return Exhausted
	case a.fits(h, total):
		if h.bytes == 0 {
			a.receiving[h] = struct{}{}
		}
		h.bytes = total
		a.used += more
		counter.Add("CallerBytes."+string(h.kind), more)
		return Granted
	case a.used-a.evicting+more <= a.limit(total): // memory of evicted requests comes free
		return Evicting
	}
	victim := a.victim(h, now)
	if victim == nil {
		return Exhausted
	}
	a.evictHolder(victim)
	return Evicting
}

// limit returns the bytes that may be used with a request of total bytes. Callers hold mu.
func (a *Account) limit(total int64) int64 {
	if total > smallBytes {
		return a.capacity - a.capacity/reserveDivisor
	}
	return a.capacity
}

// fits reports whether a holder's memory may be raised to total bytes. A request beside
// which there is no other may use the reserve. Callers hold mu.
func (a *Account) fits(h *Holder, total int64) bool {
	if a.used == h.bytes {
		return total <= a.capacity
	}
	return a.used-h.bytes+total <= a.limit(total)
}

// victim returns the request to evict in favour of another one, or nil. It has held the
// most for the longest, and more than the other one. Callers hold mu.
func (a *Account) victim(inFavourOf *Holder, now time.Time) *Holder {
	var worst *Holder
	weight := 0.0
	if inFavourOf != nil {
		weight = inFavourOf.weight(now)
	}
	for other := range a.receiving {
		if other == inFavourOf || now.Sub(other.since) < evictionAge {
			continue
		}
		if w := other.weight(now); w > weight {
			worst, weight = other, w
		}
	}
	return worst
}

// weight is how much is held for how long. Callers hold mu.
func (h *Holder) weight(now time.Time) float64 {
	return float64(h.bytes) * max(0, now.Sub(h.since).Seconds())
}

// Received records that the request has been received whole, so that it is not evicted.
// It returns false if it has been evicted.
func (h *Holder) Received() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.receiving, h)
	return !h.evicted
}

// Evicted reports whether the request has been evicted.
func (h *Holder) Evicted() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// Release frees the holder's memory. It may be called again.
func (h *Holder) Release() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.bytes == 0 {
		return
	}
	delete(a.receiving, h)
	a.used -= h.bytes
	if h.evicted {
		a.evicting -= h.bytes
	}
	counter.Add("CallerBytes."+string(h.kind), -h.bytes)
	h.bytes = 0
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// Released returns a channel that is closed at the next release. Taken before Reserve, it
// misses none.
func (a *Account) Released() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released
}

// Evict evicts the request that holds the most for the longest while it is being received,
// for a process that has too many requests. It reports whether there was one.
func (a *Account) Evict(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	victim := a.victim(nil, now)
	if victim == nil {
		return false
	}
	a.evictHolder(victim)
	return true
}

// evictHolder evicts a request. Callers hold mu.
func (a *Account) evictHolder(h *Holder) {
	h.evicted = true
	a.evicting += h.bytes
	delete(a.receiving, h)
	counter.Add("CallersEvicted."+string(h.kind), 1)
	h.evict()
}

// Used returns the bytes in use.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}
