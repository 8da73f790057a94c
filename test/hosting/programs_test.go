package hosting_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// An engine that starts without weights gets them and serves. A new target version is
// loaded, and a new configuration takes effect within seconds.
func TestVersionAndConfigurationTakeEffect(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	s.store.SetVersion(1)
	s.waitForVersion(0, 1, 10*time.Second)
	require.True(t, caller.Ready(s.gateways[0].readyAddress))

	s.store.SetVersion(2)
	s.waitForVersion(0, 2, 5*time.Second)

	s.configure("other")
	s.waitForStatus(0, http.StatusUnauthorized, 2*time.Second)
	s.configure(apiKey)
	s.waitForVersion(0, 2, 2*time.Second)
}

// While the store is unavailable, the gateway serves with its last state. Changes made
// meanwhile take effect within seconds of the store's recovery.
func TestGatewayServesDuringStoreOutage(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.gateways[0].storeEndpoint.SetFaults(standin.StoreFaults{Busy: true})
	time.Sleep(2500 * time.Millisecond)
	s.waitForVersion(0, 1, time.Second)
	s.configure("other")
	s.gateways[0].storeEndpoint.SetFaults(standin.StoreFaults{})
	s.waitForStatus(0, http.StatusUnauthorized, 3*time.Second)
}

// A server whose entry says that it is leaving, or is removed, gets no more requests;
// callers get a 503.
func TestEntryOfLeavingServerStopsRequests(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.engines[0].Register(s.store, true)
	s.waitForStatus(0, http.StatusServiceUnavailable, 2*time.Second)
	s.engines[0].Deregister(s.store)
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, s.send(0, apiKey).Status)
}

// On SIGTERM the gateway reports not ready at once, completes the requests in progress
// and exits.
func TestGatewayDrainInterruptsNoRequest(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	g := s.gateways[0]
	s.waitForVersion(0, 1, 10*time.Second)
	s.engines[0].SetEventMS(80)
	outcomes := make(chan caller.Outcome, 3)
	for range 3 {
		go func() { outcomes <- s.send(0, apiKey) }()
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, g.command.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, g.command.Process.Signal(syscall.SIGTERM))
	s.eventually(time.Second, "the gateway reports not ready", func() bool { return !caller.Ready(g.readyAddress) })
	for range 3 {
		o := <-outcomes
		require.Equal(t, 200, o.Status)
		require.NoError(t, o.CheckStream())
	}
	began := time.Now()
	require.NoError(t, g.command.Wait())
	require.Less(t, time.Since(began), 8*time.Second)
	require.Contains(t, g.log.String(), "settings file read again")
	require.Contains(t, g.log.String(), "drain ended")
}

// For some seconds the store lists an entry of a server's earlier start together with
// the new one at the same address. No request may be sent to the earlier start.
func TestStaleEntryOfEarlierStartIsIgnored(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.engines[0].RegisterStale(s.store, "i-former")
	time.Sleep(300 * time.Millisecond)
	for range 10 {
		require.Equal(t, 200, s.send(0, apiKey).Status)
	}
	require.Zero(t, s.engines[0].Misdirected())
}

// Entries that expired while the store was unavailable are written again within two
// seconds of its recovery, so their servers stay in use that long. A server whose entry
// is not written again gets no more requests.
func TestServersOfExpiredEntriesServeAfterStoreOutage(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.gateways[0].storeEndpoint.SetFaults(standin.StoreFaults{Busy: true})
	time.Sleep(3500 * time.Millisecond)
	s.engines[0].Deregister(s.store)
	s.gateways[0].storeEndpoint.SetFaults(standin.StoreFaults{})
	began := time.Now()
	for time.Since(began) < 1500*time.Millisecond {
		require.Equal(t, 200, s.send(0, apiKey).Status, "after %v", time.Since(began))
		time.Sleep(20 * time.Millisecond)
	}
	s.waitForStatus(0, http.StatusServiceUnavailable, 2*time.Second)
}

// A gateway that the store refused for a while gets its state from another gateway and
// does not call the store again. It must still stop using servers that leave.
func TestGatewayAfterStoreOutageDropsLeavingServer(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 1})
	s.gateways[1].storeEndpoint.SetFaults(standin.StoreFaults{Busy: true})
	s.waitForVersion(0, 1, 10*time.Second)
	s.waitForVersion(1, 1, 10*time.Second)
	time.Sleep(3 * time.Second)
	s.gateways[1].storeEndpoint.SetFaults(standin.StoreFaults{})
	s.engines[0].Deregister(s.store)
	for n := range s.gateways {
		s.waitForStatus(n, http.StatusServiceUnavailable, 2*time.Second)
	}
}

