// Package errs builds errors that carry the step and the peer at which they arose.
package errs

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

type key int

const (
	stepKey key = iota
	peerKey
)

// New returns an error for a step at a peer. The peer may be empty.
func New(step, peer, format string, args ...any) error {
	return Wrap(fmt.Errorf(format, args...), step, peer)
}

// Wrap adds a step and a peer to err; nil stays nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	prefix := step
	if peer != "" {
		prefix = step + " at " + peer
	}
	return merry.Prepend(err, prefix, merry.NoCaptureStack(), merry.WithValue(stepKey, step), merry.WithValue(peerKey, peer))
}

// Step returns the outermost step that err carries, or "".
func Step(err error) string {
	step, _ := merry.Value(err, stepKey).(string)
	return step
}

// Peer returns the outermost peer that err carries, or "".
func Peer(err error) string {
	peer, _ := merry.Value(err, peerKey).(string)
	return peer
}
