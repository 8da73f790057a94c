package weights_test

import (
	"context"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/peer"
)

// baseTakeOverDelay is the time for which a member defers a chunk to the member
// that took it over.
const baseTakeOverDelay = time.Second

// TestMemberDefersTakenOverChunks guards against a chunk that is imported twice:
// by the member that took it over, and by a higher ranked member that starts
// late, as happens with empty agents under high CPU load.
func TestMemberDefersTakenOverChunks(t *testing.T) {
	t.Parallel()
	for range 5 {
		if defersTakenOver(t) {
			return
		}
	}
	t.Fatal("no exchange was answered within three quarters of a take-over delay")
}

// defersTakenOver takes over all chunks of a single agent and requires that it
// imports no further ones. It returns false if the answers came too late to tell.
func defersTakenOver(t *testing.T) bool {
	s := start(t, options(1))
	m := publish(t, s, "1", 1)
	a := s.Agents()[0]
	a.Fetch(s.PlanOf(m))
	transport := peer.NewTransport("", nil)
	defer transport.Close()
	client := peer.NewClient(a.Settings.Listen, transport)
	defer client.Close()
	request := agent.HaveRequest{Digest: m.Digest()}
	for i := range m.Chunks {
		request.TakingOver = append(request.TakingOver, uint32(i))
	}
	first := agent.HaveReply{}
	for deadline := time.Now().Add(5 * time.Second); !first.Known; {
		require.True(t, time.Now().Before(deadline), "the transfer did not begin within 5 s")
		reply, err := client.Have(context.Background(), request)
		require.NoError(t, err)
		first = reply
	}
	answered := time.Now()
	time.Sleep(baseTakeOverDelay / 2)
	later, err := client.Have(context.Background(), agent.HaveRequest{Digest: m.Digest()})
	if err != nil || time.Since(answered) > baseTakeOverDelay*3/4 {
		return false
	}
	require.Subset(t, heldOrImporting(first), heldOrImporting(later))
	return true
}

// heldOrImporting returns the chunks that the agent holds or is importing.
func heldOrImporting(r agent.HaveReply) []uint32 {
	out := append([]uint32{}, r.Drawing...)
	held := bitset.From(r.Holdings.Whole)
	for i, ok := held.NextSet(0); ok; i, ok = held.NextSet(i + 1) {
		out = append(out, uint32(i))
	}
	return out
}
