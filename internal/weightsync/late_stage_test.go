package weightsync_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/weightsync"
)

// latePiece is a piece whose staging arrives late.
const latePiece = 3

// Guards against a piece of the version before that is staged late, over a piece that was
// read intact before the order, and against a second order that takes it again: the check
// before the first was young enough to be relied on.
func TestLateStagingOfAnotherVersionIsNotServed(t *testing.T) {
	e := newSilentEngine(1)
	var once sync.Once
	e.onOrder = func(weightsync.Load) {
		once.Do(func() {
			if err := e.Stage(context.Background(), model, latePiece, pieceData(1, latePiece)); err != nil {
				t.Error(err)
			}
		})
	}
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	a.SetWanted(wanted(2), nil)
	requireServedWhole(t, e, a, 2, 8*time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, 1, e.spoiltLoads)
}
