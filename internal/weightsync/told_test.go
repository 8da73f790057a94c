package weightsync_test

import (
	"testing"
	"time"

	"almondreel.example/almondreel/internal/hostedrpc"
)

// Guards against an agent that forgets what a gateway tells of the load that the agent
// before had not verified, since its engine was silent when it was told.
func TestUnverifiedLoadIsVerifiedThoughTheAgentHeardOfItBeforeItsEngineAnswered(t *testing.T) {
	e := newSilentEngine(2)
	e.orders = 1
	e.corrupt(3)
	e.spoilt = true
	e.silence(time.Second)
	a, stop := runAgentWithRollout(e, &fakeOrigin{}, 2000)
	defer stop()
	a.SetUnverified(hostedrpc.UnverifiedLoad{Born: 1, Version: 2})
	a.SetWanted(wanted(2), nil)
	a.SetUnverified(hostedrpc.UnverifiedLoad{}) // by another gateway, which has not heard of the load
	requireServedWhole(t, e, a, 2, 5*time.Second)
}
