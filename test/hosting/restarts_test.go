package hosting_test

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// An API key is withdrawn and a server leaves while one gateway cannot reach the store.
// The other gateway restarts and must use neither of them, although the first gateway
// still has the old state.
func TestRestartRestoresNoWithdrawnKeyOrServer(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 2})
	s.waitForVersion(0, 1, 10*time.Second)
	s.waitForVersion(1, 1, 10*time.Second)
	staleGateway := s.gateways[1]
	staleGateway.storeEndpoint.SetFaults(standin.StoreFaults{Busy: true})
	s.gateways[0].kill()
	s.configure("other")
	s.engines[0].Register(s.store, true)
	before := len(s.engines[0].Runs())
	s.gateways[0].start(t)
	began := time.Now()
	for time.Since(began) < 3*time.Second {
		o := s.send(0, apiKey)
		require.NotEqual(t, http.StatusOK, o.Status, "the withdrawn key was accepted %v after the start", time.Since(began))
		s.send(0, "other")
	}
	require.Equal(t, http.StatusOK, s.send(0, "other").Status)
	require.Len(t, s.engines[0].Runs(), before)
}

// While a gateway shuts down, callers open new connections for as long as the platform
// routes them there: until two readiness probes have failed. Every accepted request
// must get a complete answer.
func TestAcceptedRequestsAreAnsweredDuringShutdown(t *testing.T) {
	const (
		callers  = 8
		sendTime = 2500 * time.Millisecond // two readiness probes a second apart, and requests in transit
	)
	s := startSite(t, options{gateways: 1, engines: 2})
	g := s.gateways[0]
	s.waitForVersion(0, 1, 10*time.Second)
	s.engines[0].SetEventMS(2)
	s.engines[1].SetEventMS(2)
	var answered, stopAt atomic.Int64
	stopAt.Store(time.Now().Add(time.Hour).UnixNano())
	failures := make(chan []caller.Outcome, callers)
	for range callers {
		go func() {
			var failed []caller.Outcome
			defer func() { failures <- failed }()
			for time.Now().UnixNano() < stopAt.Load() {
				o := s.send(0, apiKey)
				switch {
				case o.Status == 0 || o.Status == http.StatusOK && o.CheckStream() != nil:
					failed = append(failed, o)
				default:
					answered.Add(1)
				}
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	stopAt.Store(time.Now().Add(sendTime).UnixNano())
	require.NoError(t, g.command.Process.Signal(syscall.SIGTERM))
	require.NoError(t, g.command.Wait())
	for range callers {
		require.Empty(t, <-failures)
	}
	require.Greater(t, answered.Load(), int64(100))
}
