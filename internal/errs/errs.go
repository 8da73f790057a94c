// Package errs builds errors that carry the step that failed and the peer it involved.
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

// New returns an error with a formatted message for a step at a peer. peer may be empty.
func New(step, peer, format string, args ...any) error {
	return Wrap(fmt.Errorf(format, args...), step, peer)
}

// Wrap prefixes err with a step and a peer, which may be empty. It returns nil if err
// is nil.
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

// Step returns the step that was added to err last, or "".
func Step(err error) string {
	step, _ := merry.Value(err, stepKey).(string)
	return step
}

// Peer returns the peer that was added to err last, or "".
func Peer(err error) string {
	peer, _ := merry.Value(err, peerKey).(string)
	return peer
}
