package dispatch

import (
	"context"
	"time"

	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	// askAgainTime is how long a begun answer waits for an agent after all have refused it.
	// Callers disconnect after two seconds without a token.
	askAgainTime = 1200 * time.Millisecond
	// askAgainDelay is the time before the first agent is asked again, before jitter. It
	// doubles with each.
	askAgainDelay    = 100 * time.Millisecond
	minAskAgainDelay = 10 * time.Millisecond // in the rest of askAgainTime
)

// askAgain allows the agents that did not run a request whose answer has begun to be asked
// again after a delay. It reports false if none did, or if askAgainTime has passed since
// it was first called.
func (f *inflight) askAgain(ctx context.Context) bool {
	if !f.accepted || len(f.declined) == 0 || ctx.Err() != nil || f.verdict() == quarantine.Quarantined {
		return false
	}
	now := time.Now()
	if f.askAgainUntil.IsZero() {
		f.askAgainUntil = now.Add(askAgainTime)
	}
	left := f.askAgainUntil.Sub(now)
	if left <= 0 {
		return false
	}
	f.waitJittered(ctx, max(minAskAgainDelay, min(askAgainDelay<<f.askedAgain, left/2)))
	f.askedAgain++
	for name := range f.declined {
		delete(f.tried, name)
	}
	clear(f.declined)
	f.notRunCount = 0
	return true
}
