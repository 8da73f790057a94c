package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/limit"
)

// The number of retries in any span must not exceed the share of the requests
// plus the fixed number, even if they come in bursts. Because retries follow
// their requests, the requests counted are those of the span, of the span half
// a span earlier or of the one a full span earlier, whichever is most.
func TestRetryWindowBoundsRetriesInAnySpan(t *testing.T) {
	const extra = 10
	span := 10 * time.Second
	w := limit.NewRetryWindow(0.2, span)
	start := time.Now()
	var requests, retries []time.Time
	for ms := 0; ms < 60000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms < 20000 || ms > 40000 {
			w.CountRequest(now)
			requests = append(requests, now)
		}
		if ms/5000%2 == 0 && w.TakeRetry(now, extra) {
			retries = append(retries, now)
		}
	}
	require.NotEmpty(t, retries)
	for _, end := range retries {
		most := max(countWithin(requests, end, span), countWithin(requests, end.Add(-span/2), span), countWithin(requests, end.Add(-span), span))
		require.LessOrEqual(t, float64(countWithin(retries, end, span)), 0.2*float64(most)+extra)
	}
}

func countWithin(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if at.After(end.Add(-span)) && !at.After(end) {
			n++
		}
	}
	return n
}

func TestRetryWindowExpiresOldRetries(t *testing.T) {
	w := limit.NewRetryWindow(0, time.Second)
	now := time.Now()
	require.True(t, w.TakeRetry(now, 1))
	require.False(t, w.TakeRetry(now, 1))
	require.True(t, w.TakeRetry(now.Add(1200*time.Millisecond), 1))
}
