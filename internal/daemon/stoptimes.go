package daemon

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/callerapi"
	"almondreel.example/almondreel/internal/ending"
)

const (
	// answerReserve, writeReserve, ledgerReserve, closeReserve and flushReserve are how
	// long before the process is killed the steps of a gateway's stop end (see stopTimes).
	// Each is at most the share of the grace period with its name.
	answerReserve      = 5 * time.Second
	answerReserveShare = 0.3
	writeReserve       = 4 * time.Second
	writeReserveShare  = 0.25
	ledgerReserve      = 2 * time.Second
	ledgerReserveShare = 0.2
	closeReserve       = time.Second
	closeReserveShare  = 0.12
	flushReserve       = 300 * time.Millisecond
	flushReserveShare  = 0.06
)

// stopTimes are the times at which the steps of a gateway's stop end.
type stopTimes struct {
	answer time.Time // requests in progress run; then they get a final answer
	write  time.Time // final answers are written
	// The steps below are bounded only if the process is killed after a grace period.
	ledger time.Time // outcome records are written; zero: no bound
	close  time.Time // connections with requests are kept; zero: no bound
	flush  time.Time // log lines are written; zero: no bound
}

// newStopTimes returns the steps of a stop that began at a time, with a grace period
// after which the process is killed; 0: it is not killed.
func newStopTimes(began time.Time, grace time.Duration) stopTimes {
	if grace == 0 {
		return stopTimes{answer: began.Add(drainTimeout), write: began.Add(drainTimeout + callerapi.WriteTimeout)}
	}
	t := stopTimes{
		answer: ending.Before(began, grace, answerReserve, answerReserveShare),
		write:  ending.Before(began, grace, writeReserve, writeReserveShare),
		ledger: ending.Before(began, grace, ledgerReserve, ledgerReserveShare),
		close:  ending.Before(began, grace, closeReserve, closeReserveShare),
		flush:  ending.Before(began, grace, flushReserve, flushReserveShare),
	}
	if latest := began.Add(drainTimeout); t.answer.After(latest) {
		t.answer = latest
	}
	return t
}

// withBound returns a context that ends by a time; zero: with ctx.
func withBound(ctx context.Context, by time.Time) (context.Context, context.CancelFunc) {
	if by.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, by)
}
