package kv

import "fmt"

// Conflict reports a conditional write that found another revision.
type Conflict struct {
	Current Entry
}

// Error names the key and its revision.
func (e *Conflict) Error() string {
	return fmt.Sprintf("key %q is at revision %d", e.Current.Key, e.Current.Revision)
}

// Ambiguous reports a write whose answer was lost: it may have taken effect, or
// may take effect later.
type Ambiguous struct {
	Cause error
}

// Error names the cause.
func (e *Ambiguous) Error() string { return "answer lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Ambiguous) Unwrap() error { return e.Cause }

// Unavailable reports a call that certainly had no effect.
type Unavailable struct {
	Cause error
}

// Error names the cause.
func (e *Unavailable) Error() string { return "key-value service unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Cause }

// Lapsed reports a lease that no longer exists.
type Lapsed struct{}

// Error says that the lease has lapsed.
func (*Lapsed) Error() string { return "lease has lapsed" }
