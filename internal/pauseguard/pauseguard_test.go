package pauseguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/pauseguard"
)

// Guards against a process that acts on an old view after a pause, one that never does
// again, and one that waits although it has not paused.
func TestProcessCatchesUpAfterPause(t *testing.T) {
	const valid, step = 2500 * time.Millisecond, 50 * time.Millisecond
	now := time.Unix(1000, 0)
	g := pauseguard.Guard{}
	run := func() bool {
		now = now.Add(step)
		g = g.Next(now, now.Add(valid))
		return !now.After(g.Until())
	}
	for range 100 {
		require.True(t, run())
	}
	now = now.Add(valid - 2*step)
	require.True(t, run(), "a short pause")
	for range 3 {
		now = now.Add(valid)
		held := 0
		for !run() {
			held++
		}
		require.EqualValues(t, 800*time.Millisecond, time.Duration(held)*step)
		for range 100 {
			require.True(t, run())
		}
	}
	now = now.Add(valid)
	require.False(t, run())
	now = now.Add(10 * valid)
	require.False(t, run(), "it paused again while it caught up")
}
