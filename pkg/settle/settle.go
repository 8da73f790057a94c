// Package settle makes conditional writes to a compare-and-swap store whose
// answers can be lost or late, and says truthfully what became of each.
//
// A lost answer is never guessed. The same conditional write is repeated until
// it succeeds or meets another revision; then the value that stands there says
// whether an earlier try was the one that took effect. Every value must
// therefore carry an identifier of the change that made it, and remember those
// of the changes before it for as long as a write may stay unsettled.
package settle

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/sethvargo/go-retry"
)

const (
	firstPause    = 50 * time.Millisecond
	longestPause  = 2 * time.Second
	jitterPercent = 50
)

// Entry is a value and its revision; revision 0 means that there is none.
type Entry struct {
	Value    []byte
	Revision uint64
}

// Store is one key of a compare-and-swap store.
type Store interface {
	// Read returns the entry, which may be an older one.
	Read(ctx context.Context) (Entry, error)
	// Swap writes value if the key's revision is revision.
	Swap(ctx context.Context, value []byte, revision uint64) Answer
}

// Answer is what one call of Swap proves.
type Answer interface{ answer() }

// Written says that the write took effect at Revision.
type Written struct{ Revision uint64 }

// Conflict says that the key holds another revision than the write named.
type Conflict struct{ Current Entry }

// Unavailable says that the call certainly had no effect.
type Unavailable struct{ Err error }

// Lost says that the write may have taken effect or may do so later.
type Lost struct{ Err error }

// Refused says that the store will never take this write.
type Refused struct{ Err error }

func (Written) answer()     {}
func (Conflict) answer()    {}
func (Unavailable) answer() {}
func (Lost) answer()        {}
func (Refused) answer()     {}

// Outcome is what became of a write.
type Outcome interface{ outcome() }

// Accepted says that the write took effect. Revision is where it did, or a
// later one when that is all that can be known.
type Accepted struct{ Revision uint64 }

// Rejected says that the write did not take effect and never will, because
// Current had replaced what it was made on.
type Rejected struct{ Current Entry }

// NotWritten says that the write did not take effect and never will: no try
// of it reached the store.
type NotWritten struct{ Err error }

// Unknown says that the write may have taken effect or may yet.
type Unknown struct{ Err error }

func (Accepted) outcome()   {}
func (Rejected) outcome()   {}
func (NotWritten) outcome() {}
func (Unknown) outcome()    {}

// Trace says what a value remembers of a change.
type Trace int

// Traces.
const (
	Absent    Trace = iota // the value remembers far enough back and lacks the change
	Present                // the value was made by the change or after it
	Forgotten              // the value does not remember far enough back
)

// Write is one conditional write. Trace looks for its change in a value.
type Write struct {
	Value    []byte
	Revision uint64
	Trace    func(Entry) Trace
}

// Do makes the write, repeating it until its outcome is certain or ctx ends.
func Do(ctx context.Context, s Store, w Write) Outcome {
	pauses := Pauses()
	var lost error
	for {
		var err error
		switch a := s.Swap(ctx, w.Value, w.Revision).(type) {
		case Written:
			return Accepted(a)
		case Conflict:
			if a.Current.Revision > w.Revision {
				return judge(w, a.Current, lost)
			}
			// The answer is older than the revision that the write was made on.
		case Refused:
			return refused(a, lost)
		case Lost:
			err, lost = a.Err, a.Err
		case Unavailable:
			err = a.Err
		}
		if !pause(ctx, pauses) {
			return undecided(ctx, err, lost)
		}
	}
}

// judge decides from a newer value, which only one write can have replaced w's base with.
func judge(w Write, current Entry, lost error) Outcome {
	if lost == nil {
		return Rejected{current}
	}
	switch w.Trace(current) {
	case Present:
		return Accepted{current.Revision}
	case Absent:
		return Rejected{current}
	}
	return Unknown{lost}
}

func refused(r Refused, lost error) Outcome {
	if lost != nil {
		return Unknown{lost}
	}
	return NotWritten(r)
}

func undecided(ctx context.Context, err, lost error) Outcome {
	if lost != nil {
		return Unknown{lost}
	}
	if err == nil {
		err = ctx.Err()
	}
	return NotWritten{err}
}

// Pauses returns growing jittered pauses for retries.
func Pauses() retry.Backoff {
	return retry.WithJitterPercent(jitterPercent, retry.WithCappedDuration(longestPause, retry.NewExponential(firstPause)))
}

func pause(ctx context.Context, pauses retry.Backoff) bool {
	d, stop := pauses.Next()
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

// noRevision is one that no value ever has.
const noRevision = math.MaxInt64

// Fresh returns the entry as it stands, also when reads answer with older ones:
// it makes a write that cannot succeed and takes the entry from the conflict.
// It repeats until the store answers or ctx ends.
func Fresh(ctx context.Context, s Store) (Entry, error) {
	pauses := Pauses()
	for {
		var err error
		switch a := s.Swap(ctx, nil, noRevision).(type) {
		case Conflict:
			return a.Current, nil
		case Written:
			return Entry{}, fmt.Errorf("store took a write at revision %d, which no value has", uint64(noRevision))
		case Refused:
			return Entry{}, a.Err
		case Lost:
			err = a.Err
		case Unavailable:
			err = a.Err
		}
		if !pause(ctx, pauses) {
			return Entry{}, err
		}
	}
}

// Read reads until the store answers or ctx ends.
func Read(ctx context.Context, s Store) (Entry, error) {
	pauses := Pauses()
	for {
		e, err := s.Read(ctx)
		if err == nil || !pause(ctx, pauses) {
			return e, err
		}
	}
}
