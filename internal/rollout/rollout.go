// Package rollout records when each model version was announced and computes
// from it how long older versions may still serve.
//
// The package does no I/O and reads no clock; callers pass the time.
package rollout

import (
	"time"

	"almondreel.example/almondreel/internal/site"
)

const (
	// deadlineMargin is subtracted from the rollout period. It covers the
	// difference between the times at which processes learn of an announcement
	// and the time of its confirmation to the operators.
	deadlineMargin = 100 * time.Millisecond
	// startupGrace is how long after its start a process may still use weights
	// whose deadline passed before the start.
	startupGrace = 2 * time.Second
)

// Announcement is when a process learned that a version was announced.
type Announcement struct {
	At           time.Time
	FoundAtStart bool // the process found the version at its start, which is At; it was announced earlier
}

// FoundAtStart reports whether a version that a process read at readAt counts
// as found at its start, because it may have been announced before.
func FoundAtStart(startedAt, readAt time.Time) bool { return readAt.Sub(startedAt) < startupGrace }

// moreAccurateThan reports whether a is closer to the true time of the
// announcement. An announcement that was observed is better than one found at a
// start; of two of the same kind, the earlier is better.
func (a Announcement) moreAccurateThan(other Announcement) bool {
	if a.FoundAtStart != other.FoundAtStart {
		return other.FoundAtStart
	}
	return a.At.Before(other.At)
}

// deadline returns the moment from which older versions may no longer serve.
func (a Announcement) deadline(periodMS int) time.Time {
	if a.FoundAtStart {
		return a.At.Add(startupGrace)
	}
	return a.At.Add(time.Duration(periodMS)*time.Millisecond - deadlineMargin)
}

// Tracker holds the announcement of each version. It is not safe for concurrent
// use.
type Tracker struct {
	periodMS      int // milliseconds from the announcement of a version until all engines must serve it
	announcements map[site.Version]Announcement
}

// NewTracker returns a tracker without announcements. periodMS is the time in
// milliseconds from the announcement of a version until all engines must serve
// it.
func NewTracker(periodMS int) *Tracker {
	return &Tracker{periodMS: periodMS, announcements: map[site.Version]Announcement{}}
}

// Record adds what this or another process knows of a version's announcement,
// if it is more accurate than what is recorded. The store holds only the newest
// version of a model, so a process that starts later learns of older versions,
// whose deadlines come first, only from other processes.
func (t *Tracker) Record(v site.Version, announcement Announcement) {
	if recorded, ok := t.announcements[v]; !ok || announcement.moreAccurateThan(recorded) {
		t.announcements[v] = announcement
	}
}

// All returns a copy of the recorded announcements.
func (t *Tracker) All() map[site.Version]Announcement {
	out := make(map[site.Version]Announcement, len(t.announcements))
	for v, a := range t.announcements {
		out[v] = a
	}
	return out
}

// OldestAllowed returns the oldest version of a model that may serve at a
// moment: the newest one whose deadline has passed, or 0 if there is none.
func (t *Tracker) OldestAllowed(model string, at time.Time) int64 {
	oldest := int64(0)
	for v, a := range t.announcements {
		if v.Model == model && v.Number > oldest && at.After(a.deadline(t.periodMS)) {
			oldest = v.Number
		}
	}
	return oldest
}

// ServesUntil returns the moment from which a version may no longer serve, and
// false if no newer version was announced.
func (t *Tracker) ServesUntil(model string, version int64) (time.Time, bool) {
	var first time.Time
	found := false
	for v, a := range t.announcements {
		if deadline := a.deadline(t.periodMS); v.Model == model && v.Number > version && (!found || deadline.Before(first)) {
			first, found = deadline, true
		}
	}
	return first, found
}

// AnnouncedAt returns the latest time at which a version can have been
// announced, and false if no announcement is recorded. A version found at a
// process's start counts as announced a full period before.
func (t *Tracker) AnnouncedAt(model string, version int64) (time.Time, bool) {
	a, ok := t.announcements[site.Version{Model: model, Number: version}]
	if a.FoundAtStart { // its deadline may have passed
		return a.At.Add(-time.Duration(t.periodMS) * time.Millisecond), ok
	}
	return a.At, ok
}
