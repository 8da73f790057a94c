package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// newSharedAddressPool returns a pool with a server and a later entry at its address.
func newSharedAddressPool(entry schedule.Server) *schedule.Pool {
	p := schedule.NewPool(schedule.Options{})
	entry.ID, entry.Address, entry.Slots = "entry", "1", 16
	p.SetServers(startTime, []schedule.Server{{ID: "server", Address: "1", Slots: 16, StartUnixMS: 10, Ready: true}, entry})
	return p
}

// The entry of an earlier start stays listed for some seconds. It gets no requests.
func TestEarlierStartAtAddressGetsNoRequests(t *testing.T) {
	p := newSharedAddressPool(schedule.Server{StartUnixMS: 9, Ready: true})
	require.Equal(t, map[string]int{"server": 8}, countStarts(p, startTime, 8))
}

// Guards against an entry of another writer with a start in the future that hides the
// server at its address for good.
func TestEntryThatServerRefutesDoesNotHideIt(t *testing.T) {
	p := newSharedAddressPool(schedule.Server{StartUnixMS: 1e15, Ready: true})
	tries := 0
	for now := startTime; now.Sub(startTime) < time.Minute; now = now.Add(50 * time.Millisecond) {
		decision, _ := p.Submit(now, schedule.Request{ID: 1, ArrivedAt: now, AnswerBy: now.Add(target), Deadline: now.Add(6 * time.Second)})
		s, ok := decision.(schedule.Start)
		require.True(t, ok, "no server for a request after %v", now.Sub(startTime))
		if s.Server.ID == "entry" {
			tries++
			require.Empty(t, p.Ended(now, "entry", schedule.Misdirected, 0))
			continue
		}
		p.ResponseStarted(now, s.Server.ID, 20, 0)
		p.Ended(now, s.Server.ID, schedule.Finished, 0)
	}
	require.LessOrEqual(t, tries, 12, "requests sent to an entry without a server in a minute")
}

// An entry that accepts no requests is never refuted, so it must not hide another.
func TestEntryThatAcceptsNoRequestsHidesNoServer(t *testing.T) {
	p := newSharedAddressPool(schedule.Server{StartUnixMS: 1e15})
	require.Equal(t, map[string]int{"server": 8}, countStarts(p, startTime, 8))
}

// A server that answered by another ID may have restarted as this one since then.
func TestNewStartIsNotRefutedByAnswerToFormerOne(t *testing.T) {
	p := newSharedAddressPool(schedule.Server{StartUnixMS: 20, Ready: true})
	require.Equal(t, map[string]int{"entry": 1}, countStarts(p, startTime, 1))
	countStarts(p, startTime, 1)
	p.Ended(startTime, "entry", schedule.Misdirected, 0)
	require.Equal(t, map[string]int{"server": 1}, countStarts(p, startTime, 1))
	p.SetServers(startTime, []schedule.Server{
		{ID: "server", Address: "1", Slots: 16, StartUnixMS: 10, Ready: true}, {ID: "entry", Address: "1", Slots: 16, StartUnixMS: 30, Ready: true},
	})
	require.Equal(t, map[string]int{"entry": 8}, countStarts(p, startTime, 8))
}
