package capacity_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/pkg/client"
)

const (
	modelClass    = "questions"
	loadTime      = 10 * time.Second
	idleTime      = 5 * time.Second
	loadTimeout   = time.Minute
	engines       = 2
	shortTokens   = 1
	longTokens    = 400
	shortCallers  = 6
	longCallers   = 40
	betweenTokens = 10 // milliseconds
)

// requestSite has engines that generate a token every few milliseconds.
func requestSite(betweenTokens, slots int) fleet.Site {
	v := fleet.Version{Version: "1", Bytes: 1 << 20, ChunkBytes: 1 << 18, Seed: 1}
	next := v
	next.Version = "2"
	return fleet.Site{
		Name:    "capacity",
		Regions: []fleet.Region{{Name: "region-0", DataCentre: "region-0-dc-0", Gateways: 1}},
		Services: []fleet.Service{{Name: "assistant", Kind: settings.KindEngine, Instances: engines, ChecksOrders: true,
			FirstTokenMilliseconds: 10, BetweenTokensMilliseconds: betweenTokens, Slots: slots}},
		Organisations: organisations(),
		Classes: []fleet.Class{{Name: modelClass, Kind: "Model", Service: "assistant", Replicas: engines, Priority: 1,
			FirstToken: "2s", AnswerWithin: "30s", Weighing: "Time"}},
		Model: fleet.Model{Name: "assistant", First: v, Next: next, ReadyWithin: "60s"},
		Links: fleet.Links{OriginBytesPerSecond: 16 << 20, StoreBytesPerSecond: 16 << 20,
			InstanceDownBytesPerSecond: 8 << 20, InstanceUpBytesPerSecond: 8 << 20, RegionBytesPerSecond: 8 << 20},
	}
}

// load is what callers got and the milliseconds of processor time that it cost.
type load struct {
	requests, tokens float64
	seconds          float64
	gateway, agents  float64
	memory           [2]float64 // resident megabytes of the gateway, of an agent
}

// BenchmarkRequests prints the processor time of a request and of a token.
func BenchmarkRequests(b *testing.B) {
	f := startServing(b, requestSite(betweenTokens, 64))
	groups := rolesOf(f)
	idle := measureLoad(b, groups, func() load { time.Sleep(idleTime); return load{} })
	short := measureLoad(b, groups, func() load { return callers(b, f, shortCallers, shortTokens) })
	long := measureLoad(b, groups, func() load { return callers(b, f, longCallers, longTokens) })
	printLoads(idle, short, long)
}

func startServing(b *testing.B, site fleet.Site) *fleet.Fleet {
	f := startSite(b, site)
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	_, err := f.AwaitServing(ctx, "1", engines)
	require.NoError(b, err)
	return f
}

func measureLoad(b *testing.B, groups [2][]daemon, run func() load) load {
	before, began := sampleGroups(b, groups), time.Now()
	l := run()
	l.seconds = time.Since(began).Seconds()
	after := sampleGroups(b, groups)
	spent := func(role int) (sum float64) {
		for i := range after[role] {
			sum += after[role][i].milliseconds - before[role][i].milliseconds
		}
		return sum
	}
	l.gateway, l.agents = spent(0), spent(1)
	for i, g := range groups {
		l.memory[i], _ = memory(b, g, "VmRSS")
	}
	return l
}

// callers sends requests one after another from n callers at once.
func callers(b *testing.B, f *fleet.Fleet, n, tokens int) load {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: n}
	defer transport.CloseIdleConnections()
	c := client.New("http://"+f.Gateways[0].Caller, organisations()[0].Key, &http.Client{Transport: transport})
	until := time.Now().Add(loadTime)
	var requests, got, failed atomic.Int64
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			for time.Now().Before(until) {
				prompt := fmt.Sprintf("caller %d: lot %d, weight and last sale?", i, requests.Load())
				answer, err := c.Complete(ctx, client.Completion{Class: modelClass, Prompt: prompt, MaxTokens: tokens})
				if err != nil || answer.Record.Outcome != "Answered" {
					failed.Add(1)
					continue
				}
				requests.Add(1)
				got.Add(int64(len(answer.Tokens)))
			}
		})
	}
	group.Wait()
	require.Zero(b, failed.Load(), "requests that were not answered")
	return load{requests: float64(requests.Load()), tokens: float64(got.Load())}
}

// printLoads works the cost of a request and of a token out of two loads.
func printLoads(idle, short, long load) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\trequests/s\ttokens/s\tgateway core %\tagents core %\tgateway RSS MB\tagent RSS MB\t")
	for i, l := range []load{idle, short, long} {
		name := []string{"idle", "short", "long"}[i]
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", name, l.requests/l.seconds, l.tokens/l.seconds,
			l.gateway/l.seconds/10, l.agents/l.seconds/10, l.memory[0], l.memory[1])
	}
	_ = w.Flush()
	for i, role := range roleNames {
		request, token := slopes(idle, short, long, i)
		fmt.Printf("%s: %.0f microseconds a request and %.1f microseconds a token\n", role, request, token)
	}
}

// slopes solves request+token*n for the two loads, in microseconds.
func slopes(idle, short, long load, role int) (request, token float64) {
	cost := func(l load) float64 {
		spent, base := []float64{l.gateway, l.agents}[role], []float64{idle.gateway, idle.agents}[role]
		return 1000 * (spent - base*l.seconds/idle.seconds) / l.requests
	}
	shortLength, longLength := short.tokens/short.requests, long.tokens/long.requests
	token = (cost(long) - cost(short)) / (longLength - shortLength)
	return cost(short) - token*shortLength, token
}