// A restarted gateway must not restart the deadline of a target version: a version
// that was named long ago must be served by now, and one that was named a moment ago
// still has the rest of its time.
func TestVersionDeadlineSurvivesGatewayRestart(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.waitForVersion(1, 1, 10*time.Second)
	s.origin.SetFaults(standin.OriginFaults{Down: true})
	s.store.SetVersion(2)
	time.Sleep(300 * time.Millisecond)
	s.gateways[1].kill()
	s.gateways[1].start(t)
	s.eventually(versionMS*time.Millisecond, "the older version is served before the new one's deadline", func() bool { return s.send(1, apiKey).Version == 1 })
	s.waitForStatus(1, http.StatusServiceUnavailable, versionMS*time.Millisecond)
	s.gateways[1].kill()
	s.gateways[1].start(t)
	s.eventually(5*time.Second, "the restarted gateway answers", func() bool { return s.send(1, apiKey).Status != 0 })
	time.Sleep(exchangeTime) // by then it has the version's age from the other gateway
	for range 20 {
		require.NotEqual(t, int64(1), s.send(1, apiKey).Version)
		time.Sleep(20 * time.Millisecond)
	}
	s.origin.SetFaults(standin.OriginFaults{})
	s.waitForVersion(1, 2, 5*time.Second)
}

// An engine starts its answers late while its version expires. A gateway that sent it
// nothing meanwhile learns of it from the other gateway, and sends it no request that
// would begin after the deadline.
func TestSlowEngineIsLeftEarlyByOtherGateways(t *testing.T) {
	const slowStart = 450 * time.Millisecond // the gateway takes no data in 500 ms for a stall
	s := startSite(t, options{gateways: 2, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.waitForVersion(1, 1, 10*time.Second)
	time.Sleep(2 * time.Second) // a version that a gateway reads sooner counts as found at its start
	s.origin.SetFaults(standin.OriginFaults{Down: true})
	s.engines[0].SetEventMS(int(slowStart.Milliseconds()))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.send(0, apiKey)
	}()
	time.Sleep(200 * time.Millisecond) // the slow answer starts after the version is named
	s.store.SetVersion(2)
	deadline := time.Now().Add(versionMS * time.Millisecond)
	time.Sleep(time.Until(deadline) - slowStart)
	before := len(s.engines[0].Runs())
	require.Equal(t, http.StatusServiceUnavailable, s.send(1, apiKey).Status)
	require.Len(t, s.engines[0].Runs(), before)
	<-ended
}

// At-most-once calls each run once and are answered with their own result.
func TestAtMostOnceCallsRunOnce(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	c := caller.New(s.gateways[0].callerAddress)
	defer c.Close()
	s.ledger.SetDelayMS(30)
	for n := range 20 {
		attempt := fmt.Sprint("once-", n)
		o := c.Send(t.Context(), standin.OncePath+"x", attempt, apiKey, time.Now().Add(requestTimeout))
		require.Equal(t, 200, o.Status)
		require.Equal(t, "done "+attempt, o.Body)
	}
	seen := map[string]int{}
	for _, r := range s.ledger.Runs() {
		seen[r.Attempt]++
		require.Equal(t, 1, seen[r.Attempt], r.Attempt)
	}
	require.Len(t, seen, 20)
}

// A request that crashes the engines that run it must reach none after its third crash,
// through whichever gateway it is sent. Other requests are still served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 6, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.waitForVersion(1, 1, 10*time.Second)
	for n := range 14 {
		c := caller.New(s.gateways[n%2].callerAddress).WithBody(standin.CrashBody)
		o := c.Send(t.Context(), standin.StreamPath+"x", fmt.Sprint("crash-", n), apiKey, time.Now().Add(requestTimeout))
		c.Close()
		require.NotEqual(t, http.StatusOK, o.Status)
		time.Sleep(300 * time.Millisecond)
	}
	runs := s.runsOf("crash-")
	require.GreaterOrEqual(t, len(runs), 2, "too few engines ran the crashing request")
	for _, r := range runs[min(maxCrashes, len(runs)):] {
		require.WithinDuration(t, runs[maxCrashes-1].At, r.At, crashReportTime, "%s ran after the third crash", r.Attempt)
	}
	s.waitForVersion(0, 1, 5*time.Second)
}

const (
	// maxCrashes is the number of crashes after which a request is quarantined.
	maxCrashes = 3
	// crashReportTime is the time within which every gateway must learn of a crash.
	crashReportTime = time.Second
)
