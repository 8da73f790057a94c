package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
)

// usualStart is the start latency of servers that nothing slows down.
const usualStart = 100 * time.Millisecond

// newExpiringPool returns a pool of servers "a" and "b" with a usual start latency,
// whose model version expires after left.
func newExpiringPool(left time.Duration) *schedule.Pool {
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(startTime, []schedule.Server{
		{ID: "a", Slots: 16, Version: 1, Ready: true, ServesUntil: startTime.Add(left)},
		{ID: "b", Slots: 16, Version: 1, Ready: true, ServesUntil: startTime.Add(left)},
	})
	for range 100 {
		p.ResponseStarted(startTime, "a", float64(usualStart.Milliseconds()), 0)
		p.ResponseStarted(startTime, "b", float64(usualStart.Milliseconds()), 0)
	}
	return p
}

func generatingRequest(now time.Time) schedule.Request {
	return schedule.Request{ID: 1, Generates: true, ArrivedAt: now, AnswerBy: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}
}

// startedOn submits requests that generate text and returns the servers on which they
// started. The requests then finish.
func startedOn(p *schedule.Pool, now time.Time) []string {
	started := map[string]bool{}
	for range 8 {
		if s, ok := decisionOf(p.Submit(now, generatingRequest(now))).(schedule.Start); ok {
			started[s.Server.ID] = true
			defer p.Ended(now, s.Server.ID, schedule.Finished, 0)
		}
	}
	out := []string{}
	for _, id := range []string{"a", "b"} {
		if started[id] {
			out = append(out, id)
		}
	}
	return out
}

func TestExpiringVersionExcludesServer(t *testing.T) {
	p := newExpiringPool(200 * time.Millisecond)
	refused, ok := decisionOf(p.Submit(startTime, generatingRequest(startTime))).(schedule.Refuse)
	require.True(t, ok, "a start takes at least 250 ms")
	require.Equal(t, outcome.NoReplicaServing, refused.Reason)
	plain := generatingRequest(startTime)
	plain.Generates = false
	require.IsType(t, schedule.Start{}, decisionOf(p.Submit(startTime, plain)), "the request needs no model")
	p.SetServers(startTime, []schedule.Server{
		{ID: "a", Slots: 16, Version: 1, Ready: true, ServesUntil: startTime.Add(200 * time.Millisecond)},
		{ID: "b", Slots: 16, Version: 2, Ready: true},
	})
	require.Equal(t, []string{"b"}, startedOn(p, startTime))
}

// A model version expires while the link to one server is congested, so that requests
// arrive there hundreds of milliseconds late and cannot be cancelled in time. The
// server must be left earlier than the others, by each gateway that measured the delay
// or heard of it from another one.
func TestSlowServerIsLeftEarlierBeforeVersionExpires(t *testing.T) {
	const left, slow = 800 * time.Millisecond, 700.0
	measured, informed, unaware := newExpiringPool(left), newExpiringPool(left), newExpiringPool(left)
	measured.ResponseStarted(startTime, "a", slow, 0)
	for _, start := range measured.SlowStarts(startTime) {
		informed.RecordSlowStart(startTime, start)
	}
	for name, p := range map[string]*schedule.Pool{"measured": measured, "informed": informed} {
		require.Equal(t, []string{"a", "b"}, startedOn(p, startTime.Add(50*time.Millisecond)), name)
		require.Equal(t, []string{"b"}, startedOn(p, startTime.Add(150*time.Millisecond)), name)
		require.Equal(t, []string{"b"}, startedOn(p, startTime.Add(500*time.Millisecond)), name)
		require.Empty(t, startedOn(p, startTime.Add(600*time.Millisecond)), name)
	}
	require.Equal(t, []string{"a", "b"}, startedOn(unaware, startTime.Add(500*time.Millisecond)))
}

// A short congestion must not exclude a server for long, and later fast starts must
// not hide a recent slow one.
func TestSlowStartExpires(t *testing.T) {
	p := newExpiringPool(3400 * time.Millisecond)
	p.ResponseStarted(startTime, "a", 700, 0)
	p.ResponseStarted(startTime.Add(time.Second), "a", 300, 0)
	require.Equal(t, []string{"b"}, startedOn(p, startTime.Add(2900*time.Millisecond)))
	require.Equal(t, []string{"a", "b"}, startedOn(p, startTime.Add(3050*time.Millisecond)))
}

// Reports of slow starts go around between gateways. They must expire as if measured
// here, and are sent only while a version is about to expire.
func TestReportedSlowStartsExpireAndAreSentOnlyBeforeExpiry(t *testing.T) {
	p := newExpiringPool(10 * time.Second)
	p.ResponseStarted(startTime, "a", 700, 0)
	require.Empty(t, p.SlowStarts(startTime), "the version serves for 10 s")
	other := newExpiringPool(2500 * time.Millisecond)
	other.RecordSlowStart(startTime.Add(time.Second), schedule.SlowStart{Server: "a", Milliseconds: 700, At: startTime})
	require.Len(t, other.SlowStarts(startTime.Add(2300*time.Millisecond)), 1)
	late := newExpiringPool(6 * time.Second)
	late.RecordSlowStart(startTime.Add(time.Second), schedule.SlowStart{Server: "a", Milliseconds: 700, At: startTime})
	require.Empty(t, late.SlowStarts(startTime.Add(3100*time.Millisecond)), "the report has expired")
	late.RecordSlowStart(startTime.Add(4*time.Second), schedule.SlowStart{Server: "a", Milliseconds: 700, At: startTime})
	require.Empty(t, late.SlowStarts(startTime.Add(4*time.Second)), "the report had expired when it arrived")
	late.RecordSlowStart(startTime.Add(4*time.Second), schedule.SlowStart{Server: "unknown", Milliseconds: 700, At: startTime.Add(4 * time.Second)})
	require.Empty(t, late.SlowStarts(startTime.Add(4*time.Second)))
}

// The version expires while a request waits for a slot. It is refused at once, as no
// server can start it any more.
func TestQueuedRequestIsRefusedOnceVersionExpires(t *testing.T) {
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(startTime, []schedule.Server{{ID: "a", Slots: 1, Version: 1, Ready: true, ServesUntil: startTime.Add(400 * time.Millisecond)}})
	require.IsType(t, schedule.Start{}, decisionOf(p.Submit(startTime, generatingRequest(startTime))))
	waiting := generatingRequest(startTime)
	waiting.ID = 2
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, waiting)))
	require.Empty(t, p.Tick(startTime.Add(140*time.Millisecond)))
	resolved := p.Tick(startTime.Add(160 * time.Millisecond))
	require.Len(t, resolved, 1)
	refused, ok := resolved[0].Decision.(schedule.Refuse)
	require.True(t, ok)
	require.Equal(t, outcome.NoReplicaServing, refused.Reason)
	require.Empty(t, p.Ended(startTime.Add(170*time.Millisecond), "a", schedule.Finished, 0))
}
