package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
)

var startTime = time.Unix(1000, 0)

// newPairPool returns a pool of two servers with enough free slots.
func newPairPool() (*schedule.Pool, []schedule.Server) {
	p := schedule.NewPool(schedule.Options{})
	list := []schedule.Server{
		{ID: "a", Address: "1", Slots: 16, StartUnixMS: 10, Ready: true},
		{ID: "b", Address: "2", Slots: 16, StartUnixMS: 10, Ready: true},
	}
	p.SetServers(startTime, list)
	return p, list
}

// countStarts submits n requests and returns how many started on each server, by
// ID. The requests then finish.
func countStarts(p *schedule.Pool, now time.Time, n int) map[string]int {
	out := map[string]int{}
	for id := range n {
		decision, _ := p.Submit(now, schedule.Request{ID: int64(id), ArrivedAt: now, AnswerBy: now.Add(target), Deadline: now.Add(6 * time.Second)})
		if s, ok := decision.(schedule.Start); ok {
			out[s.Server.ID]++
		}
	}
	for id, count := range out {
		for range count {
			p.Ended(now, id, schedule.Finished, 0)
		}
	}
	return out
}

// During a planned release a server announces its shutdown, but the server list
// shows it as ready for some more seconds. It must get no new requests.
func TestDepartingServerGetsNoRequestsWhileListed(t *testing.T) {
	p, list := newPairPool()
	require.True(t, p.MarkDeparting(startTime, schedule.Departure{Server: "a", StartUnixMS: 10, At: startTime}))
	require.False(t, p.MarkDeparting(startTime, schedule.Departure{Server: "a", StartUnixMS: 10, At: startTime}), "the departure is already known")
	for second := range 300 { // longer than departures of unlisted servers are kept
		now := startTime.Add(time.Duration(second) * time.Second)
		p.SetServers(now, list)
		require.Equal(t, map[string]int{"b": 8}, countStarts(p, now, 8))
	}
}

// The list entry expires while the store is unavailable, and reappears later.
func TestDepartureSurvivesMissingListEntry(t *testing.T) {
	p, list := newPairPool()
	p.MarkDeparting(startTime, schedule.Departure{Server: "a", StartUnixMS: 10, At: startTime})
	p.SetServers(startTime.Add(time.Second), list[1:])
	p.SetServers(startTime.Add(20*time.Second), list)
	require.Equal(t, map[string]int{"b": 4}, countStarts(p, startTime.Add(20*time.Second), 4))
}

func TestDepartureBeforeServerIsListed(t *testing.T) {
	p := schedule.NewPool(schedule.Options{})
	require.True(t, p.MarkDeparting(startTime, schedule.Departure{Server: "a", StartUnixMS: 10, At: startTime}))
	_, list := newPairPool()
	p.SetServers(startTime, list)
	require.Equal(t, map[string]int{"b": 4}, countStarts(p, startTime, 4))
}

func TestRestartedServerIsNotDeparting(t *testing.T) {
	p, list := newPairPool()
	p.MarkDeparting(startTime, schedule.Departure{Server: "a", StartUnixMS: 10, At: startTime})
	list[0].StartUnixMS = 11
	p.SetServers(startTime.Add(time.Second), list)
	require.Positive(t, countStarts(p, startTime.Add(time.Second), 8)["a"])
	// Another gateway still reports the departure of the previous start.
	p.MarkDeparting(startTime.Add(2*time.Second), schedule.Departure{Server: "a", StartUnixMS: 10, At: startTime})
	require.Positive(t, countStarts(p, startTime.Add(2*time.Second), 8)["a"])
}

func TestDepartureAppliesToServerIDNotAddress(t *testing.T) {
	p, list := newPairPool()
	p.MarkDeparting(startTime, schedule.Departure{Server: "a", StartUnixMS: 10, At: startTime})
	list[0].ID, list[0].StartUnixMS = "c", 9 // another server, started earlier, gets the address
	p.SetServers(startTime.Add(time.Second), list)
	require.Positive(t, countStarts(p, startTime.Add(time.Second), 8)["c"])
}

// Gateways exchange departures. One that has expired must not be added again when
// another gateway still reports it.
func TestOldDeparturesOfUnlistedServersAreRemoved(t *testing.T) {
	p, list := newPairPool()
	p.MarkDeparting(startTime, schedule.Departure{Server: "gone", StartUnixMS: 10, At: startTime})
	p.SetServers(startTime.Add(time.Minute), list)
	require.Len(t, p.Departures(), 1)
	p.SetServers(startTime.Add(3*time.Minute), list)
	require.Empty(t, p.Departures())
	require.False(t, p.MarkDeparting(startTime.Add(3*time.Minute), schedule.Departure{Server: "gone", StartUnixMS: 10, At: startTime}))
	require.Empty(t, p.Departures())
}

