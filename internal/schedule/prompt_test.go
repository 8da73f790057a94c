package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// After one request that stated a much longer prompt than it had, others that had to wait
// were refused for hundreds of responses: the estimate of how long responses take to start
// learned a large negative time.
func TestOverstatedPromptDoesNotShortenOthersWait(t *testing.T) {
	for _, promptMS := range []float64{3000, 1e9, 1e16} {
		now := time.Unix(1000, 0)
		p := schedule.NewPool(schedule.Options{})
		p.SetServers(now, []schedule.Server{{ID: "a", Slots: 1, Ready: true}})
		id := int64(0)
		run := func(promptMS float64) {
			id++
			r := longWaitRequest(id, now)
			r.PromptMS = promptMS
			require.IsType(t, schedule.Start{}, decisionOf(p.Submit(now, r)))
			now = now.Add(50 * time.Millisecond)
			p.ResponseStarted(now, "a", 50, promptMS)
			p.Ended(now, "a", schedule.Finished, 0)
		}
		run(promptMS)
		for range 90 {
			run(0)
		}
		id++
		decisionOf(p.Submit(now, longWaitRequest(id, now)))
		waiting := schedule.Request{ID: id + 1, ArrivedAt: now, AnswerBy: now.Add(target), Deadline: now.Add(6 * time.Second)}
		require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(now, waiting)))
		require.Empty(t, p.Tick(now.Add(target/2)), "prompt of %.0f ms", promptMS)
	}
}
