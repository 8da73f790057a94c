package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/membership"
)

// world is a table that is fed by hand.
type world struct {
	table    *membership.Table
	now      time.Time
	sequence uint64
}

func newWorld() *world {
	return &world{table: membership.NewTable(), now: time.Now()}
}

func (w *world) member(i, dataCentre int) gateway.Member {
	w.sequence++
	return gateway.Member{Name: fmt.Sprintf("instance-%d", i), DataCentre: fmt.Sprintf("centre-%d", dataCentre),
		Service: "assistant", Sequence: w.sequence, Started: 1}
}

// pass lets seconds pass in which the given members beat; instance i is in data centre i%3.
func (w *world) pass(seconds int, beating ...int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		for _, i := range beating {
			w.table.Hear(w.member(i, i%3), w.now)
		}
		w.table.Sweep(w.now)
	}
}

func (w *world) entry(t *testing.T, i int) membership.Entry {
	for _, e := range w.table.EntriesAt(w.now) {
		if e.Member.Name == fmt.Sprintf("instance-%d", i) {
			return e
		}
	}
	require.Fail(t, "no entry")
	return membership.Entry{}
}

func (w *world) routable() int { return len(w.table.Routable("assistant", w.now)) }

func TestSilentMemberGetsNoWorkAndIsDeadWhileItsDataCentreIsHeard(t *testing.T) {
	w := newWorld()
	w.pass(2, 0, 1, 2, 3, 4, 5)
	require.Equal(t, 6, w.routable())
	w.pass(4, 1, 2, 3, 4, 5)
	require.Equal(t, 5, w.routable())
	require.Equal(t, membership.Suspected, w.entry(t, 0).State)
	require.True(t, w.entry(t, 0).Dead)
	w.pass(1, 0, 1, 2, 3, 4, 5)
	require.Equal(t, membership.Live, w.entry(t, 0).State)
}

func TestSilentDataCentreIsCutOffAndNotDead(t *testing.T) {
	w := newWorld()
	w.pass(2, 0, 1, 2, 3, 4, 5)
	w.pass(50, 1, 2, 4, 5)
	for _, i := range []int{0, 3} {
		require.Equal(t, membership.Suspected, w.entry(t, i).State)
		require.False(t, w.entry(t, i).Dead)
	}
	w.table.List(listing(1, 2, 4, 5), w.now)
	require.True(t, w.entry(t, 0).Dead, "the platform no longer lists it")
}

func listing(members ...int) instances.List {
	var l instances.List
	for _, i := range members {
		l.Instances = append(l.Instances, instances.Instance{Name: fmt.Sprintf("instance-%d", i), Role: instances.RoleAgent,
			DataCentre: fmt.Sprintf("centre-%d", i%3), State: instances.Live})
	}
	return l
}

func TestOneSilentSourceIsSuspicion(t *testing.T) {
	w := newWorld()
	other := gateway.Peer{Name: "gateway-1", DataCentre: "centre-1"}
	w.pass(2, 0, 1, 2, 3, 4, 5)
	for range 8 {
		w.table.HearGateway(other, w.now)
		w.table.Tell(other.Name, []gateway.Member{w.member(0, 0)}, nil, false, w.now)
		w.pass(1, 1, 2, 3, 4, 5)
	}
	require.False(t, w.entry(t, 0).Dead, "another gateway hears it")
	for range 8 {
		w.table.HearGateway(other, w.now)
		w.table.Tell(other.Name, nil, []string{"instance-0"}, false, w.now)
		w.pass(1, 1, 2, 3, 4, 5)
	}
	require.True(t, w.entry(t, 0).Dead)
}

func TestMemberOfAnotherGatewayIsRoutable(t *testing.T) {
	w := newWorld()
	other := gateway.Peer{Name: "gateway-1", DataCentre: "centre-1"}
	w.table.HearGateway(other, w.now)
	w.table.Tell(other.Name, []gateway.Member{w.member(7, 1)}, nil, true, w.now)
	require.Equal(t, 1, w.routable())
	w.table.Tell(other.Name, nil, nil, true, w.now)
	w.pass(1)
	require.Zero(t, w.routable(), "a whole answer that lacks it")
}

func TestLeavingMemberGetsNoWorkAtOnce(t *testing.T) {
	w := newWorld()
	w.pass(1, 0, 1)
	m := w.member(0, 0)
	m.Leaving = true
	w.table.Hear(m, w.now)
	require.Equal(t, 1, w.routable())
	l := listing(0, 1)
	l.Instances[1].State = instances.Leaving
	w.table.List(l, w.now)
	require.Zero(t, w.routable(), "the platform says leaving")
}

func TestEarlierRunAndOlderHeartbeatAreIgnored(t *testing.T) {
	w := newWorld()
	m := w.member(0, 0)
	m.Started, m.Digest = 5, "new"
	w.table.Hear(m, w.now)
	old := m
	old.Started, old.Digest, old.Sequence = 4, "old", 99
	w.table.Hear(old, w.now)
	require.EqualValues(t, "new", w.entry(t, 0).Member.Digest)
	require.False(t, w.table.HearBrief(old.Brief(), w.now), "the gateway asks for the member whole")
	late := m
	late.Sequence, late.Digest = m.Sequence-1, "late"
	w.table.Hear(late, w.now)
	require.EqualValues(t, "new", w.entry(t, 0).Member.Digest)
}

func TestChangesTellOnlyWhatChanged(t *testing.T) {
	w := newWorld()
	w.pass(1, 0, 1, 2)
	members, silent, sequence := w.table.Changes(0)
	require.Len(t, members, 3)
	require.Empty(t, silent)
	w.pass(1, 0, 1, 2)
	members, _, same := w.table.Changes(sequence)
	require.Empty(t, members)
	require.Equal(t, sequence, same)
	w.pass(4, 0, 1)
	members, silent, _ = w.table.Changes(sequence)
	require.Empty(t, members)
	require.Equal(t, []string{"instance-2"}, silent)
}

// TestBriefHeartbeatMeansWhatWasHeardHere has another gateway tell of a state
// that the member has left again before its next heartbeat here.
func TestBriefHeartbeatMeansWhatWasHeardHere(t *testing.T) {
	w := newWorld()
	m := w.member(0, 0)
	m.Digest = "d1"
	w.table.Hear(m, w.now)
	between := w.member(0, 0)
	w.table.HearGateway(gateway.Peer{Name: "gateway-1"}, w.now)
	w.table.Tell("gateway-1", []gateway.Member{between}, nil, false, w.now)
	require.Empty(t, w.entry(t, 0).Member.Digest)
	m.Sequence = between.Sequence + 1
	require.True(t, w.table.HearBrief(m.Brief(), w.now))
	require.EqualValues(t, "d1", w.entry(t, 0).Member.Digest)
}
