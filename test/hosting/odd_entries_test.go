package hosting_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
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

// entryAt returns an entry at an address with some fields replaced by JSON.
func entryAt(t *testing.T, service, address string, fields map[string]string) string {
	t.Helper()
	entry := map[string]json.RawMessage{
		"service": json.RawMessage(fmt.Sprintf("%q", service)), "address": json.RawMessage(fmt.Sprintf("%q", address)),
		"zone": json.RawMessage(`"north-a"`), "slots": json.RawMessage("8"), "state": json.RawMessage(`"ready"`), "born": json.RawMessage("1000"),
	}
	if service == standin.EngineService {
		entry["layers"] = json.RawMessage(`{"from":0,"target":4,"version":1}`)
	}
	for name, value := range fields {
		entry[name] = json.RawMessage(value)
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(entry)) { // as text: values may be no numbers that Go has
		fmt.Fprintf(&text, ",%q:%s", name, entry[name])
	}
	return "{" + text.String()[1:] + "}"
}

// invalidEntries returns entries that name no server to use, by what is odd.
func invalidEntries(t *testing.T, service, address string) map[string]string {
	t.Helper()
	host, _, err := net.SplitHostPort(address)
	require.NoError(t, err)
	out := map[string]string{
		"no JSON": "\xff\xfe\x00", "empty": "", "null": "null", "a list": "[]",
		"unknown state":   entryAt(t, service, address, map[string]string{"state": `"asleep"`, "born": "2000"}),
		"unknown service": entryAt(t, "nobody", address, map[string]string{"born": "2000"}),
		"draining":        entryAt(t, service, address, map[string]string{"state": `"draining"`, "born": "2000"}),
		"nested":          entryAt(t, service, address, map[string]string{"models": nested(9000)}),
		"deeply nested":   entryAt(t, service, address, map[string]string{"models": nested(100_000)}),
		"version 2^63":    entryAt(t, service, address, map[string]string{"layers": `{"from":0,"target":4,"version":9223372036854775807}`}),
	}
	for _, born := range []string{"1e300", "-1e300", "1e400", "1000.5"} {
		out["born "+born] = entryAt(t, service, address, map[string]string{"born": born})
	}
	for _, slots := range []string{"1e18", "1e300", "-1e300", "0", "8.5"} {
		out["slots "+slots] = entryAt(t, service, address, map[string]string{"slots": slots, "born": "2000"})
	}
	for _, port := range []string{"99999", "-1", "0", "http"} {
		out["port "+port] = entryAt(t, service, host+":"+port, nil)
	}
	return out
}

func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// plausibleEntries returns entries that only the server at the address can refute, by
// what is odd.
func plausibleEntries(t *testing.T, service, address string) map[string]string {
	t.Helper()
	out := map[string]string{
		"version 2^53": entryAt(t, service, address, map[string]string{"layers": `{"from":0,"target":4,"version":9007199254740992}`}),
		"slots 60000":  entryAt(t, service, address, map[string]string{"slots": "60000", "born": "2000"}),
		"closed port":  entryAt(t, service, "127.0.0.1:1", map[string]string{"slots": "60000"}),
	}
	for _, born := range []string{"1000", "1001", "2000", "1e15", "9007199254740992"} {
		out["born "+born] = entryAt(t, service, address, map[string]string{"born": born})
		out["no layers, born "+born] = entryAt(t, service, address, map[string]string{"born": born, "layers": "null"})
	}
	return out
}

// oddEntries returns both kinds of entries.
func oddEntries(t *testing.T, service, address string) map[string]string {
	out := invalidEntries(t, service, address)
	maps.Copy(out, plausibleEntries(t, service, address))
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
		entries := oddEntries(t, service, address)
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
		for name, text := range invalidEntries(t, service, address) {
			s.store.PutServer("i-"+strings.ReplaceAll(service+name, " ", "-"), text)
		}
		s.store.PutServer(oddID+service, plausibleEntries(t, service, address)["born 2000"])
	}
	s.store.PutServer("line\nbreak", entryAt(t, standin.PlainService, s.ledger.Address(), nil))
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
	entries := oddEntries(t, standin.EngineService, e.route.Address())
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
	for _, text := range []string{
		"\xff\xfe", "", "null", "[]", `{"version":9223372036854775807}`, `{"version":1e300}`, `{"version":-1}`, `{"version":9,"routes":[{}]}`,
		`{"version":9,"routes":` + nested(9000) + `}`, `{"version":9,"routes":` + nested(100_000) + `}`, `{"model":"m","version":9223372036854775807}`,
		`{"model":"m","version":1.5}`, `{"model":7,"version":2}`,
	} {
		for _, key := range []string{"op/config", "op/version/" + standin.Model, "op/version/", "op/version/other", "op/unknown", "unknown/key"} {
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
