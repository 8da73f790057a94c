package hosted_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/site"
)

// Guards against a deadline that starts again with each reading of an entry, which would
// limit an engine for ever, and against one that an engine which becomes cold again does not
// get.
func TestColdDeadlineCountsFromFirstReading(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := site.Server{ID: "i-1", ColdRemainingMS: 8000}
	d := hosted.NewColdDeadlines()
	require.Zero(t, d.Until("k"))
	for n := range 20 { // written again every second
		d.Record("k", entry, now.Add(time.Duration(n)*time.Second))
		require.Equal(t, now.Add(8*time.Second), d.Until("k"))
	}
	now = now.Add(19 * time.Second)
	shorter := entry
	shorter.ColdRemainingMS = 100
	d.Record("k", shorter, now)
	require.Equal(t, now.Add(100*time.Millisecond), d.Until("k"))
	now = now.Add(time.Second)
	d.Record("k", shorter, now)
	require.Equal(t, now.Add(100*time.Millisecond), d.Until("k"), "cold again after its time")
	restarted := entry
	restarted.State.Born = 7
	d.Record("k", restarted, now)
	d.Remove("k")
	require.Equal(t, now.Add(8*time.Second), d.Until("k"), "its deletion leaves the state that is known")
	d.Prune(now.Add(7 * time.Second))
	require.NotZero(t, d.Until("k"))
	d.Prune(now.Add(8 * time.Second))
	require.Zero(t, d.Until("k"))
	d.Record("k", entry, now)
	entry.ColdRemainingMS = 0
	d.Record("k", entry, now)
	require.Zero(t, d.Until("k"), "it is no longer cold")
}

// Guards against log lines for each reading of an implausible value: they are the same.
func TestImplausibleFieldIsLoggedOnceUntilItChanges(t *testing.T) {
	v := hosted.NewView(8000)
	require.True(t, v.LogImplausible("k", "a"))
	require.False(t, v.LogImplausible("k", "a"))
	require.True(t, v.LogImplausible("k", "b"))
	require.False(t, v.LogImplausible("k", ""))
	require.True(t, v.LogImplausible("k", "b"))
}
