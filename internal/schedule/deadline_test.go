package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// A request without a deadline was refused within 10 ms if it had to wait, as if its
// deadline had passed.
func TestRequestWithoutDeadlineWaitsForSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(now, []schedule.Server{{ID: "a", Slots: 1, Ready: true}})
	require.IsType(t, schedule.Start{}, decisionOf(p.Submit(now, longWaitRequest(1, now))))
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(now, schedule.Request{ID: 2, ArrivedAt: now, AnswerBy: now.Add(target)})))
	now = now.Add(target / 2)
	require.Empty(t, p.Tick(now))
	require.Len(t, p.Ended(now, "a", schedule.Finished, 0), 1)
}
