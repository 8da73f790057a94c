package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
)

// stopLead is the time from the start of a stop until the gateway ends.
const stopLead = 3 * time.Second

// newStoppingPool returns a pool with one server of one slot, whose gateway ends at
// startTime.Add(stopLead).
func newStoppingPool() *schedule.Pool {
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(startTime, []schedule.Server{{ID: "a", Slots: 1, Ready: true}})
	p.Stop(startTime, startTime.Add(stopLead))
	return p
}

func stoppingRequest(id int64) schedule.Request {
	return schedule.Request{ID: id, ArrivedAt: startTime, AnswerBy: startTime.Add(time.Minute), Deadline: startTime.Add(time.Minute), AnswerMS: 2000}
}

func requireRefusedAsStopping(t *testing.T, d schedule.Decision) {
	t.Helper()
	refused, ok := d.(schedule.Refuse)
	require.True(t, ok, "%T", d)
	require.Equal(t, outcome.ShuttingDown, refused.Reason)
}

// A request must not be passed on if the gateway ends before its answer.
func TestStoppingPoolStartsOnlyRequestsThatAreAnsweredBeforeItsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*schedule.Request)
		after  time.Duration
		starts bool
	}{
		"in time":                {func(*schedule.Request) {}, time.Second, true},
		"too late":               {func(*schedule.Request) {}, 1001 * time.Millisecond, false},
		"retry too late":         {func(r *schedule.Request) { r.Retried, r.Failed = true, []string{"b"} }, 1001 * time.Millisecond, false},
		"deadline before end":    {func(r *schedule.Request) { r.Deadline = startTime.Add(stopLead) }, 2 * time.Second, true},
		"no deadline":            {func(r *schedule.Request) { r.Deadline = time.Time{} }, 2 * time.Second, false},
		"response begun already": {func(r *schedule.Request) { r.AnswerMS, r.Resumed = 0, true }, 2900 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			p, r := newStoppingPool(), stoppingRequest(1)
			c.change(&r)
			now := startTime.Add(c.after)
			d, _ := p.Submit(now, r)
			if c.starts {
				require.IsType(t, schedule.Start{}, d)
				return
			}
			requireRefusedAsStopping(t, d)
			_, ok := p.StartElsewhere(now, r)
			require.False(t, ok)
		})
	}
}

// A request that waits for a slot is refused once its turn would come too late, and is
// not started if the slot becomes free after that.
func TestStoppingPoolRefusesQueuedRequestsWhoseTurnComesTooLate(t *testing.T) {
	p := newStoppingPool()
	require.IsType(t, schedule.Start{}, decisionOf(p.Submit(startTime, stoppingRequest(1))))
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, stoppingRequest(2))))
	late := startTime.Add(1001 * time.Millisecond)
	require.Empty(t, p.Tick(late.Add(-time.Millisecond)))
	require.Empty(t, p.Ended(late, "a", schedule.Finished, 0))
	resolved := p.Tick(late)
	require.Len(t, resolved, 1)
	requireRefusedAsStopping(t, resolved[0].Decision)
	require.Zero(t, p.Waiting())
}

// Requests that wait when the stop begins are refused at once if it is too late for them.
func TestStopRefusesQueuedRequestsAtOnce(t *testing.T) {
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(startTime, []schedule.Server{{ID: "a", Slots: 1, Ready: true}})
	require.IsType(t, schedule.Start{}, decisionOf(p.Submit(startTime, stoppingRequest(1))))
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, stoppingRequest(2))))
	resolved := p.Stop(startTime, startTime.Add(time.Second))
	require.Len(t, resolved, 1)
	requireRefusedAsStopping(t, resolved[0].Decision)
}

// A route's longest recent answer counts, with time for a silent server, until it is old.
func TestAnswerTimesFollowLongestRecentAnswer(t *testing.T) {
	times := schedule.NewAnswerTimes()
	unknown := times.LongestMS("r", startTime)
	require.Greater(t, unknown, 3000.)
	times.Record("r", startTime, 100)
	times.Record("r", startTime, 700)
	times.Record("other", startTime, 9000)
	require.InDelta(t, 2200, times.LongestMS("r", startTime), 1e-9)
	times.Record("r", startTime.Add(40*time.Second), 200)
	require.InDelta(t, 2200, times.LongestMS("r", startTime.Add(40*time.Second)), 1e-9)
	require.InDelta(t, 1700, times.LongestMS("r", startTime.Add(70*time.Second)), 1e-9)
	require.InDelta(t, unknown, times.LongestMS("r", startTime.Add(3*time.Minute)), 1e-9)
}

// One answer of 6 s among a hundred of 0.5 s made a stopping gateway refuse all requests of
// the route from its signal on.
func TestOneLongAnswerDoesNotDecideForOthers(t *testing.T) {
	times := schedule.NewAnswerTimes()
	times.Record("r", startTime, 6000)
	for range 100 {
		times.Record("r", startTime, 500)
	}
	require.InDelta(t, 2000, times.LongestMS("r", startTime), 1e-9)
}
