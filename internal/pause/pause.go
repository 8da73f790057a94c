// Package pause provides sleeps and tickers that end with a context, and jitter for the
// intervals of periodic tasks.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For sleeps for d. It returns false if ctx ends first.
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

// Every calls do once per interval until ctx ends, and returns the context's error.
func Every(ctx context.Context, interval time.Duration, do func()) error {
	ticker := time.NewTicker(interval)
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

// Jitter returns a random duration between 0.5 d and 1.5 d.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
