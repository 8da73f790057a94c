package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/schedule"
)

var began = time.Unix(1000, 0)

// pair is a pool of two servers with places to spare.
func pair() (*schedule.Pool, []schedule.Server) {
	p := schedule.NewPool(schedule.Options{})
	list := []schedule.Server{
		{ID: "a", Address: "1", Slots: 16, Born: 10, Ready: true},
		{ID: "b", Address: "2", Slots: 16, Born: 10, Ready: true},
	}
	p.SetServers(began, list)
	return p, list
}

// chosen asks for n places and returns the servers that were given, by ID.
func chosen(p *schedule.Pool, now time.Time, n int) map[string]int {
	out := map[string]int{}
	for id := range n {
		verdict, _ := p.Arrive(now, schedule.Ask{ID: int64(id), ArrivedAt: now, AnswerBy: now.Add(target), GiveUpAt: now.Add(6 * time.Second)})
		if s, ok := verdict.(schedule.Start); ok {
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

// Pattern: a planned release under load. A server that said it is about to end
// gets nothing more, although the list names it as sound for seconds.
func TestADepartingServerGetsNothingWhateverTheListSays(t *testing.T) {
	p, list := pair()
	require.True(t, p.Depart(began, schedule.Departure{Server: "a", Born: 10, At: began}))
	require.False(t, p.Depart(began, schedule.Departure{Server: "a", Born: 10, At: began}), "it is no news")
	for second := range 300 { // longer than a departure is remembered off the list
		now := began.Add(time.Duration(second) * time.Second)
		p.SetServers(now, list)
		require.Equal(t, map[string]int{"b": 8}, chosen(p, now, 8))
	}
}

// The entry lapses while the store is away, and comes back.
func TestADepartureOutlivesALapseOfTheList(t *testing.T) {
	p, list := pair()
	p.Depart(began, schedule.Departure{Server: "a", Born: 10, At: began})
	p.SetServers(began.Add(time.Second), list[1:])
	p.SetServers(began.Add(20*time.Second), list)
	require.Equal(t, map[string]int{"b": 4}, chosen(p, began.Add(20*time.Second), 4))
}

func TestADepartureIsHeardBeforeItsServerIsListed(t *testing.T) {
	p := schedule.NewPool(schedule.Options{})
	require.True(t, p.Depart(began, schedule.Departure{Server: "a", Born: 10, At: began}))
	_, list := pair()
	p.SetServers(began, list)
	require.Equal(t, map[string]int{"b": 4}, chosen(p, began, 4))
}

func TestAServerStartedAnewHasNotDeparted(t *testing.T) {
	p, list := pair()
	p.Depart(began, schedule.Departure{Server: "a", Born: 10, At: began})
	list[0].Born = 11
	p.SetServers(began.Add(time.Second), list)
	require.Positive(t, chosen(p, began.Add(time.Second), 8)["a"])
	// Another gateway still says that the start before departed.
	p.Depart(began.Add(2*time.Second), schedule.Departure{Server: "a", Born: 10, At: began})
	require.Positive(t, chosen(p, began.Add(2*time.Second), 8)["a"])
}

func TestADepartureDoesNotStickToAnotherServerAtTheAddress(t *testing.T) {
	p, list := pair()
	p.Depart(began, schedule.Departure{Server: "a", Born: 10, At: began})
	list[0].ID, list[0].Born = "c", 9 // it was started before, elsewhere
	p.SetServers(began.Add(time.Second), list)
	require.Positive(t, chosen(p, began.Add(time.Second), 8)["c"])
}

// Gateways tell each other; what all have forgotten must not come back.
func TestOldDeparturesOfUnlistedServersAreForgotten(t *testing.T) {
	p, list := pair()
	p.Depart(began, schedule.Departure{Server: "gone", Born: 10, At: began})
	p.SetServers(began.Add(time.Minute), list)
	require.Len(t, p.Departures(), 1)
	p.SetServers(began.Add(3*time.Minute), list)
	require.Empty(t, p.Departures())
	require.False(t, p.Depart(began.Add(3*time.Minute), schedule.Departure{Server: "gone", Born: 10, At: began}))
	require.Empty(t, p.Departures())
}

// Pattern: a full server names a time. Nothing reaches it before, also while
// answers that it began earlier come in.
func TestAServerThatWantsNothingIsLeftAlone(t *testing.T) {
	p, list := pair()
	until := began.Add(3 * time.Second)
	p.Rest(began, "a", until)
	for ms := 0; ms < 3000; ms += 50 {
		now := began.Add(time.Duration(ms) * time.Millisecond)
		p.Answered("a", 100, 0)
		p.SetServers(now, list)
		require.Equal(t, map[string]int{"b": 6}, chosen(p, now, 6), "%d ms", ms)
	}
	require.Positive(t, chosen(p, until, 8)["a"], "its time is over")
}

func TestAServerIsNotTakenAwayForGoodByAnAbsurdTime(t *testing.T) {
	p, list := pair()
	p.Rest(began, "a", began.Add(24*time.Hour))
	require.Zero(t, chosen(p, began.Add(59*time.Second), 8)["a"])
	require.Positive(t, chosen(p, began.Add(61*time.Second), 8)["a"])
	p.Rest(began, "b", began.Add(-time.Second))
	require.Positive(t, chosen(p, began, 8)["b"], "a time that has passed says nothing")
	p.Rest(began, "b", began.Add(time.Minute))
	list[1].Born++
	p.SetServers(began.Add(time.Second), list)
	require.Positive(t, chosen(p, began.Add(time.Second), 8)["b"], "it was started anew")
}

// Pattern: all servers of a service are full and say so. Callers are told at
// once, and a time at which a server takes requests again.
func TestCallersAreToldAtOnceWhenAllServersWantNothing(t *testing.T) {
	p, _ := pair()
	p.Rest(began, "a", began.Add(5*time.Second))
	p.Rest(began, "b", began.Add(4*time.Second))
	verdict, _ := p.Arrive(began, schedule.Ask{ID: 1, ArrivedAt: began, AnswerBy: began.Add(target), GiveUpAt: began.Add(6 * time.Second)})
	refused, ok := verdict.(schedule.Refuse)
	require.True(t, ok, "%#v", verdict)
	require.Equal(t, outcome.NoReplica, refused.Reason)
	require.False(t, refused.RetryAt.Before(began.Add(4*time.Second)))
	require.False(t, refused.RetryAt.After(began.Add(5*time.Second)))
	turned := p.Turn(began, outcome.BackendRefused, schedule.Ask{})
	require.False(t, turned.RetryAt.Before(began.Add(4*time.Second)))
}

// A request that waits is told as soon as nothing it waits for can come in time.
func TestAWaitingRequestIsToldWhenTheLastServerWantsNothing(t *testing.T) {
	p := schedule.NewPool(schedule.Options{})
	p.SetServers(began, []schedule.Server{{ID: "a", Slots: 1, Ready: true}})
	ask := schedule.Ask{ID: 1, ArrivedAt: began, AnswerBy: began.Add(2 * time.Second), GiveUpAt: began.Add(6 * time.Second)}
	_, _ = p.Arrive(began, ask)
	ask.ID = 2
	verdict, _ := p.Arrive(began, ask)
	require.Equal(t, schedule.Wait{}, verdict)
	p.Rest(began, "a", began.Add(10*time.Second))
	settled := p.Tick(began.Add(10 * time.Millisecond))
	require.Len(t, settled, 1)
	refused, ok := settled[0].Verdict.(schedule.Refuse)
	require.True(t, ok)
	require.False(t, refused.RetryAt.Before(began.Add(10*time.Second)))
}
