// Package signals receives the operating system's signals of a daemon from its start to
// its end. Their default action ends the process without a drain, so it must not apply
// at any time, neither before the daemon serves nor while it drains.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals holds the signals that were received and not handled yet.
type Signals struct {
	stops   chan os.Signal
	hangups chan os.Signal
}

// Catch replaces the default actions of the signals for the rest of the process's life.
// A daemon calls it once, before it does anything else.
func Catch() *Signals {
	s := &Signals{stops: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1)}
	signal.Notify(s.stops, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.hangups, syscall.SIGHUP)
	// Otherwise a log line that nobody reads any more ends the process.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Stops returns the signals to stop: SIGTERM and SIGINT. Several that arrive at the same
// time may count as one.
func (s *Signals) Stops() <-chan os.Signal { return s.stops }

// Hangups returns the signals that ask for the settings to be read again: SIGHUP.
func (s *Signals) Hangups() <-chan os.Signal { return s.hangups }
