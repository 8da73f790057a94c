package hosting_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// oddID is the ID of the entry that another writer leaves.
const oddID = "i-odd"

// requestsPerEntry is the number of requests of each kind sent to each gateway beside an
// odd entry.
const requestsPerEntry = 3

// oddEntries returns entries of both kinds that another writer may leave.
func oddEntries(service, address string) map[string]string {
	out := standin.InvalidEntries(service, address)
	maps.Copy(out, standin.PlausibleEntries(service, address))
	return out
}

// sendOnce sends a request that may run at most once to a gateway.
func (s *site) sendOnce(gateway int) caller.Outcome {
	c := caller.New(s.gateways[gateway].callerAddress)
	defer c.Close()
	return c.Send(context.Background(), standin.OncePath+"x", "id-1", apiKey, time.Now().Add(requestTimeout))
}

// requireServed requires that each gateway answers n requests of both kinds.
func (s *site) requireServed(n int, beside string) {
	s.t.Helper()
	for g := range s.gateways {
		for range n {
			o := s.send(g, apiKey)
			require.Equal(s.t, 200, o.Status, "stream at gateway %d beside %s: %v", g, beside, o.Err)
			require.NoError(s.t, o.CheckStream())
			o = s.sendOnce(g)
			require.Equal(s.t, 200, o.Status, "call at gateway %d beside %s: %v", g, beside, o.Err)
		}
	}
}

// requireRunning requires that no daemon has ended and that each gateway still follows
// the store.
func (s *site) requireRunning() {
	s.t.Helper()
	s.configure(apiKey, "another")
	for g := range s.gateways {
		s.eventually(5*time.Second, "the gateway follows the store", func() bool { return s.send(g, "another").Status == 200 })
	}
	for _, e := range s.engines {
		require.NotContains(s.t, e.agent.log.String(), "panic")
	}
}

// settleTime is the time until gateways use a change of the store.
const settleTime = 300 * time.Millisecond

// Guards against an entry of another writer that takes the requests from the only server
// at its address, or that ends the processes that read it.
func TestOddEntryChangesNothingForServer(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 1})
	for g := range s.gateways {
		s.waitForVersion(g, 1, 10*time.Second)
	}
	for service, address := range map[string]string{standin.EngineService: s.engines[0].route.Address(), standin.PlainService: s.ledger.Address()} {
		entries := oddEntries(service, address)
		for _, name := range slices.Sorted(maps.Keys(entries)) {
			s.store.PutServer(oddID, entries[name])
			time.Sleep(settleTime)
			s.requireServed(requestsPerEntry, service+", "+name)
			s.store.RemoveServer(oddID)
		}
	}
	s.requireRunning()
}

// Guards against programs that do not start, or do not follow the store, beside entries
// of other writers: all invalid ones, and one later start at the address of each server.
func TestProgramsStartBesideOddEntries(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 2})
	s.waitForVersion(0, 1, 10*time.Second)
	for service, address := range map[string]string{standin.EngineService: s.engines[0].route.Address(), standin.PlainService: s.ledger.Address()} {
		for name, text := range standin.InvalidEntries(service, address) {
			s.store.PutServer("i-"+strings.ReplaceAll(service+name, " ", "-"), text)
		}
		s.store.PutServer(oddID+service, standin.PlausibleEntries(service, address)["born 2000"])
	}
	s.store.PutServer("line\nbreak", standin.PlausibleEntries(standin.PlainService, s.ledger.Address())["born 1000"])
	for _, g := range s.gateways {
		g.kill()
		g.start(t)
	}
	for _, e := range s.engines {
		e.agent.kill()
		e.agent.start(t)
	}
	s.store.SetVersion(2)
	for g := range s.gateways {
		s.waitForVersion(g, 2, 10*time.Second)
	}
	s.requireServed(requestsPerEntry, "all odd entries")
	s.requireRunning()
}

// An entry that becomes odd names no server to use, and the server is used again once
// its entry is sound. The other server keeps its requests.
func TestServerReturnsAfterItsEntryWasOdd(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 2})
	for g := range s.gateways {
		s.waitForVersion(g, 1, 10*time.Second)
	}
	e := s.engines[1]
	entries := oddEntries(standin.EngineService, e.route.Address())
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		s.store.PutServer("i-1", entries[name])
		time.Sleep(settleTime / 2)
		s.requireServed(2, "own entry, "+name)
	}
	e.Register(s.store, false)
	s.eventually(5*time.Second, "the server gets requests again", func() bool {
		before := len(e.Runs())
		s.requireServed(4, "the sound entry")
		return len(e.Runs()) > before
	})
}

// Guards against an odd configuration or model version that ends a gateway, takes the last
// good one out of force, or keeps a later one from being adopted.
func TestOddConfigurationKeepsLastOneInForce(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 1})
	for g := range s.gateways {
		s.waitForVersion(g, 1, 10*time.Second)
	}
	for _, text := range standin.OddOperatorItems() {
		for _, key := range standin.OperatorKeys() {
			s.store.PutText(key, text)
		}
		time.Sleep(settleTime)
		s.requireServed(1, fmt.Sprintf("%.60q", text))
	}
	s.store.SetVersion(2)
	for g := range s.gateways {
		s.waitForVersion(g, 2, 10*time.Second)
	}
	s.requireRunning()
}

// Another writer rewrites a large entry while a gateway cannot reach the store. Guards
// against a watch whose answer, with all these changes, is longer than the gateway reads,
// so that it never follows the store again.
func TestLargeEntriesDoNotEndWatches(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.gateways[0].storeEndpoint.SetFaults(standin.StoreFaults{Busy: true})
	time.Sleep(settleTime)
	for n := range 6 {
		s.store.PutServer(oddID, strings.Repeat(fmt.Sprint(n), 1<<20))
	}
	s.gateways[0].storeEndpoint.SetFaults(standin.StoreFaults{})
	s.requireServed(1, "a large entry")
	s.requireRunning()
}
