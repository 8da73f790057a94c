package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// silentPool returns a pool of two servers, and the server that got the first request of
// the two. Their responses have begun, and so has a response at the other server.
func silentPool() (p *schedule.Pool, silent, other string) {
	p = schedule.NewPool(schedule.Options{})
	p.SetServers(startTime, []schedule.Server{{ID: "a", Slots: 8, Ready: true}, {ID: "b", Slots: 8, Ready: true}})
	for range 3 {
		for _, id := range []string{"a", "b"} {
			decisionOf(p.Submit(startTime, soundRequest(startTime)))
			p.ResponseStarted(startTime, id, 10, 0)
		}
	}
	return p, "a", "b"
}

func soundRequest(now time.Time) schedule.Request {
	return schedule.Request{ID: 1, ArrivedAt: now, AnswerBy: now.Add(target), Deadline: now.Add(6 * time.Second)}
}

// startsAt returns the servers that the next n requests start at.
func startsAt(t *testing.T, p *schedule.Pool, now time.Time, n int) map[string]int {
	t.Helper()
	starts := map[string]int{}
	for range n {
		started, ok := decisionOf(p.Submit(now, soundRequest(now))).(schedule.Start)
		require.True(t, ok)
		starts[started.Server.ID]++
	}
	return starts
}

// Requests were sent to a server while its responses stalled, or not to one that went on.
func TestSilentServerGetsNoRequestsUntilItResponds(t *testing.T) {
	p, silent, other := silentPool()
	p.MarkSilent(startTime, silent)
	require.Equal(t, map[string]int{other: 2}, startsAt(t, p, startTime, 2))
	later := startTime.Add(2 * time.Second) // longer than any backoff; its responses still stall
	require.Equal(t, map[string]int{other: 2}, startsAt(t, p, later, 2))
	p.MarkResponsive(later, silent)
	require.Equal(t, 4, startsAt(t, p, later, 4)[silent], "it has the lower load")
}

// A request waited although the server that could run it had gone on.
func TestQueuedRequestStartsOnceSilentServerResponds(t *testing.T) {
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(startTime, []schedule.Server{{ID: "a", Slots: 2, Ready: true}})
	decisionOf(p.Submit(startTime, soundRequest(startTime)))
	p.ResponseStarted(startTime, "a", 10, 0)
	p.MarkSilent(startTime, "a")
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, soundRequest(startTime))))
	resolved := p.MarkResponsive(startTime.Add(10*time.Millisecond), "a")
	require.Len(t, resolved, 1)
	require.IsType(t, schedule.Start{}, resolved[0].Decision)
}

// Each response of a silent server that another server completed made its backoff longer.
func TestSupersededResponsesAddNoBackoff(t *testing.T) {
	for _, superseded := range []int{0, 3} {
		p, silent, _ := silentPool()
		p.MarkSilent(startTime, silent)
		ends := []schedule.End{schedule.Finished, schedule.Finished, schedule.Finished}
		for n := range superseded {
			ends[n] = schedule.Superseded
		}
		for _, end := range ends {
			p.Ended(startTime, silent, end, 0)
		}
		require.Zero(t, startsAt(t, p, startTime.Add(90*time.Millisecond), 1)[silent], "superseded %d", superseded)
		require.Equal(t, 1, startsAt(t, p, startTime.Add(110*time.Millisecond), 1)[silent], "superseded %d", superseded)
	}
}

// A successor was started at a server that had failed the request, or took the place of a
// request that waited.
func TestSuccessorStartsOnlyAtAnotherServerWithASlot(t *testing.T) {
	p := schedule.NewPool(schedule.Options{})
	servers := []schedule.Server{{ID: "a", Slots: 2, Ready: true}, {ID: "b", Slots: 1, Ready: true}}
	p.SetServers(startTime, servers)
	r := soundRequest(startTime)
	r.Failed = []string{"a"}
	started, ok := p.StartElsewhere(startTime, r)
	require.True(t, ok)
	require.Equal(t, "b", started.Server.ID)
	_, ok = p.StartElsewhere(startTime, r)
	require.False(t, ok, "only the server that failed it has a slot")
	running := map[string]int{}
	p.AddRunning(running)
	require.Equal(t, map[string]int{"b": 1}, running)
}
