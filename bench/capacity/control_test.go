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
	standin "almondreel.example/almondreel/internal/standin/kv"
)

const (
	settle      = 15 * time.Second // until every daemon has read its first list
	quiet       = 20 * time.Second
	changes     = 6
	changePause = 4 * time.Second
)

// control is one size's result.
type control struct {
	gateways, agents       int
	idle, changing         [2]rates // of gateways, of agents
	resident, residentMost [2]float64
	anonymous              [2]float64
	inForce                []time.Duration // each change, until the last daemon has it
	placed                 []time.Duration // each change, until the last daemon has the next placement
	calls                  map[string]float64
}

// BenchmarkControl prints what each daemon spends for control at several sizes:
// first with nothing to do, then with a change every few seconds.
func BenchmarkControl(b *testing.B) {
	var all []control
	for _, daemons := range sizes(b) {
		b.Run(strconv.Itoa(daemons), func(b *testing.B) {
			all = append(all, measureControl(b, daemons))
		})
	}
	printControl(all)
}

// sizes are numbers of daemons; CAPACITY_SIZES="50 100" overrides them.
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
		Regions:       spread(gateways),
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

func measureControl(b *testing.B, daemons int) control {
	gateways := daemons / 10
	agents := daemons - gateways
	f := startSite(b, controlSite(gateways, agents))
	groups := rolesOf(f)
	c := control{gateways: gateways, agents: agents}
	time.Sleep(settle)
	before := sampleGroups(b, groups)
	callsBefore, at := kvCalls(b, f), time.Now()
	time.Sleep(quiet)
	c.calls = callRates(callsBefore, kvCalls(b, f), time.Since(at))
	after := sampleGroups(b, groups)
	made := makeChanges(b, f)
	last := sampleGroups(b, groups)
	for i, g := range groups {
		c.idle[i], c.changing[i] = between(before[i], after[i]), between(after[i], last[i])
		c.resident[i], c.residentMost[i] = memory(b, g, "VmRSS")
		c.anonymous[i], _ = memory(b, g, "RssAnon")
	}
	c.inForce = spreadTimes(b, f, made, "configuration")
	c.placed = spreadTimes(b, f, made, "placement")
	return c
}

func rolesOf(f *fleet.Fleet) [2][]daemon {
	var out [2][]daemon
	for _, g := range f.Gateways {
		out[0] = append(out[0], daemon{f.Process(g.Name), g.Control})
	}
	for _, a := range f.Backends {
		out[1] = append(out[1], daemon{f.Process(a.Instance), a.Agent})
	}
	return out
}

func sampleGroups(b *testing.B, groups [2][]daemon) (out [2][]sample) {
	for i, g := range groups {
		out[i] = sampleAll(b, g)
	}
	return out
}

// accepted is a change, when its operator asked for it and when it was accepted.
type accepted struct {
	askedAt  time.Time
	at       time.Time
	revision uint64
}

var acceptedLine = regexp.MustCompile(`revision (\d+)`)

// makeChanges creates classes a few seconds apart; each changes the placement too.
func makeChanges(b *testing.B, f *fleet.Fleet) []accepted {
	var out []accepted
	for i := range changes {
		asked := time.Now()
		text, code, err := f.Operator("class", "create", fmt.Sprintf("added-%d", i), "--kind", "Plain", "--service", "lookups")
		require.NoError(b, err)
		require.Zero(b, code, text)
		found := acceptedLine.FindStringSubmatch(text)
		require.NotNil(b, found, text)
		revision, err := strconv.ParseUint(found[1], 10, 64)
		require.NoError(b, err)
		out = append(out, accepted{asked, time.Now(), revision})
		time.Sleep(changePause)
	}
	return out
}

// kvCalls returns the key-value service's calls by kind and prefix.
func kvCalls(b *testing.B, f *fleet.Fleet) map[string]int {
	var calls standin.Calls
	require.NoError(b, fleet.GetJSON(context.Background(), "http://"+f.Platform.KeyValue+standin.CallsPath, &calls))
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
