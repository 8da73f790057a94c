package hosted_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hosted"
)

// With a grace period of 1 to 4 s answers were cut after three quarters of it, although their
// servers would have been done before the end.
func TestRequestsRunUntilLastSixthOfGracePeriod(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		until := hosted.AnswerUntil(began, grace)
		require.GreaterOrEqual(t, until.Sub(began), grace*5/6, grace)
		require.Less(t, until.Sub(began), grace, grace)
	}
}
