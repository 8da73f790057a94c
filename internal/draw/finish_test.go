package draw_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/draw"
)

// Pattern: version 2 is named at 18 s and version 3 at 21 s, each with ten
// seconds to serve everywhere; the origin is away from 20.5 to 26.5 s, with most
// of version 2 drawn. What engines serve ends at 28 s, and nobody can have
// version 3 before 29.5 s: version 2 is finished first, which may serve until 31 s.
func TestAVersionNearlyThereIsFinishedWhenTheOriginReturns(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time {
		return start.Add(time.Duration(seconds * float64(time.Second)))
	}
	const named = 96
	held := named * 85 / 100
	ends := at(31)
	for _, now := range []float64{21, 24, 26.5, 27.5, 28.2} {
		require.True(t, draw.Finish(at(now), held, named, ends), "at %v s", now)
	}
	require.False(t, draw.Finish(at(29), held, named, ends), "it could hardly serve any more")
	require.False(t, draw.Finish(at(26.5), named/3, named, ends), "version 3 takes little longer")
	require.True(t, draw.Finish(at(26.5), named, named, ends), "others have all of it")
}
