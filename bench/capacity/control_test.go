package capacity_test

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/settings"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
)

const (
	settleTime  = 15 * time.Second // long enough for every daemon to read its first instance list
	quietTime   = 20 * time.Second // measured without changes
	changeCount = 6
	changePause = 4 * time.Second
)

// controlResult is the result for one site size. Arrays are indexed by role, see
// roleNames.
type controlResult struct {
	gateways, agents          int
	idle, changing            [2]rates
	residentMB, maxResidentMB [2]float64
	anonymousMB               [2]float64
	configurationTimes        []time.Duration    // per change, until the last daemon has adopted it
	placementTimes            []time.Duration    // per change, until the last daemon has adopted the next placement
	kvCallRates               map[string]float64 // calls per second by kind and key prefix
}

// BenchmarkControl prints the CPU, memory and traffic per daemon of the control plane
// at several site sizes: first idle, then with a configuration change every changePause.
func BenchmarkControl(b *testing.B) {
	var all []controlResult
	for _, daemons := range sizes(b) {
		b.Run(strconv.Itoa(daemons), func(b *testing.B) {
			all = append(all, measureControl(b, daemons))
		})
	}
	printControl(all)
}

// sizes returns the numbers of daemons to measure. The environment variable
// CAPACITY_SIZES, such as "50 100", overrides them.
func sizes(b *testing.B) []int {
	text := os.Getenv("CAPACITY_SIZES")
	if text == "" {
		return []int{50, 100, 200}
	}
	var out []int
	for _, field := range strings.Fields(text) {
		n, err := strconv.Atoi(field)
		require.NoError(b, err)
		out = append(out, n)
	}
	return out
}

func controlSite(gateways, agents int) fleet.Site {
	site := fleet.Site{
		Name:          "capacity",
		Regions:       siteRegions(gateways),
		Services:      []fleet.Service{{Name: "lookups", Kind: settings.KindPlain, Instances: agents, OneProcess: true}},
		Organisations: organisations(),
		Model:         fleet.Model{Name: "none", First: fleet.Version{Version: "1", Bytes: 1, ChunkBytes: 1}, Next: fleet.Version{Version: "2", Bytes: 1, ChunkBytes: 1}},
		Links:         fleet.Links{OriginBytesPerSecond: 1 << 20, StoreBytesPerSecond: 1 << 20},
	}
	for i := range 6 {
		c := fleet.Class{Name: fmt.Sprintf("lookups-%d", i), Kind: "Plain", Service: "lookups", Replicas: agents, Priority: 1, AnswerWithin: "5s"}
		site.Classes = append(site.Classes, c)
	}
	return site
}

func measureControl(b *testing.B, daemons int) controlResult {
	gateways := daemons / 10
	agents := daemons - gateways
	f := startSite(b, controlSite(gateways, agents))
	roles := daemonsByRole(f)
	result := controlResult{gateways: gateways, agents: agents}
	time.Sleep(settleTime)
	before := sampleRoles(b, roles)
	callsBefore, at := kvCalls(b, f), time.Now()
	time.Sleep(quietTime)
	result.kvCallRates = callRates(callsBefore, kvCalls(b, f), time.Since(at))
	after := sampleRoles(b, roles)
	changes := makeChanges(b, f)
	last := sampleRoles(b, roles)
	for i, roleDaemons := range roles {
		result.idle[i], result.changing[i] = ratesBetween(before[i], after[i]), ratesBetween(after[i], last[i])
		result.residentMB[i], result.maxResidentMB[i] = memory(b, roleDaemons, "VmRSS")
		result.anonymousMB[i], _ = memory(b, roleDaemons, "RssAnon")
	}
	result.configurationTimes = adoptionTimes(b, f, changes, "configuration")
	result.placementTimes = adoptionTimes(b, f, changes, "placement")
	return result
}

func daemonsByRole(f *fleet.Fleet) [2][]daemon {
	var out [2][]daemon
	for _, g := range f.Gateways {
		out[0] = append(out[0], daemon{f.Process(g.Name), g.ControlAddress})
	}
	for _, a := range f.Backends {
		out[1] = append(out[1], daemon{f.Process(a.Instance), a.AgentAddress})
	}
	return out
}

func sampleRoles(b *testing.B, roles [2][]daemon) (out [2][]sample) {
	for i, roleDaemons := range roles {
		out[i] = sampleAll(b, roleDaemons)
	}
	return out
}

// acceptedChange is an accepted configuration change.
type acceptedChange struct {
	requestedAt time.Time
	acceptedAt  time.Time
	revision    uint64
}

var acceptedLine = regexp.MustCompile(`revision (\d+)`)

// makeChanges creates changeCount classes, changePause apart. Each of them also changes
// the placement.
func makeChanges(b *testing.B, f *fleet.Fleet) []acceptedChange {
	var out []acceptedChange
	for i := range changeCount {
		requestedAt := time.Now()
		text, code, err := f.Operator("class", "create", fmt.Sprintf("added-%d", i), "--kind", "Plain", "--service", "lookups")
		require.NoError(b, err)
		require.Zero(b, code, text)
		found := acceptedLine.FindStringSubmatch(text)
		require.NotNil(b, found, text)
		revision, err := strconv.ParseUint(found[1], 10, 64)
		require.NoError(b, err)
		out = append(out, acceptedChange{requestedAt, time.Now(), revision})
		time.Sleep(changePause)
	}
	return out
}

// kvCalls returns the number of calls to the key-value service by kind and key prefix.
func kvCalls(b *testing.B, f *fleet.Fleet) map[string]int {
	var calls standinkv.Calls
	require.NoError(b, fleet.GetJSON(context.Background(), "http://"+f.Platform.KeyValue+standinkv.CallsPath, &calls))
	out := map[string]int{}
	for _, c := range calls.Calls {
		out[string(c.Kind)+" "+c.Prefix] = c.Count
	}
	return out
}

func callRates(before, after map[string]int, d time.Duration) map[string]float64 {
	out := map[string]float64{}
	for name, n := range after {
		if n > before[name] {
			out[name] = float64(n-before[name]) / d.Seconds()
		}
	}
	return out
}
