package piecesched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/piecesched"
)

// Guards against dropping a nearly complete version for a newer one that cannot
// be ready in time. Version 2 is announced at 18 s and version 3 at 21 s, each
// with ten seconds to serve everywhere; the origin is down from 20.5 to 26.5 s,
// when most of version 2 has been fetched. The version that engines serve
// expires at 28 s, and version 3 cannot be complete before 29.5 s, so version
// 2, which may serve until 31 s, is completed first.
func TestNearlyCompleteVersionIsFinishedAfterOriginOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time {
		return start.Add(time.Duration(seconds * float64(time.Second)))
	}
	const pieceCount = 96
	held := pieceCount * 85 / 100
	ends := at(31)
	for _, now := range []float64{21, 24, 26.5, 27.5, 28.2} {
		require.True(t, piecesched.ShouldFinish(at(now), held, pieceCount, ends), "at %v s", now)
	}
	require.False(t, piecesched.ShouldFinish(at(29), held, pieceCount, ends), "too little time is left to serve it")
	require.False(t, piecesched.ShouldFinish(at(26.5), pieceCount/3, pieceCount, ends), "version 3 takes only a little longer")
	require.True(t, piecesched.ShouldFinish(at(26.5), pieceCount, pieceCount, ends), "other agents hold all pieces")
}
