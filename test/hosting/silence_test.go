package hosting_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/standin/faultproxy"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// A stream was cut if its engine fell silent for a second and the engine with which the
// gateway wanted to go on refused it: nothing was left to return to, although the first
// engine was sound and went on.
func TestSilentEngineIsNotLeftForOneThatRefuses(t *testing.T) {
	const silence = 1300 * time.Millisecond
	s := startSite(t, options{gateways: 1, engines: 2, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	time.Sleep(exchangeTime) // the agents have reported
	for _, e := range s.engines {
		e.SetEventMS(60)
	}
	const streams = 4 // two at each engine
	for round := range 2 {
		outcomes := make(chan caller.Outcome, streams)
		for n := range streams {
			go func() {
				c := caller.New(s.gateways[0].callerAddress)
				defer c.Close()
				outcomes <- c.Send(context.Background(), standin.StreamPath+"x", fmt.Sprintf("silent-%d-%d", round, n), apiKey, time.Now().Add(requestTimeout))
			}()
		}
		time.Sleep(200 * time.Millisecond) // the streams have begun
		silent, other := s.engines[round], s.engines[1-round]
		require.NoError(t, silent.route.Set(faultproxy.Faults{ToCaller: faultproxy.Stall{}}))
		other.RefuseUntil(time.Now().Add(silence))
		time.Sleep(silence)
		require.NoError(t, silent.route.Set(faultproxy.Faults{}))
		for range streams {
			require.NoError(t, (<-outcomes).CheckStream())
		}
		time.Sleep(time.Second) // the other engine gets requests again
	}
}
