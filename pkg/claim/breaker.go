package claim

import (
	"sync"
	"time"
)

const (
	openAfter     = time.Second // how long writes must fail before the breaker opens
	probeInterval = time.Second
	probeTimeout  = 250 * time.Millisecond
)

// breaker is a circuit breaker for the store as one worker sees it. It is safe
// for concurrent use.
type breaker struct {
	mu           sync.Mutex
	failingSince time.Time // zero if the last round of writes succeeded
	nextProbe    time.Time // earliest time of the next probe while open
}

// decision says how to handle a new claim.
type decision int

const (
	admit  decision = iota // the breaker is closed
	probe                  // the breaker is open; this claim tests the store
	refuse                 // the breaker is open
)

// record records the result of a round of writes.
func (b *breaker) record(failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !failed {
		b.failingSince = time.Time{}
		return
	}
	if b.failingSince.IsZero() {
		b.failingSince = now
	}
}

func (b *breaker) decide(now time.Time) decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failingSince.IsZero() || now.Sub(b.failingSince) < openAfter {
		return admit
	}
	if now.Before(b.nextProbe) {
		return refuse
	}
	b.nextProbe = now.Add(probeInterval)
	return probe
}
