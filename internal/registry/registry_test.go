package registry_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/registry"
	"almondreel.example/almondreel/internal/site"
)

var startTime = time.Unix(1000, 0)

func after(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func newAgent(n int) hostedrpc.Agent {
	return hostedrpc.Agent{
		Name: fmt.Sprintf("side-delta-a-%d", n), Address: fmt.Sprintf("10.1.%d.%d:7700", n/250, n%250), Region: "delta",
		Service: "almond-pool", EngineAddress: fmt.Sprintf("10.1.%d.%d:8764", n/250, n%250), Born: 1784586127328,
		Holding: site.ServedWeights{Model: "wuvo192e28", Version: 1, Whole: true}, Pieces: newPieces(1, 1),
	}
}

func newPieces(version int64, have uint64) hostedrpc.Pieces {
	return hostedrpc.Pieces{Model: "wuvo192e28", Version: version, Have: []uint64{have}}
}

func newRegistry(count int) *registry.Agents {
	r := registry.New(7)
	for n := range count {
		r.Record(newAgent(n), after(0), registry.Direct)
	}
	return r
}

// encodedSize returns the gob size in bytes of the last value.
func encodedSize(t *testing.T, values ...any) int {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	before := 0
	for _, v := range values { // the first also contains the type descriptions, sent once per connection
		before = b.Len()
		require.NoError(t, e.Encode(v))
	}
	return b.Len() - before
}

func newSyncReply(delta registry.Delta) hostedrpc.SyncReply {
	return hostedrpc.SyncReply{Others: delta.AgentChanges, Mark: delta.Cursor}
}

// While nothing changes, the size of a sync reply must not grow with the site.
func TestDeltaSizeIsIndependentOfSiteSize(t *testing.T) {
	const maxBytes = 250 // 3 KB per second at four syncs per second, less the other parts of the replies
	for _, count := range []int{12, 120, 600} {
		r := newRegistry(count)
		first := r.Since(hostedrpc.Cursor{}, newAgent(0).Name, "almond-pool")
		require.True(t, first.Whole)
		require.Len(t, first.Agents, count-1)
		for n := range count {
			r.Record(newAgent(n), after(250), registry.Direct)
		}
		second := r.Since(first.Cursor, newAgent(0).Name, "almond-pool")
		require.False(t, second.Whole)
		require.Empty(t, second.Agents)
		require.Empty(t, second.Pieces)
		require.Less(t, encodedSize(t, newSyncReply(first), newSyncReply(second)), maxBytes, "%d agents", count)
	}
}

// While a version is distributed to a region with 24 of 120 agents, each agent syncs
// 14 times per second and gets the pieces that the others have received since. Pieces
// of other regions are relayed twice per second. This must use at most 5% of the link.
func TestPieceUpdatesUseLittleBandwidth(t *testing.T) {
	const (
		region, linkBytes = 24, 7.6e6 / 8
		rounds, roundMS   = 28, 71
		maxShare          = 0.05
	)
	for _, count := range []int{12, 120} {
		r := newRegistry(count)
		cursor := r.Since(hostedrpc.Cursor{}, newAgent(0).Name, "almond-pool").Cursor
		total := 0
		for round := range rounds {
			for n := range count {
				if n >= region && round%7 != 0 {
					continue
				}
				a := newAgent(n)
				a.Pieces = newPieces(2, uint64(1)<<(2*round+2)-1)
				r.Record(a, after(round*roundMS+1), registry.Direct)
			}
			delta := r.Since(cursor, newAgent(0).Name, "almond-pool")
			total += encodedSize(t, newSyncReply(delta), newSyncReply(delta))
			cursor = delta.Cursor
		}
		perSecond := float64(total) / (rounds * roundMS / 1000.0)
		require.Less(t, perSecond, maxShare*linkBytes, "%d agents", count)
	}
}

func TestSinceReturnsOnlyChanges(t *testing.T) {
	r := newRegistry(4)
	cursor := r.Since(hostedrpc.Cursor{}, newAgent(0).Name, "almond-pool").Cursor

	piecesChanged := newAgent(1)
	piecesChanged.Pieces = newPieces(1, 3)
	require.False(t, r.Record(piecesChanged, after(10), registry.SameRegion), "pieces do not count as a state change")
	stateChanged := newAgent(2)
	stateChanged.Switching = true
	require.True(t, r.Record(stateChanged, after(10), registry.SameRegion))
	delta := r.Since(cursor, newAgent(0).Name, "almond-pool")
	require.Equal(t, []hostedrpc.AgentPieces{{Name: piecesChanged.Name, Pieces: piecesChanged.Pieces}}, delta.Pieces)
	require.Len(t, delta.Agents, 1)
	require.Equal(t, stateChanged.Name, delta.Agents[0].Name)

	require.False(t, r.Record(newAgent(2), after(5), registry.SameRegion), "an older report is ignored")
	restarted := r.Since(hostedrpc.Cursor{Start: 6, Change: delta.Cursor.Change}, newAgent(0).Name, "almond-pool")
	require.True(t, restarted.Whole, "the cursor is from an earlier start of the gateway")
	require.Empty(t, r.Since(cursor, newAgent(0).Name, "ledger").Agents)
}

func TestSilentAgentIsReportedGone(t *testing.T) {
	r := newRegistry(3)
	cursor := r.Since(hostedrpc.Cursor{}, newAgent(0).Name, "almond-pool").Cursor
	timeout := int(registry.AgentTimeout.Milliseconds())
	r.Record(newAgent(0), after(timeout), registry.Direct)
	r.MarkAlive(newAgent(1).Name, after(timeout))
	r.Expire(after(timeout + 1))
	delta := r.Since(cursor, newAgent(0).Name, "almond-pool")
	require.Equal(t, []string{newAgent(2).Name}, delta.Gone)
	_, ok := r.ByEngine(newAgent(2).EngineAddress)
	require.False(t, ok)

	r.Record(newAgent(2), after(timeout+2), registry.Direct)
	delta = r.Since(cursor, newAgent(0).Name, "almond-pool")
	require.Empty(t, delta.Gone)
	require.Len(t, delta.Agents, 1, "the agent has returned")
}

// A version change that starts in 800 ms starts in 300 ms after the report is advanced
// by 500 ms.
func TestMarkAliveAdvancesChangeTimes(t *testing.T) {
	r := registry.New(1)
	a := newAgent(0)
	a.Change = hostedrpc.Switchover{Version: 2, StartMilliseconds: 800, EndMilliseconds: 1200}
	r.Record(a, after(0), registry.Direct)
	r.MarkAlive(a.Name, after(500))
	report, ok := r.ByEngine(a.EngineAddress)
	require.True(t, ok)
	require.Equal(t, after(500), report.At)
	require.Equal(t, hostedrpc.Switchover{Version: 2, StartMilliseconds: 300, EndMilliseconds: 700}, report.Change)
}

func TestUnsentReturnsChangesOnceAndAliveAgents(t *testing.T) {
	newResend := func(ms int) registry.Resend { return registry.Resend{Alive: after(ms - 600), Pieces: after(ms - 500)} }
	includeAll := func(registry.Report) bool { return true }
	r := newRegistry(2)
	var sent registry.Sent
	reports, alive := r.Unsent(&sent, after(0), newResend(0), includeAll)
	require.Len(t, reports, 2)
	require.Empty(t, alive)

	changed := newAgent(0)
	changed.Pieces = newPieces(1, 7)
	r.Record(changed, after(100), registry.Direct)
	reports, alive = r.Unsent(&sent, after(150), newResend(150), includeAll)
	require.Empty(t, reports, "pieces are not due yet")
	require.Empty(t, alive)
	reports, _ = r.Unsent(&sent, after(500), newResend(500), includeAll)
	require.Len(t, reports, 1)
	_, alive = r.Unsent(&sent, after(650), newResend(650), includeAll)
	require.Equal(t, []hostedrpc.Liveness{{Name: newAgent(1).Name, AgeMilliseconds: 650}}, alive)

	reports, _ = r.Unsent(&registry.Sent{}, after(660), newResend(660), func(report registry.Report) bool { return report.Name == newAgent(1).Name })
	require.Len(t, reports, 1)
}

func BenchmarkSince(b *testing.B) {
	for _, count := range []int{12, 120, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := newRegistry(count)
			cursor := r.Since(hostedrpc.Cursor{}, newAgent(0).Name, "almond-pool").Cursor
			b.ReportAllocs()
			for b.Loop() {
				r.Since(cursor, newAgent(0).Name, "almond-pool")
			}
		})
	}
}
