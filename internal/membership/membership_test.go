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

// fixture is a table with a simulated clock.
type fixture struct {
	table    *membership.Table
	now      time.Time
	sequence uint64
}

func newFixture() *fixture {
	return &fixture{table: membership.NewTable(), now: time.Now()}
}

func (f *fixture) member(i, dataCentre int) gateway.Member {
	f.sequence++
	return gateway.Member{Name: fmt.Sprintf("instance-%d", i), DataCentre: fmt.Sprintf("centre-%d", dataCentre),
		Service: "assistant", Sequence: f.sequence, Started: 1}
}

// advance moves the clock by seconds; the reporting members send a heartbeat in each
// of them. Instance i is in data centre i%3.
func (f *fixture) advance(seconds int, reporting ...int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for _, i := range reporting {
			f.table.RecordHeartbeat(f.member(i, i%3), f.now)
		}
		f.table.Sweep(f.now)
	}
}

func (f *fixture) entry(t *testing.T, i int) membership.Entry {
	for _, e := range f.table.EntriesAt(f.now) {
		if e.Member.Name == fmt.Sprintf("instance-%d", i) {
			return e
		}
	}
	require.Fail(t, "no entry")
	return membership.Entry{}
}

func (f *fixture) routable() int { return len(f.table.Routable("assistant", f.now)) }

func TestSilentMemberIsDeadWhileItsDataCentreIsAlive(t *testing.T) {
	f := newFixture()
	f.advance(2, 0, 1, 2, 3, 4, 5)
	require.Equal(t, 6, f.routable())
	f.advance(4, 1, 2, 3, 4, 5)
	require.Equal(t, 5, f.routable())
	require.Equal(t, membership.Suspected, f.entry(t, 0).State)
	require.True(t, f.entry(t, 0).Dead)
	f.advance(1, 0, 1, 2, 3, 4, 5)
	require.Equal(t, membership.Live, f.entry(t, 0).State)
}

func TestSilentDataCentreIsPartitionedNotDead(t *testing.T) {
	f := newFixture()
	f.advance(2, 0, 1, 2, 3, 4, 5)
	f.advance(50, 1, 2, 4, 5)
	for _, i := range []int{0, 3} {
		require.Equal(t, membership.Suspected, f.entry(t, i).State)
		require.False(t, f.entry(t, i).Dead)
	}
	f.table.RecordListing(listing(1, 2, 4, 5), f.now)
	require.True(t, f.entry(t, 0).Dead, "the platform no longer lists it")
}

func listing(members ...int) instances.List {
	var l instances.List
	for _, i := range members {
		l.Instances = append(l.Instances, instances.Instance{Name: fmt.Sprintf("instance-%d", i), Role: instances.RoleAgent,
			DataCentre: fmt.Sprintf("centre-%d", i%3), State: instances.Live})
	}
	return l
}

func TestMemberSeenByAnotherGatewayIsNotDead(t *testing.T) {
	f := newFixture()
	other := gateway.Peer{Name: "gateway-1", DataCentre: "centre-1"}
	f.advance(2, 0, 1, 2, 3, 4, 5)
	for range 8 {
		f.table.RecordGateway(other, f.now)
		f.table.RecordReport(other.Name, []gateway.Member{f.member(0, 0)}, nil, false, f.now)
		f.advance(1, 1, 2, 3, 4, 5)
	}
	require.False(t, f.entry(t, 0).Dead, "another gateway receives its heartbeats")
	for range 8 {
		f.table.RecordGateway(other, f.now)
		f.table.RecordReport(other.Name, nil, []string{"instance-0"}, false, f.now)
		f.advance(1, 1, 2, 3, 4, 5)
	}
	require.True(t, f.entry(t, 0).Dead)
}

func TestMemberOfAnotherGatewayIsRoutable(t *testing.T) {
	f := newFixture()
	other := gateway.Peer{Name: "gateway-1", DataCentre: "centre-1"}
	f.table.RecordGateway(other, f.now)
	f.table.RecordReport(other.Name, []gateway.Member{f.member(7, 1)}, nil, true, f.now)
	require.Equal(t, 1, f.routable())
	f.table.RecordReport(other.Name, nil, nil, true, f.now)
	f.advance(1)
	require.Zero(t, f.routable(), "a complete report lacks the member")
}

func TestLeavingMemberIsNotRoutable(t *testing.T) {
	f := newFixture()
	f.advance(1, 0, 1)
	m := f.member(0, 0)
	m.Leaving = true
	f.table.RecordHeartbeat(m, f.now)
	require.Equal(t, 1, f.routable())
	l := listing(0, 1)
	l.Instances[1].State = instances.Leaving
	f.table.RecordListing(l, f.now)
	require.Zero(t, f.routable(), "the platform lists the member as leaving")
}

func TestEarlierRunAndOlderHeartbeatAreIgnored(t *testing.T) {
	f := newFixture()
	m := f.member(0, 0)
	m.Started, m.Digest = 5, "new"
	f.table.RecordHeartbeat(m, f.now)
	old := m
	old.Started, old.Digest, old.Sequence = 4, "old", 99
	f.table.RecordHeartbeat(old, f.now)
	require.EqualValues(t, "new", f.entry(t, 0).Member.Digest)
	require.False(t, f.table.RecordBriefHeartbeat(old.Brief(), f.now), "a brief heartbeat of another run must be refused")
	late := m
	late.Sequence, late.Digest = m.Sequence-1, "late"
	f.table.RecordHeartbeat(late, f.now)
	require.EqualValues(t, "new", f.entry(t, 0).Member.Digest)
}

func TestChangesReturnsOnlyChangedMembers(t *testing.T) {
	f := newFixture()
	f.advance(1, 0, 1, 2)
	members, silent, sequence := f.table.Changes(0)
	require.Len(t, members, 3)
	require.Empty(t, silent)
	f.advance(1, 0, 1, 2)
	members, _, unchanged := f.table.Changes(sequence)
	require.Empty(t, members)
	require.Equal(t, sequence, unchanged)
	f.advance(4, 0, 1)
	members, silent, _ = f.table.Changes(sequence)
	require.Empty(t, members)
	require.Equal(t, []string{"instance-2"}, silent)
}

// TestBriefHeartbeatBuildsOnLastDirectHeartbeat has another gateway report an
// intermediate state of the member. A brief heartbeat must not be applied to that
// state, because the member has returned to its last direct state since.
func TestBriefHeartbeatBuildsOnLastDirectHeartbeat(t *testing.T) {
	f := newFixture()
	m := f.member(0, 0)
	m.Digest = "d1"
	f.table.RecordHeartbeat(m, f.now)
	reported := f.member(0, 0)
	f.table.RecordGateway(gateway.Peer{Name: "gateway-1"}, f.now)
	f.table.RecordReport("gateway-1", []gateway.Member{reported}, nil, false, f.now)
	require.Empty(t, f.entry(t, 0).Member.Digest)
	m.Sequence = reported.Sequence + 1
	require.True(t, f.table.RecordBriefHeartbeat(m.Brief(), f.now))
	require.EqualValues(t, "d1", f.entry(t, 0).Member.Digest)
}
