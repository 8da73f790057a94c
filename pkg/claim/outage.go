package claim

import (
	"sync"
	"time"
)

const (
	outageAfter   = time.Second // of failed writes, before the store counts as down
	probeInterval = time.Second
	probeWait     = 250 * time.Millisecond
)

// outage remembers since when the store does not answer a worker. It is safe
// for concurrent use.
type outage struct {
	mu      sync.Mutex
	since   time.Time // zero: the store answers
	probeAt time.Time // when the next claim may try it
}

// verdict is what becomes of a claim.
type verdict int

const (
	admit  verdict = iota // the store answers, or has not failed for long
	probe                 // it tries whether the store answers again
	refuse                // the store is down
)

// tell takes in how a round of writes ended.
func (o *outage) tell(failed bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !failed {
		o.since = time.Time{}
		return
	}
	if o.since.IsZero() {
		o.since = now
	}
}

func (o *outage) judge(now time.Time) verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || now.Sub(o.since) < outageAfter {
		return admit
	}
	if now.Before(o.probeAt) {
		return refuse
	}
	o.probeAt = now.Add(probeInterval)
	return probe
}
