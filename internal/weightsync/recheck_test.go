package weightsync_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/piecesched"
	"almondreel.example/almondreel/internal/weightsync"
)

// corruptingOrigin sends manifests in which the digest of one piece is corrupt, as many as
// corrupt says.
type corruptingOrigin struct {
	*fakeOrigin
	corrupt   atomic.Int64
	manifests atomic.Int64
}

const corruptDigest = 5 // piece whose digest is corrupt

func (o *corruptingOrigin) Manifest(ctx context.Context, address, modelName string, version int64) (weightsync.Manifest, error) {
	m, err := o.fakeOrigin.Manifest(ctx, address, modelName, version)
	o.manifests.Add(1)
	if err == nil && o.corrupt.Add(-1) >= 0 {
		m.Digests[corruptDigest][7] ^= 1
	}
	return m, err
}

func newCorruptingOrigin(corrupt int64) *corruptingOrigin {
	o := &corruptingOrigin{fakeOrigin: &fakeOrigin{}}
	o.corrupt.Store(corrupt)
	return o
}

func runAgentOfOrigin(t *testing.T, name string, e weightsync.Engine, o weightsync.Origin) *weightsync.Agent {
	a := weightsync.NewAgent(weightsync.Options{
		Name: name, Region: "north", Service: "pool", LinkMegabits: 100, RolloutMilliseconds: 1500,
		Engine: e, Origin: o, Peers: weightsync.NewPeerClient(&http.Transport{}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return a
}

// Guards against an engine that stays without weights since its agent keeps a manifest that
// was corrupt on arrival, and rejects an intact piece each time it is fetched.
func TestCorruptManifestIsReplaced(t *testing.T) {
	for name, corrupt := range map[string]int64{"once": 1, "again when it is read again": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, o := newFakeEngine(), newCorruptingOrigin(corrupt)
			a := runAgentOfOrigin(t, "a", e, o)
			a.SetWanted(wanted(1), nil)
			require.Eventually(t, func() bool { return e.servingVersion() == 1 }, 5*time.Second, 5*time.Millisecond)
			require.False(t, e.loadedCorrupt)
			require.LessOrEqual(t, o.piecesSent, pieces+8, "pieces that were held are not fetched again")
		})
	}
}

// Guards against a corrupt manifest that spreads: an agent takes it from another one, and
// the origin is down before it can be read there again.
func TestCorruptManifestIsReplacedByThatOfAnotherAgent(t *testing.T) {
	e, o := newFakeEngine(), newCorruptingOrigin(1)
	a := runAgentOfOrigin(t, "a", e, o)
	holder, address := runAgentServer(t, &fakeOrigin{})
	holder.SetWanted(wanted(1), nil)
	require.Eventually(t, func() bool { return holder.State().Ready == 1 }, 5*time.Second, 5*time.Millisecond)
	a.SetWanted(wanted(1), nil)
	require.Eventually(t, func() bool { return a.State().Pieces.Version == 1 }, 5*time.Second, time.Millisecond)
	o.mu.Lock()
	o.down = true
	o.mu.Unlock()
	state := holder.State()
	state.Name, state.Address, state.Region, state.Service = "b", address, "north", "pool"
	a.UpdateMembers(hostedrpc.AgentChanges{Whole: true, Agents: []hostedrpc.Agent{state}})
	require.Eventually(t, func() bool { return e.servingVersion() == 1 }, 5*time.Second, 5*time.Millisecond)
	require.False(t, e.loadedCorrupt)
}

// Guards against a corrupt manifest of an agent that starts beside an engine which serves
// the version: the intact staged piece must stay, and be fetched no more than needed.
func TestCorruptManifestLeavesStagedPiecesIntact(t *testing.T) {
	e, o := newFakeEngine(), newCorruptingOrigin(1)
	for n := range pieces {
		e.staged[n] = pieceData(1, n)
	}
	e.servedVersion = 1
	a := runAgentOfOrigin(t, "a", e, o)
	a.SetWanted(wanted(1), nil)
	require.Eventually(t, func() bool { return a.State().Ready == 1 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, pieces, e.stagedCount(1))
	require.LessOrEqual(t, o.piecesSent, 2)
	require.Empty(t, e.loads)
}

// Guards against reading the manifest again for pieces that are corrupt in transit, each in
// another way: the manifest is intact, and the origin's link is needed for pieces.
func TestPiecesCorruptInTransitDoNotContradictManifest(t *testing.T) {
	e, o := newFakeEngine(), newCorruptingOrigin(0)
	o.corruptEvery = 2
	a := runAgentOfOrigin(t, "a", e, o)
	a.SetWanted(wanted(1), nil)
	require.Eventually(t, func() bool { return piecesched.CountPieces(a.State().Pieces.Have) == pieces }, 10*time.Second, 5*time.Millisecond)
	require.EqualValues(t, 1, o.manifests.Load())
}
