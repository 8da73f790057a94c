package hosting_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// sendPatiently sends n stream requests to the first gateway with the deadline of a caller
// who outlasts its grace period.
func (s *site) sendPatiently(name string, n int) <-chan caller.Outcome {
	outcomes := make(chan caller.Outcome, n)
	for k := range n {
		go func() {
			c := caller.New(s.gateways[0].callerAddress)
			defer c.Close()
			outcomes <- c.Send(context.Background(), standin.StreamPath+"x", fmt.Sprintf("%s-%d", name, k), apiKey, time.Now().Add(callerPatience))
		}()
	}
	return outcomes
}

// requireWhole requires n whole streams.
func requireWhole(t *testing.T, outcomes <-chan caller.Outcome, n int) {
	t.Helper()
	for range n {
		o := <-outcomes
		require.NoError(t, o.Err, o.Attempt)
		require.Equal(t, http.StatusOK, o.Status, o.Attempt)
		require.NoError(t, o.CheckStream(), o.Attempt)
	}
}

// silenceLogged finds how long a server had been silent when its successor was started.
var silenceLogged = regexp.MustCompile(`Event=4019 .*SilentMS=(\d+)`)

// A gateway that was itself stopped for over a second took its engines for silent ones, and
// left them although their events were waiting to be read.
func TestGatewayThatWasStoppedLeavesNoEngine(t *testing.T) {
	const (
		streams = 12
		stopped = 1200 * time.Millisecond
	)
	s := startSite(t, options{gateways: 1, engines: 3, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	time.Sleep(exchangeTime) // the agents have reported
	for _, e := range s.engines {
		e.SetEventMS(200)
	}
	process := s.gateways[0].command.Process
	for round := range 2 {
		before := len(s.runs())
		outcomes := s.sendPatiently(fmt.Sprint("stopped-", round), streams)
		s.eventually(2*time.Second, "the streams have begun", func() bool { return len(s.runs()) == before+streams })
		time.Sleep(300 * time.Millisecond)
		require.NoError(t, process.Signal(syscall.SIGSTOP))
		time.Sleep(stopped)
		require.NoError(t, process.Signal(syscall.SIGCONT))
		requireWhole(t, outcomes, streams)
		require.Len(t, s.runs(), before+streams, "each stream ran at one engine")
	}
	require.False(t, s.logged("Event=4019"), "no server was silent")
}

// runs returns the runs of all engines.
func (s *site) runs() []standin.Run {
	var runs []standin.Run
	for _, e := range s.engines {
		runs = append(runs, e.Runs()...)
	}
	return runs
}

// A gateway that was told to stop cut streams of an engine that paused, or left it for one
// that refused.
func TestStoppingGatewayKeepsStreamsOfPausingEngine(t *testing.T) {
	const streams = 9
	for _, grace := range []int{3, 8} {
		for _, refuse := range []bool{false, true} {
			t.Run(fmt.Sprintf("grace %d s, others refuse %v", grace, refuse), func(t *testing.T) {
				s := startSite(t, options{gateways: 1, engines: 3, firstVersion: 1, graceSeconds: grace})
				s.waitForVersion(0, 1, 10*time.Second)
				time.Sleep(exchangeTime) // the agents have reported
				for _, e := range s.engines {
					e.SetEventMS(slowEventMS)
				}
				outcomes := s.sendPatiently("stopping", streams)
				time.Sleep(300 * time.Millisecond) // the streams have begun
				s.engines[0].SilenceUntil(time.Now().Add(silence))
				if refuse {
					for _, e := range s.engines[1:] {
						e.RefuseUntil(time.Now().Add(2 * silence))
					}
				}
				g := s.gateways[0]
				require.NoError(t, g.command.Process.Signal(syscall.SIGTERM))
				requireWhole(t, outcomes, streams)
				require.NoError(t, g.command.Wait())
				found := silenceLogged.FindStringSubmatch(g.log.String())
				require.NotNil(t, found, "no successor was started")
				silentMS, err := strconv.Atoi(found[1])
				require.NoError(t, err)
				require.GreaterOrEqual(t, silentMS, 1000)
			})
		}
	}
}
