package weights_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/swarm"
)

// An agent that stalls for some seconds is the only other one of its region.
// Once it answers again it must count as a holder again.
func TestAgentThatStalledForAWhileIsAskedAgain(t *testing.T) {
	t.Parallel()
	o := options(6)
	o.Regions = 3
	s := start(t, o)
	m := publish(t, s, "1", 1)
	plan := s.PlanOf(m)
	plan.Weighing = operator.Time
	fetch(s, plan)
	progressed(t, s, 0.2)
	stalled := s.Agents()[1]
	stalled.SetFaults(swarm.Faults{Stalled: true})
	time.Sleep(4 * time.Second)
	stalled.SetFaults(swarm.Faults{})
	held(t, s, m.Digest(), 15*time.Second)
	require.LessOrEqual(t, copies(s), 3*1.1)
}
