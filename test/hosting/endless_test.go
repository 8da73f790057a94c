package hosting_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/standin/faultproxy"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/endless"
	"almondreel.example/almondreel/platform/standin"
)

// firstEvent is the first event of an engine's answer; %s is the attempt's identifier.
var firstEvent = "id: 1\ndata: " + standin.EventData("%s", 1) + "\n\n"

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(t *testing.T, p *daemon) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	require.NoError(t, err)
	var size, resident int64
	_, err = fmt.Sscan(string(text), &size, &resident)
	require.NoError(t, err)
	return resident * int64(os.Getpagesize())
}

// sendConcurrently sends count stream requests to a gateway concurrently. The channel
// yields one outcome for each.
func (s *site) sendConcurrently(gateway, count int, name string) <-chan caller.Outcome {
	outcomes := make(chan caller.Outcome, count)
	for n := range count {
		go func() {
			c := caller.New(s.gateways[gateway].callerAddress)
			defer c.Close()
			outcomes <- c.Send(context.Background(), standin.StreamPath+"x", fmt.Sprintf("%s-%d", name, n), apiKey, time.Now().Add(requestTimeout))
		}()
	}
	return outcomes
}

// One of two engines answers every request with an endless response while a hundred
// callers request streams at once. Callers must be served by the other engine or be
// refused with a retry time, the gateway must stay below the memory in its settings,
// and it must use the engine again once the engine has recovered.
func TestHundredCallersBesideEndlessEngine(t *testing.T) {
	const callers, memory = 100, 64 << 20
	s := startSite(t, options{gateways: 1, engines: 2, firstVersion: 1})
	s.eventually(10*time.Second, "both engines get requests", func() bool {
		for outcomes, n := s.sendConcurrently(0, callers, "first"), 0; n < callers; n++ {
			<-outcomes
		}
		return len(s.engines[0].Runs()) > 0 && len(s.engines[1].Runs()) > 0
	})
	for n, response := range endless.Streams(firstEvent) {
		s.engines[0].SetEndlessResponse(&response)
		outcomes := s.sendConcurrently(0, callers, fmt.Sprint("id-", n))
		served, refused, peak := 0, 0, int64(0)
		for range callers {
			o := <-outcomes
			if o.Status == http.StatusOK && o.Err == nil {
				require.NoError(t, o.CheckStream())
				served++
			}
			if o.NotRun() {
				refused++
				for _, e := range s.engines {
					for _, r := range e.Runs() {
						require.NotEqual(t, o.Attempt, r.Attempt, "an attempt reported as not run has run")
					}
				}
			}
			peak = max(peak, residentBytes(t, s.gateways[0]))
		}
		t.Logf("%s: %d of %d served, %d refused, %d MB", response.Name, served, callers, refused, peak>>20)
		require.Positive(t, served)
		require.Less(t, peak, int64(memory), response.Name)
	}
	s.engines[0].SetEndlessResponse(nil)
	s.waitForVersion(0, 1, 3*time.Second)
}

// agentFloods are answers without end to an agent's calls: a head or a body, as fast as
// the connection takes them or slow enough that it never becomes idle.
var agentFloods = []faultproxy.Flood{
	{Head: "HTTP/1.1 200 OK\r\nX-Long: ", Part: strings.Repeat("x", 4096)},
	{Head: "HTTP/1.1 200 OK\r\nX-Long: ", Part: "x", Milliseconds: 30},
	{Head: "HTTP/1.1 200 OK\r\n\r\n", Part: strings.Repeat("x", 64<<10)},
	{Head: "HTTP/1.1 200 OK\r\n\r\n{\"entries\":[", Part: " ", Milliseconds: 30},
}

// The origin, an engine or the store answers the agents without end while a version is
// named. Agents must stay small, load nothing that is incomplete, and bring the version
// once the answers end again.
func TestAgentsRecoverFromEndlessAnswers(t *testing.T) {
	const memory, floodTime = 64 << 20, 500 * time.Millisecond
	s := startSite(t, options{gateways: 1, engines: 2, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	peers := map[string][]*faultproxy.Route{
		"origin": {s.originRoute},
		"engine": {s.engines[0].route},
		"store":  {s.engines[0].agent.storeRoute, s.engines[1].agent.storeRoute},
	}
	version := int64(1)
	for name, routes := range peers {
		for n, flood := range agentFloods {
			version++
			for _, r := range routes {
				require.NoError(t, r.Set(faultproxy.Faults{ToCaller: flood}))
			}
			s.store.SetVersion(version)
			peak := int64(0)
			for until := time.Now().Add(floodTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				peak = max(peak, residentBytes(t, s.engines[0].agent), residentBytes(t, s.engines[1].agent))
			}
			for _, r := range routes {
				require.NoError(t, r.Set(faultproxy.Faults{}))
			}
			t.Logf("%s, flood %d: %d MB", name, n, peak>>20)
			require.Less(t, peak, int64(memory))
			s.waitForVersion(0, version, 10*time.Second)
			s.eventually(10*time.Second, "both engines have the version", func() bool {
				return s.engines[0].Version() == version && s.engines[1].Version() == version
			})
		}
	}
}
