package haveset_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/haveset"
)

func TestRemoteMatchesOwnAfterLossAndRestart(t *testing.T) {
	const chunks, seed = 300, 7
	r := rand.New(rand.NewPCG(seed, seed))
	own, remote := haveset.NewOwn(chunks), haveset.NewRemote(chunks)
	for range 2000 {
		own.Add(r.IntN(chunks))
		if r.IntN(500) == 0 {
			own = haveset.NewOwn(chunks)
		}
		if r.IntN(3) == 0 {
			continue // the message is lost
		}
		require.NoError(t, remote.Apply(own.Since(remote.Cursor())))
		require.Equal(t, own.Cursor(), remote.Cursor())
		for i := range chunks {
			require.Equal(t, own.Has(i), remote.Has(i))
		}
	}
}

func TestLateHoldingsAreIgnored(t *testing.T) {
	own, remote := haveset.NewOwn(8), haveset.NewRemote(8)
	own.Add(1)
	require.NoError(t, remote.Apply(own.Since(agent.Cursor{})))
	own.Add(2)
	late := own.Since(remote.Cursor())
	own.Add(3)
	require.NoError(t, remote.Apply(own.Since(remote.Cursor())))
	require.NoError(t, remote.Apply(late))
	require.Equal(t, own.Cursor(), remote.Cursor())
	require.True(t, remote.Has(3))
}

func TestOutOfRangeIndicesAreRejected(t *testing.T) {
	remote := haveset.NewRemote(8)
	require.Error(t, remote.Apply(agent.Holdings{Run: 1, Sequence: 1, Whole: []uint64{1 << 8}}))
	require.Error(t, remote.Apply(agent.Holdings{Run: 1, Sequence: 1, Whole: []uint64{0, 0, 1}}))
	own := haveset.NewOwn(8)
	own.Add(1)
	require.NoError(t, remote.Apply(own.Since(agent.Cursor{})))
	cursor := remote.Cursor()
	require.Error(t, remote.Apply(agent.Holdings{Run: cursor.Run, Base: 1, Sequence: 2, Added: []uint32{8}}))
}
