package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// newUnreachableSoundPool returns a pool of the servers "bad" and "sound", and a
// request that failed on "bad". The next connections to "sound" failed.
func newUnreachableSoundPool(failures int) (*schedule.Pool, schedule.Request) {
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(startTime, []schedule.Server{{ID: "bad", Slots: 8, Ready: true}, {ID: "sound", Slots: 8, Ready: true}})
	r := schedule.Request{ID: 1, Retried: true, ArrivedAt: startTime, AnswerBy: startTime.Add(target), Deadline: startTime.Add(6 * time.Second), Failed: []string{"bad"}}
	now := startTime
	for range failures {
		p.Submit(now, r)
		p.Ended(now, "sound", schedule.Unreachable, 0)
		now = now.Add(time.Second)
	}
	r.Rejected = []string{"sound"}
	return p, r
}

// A request fails on one server, and one connection to the other cannot be made in
// time. It must go to the other server after the backoff, not spend its last run on the
// server that failed it.
func TestFailedRequestWaitsForServerInFirstBackoff(t *testing.T) {
	p, r := newUnreachableSoundPool(1)
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, r)))
	require.Empty(t, p.Tick(startTime.Add(90*time.Millisecond)))
	resolved := p.Tick(startTime.Add(110 * time.Millisecond))
	require.Len(t, resolved, 1)
	require.Equal(t, "sound", resolved[0].Decision.(schedule.Start).Server.ID)
}

// The other server is probably gone, so the request is retried where it failed.
func TestFailedRequestDoesNotWaitForServerThatFailsAgain(t *testing.T) {
	p, r := newUnreachableSoundPool(2)
	now := startTime.Add(time.Second)
	started, ok := decisionOf(p.Submit(now, r)).(schedule.Start)
	require.True(t, ok)
	require.Equal(t, "bad", started.Server.ID)
}

// While a failed request waits for another server, requests behind it use the slots of
// the server that failed it.
func TestWaitForRecoveryDoesNotBlockOtherRequests(t *testing.T) {
	p, r := newUnreachableSoundPool(1)
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, r)))
	other := schedule.Request{ID: 2, ArrivedAt: startTime, AnswerBy: startTime.Add(target), Deadline: startTime.Add(6 * time.Second)}
	started, ok := decisionOf(p.Submit(startTime, other)).(schedule.Start)
	require.True(t, ok)
	require.Equal(t, "bad", started.Server.ID)
}

// A stream that broke later than 1.2 s after its request had arrived was cut at once if no
// server could go on with it at that moment.
func TestResumedRequestMayWaitFromWhenItBroke(t *testing.T) {
	now := time.Unix(1000, 0)
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(now, []schedule.Server{{ID: "a", Slots: 1, Ready: true}})
	decisionOf(p.Submit(now, longWaitRequest(1, now)))
	resumed := schedule.Request{ID: 2, Retried: true, Resumed: true, ArrivedAt: now.Add(-2 * time.Second), AnswerBy: now.Add(-1600 * time.Millisecond), Deadline: now.Add(4 * time.Second)}
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(now, resumed)))
	require.Empty(t, p.Tick(now.Add(time.Second)))
	resolved := p.Ended(now.Add(time.Second), "a", schedule.Finished, 0)
	require.Len(t, resolved, 1)
	require.IsType(t, schedule.Start{}, resolved[0].Decision)
}

// A stream broke while all engines changed over, and was cut at once although one of them
// was ready a moment later.
func TestBegunStreamWaitsForEnginesThatChangeOver(t *testing.T) {
	now := time.Unix(1000, 0)
	ready := []schedule.Server{{ID: "a", Slots: 2, Ready: true, Version: 2}}
	for name, servers := range map[string][]schedule.Server{
		"none ready":      {{ID: "a", Slots: 2, Version: 1}},
		"version over":    {{ID: "a", Slots: 2, Ready: true, Version: 1, ServesUntil: now}},
		"none listed":     nil,
		"expires at once": {{ID: "a", Slots: 2, Ready: true, Version: 1, ServesUntil: now.Add(100 * time.Millisecond)}},
	} {
		t.Run(name, func(t *testing.T) {
			p := schedule.NewPool(schedule.Options{})
			p.SetServers(now, servers)
			resumed := schedule.Request{ID: 1, Retried: true, Resumed: true, Generates: true, ArrivedAt: now.Add(-2 * time.Second), AnswerBy: now.Add(-time.Second), Deadline: now.Add(4 * time.Second)}
			require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(now, resumed)))
			require.Empty(t, p.Tick(now.Add(500*time.Millisecond)))
			resolved := p.SetServers(now.Add(600*time.Millisecond), ready)
			require.Len(t, resolved, 1)
			require.IsType(t, schedule.Start{}, resolved[0].Decision)

			p.SetServers(now.Add(time.Second), servers)
			resumed.ID, resumed.ArrivedAt = 2, now
			require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(now.Add(time.Second), resumed)))
			resolved = p.Tick(now.Add(2500 * time.Millisecond))
			require.Len(t, resolved, 1, "the wait has an end")
			require.IsType(t, schedule.Refuse{}, resolved[0].Decision)
		})
	}
}