// A full server asks for no requests until a given time. It must get none before,
// even while responses to earlier requests arrive.
func TestBusyServerGetsNoRequestsUntilRetryTime(t *testing.T) {
	p, list := newPairPool()
	until := startTime.Add(3 * time.Second)
	p.MarkBusy(startTime, "a", until)
	for ms := 0; ms < 3000; ms += 50 {
		now := startTime.Add(time.Duration(ms) * time.Millisecond)
		p.ResponseStarted(now, "a", 100, 0)
		p.SetServers(now, list)
		require.Equal(t, map[string]int{"b": 6}, countStarts(p, now, 6), "%d ms", ms)
	}
	require.Positive(t, countStarts(p, until, 8)["a"], "the busy time has passed")
}

func TestBusyTimeIsBoundedAndEndsAtRestart(t *testing.T) {
	p, list := newPairPool()
	p.MarkBusy(startTime, "a", startTime.Add(24*time.Hour))
	require.Zero(t, countStarts(p, startTime.Add(59*time.Second), 8)["a"])
	require.Positive(t, countStarts(p, startTime.Add(61*time.Second), 8)["a"])
	p.MarkBusy(startTime, "b", startTime.Add(-time.Second))
	require.Positive(t, countStarts(p, startTime, 8)["b"], "a time in the past has no effect")
	p.MarkBusy(startTime, "b", startTime.Add(time.Minute))
	list[1].StartUnixMS++
	p.SetServers(startTime.Add(time.Second), list)
	require.Positive(t, countStarts(p, startTime.Add(time.Second), 8)["b"], "the server was restarted")
}

// All servers of a service report that they are full. Requests must be refused at
// once, with a retry time at which a server accepts requests again.
func TestAllServersBusyRefusesAtOnce(t *testing.T) {
	p, _ := newPairPool()
	p.MarkBusy(startTime, "a", startTime.Add(5*time.Second))
	p.MarkBusy(startTime, "b", startTime.Add(4*time.Second))
	decision, _ := p.Submit(startTime, schedule.Request{ID: 1, ArrivedAt: startTime, AnswerBy: startTime.Add(target), Deadline: startTime.Add(6 * time.Second)})
	refused, ok := decision.(schedule.Refuse)
	require.True(t, ok, "%#v", decision)
	require.Equal(t, outcome.NoReplicaServing, refused.Reason)
	require.False(t, refused.RetryAt.Before(startTime.Add(4*time.Second)))
	require.False(t, refused.RetryAt.After(startTime.Add(5*time.Second)))
	refusal := p.Refusal(startTime, outcome.BackendRefused, schedule.Request{})
	require.False(t, refusal.RetryAt.Before(startTime.Add(4*time.Second)))
}

// A queued request must be refused as soon as no server can run it by its wait
// deadline.
func TestQueuedRequestIsRefusedWhenLastServerBecomesBusy(t *testing.T) {
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(startTime, []schedule.Server{{ID: "a", Slots: 1, Ready: true}})
	request := schedule.Request{ID: 1, ArrivedAt: startTime, AnswerBy: startTime.Add(2 * time.Second), Deadline: startTime.Add(6 * time.Second)}
	_, _ = p.Submit(startTime, request)
	request.ID = 2
	decision, _ := p.Submit(startTime, request)
	require.Equal(t, schedule.Wait{}, decision)
	p.MarkBusy(startTime, "a", startTime.Add(10*time.Second))
	resolved := p.Tick(startTime.Add(10 * time.Millisecond))
	require.Len(t, resolved, 1)
	refused, ok := resolved[0].Decision.(schedule.Refuse)
	require.True(t, ok)
	require.False(t, refused.RetryAt.Before(startTime.Add(10*time.Second)))
}

// A configuration that removed a service left its queued requests waiting until their
// targets had passed. A request whose response has begun waits for servers to come back,
// since a refusal would cut it.
func TestQueuedRequestsOfARemovedServiceAreRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(now, []schedule.Server{{ID: "a", Slots: 1, Ready: true}})
	decisionOf(p.Submit(now, longWaitRequest(1, now)))
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(now, longWaitRequest(2, now))))
	resumed := longWaitRequest(3, now)
	resumed.Resumed = true
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(now, resumed)))
	require.Empty(t, p.Tick(now))
	p.SetServers(now, nil)
	resolved := p.Tick(now)
	require.Len(t, resolved, 1)
	require.EqualValues(t, 2, resolved[0].ID)
	refused, ok := resolved[0].Decision.(schedule.Refuse)
	require.True(t, ok)
	require.Equal(t, outcome.NoReplicaServing, refused.Reason)

	p.Ended(now, "a", schedule.Finished, 0)
	p.SetServers(now, nil)
	resolved = p.SetServers(now, []schedule.Server{{ID: "a", Slots: 1, Ready: true}})
	require.Len(t, resolved, 1)
	require.EqualValues(t, 3, resolved[0].ID)
}
