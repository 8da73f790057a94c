package weights_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/swarm"
)

// TestAgentIsUsedAgainAfterTemporaryStall guards against an agent that remains
// excluded as a holder after it stalled. The only other agent of a region stalls
// for some seconds; once it answers again, its chunks must be fetched from it and
// not from the source.
func TestAgentIsUsedAgainAfterTemporaryStall(t *testing.T) {
	t.Parallel()
	o := options(6)
	o.Regions = 3
	s := start(t, o)
	m := publish(t, s, "1", 1)
	plan := s.PlanOf(m)
	plan.Weighing = operator.Time
	fetchAll(s, plan)
	waitProgress(t, s, 0.2)
	stalled := s.Agents()[1]
	stalled.SetFaults(swarm.Faults{Stalled: true})
	time.Sleep(4 * time.Second)
	stalled.SetFaults(swarm.Faults{})
	requireHeld(t, s, m.Digest(), 15*time.Second)
	require.LessOrEqual(t, originCopies(s), 3*1.1)
}
