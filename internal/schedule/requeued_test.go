package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// Guards against requests that count twice because a slot which they were granted was
// withdrawn. Requests of the less urgent route are granted slots that are withdrawn, and
// wait again: as none of them was asked for or started more than once, they are not starved,
// and the other route keeps its precedence.
func TestRequeuedRequestCountsOnce(t *testing.T) {
	const urgent, other = 0, 1
	p := schedule.NewPool(schedule.Options{ExactShares: true})
	now := startTime
	p.SetServers(now, []schedule.Server{{ID: "engine", Slots: 1, StartUnixMS: 1, Ready: true}})
	id := int64(0)
	request := func(route int, requeued bool) schedule.Request {
		id++
		return schedule.Request{ID: id, RoutePriority: route, Generates: true, Requeued: requeued, ArrivedAt: now, AnswerBy: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	}
	start := func(r schedule.Request, end schedule.End) {
		d, _ := p.Submit(now, r)
		require.IsType(t, schedule.Start{}, d)
		p.Ended(now, "engine", end, 0)
	}
	for range 60 {
		start(request(urgent, false), schedule.Finished)
	}
	for range 6 {
		start(request(other, false), schedule.Withdrawn)
	}
	for range 2 { // they occupy the engine's slots
		d, _ := p.Submit(now, request(urgent, false))
		require.IsType(t, schedule.Start{}, d)
	}
	waiting := map[int64]int{}
	for range 6 {
		r := request(other, true)
		d, _ := p.Submit(now, r)
		require.IsType(t, schedule.Wait{}, d)
		waiting[r.ID] = other
	}
	r := request(urgent, false)
	d, _ := p.Submit(now, r)
	require.IsType(t, schedule.Wait{}, d)
	waiting[r.ID] = urgent
	resolved := p.Ended(now, "engine", schedule.Finished, 0)
	require.Len(t, resolved, 1)
	require.Equal(t, urgent, waiting[resolved[0].ID])
}
