// Package condwrite makes conditional writes to a compare-and-swap store whose
// responses can be lost or late, and determines the outcome of each write.
//
// After an ambiguous result, the same conditional write is repeated until it
// succeeds or fails with a conflict. After a conflict, the current value shows
// whether an earlier attempt took effect. Every value must therefore contain an
// identifier of the change that made it, and those of the previous changes for
// as long as the outcome of a write may be unknown.
package condwrite

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/sethvargo/go-retry"
)

const (
	baseBackoff   = 50 * time.Millisecond
	maxBackoff    = 2 * time.Second
	jitterPercent = 50
)

// Entry is a value and its revision. Revision 0 means that the key does not
// exist.
type Entry struct {
	Value    []byte
	Revision uint64
}

// Store is one key of a compare-and-swap store.
type Store interface {
	// Read returns the entry of the key, which may be stale.
	Read(ctx context.Context) (Entry, error)
	// Swap writes value if the current revision of the key is revision.
	Swap(ctx context.Context, value []byte, revision uint64) SwapResult
}

// SwapResult is the result of one call of Swap: Written, Conflict, Unavailable,
// Ambiguous or Refused.
type SwapResult interface{ swapResult() }

// Written says that the write took effect and created Revision.
type Written struct{ Revision uint64 }

// Conflict says that the key has another revision than the one given. Current
// may be stale.
type Conflict struct{ Current Entry }

// Unavailable says that the call failed and certainly had no effect.
type Unavailable struct{ Err error }

// Ambiguous says that the write may have taken effect or may take effect later,
// for example because the response was lost.
type Ambiguous struct{ Err error }

// Refused says that the store does not accept this write; a retry cannot help.
type Refused struct{ Err error }

func (Written) swapResult()     {}
func (Conflict) swapResult()    {}
func (Unavailable) swapResult() {}
func (Ambiguous) swapResult()   {}
func (Refused) swapResult()     {}

// Outcome is the outcome of a write: Accepted, Rejected, NotWritten or Unknown.
type Outcome interface{ outcome() }

// Accepted says that the write took effect. Revision is the one that it
// created, or a later one if the former is not known.
type Accepted struct{ Revision uint64 }

// Rejected says that the write did not take effect and never will, because the
// revision that it is based on was replaced. Current is a newer entry.
type Rejected struct{ Current Entry }

// NotWritten says that the write did not take effect and never will: no attempt
// had an effect on the store.
type NotWritten struct{ Err error }

// Unknown says that the write may have taken effect or may take effect later.
type Unknown struct{ Err error }

func (Accepted) outcome()   {}
func (Rejected) outcome()   {}
func (NotWritten) outcome() {}
func (Unknown) outcome()    {}

// Presence says whether a value contains a change.
type Presence int

// Presences.
const (
	Absent        Presence = iota // the value records changes far enough back and lacks this one
	Present                       // the value was made by the change or after it
	Indeterminate                 // the value does not record changes that far back
)

// Write is a conditional write of Value on top of Revision. Presence looks for
// the change in the value of a newer entry.
type Write struct {
	Value    []byte
	Revision uint64
	Presence func(Entry) Presence
}

// Do makes the write and retries it until its outcome is certain or ctx ends.
func Do(ctx context.Context, s Store, w Write) Outcome {
	backoff := NewBackoff()
	var ambiguous error
	for {
		var err error
		switch r := s.Swap(ctx, w.Value, w.Revision).(type) {
		case Written:
			return Accepted(r)
		case Conflict:
			if r.Current.Revision > w.Revision {
				return resolveConflict(w, r.Current, ambiguous)
			}
			// Current is stale: older than the revision that the write is based
			// on.
		case Refused:
			return resolveRefusal(r, ambiguous)
		case Ambiguous:
			err, ambiguous = r.Err, r.Err
		case Unavailable:
			err = r.Err
		}
		if !sleep(ctx, backoff) {
			return resolveTimeout(ctx, err, ambiguous)
		}
	}
}

// resolveConflict determines the outcome of w from a newer entry. Only one
// write can have replaced w.Revision, so if the newer value lacks the change,
// no attempt took effect or will.
func resolveConflict(w Write, current Entry, ambiguous error) Outcome {
	if ambiguous == nil {
		return Rejected{current}
	}
	switch w.Presence(current) {
	case Present:
		return Accepted{current.Revision}
	case Absent:
		return Rejected{current}
	}
	return Unknown{ambiguous}
}

func resolveRefusal(r Refused, ambiguous error) Outcome {
	if ambiguous != nil {
		return Unknown{ambiguous}
	}
	return NotWritten(r)
}

func resolveTimeout(ctx context.Context, err, ambiguous error) Outcome {
	if ambiguous != nil {
		return Unknown{ambiguous}
	}
	if err == nil {
		err = ctx.Err()
	}
	return NotWritten{err}
}

// NewBackoff returns an exponential backoff with jitter, without a limit on the
// number of retries.
func NewBackoff() retry.Backoff {
	return retry.WithJitterPercent(jitterPercent, retry.WithCappedDuration(maxBackoff, retry.NewExponential(baseBackoff)))
}

// sleep waits for the next delay. It reports false if ctx ends before.
func sleep(ctx context.Context, backoff retry.Backoff) bool {
	d, stop := backoff.Next()
	if stop {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// impossibleRevision is a revision that no entry has.
const impossibleRevision = math.MaxInt64

// ReadLatest returns the current entry even if Read of the store may return
// stale ones: it makes a write that cannot succeed and returns the entry of the
// conflict. It retries until the store responds or ctx ends.
func ReadLatest(ctx context.Context, s Store) (Entry, error) {
	backoff := NewBackoff()
	for {
		var err error
		switch r := s.Swap(ctx, nil, impossibleRevision).(type) {
		case Conflict:
			return r.Current, nil
		case Written:
			return Entry{}, fmt.Errorf("store accepted a write at revision %d, which no entry has", uint64(impossibleRevision))
		case Refused:
			return Entry{}, r.Err
		case Ambiguous:
			err = r.Err
		case Unavailable:
			err = r.Err
		}
		if !sleep(ctx, backoff) {
			return Entry{}, err
		}
	}
}

// Read reads the entry, which may be stale, and retries until the store
// responds or ctx ends.
func Read(ctx context.Context, s Store) (Entry, error) {
	backoff := NewBackoff()
	for {
		e, err := s.Read(ctx)
		if err == nil || !sleep(ctx, backoff) {
			return e, err
		}
	}
}
