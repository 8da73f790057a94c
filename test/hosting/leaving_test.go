package hosting_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/standin"
)

// An engine announces in its answers that it is about to stop, while its entry in the
// store is unchanged. Neither the gateway that relayed such an answer nor the other
// gateway, which learns it from the first, may send it requests, also after SIGHUP and
// while the store is unavailable. Once restarted, the engine gets requests again.
func TestLeavingEngineGetsNoMoreRequests(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 2})
	s.waitForVersion(0, 1, 10*time.Second)
	s.waitForVersion(1, 1, 10*time.Second)
	e := s.engines[0]
	e.AnnounceLeaving()
	s.eventually(5*time.Second, "the engine answers a request", func() bool {
		before := len(e.Runs())
		s.send(0, apiKey)
		return len(e.Runs()) > before
	})
	time.Sleep(exchangeTime)
	for _, g := range s.gateways {
		g.storeEndpoint.SetFaults(standin.StoreFaults{Busy: true})
		require.NoError(t, g.command.Process.Signal(syscall.SIGHUP))
	}
	before := len(e.Runs())
	began := time.Now()
	for n := 0; time.Since(began) < 3*time.Second; n++ {
		require.Equal(t, http.StatusOK, s.send(n%2, apiKey).Status)
	}
	require.Len(t, e.Runs(), before, "the engine got requests after its announcement")
	for _, g := range s.gateways {
		g.storeEndpoint.SetFaults(standin.StoreFaults{})
	}
	e.Crash(false)
	e.Restart()
	e.Register(s.store, false)
	s.eventually(10*time.Second, "the restarted engine gets requests", func() bool {
		s.send(0, apiKey)
		return len(e.Runs()) > before
	})
}

// queueTime is longer than a stream request may wait in the gateway's queue.
const queueTime = 700 * time.Millisecond

// A full engine that names a retry time gets no requests before that time; callers are
// refused meanwhile.
func TestFullEngineRetryAfterIsHonoured(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	until := time.Now().Add(2 * time.Second)
	s.engines[0].RefuseUntil(until)
	for time.Until(until) > queueTime {
		o := s.send(0, apiKey)
		require.Equal(t, http.StatusServiceUnavailable, o.Status)
		time.Sleep(30 * time.Millisecond)
	}
	require.LessOrEqual(t, len(s.engines[0].Refused()), 1)
	s.waitForVersion(0, 1, 2*time.Second)
}
