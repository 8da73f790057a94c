package weightsync_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A restarted agent found a version staged at its engine and was about to load it when
// another version came. Its pieces were staged over those of the first, which was loaded
// without another check, as it had been read a moment ago.
func TestVersionThatWasStagedOverIsCheckedBeforeItsLoad(t *testing.T) {
	e := newStartingEngine(0)
	for n := range pieces {
		e.staged[n] = pieceData(2, n)
	}
	e.servedVersion = 1
	e.up.Store(true)
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	require.Eventually(t, func() bool { return a.State().Born > 0 }, time.Second, time.Millisecond)
	a.SetWanted(wanted(2), nil)
	require.Eventually(t, func() bool { return a.State().Ready == 2 }, time.Second, 100*time.Microsecond)
	a.SetWanted(wanted(3), nil)
	require.Eventually(t, func() bool { return e.servingVersion() == 3 }, 5*time.Second, time.Millisecond)
	require.False(t, e.loadedCorrupt)
}
