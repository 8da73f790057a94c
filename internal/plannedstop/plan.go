// Package plannedstop stops and restarts programs as a hosting platform does for planned
// work, for end-to-end tests. The daemons do not use it.
package plannedstop

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Step is a signal that is sent after a pause.
type Step struct {
	Pause  time.Duration
	Signal syscall.Signal
}

// Reader is what the reader of a program's output does.
type Reader int

const (
	Reads Reader = iota
	GoesAway
	Stalls       // for stallTime
	StallsToEnd  // until the program ends
	readerStates // number of states
)

const (
	stallTime = time.Second
	// linesToFillPipe is the number of log lines that fill a program's output pipe.
	linesToFillPipe = 80
)

// Stop is a series of signals to a program. If a SIGTERM or SIGINT is among them, the
// program must end, and is started again.
type Stop struct {
	Wait   time.Duration // from the program's start to the first signal
	Steps  []Step
	Reader Reader        // from before the first signal
	Down   time.Duration // from the program's end to its next start
}

// stopsPerSecond is the largest mean number of stops in each second of a run. Each starts a
// process, of which a computer bears only so many.
const stopsPerSecond = 5

// MaxWait returns the maxWait of Random and Run for a number of programs.
func MaxWait(programs int) time.Duration {
	return max(4*time.Second, time.Duration(2*programs)*time.Second/stopsPerSecond)
}

// Random returns a random stop within maxWait of the program's start.
func Random(r *rand.Rand, maxWait time.Duration) Stop {
	s := Stop{Wait: randomTime(r, maxWait), Down: randomTime(r, 300*time.Millisecond)}
	if r.IntN(5) == 0 {
		s.Wait = randomTime(r, 60*time.Millisecond) // also before the program serves
	}
	if r.IntN(3) == 0 {
		s.Reader = Reader(r.IntN(int(readerStates)))
	}
	if s.Reader == Stalls || s.Reader == StallsToEnd {
		for range linesToFillPipe { // each hangup writes a log line
			s.Steps = append(s.Steps, Step{time.Millisecond, syscall.SIGHUP})
		}
	}
	signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}
	for range 1 + r.IntN(6) {
		pauses := []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}
		s.Steps = append(s.Steps, Step{randomTime(r, pauses[r.IntN(len(pauses))]), signals[r.IntN(len(signals))]})
	}
	return s
}

// ends reports whether a signal to stop is among the steps.
func (s Stop) ends() bool {
	for _, step := range s.Steps {
		if step.Signal != syscall.SIGHUP {
			return true
		}
	}
	return false
}

func randomTime(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}
