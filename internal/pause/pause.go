// Package pause waits between the rounds of a duty.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d. It returns false when ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a random time between half and one and a half of d.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
