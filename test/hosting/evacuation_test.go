package hosting_test

import (
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/standin"
)

// evacuateTime is the time after which no request may reach an evacuated data centre.
const evacuateTime = 5 * time.Second

func (s *site) evacuate(dataCentre string) { s.store.PutText("op/evacuate/"+dataCentre, "{}") }

func (s *site) endEvacuation(dataCentre string) { s.store.Remove("op/evacuate/" + dataCentre) }

// ranSince reports whether a request began to run after a time.
func ranSince(runs []standin.Run, since time.Time) bool {
	return slices.ContainsFunc(runs, func(r standin.Run) bool { return r.At.After(since) })
}

// startEvacuationSite starts a site with engines in two data centres and load on both.
func startEvacuationSite(t *testing.T) *site {
	t.Helper()
	s := startSite(t, options{gateways: 2, engines: 4, southern: 2, firstVersion: 1, evacuateMS: int(evacuateTime.Milliseconds())})
	for gateway := range s.gateways {
		s.waitForVersion(gateway, 1, 10*time.Second)
	}
	time.Sleep(exchangeTime) // the agents have reported
	for _, e := range s.engines {
		e.SetEventMS(20)
	}
	return s
}

// Guards against an evacuation that one gateway does not learn while it cannot reach the
// store, and against one that ends because the store cannot be reached by any.
func TestEvacuationHoldsWhileStoreIsUnreachable(t *testing.T) {
	s := startEvacuationSite(t)
	stop := s.load(16)
	s.eventually(5*time.Second, "requests run in the south", func() bool { return len(s.southernRuns()) > 10 })

	s.gateways[1].storeEndpoint.SetFaults(standin.StoreFaults{Silent: true})
	time.Sleep(exchangeTime)
	s.evacuate(southernDataCentre)
	inForce := time.Now().Add(evacuateTime)
	time.Sleep(evacuateTime)
	for _, g := range s.gateways {
		g.storeEndpoint.SetFaults(standin.StoreFaults{Silent: true})
	}
	time.Sleep(2500 * time.Millisecond) // the watches that the store holds have ended
	s.endEvacuation(southernDataCentre) // no gateway learns it
	time.Sleep(4 * time.Second)         // longer than a view counts as recent
	requireNoRunsSince(t, s.southernRuns(), inForce)
	require.True(t, ranSince(s.northernRuns(), inForce.Add(3*time.Second)), "the north goes on")

	for _, g := range s.gateways {
		g.storeEndpoint.SetFaults(standin.StoreFaults{})
	}
	back := time.Now()
	s.eventually(10*time.Second, "the south serves again", func() bool { return ranSince(s.southernRuns(), back) })
	outcomes := stop()
	requireServedOrRefused(t, outcomes, "ProjectedWaitTooLong", "QueueFull", "NoReplicaServing")
	s.requireRefusedDidNotRun(outcomes)
	require.True(t, s.logged("Event=2032") && s.logged("Event=2033"))
}

// Guards against a gateway that starts during an evacuation and answers before it knows of
// it, and against requests that wait although all data centres are evacuated.
func TestGatewayStartsDuringEvacuation(t *testing.T) {
	s := startEvacuationSite(t)
	s.evacuate(southernDataCentre)
	s.eventually(evacuateTime, "the gateway knows", func() bool { return s.logged("Event=2032") })
	time.Sleep(exchangeTime)
	inForce := time.Now()
	g := s.gateways[0]
	g.kill()
	g.start(t)
	s.waitForStatus(0, http.StatusOK, 10*time.Second)
	stop := s.load(12)
	s.eventually(5*time.Second, "requests run in the north", func() bool { return ranSince(s.northernRuns(), time.Now().Add(-100*time.Millisecond)) })
	time.Sleep(time.Second)
	outcomes := stop()
	requireNoRunsSince(t, s.southernRuns(), inForce)
	requireServedOrRefused(t, outcomes, "ProjectedWaitTooLong", "QueueFull", "NoReplicaServing")

	s.evacuate(northernDataCentre)
	s.eventually(evacuateTime, "both gateways know", func() bool {
		return s.send(0, apiKey).Status == http.StatusServiceUnavailable && s.send(1, apiKey).Status == http.StatusServiceUnavailable
	})
	inForce = time.Now()
	g.kill()
	g.start(t)
	s.waitForStatus(0, http.StatusServiceUnavailable, 10*time.Second)
	s.eventually(5*time.Second, "it gives the reason", func() bool { return s.send(0, apiKey).Body == "DataCentreEvacuated\n" })
	began := time.Now()
	require.Equal(t, "DataCentreEvacuated\n", s.send(0, apiKey).Body)
	require.Less(t, time.Since(began), time.Second, "it is refused at once")
	requireNoRunsSince(t, s.runs(), inForce)

	s.endEvacuation(northernDataCentre)
	s.endEvacuation(southernDataCentre)
	s.waitForStatus(0, http.StatusOK, evacuateTime)
	s.waitForStatus(1, http.StatusOK, evacuateTime)
	stop = s.load(16)
	s.eventually(evacuateTime, "the south serves again", func() bool { return ranSince(s.southernRuns(), inForce) })
	s.requireRefusedDidNotRun(stop())
}

// Guards against a gateway that was stopped for longer than evacuateTime, and sends what
// waited for it to a data centre whose evacuation it has not heard of yet.
func TestResumedGatewaySendsNothingToEvacuatedDataCentre(t *testing.T) {
	s := startEvacuationSite(t)
	stop := s.load(16)
	s.eventually(5*time.Second, "requests run in the south", func() bool { return len(s.southernRuns()) > 10 })
	process := s.gateways[1].command.Process
	require.NoError(t, process.Signal(syscall.SIGSTOP))
	s.evacuate(southernDataCentre)
	inForce := time.Now().Add(evacuateTime)
	time.Sleep(evacuateTime + 500*time.Millisecond) // callers of the stopped gateway go on sending
	require.NoError(t, process.Signal(syscall.SIGCONT))
	s.eventually(evacuateTime, "the gateway serves again", func() bool { return s.send(1, apiKey).Status == http.StatusOK })
	time.Sleep(time.Second)
	stop()
	requireNoRunsSince(t, s.southernRuns(), inForce)
}
