package kv

import "fmt"

// Conflict is the error of a conditional write that found another revision.
type Conflict struct {
	Current Entry
}

// Error returns the key and its current revision.
func (e *Conflict) Error() string {
	return fmt.Sprintf("key %q is at revision %d", e.Current.Key, e.Current.Revision)
}

// Ambiguous is the error of a write whose response was lost or unusable: it may have
// taken effect or may do so later.
type Ambiguous struct {
	Cause error
}

// Error returns the cause.
func (e *Ambiguous) Error() string { return "response lost or unusable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Ambiguous) Unwrap() error { return e.Cause }

// Unavailable is the error of a call that certainly has no effect.
type Unavailable struct {
	Cause error
}

// Error returns the cause.
func (e *Unavailable) Error() string { return "key-value service unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Cause }

// LeaseExpired is the error of a renewal of a lease that no longer exists.
type LeaseExpired struct{}

// Error returns a fixed message.
func (*LeaseExpired) Error() string { return "lease has expired" }
