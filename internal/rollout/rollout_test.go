package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/rollout"
	"almondreel.example/almondreel/internal/site"
)

const periodMS = 8000

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func version(n int64) site.Version { return site.Version{Model: "m", Number: n} }

// Versions are announced two to four seconds apart, while processes start in
// between. A process that starts late finds only the newest version in the
// store, and must learn from other processes that version 1 may serve only until
// the deadline of version 2.
func TestLateProcessLearnsDeadlinesOfOlderVersionsFromOthers(t *testing.T) {
	early := rollout.NewTracker(periodMS)
	early.Record(version(2), rollout.Announcement{At: at(0)})
	early.Record(version(3), rollout.Announcement{At: at(3)})
	early.Record(version(4), rollout.Announcement{At: at(7)})

	late := rollout.NewTracker(periodMS)
	late.Record(version(4), rollout.Announcement{At: at(7.2), FoundAtStart: true})
	for v, a := range early.All() {
		late.Record(v, a)
	}
	for _, tracker := range []*rollout.Tracker{early, late} {
		require.EqualValues(t, 0, tracker.OldestAllowed("m", at(7.8)))
		require.EqualValues(t, 2, tracker.OldestAllowed("m", at(8)))
		require.EqualValues(t, 3, tracker.OldestAllowed("m", at(11)))
		require.EqualValues(t, 4, tracker.OldestAllowed("m", at(15)))
		require.EqualValues(t, 0, tracker.OldestAllowed("other", at(15)))

		ends, ok := tracker.ServesUntil("m", 1)
		require.True(t, ok)
		require.Equal(t, at(7.9), ends, "version 1 may serve until the deadline of version 2, not of the newest")
		ends, _ = tracker.ServesUntil("m", 2)
		require.Equal(t, at(10.9), ends)
		_, ok = tracker.ServesUntil("m", 4)
		require.False(t, ok)
	}
}

func TestObservedAnnouncementReplacesOneFoundAtStart(t *testing.T) {
	tracker := rollout.NewTracker(periodMS)
	tracker.Record(version(2), rollout.Announcement{At: at(5), FoundAtStart: true})
	require.EqualValues(t, 2, tracker.OldestAllowed("m", at(7.1)), "it may have been announced long before")
	tracker.Record(version(2), rollout.Announcement{At: at(4)})
	require.EqualValues(t, 0, tracker.OldestAllowed("m", at(7.1)))
	tracker.Record(version(2), rollout.Announcement{At: at(1), FoundAtStart: true})
	tracker.Record(version(2), rollout.Announcement{At: at(4.1)})
	require.EqualValues(t, 0, tracker.OldestAllowed("m", at(11.8)))
	require.EqualValues(t, 2, tracker.OldestAllowed("m", at(12)))
}

func TestVersionFoundAtStartCountsAsAnnouncedAFullPeriodEarlier(t *testing.T) {
	tracker := rollout.NewTracker(periodMS)
	_, ok := tracker.AnnouncedAt("m", 2)
	require.False(t, ok)
	tracker.Record(version(2), rollout.Announcement{At: at(10), FoundAtStart: true})
	announcedAt, ok := tracker.AnnouncedAt("m", 2)
	require.True(t, ok)
	require.Equal(t, at(2), announcedAt)
}
