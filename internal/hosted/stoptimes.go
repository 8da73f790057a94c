package hosted

import (
	"time"

	"almondreel.example/almondreel/internal/ending"
)

const (
	// drainAcceptTime is how long a draining gateway still takes new requests at the
	// most: the platform probes readiness every second and stops sending after two
	// failures.
	drainAcceptTime = 2800 * time.Millisecond
	// answerReserve, writeReserve, closeReserve and flushReserve are how long before the
	// platform kills the process the steps of a stop end (see stopTimes). Each is at most
	// the share of the grace period with its name.
	answerReserve      = 800 * time.Millisecond
	answerReserveShare = 0.16
	writeReserve       = 500 * time.Millisecond
	writeReserveShare  = 0.12
	closeReserve       = 350 * time.Millisecond
	closeReserveShare  = 0.09
	flushReserve       = 150 * time.Millisecond
	flushReserveShare  = 0.06
)

// stopTimes are the times at which the steps of a gateway's stop end.
type stopTimes struct {
	accept time.Time // new requests are taken
	answer time.Time // requests in progress run; then they get a final answer
	write  time.Time // answers are written
	close  time.Time // connections with requests are kept
	flush  time.Time // log lines are written
}

// newStopTimes returns the steps of a stop that began at a time, with a grace period
// after which the platform kills the process.
func newStopTimes(began time.Time, grace time.Duration) stopTimes {
	before := func(reserve time.Duration, share float64) time.Time {
		return ending.Before(began, grace, reserve, share)
	}
	t := stopTimes{
		answer: before(answerReserve, answerReserveShare),
		write:  before(writeReserve, writeReserveShare),
		close:  before(closeReserve, closeReserveShare),
		flush:  before(flushReserve, flushReserveShare),
	}
	t.accept = began.Add(drainAcceptTime)
	if t.answer.Before(t.accept) {
		t.accept = t.answer
	}
	return t
}
