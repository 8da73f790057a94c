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

// takeOverStep is how long a member leaves a chunk to the one that took it over.
const takeOverStep = time.Second

// TestMemberLeavesChunksThatAreTakenOver: a first member that comes late does
// not draw a chunk beside the member that took it over, for one step. Pattern:
// empty agents on a busy machine, where first members come late.
func TestMemberLeavesChunksThatAreTakenOver(t *testing.T) {
	t.Parallel()
	for range 5 {
		if yielded(t) {
			return
		}
	}
	t.Fatal("no exchange was answered within one step")
}

// yielded takes over all chunks of a lone agent and requires that it begins no
// other; false if the machine was too slow to tell.
func yielded(t *testing.T) bool {
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
		require.True(t, time.Now().Before(deadline), "the transfer did not begin")
		reply, err := client.Have(context.Background(), request)
		require.NoError(t, err)
		first = reply
	}
	answered := time.Now()
	time.Sleep(takeOverStep / 2)
	later, err := client.Have(context.Background(), agent.HaveRequest{Digest: m.Digest()})
	if err != nil || time.Since(answered) > takeOverStep*3/4 {
		return false
	}
	require.Subset(t, begun(first), begun(later))
	return true
}

// begun returns the chunks that the agent holds or brings.
func begun(r agent.HaveReply) []uint32 {
	out := append([]uint32{}, r.Drawing...)
	held := bitset.From(r.Holdings.Whole)
	for i, ok := held.NextSet(0); ok; i, ok = held.NextSet(i + 1) {
		out = append(out, uint32(i))
	}
	return out
}
