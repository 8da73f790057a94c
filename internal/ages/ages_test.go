package ages_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/ages"
)

// Guards against ages whose product with a millisecond overflows into the future.
func TestAtIsNeverInTheFuture(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	require.Equal(t, now.Add(-1500*time.Millisecond), ages.At(now, 1500))
	for _, age := range []int64{0, -1, math.MinInt64, math.MinInt64 / 1_000_000} {
		require.Equal(t, now, ages.At(now, age), age)
	}
	for _, age := range []int64{1e12, 9_223_372_036_855, 1e13, 1e15, 1e18, math.MaxInt64} {
		require.True(t, ages.At(now, age).Before(now.Add(-20*365*24*time.Hour)), age)
	}
}
