// Package naming knows when versions of models were named, which says until
// when older ones may serve.
//
// Nothing here reads a clock or touches a network.
package naming

import (
	"time"

	"almondreel.example/almondreel/internal/site"
)

const (
	// margin is kept of the time that a version has, for what the processes and
	// the operators' confirmation differ by.
	margin = 100 * time.Millisecond
	// bootTime is how long after its start a process may still use weights that
	// were out of date before.
	bootTime = 2 * time.Second
)

// Naming is when a version was named.
type Naming struct {
	At    time.Time
	Found bool // a process found it at its start, which is At; it was named before
}

// FoundAtStart reports whether a process that read a version at a moment found
// it: it may have been named before the start.
func FoundAtStart(startedAt, readAt time.Time) bool { return readAt.Sub(startedAt) < bootTime }

// before reports whether n says more than o: one that saw a version named knows
// better than one that found it, and the earlier word of two such is nearer to
// the naming.
func (n Naming) before(o Naming) bool {
	if n.Found != o.Found {
		return o.Found
	}
	return n.At.Before(o.At)
}

// due is the moment from which older versions may no longer serve.
func (n Naming) due(withinMS int) time.Time {
	if n.Found {
		return n.At.Add(bootTime)
	}
	return n.At.Add(time.Duration(withinMS)*time.Millisecond - margin)
}

// Ages is when each version was named. It is not safe for concurrent use.
type Ages struct {
	withinMS int // milliseconds from the naming of a version until it must serve everywhere
	named    map[site.Version]Naming
}

// NewAges returns ages of no version.
func NewAges(withinMS int) *Ages {
	return &Ages{withinMS: withinMS, named: map[site.Version]Naming{}}
}

// Note takes what this or another process knows of the naming of a version. The
// store holds only the newest version of a model, so a process that starts later
// hears of older ones, whose time runs out first, from others alone.
func (a *Ages) Note(v site.Version, n Naming) {
	if held, ok := a.named[v]; !ok || n.before(held) {
		a.named[v] = n
	}
}

// All returns a copy of the ages.
func (a *Ages) All() map[site.Version]Naming {
	out := make(map[site.Version]Naming, len(a.named))
	for v, n := range a.named {
		out[v] = n
	}
	return out
}

// Oldest is the oldest version of a model that may serve at a moment: the newest
// one whose time is up.
func (a *Ages) Oldest(model string, at time.Time) int64 {
	oldest := int64(0)
	for v, n := range a.named {
		if v.Model == model && v.Number > oldest && at.After(n.due(a.withinMS)) {
			oldest = v.Number
		}
	}
	return oldest
}

// EndsAt is the moment from which a version may no longer serve, and false if no
// newer one was named.
func (a *Ages) EndsAt(model string, version int64) (time.Time, bool) {
	var first time.Time
	found := false
	for v, n := range a.named {
		if due := n.due(a.withinMS); v.Model == model && v.Number > version && (!found || due.Before(first)) {
			first, found = due, true
		}
	}
	return first, found
}

// NamedAt is when a version was named, at the latest; false if that is not known.
func (a *Ages) NamedAt(model string, version int64) (time.Time, bool) {
	n, ok := a.named[site.Version{Model: model, Number: version}]
	if n.Found { // its time may be over
		return n.At.Add(-time.Duration(a.withinMS) * time.Millisecond), ok
	}
	return n.At, ok
}
