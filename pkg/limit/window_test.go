package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/limit"
)

// In any span, retries stay within the share of the requests and what is
// allowed besides, also when they come in bursts. The requests are those of the
// span, of the one before it, or of the one half a span before, whichever had
// most: retries follow their requests.
func TestWindowBoundsRetriesInAnySpan(t *testing.T) {
	const besides = 10
	span := 10 * time.Second
	w := limit.NewWindow(0.2, span)
	began := time.Now()
	var requests, retries []time.Time
	for ms := 0; ms < 60000; ms += 10 {
		now := began.Add(time.Duration(ms) * time.Millisecond)
		if ms < 20000 || ms > 40000 {
			w.Request(now)
			requests = append(requests, now)
		}
		if ms/5000%2 == 0 && w.Retry(now, besides) {
			retries = append(retries, now)
		}
	}
	require.NotEmpty(t, retries)
	for _, end := range retries {
		most := max(within(requests, end, span), within(requests, end.Add(-span/2), span), within(requests, end.Add(-span), span))
		require.LessOrEqual(t, float64(within(retries, end, span)), 0.2*float64(most)+besides)
	}
}

func within(all []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range all {
		if at.After(end.Add(-span)) && !at.After(end) {
			n++
		}
	}
	return n
}

func TestWindowForgetsWhatIsOver(t *testing.T) {
	w := limit.NewWindow(0, time.Second)
	now := time.Now()
	require.True(t, w.Retry(now, 1))
	require.False(t, w.Retry(now, 1))
	require.True(t, w.Retry(now.Add(1200*time.Millisecond), 1))
}
