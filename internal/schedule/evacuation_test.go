package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
)

// evacuate returns the servers with those of a region evacuated, which is their data centre
// here.
func evacuate(servers []schedule.Server, regions ...string) []schedule.Server {
	for n := range servers {
		for _, region := range regions {
			servers[n].Evacuated = servers[n].Evacuated || servers[n].Region == region
		}
	}
	return servers
}

// Guards against requests that wait for, or are sent to, evacuated servers, and against a
// refusal that gives another reason.
func TestEvacuatedServersGetNoRequests(t *testing.T) {
	p := regionPool(4, "north", "south")
	now := startTime.Add(time.Second)
	require.Equal(t, 4, startsAt(t, p, startTime, 8)["north"])
	for range 4 {
		p.Ended(startTime, "south", schedule.Finished, 0)
	}
	p.SetServers(now, evacuate(regionServers(4, "north", "south"), "north"))
	for range 4 {
		p.Ended(now, "north", schedule.Finished, 0) // what ran there is completed
	}
	require.Equal(t, map[string]int{"south": 4}, startsAt(t, p, now, 4))
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(now, unboundRequest(5, now))), "the free slots are evacuated")
	requireRefusal(t, decisionOf(p.Submit(now, boundRequest(6, now, "north"))), outcome.DataCentreEvacuated, now)
	requireRefusal(t, decisionOf(p.Submit(now, boundRequest(7, now, "west"))), outcome.NoAllowedRegion, now)
	_, ok := p.StartElsewhere(now, boundRequest(8, now, "north"))
	require.False(t, ok)
	require.False(t, p.Permits(now, "north", unboundRequest(9, now)), "a slot that was granted before")
	require.True(t, p.Permits(now, "south", unboundRequest(9, now)))

	p.SetServers(now, evacuate(regionServers(4, "north", "south"), "north", "south"))
	resolved := p.Tick(now)
	require.Len(t, resolved, 1)
	require.EqualValues(t, 5, resolved[0].ID)
	requireRefusal(t, resolved[0].Decision, outcome.DataCentreEvacuated, now)
	requireRefusal(t, decisionOf(p.Submit(now, unboundRequest(10, now))), outcome.DataCentreEvacuated, now)

	p.SetServers(now, regionServers(4, "north", "south"))
	require.Equal(t, map[string]int{"north": 4}, startsAt(t, p, now, 4), "the evacuation has ended")
}

// Guards against a probe of an evacuated server after its backoff.
func TestEvacuatedServerIsNotProbed(t *testing.T) {
	p := regionPool(4, "north")
	require.Equal(t, 1, startsAt(t, p, startTime, 1)["north"])
	p.Ended(startTime, "north", schedule.Unreachable, 0)
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, unboundRequest(1, startTime))))
	resolved := p.SetServers(startTime.Add(10*time.Millisecond), evacuate(regionServers(4, "north", "south"), "north"))
	require.Len(t, resolved, 1)
	require.Equal(t, "south", resolved[0].Decision.(schedule.Start).Server.ID)
	later := startTime.Add(2 * time.Second)
	require.Equal(t, map[string]int{"south": 3}, startsAt(t, p, later, 3))
}

// Guards against requests that are started while the servers may be out of date, and
// against those that are not started any more once they are not.
func TestNothingStartsWhileServersMayBeOutdated(t *testing.T) {
	p := regionPool(4, "north")
	until := startTime.Add(time.Second)
	require.Empty(t, p.SetStartsUntil(startTime, until))
	require.Equal(t, 1, startsAt(t, p, until, 1)["north"])
	later := until.Add(time.Millisecond)
	require.False(t, p.Permits(later, "north", unboundRequest(1, later)), "a slot that was granted before")
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(later, unboundRequest(2, later))))
	resumed := unboundRequest(3, later)
	resumed.Resumed = true
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(later, resumed)))
	_, ok := p.StartElsewhere(later, unboundRequest(4, later))
	require.False(t, ok)
	require.Empty(t, p.SetServers(later, regionServers(4, "north")))
	require.Len(t, p.SetStartsUntil(later, later.Add(time.Second)), 2)
}

// Guards against a response that is cut because all servers are evacuated for a moment.
func TestResumedRequestOutlastsEvacuation(t *testing.T) {
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(startTime, evacuate(regionServers(4, "north"), "north"))
	r := unboundRequest(1, startTime)
	r.Resumed = true
	require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, r)))
	require.Empty(t, p.Tick(startTime.Add(500*time.Millisecond)))
	resolved := p.SetServers(startTime.Add(600*time.Millisecond), regionServers(4, "north"))
	require.Len(t, resolved, 1)
	require.IsType(t, schedule.Start{}, resolved[0].Decision)
}
