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

// Each calls do at every tick until ctx ends, and returns the context's error.
func Each(ctx context.Context, every time.Duration, do func()) error {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			do()
		}
	}
}

// Jitter returns a random time between half and one and a half of d.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
