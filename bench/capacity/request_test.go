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
	modelClass        = "questions"
	loadTime          = 10 * time.Second
	idleTime          = 5 * time.Second
	loadTimeout       = time.Minute
	engines           = 2
	shortTokens       = 1
	longTokens        = 400
	shortCallers      = 6
	longCallers       = 40
	tokenMilliseconds = 10 // time between two tokens
)

// requestSite returns a site with one gateway and engines with the given number of slots
// that generate a token every tokenMilliseconds.
func requestSite(tokenMilliseconds, slots int) fleet.Site {
	v := fleet.Version{Version: "1", Bytes: 1 << 20, ChunkBytes: 1 << 18, Seed: 1}
	next := v
	next.Version = "2"
	return fleet.Site{
		Name:    "capacity",
		Regions: []fleet.Region{{Name: "region-0", DataCentre: "region-0-dc-0", Gateways: 1}},
		Services: []fleet.Service{{Name: "assistant", Kind: settings.KindEngine, Instances: engines, ChecksOrders: true,
			FirstTokenMilliseconds: 10, BetweenTokensMilliseconds: tokenMilliseconds, Slots: slots}},
		Organisations: organisations(),
		Classes: []fleet.Class{{Name: modelClass, Kind: "Model", Service: "assistant", Replicas: engines, Priority: 1,
			FirstToken: "2s", AnswerWithin: "30s", Weighing: "Time"}},
		Model: fleet.Model{Name: "assistant", First: v, Next: next, ReadyWithin: "60s"},
		Links: fleet.Links{OriginBytesPerSecond: 16 << 20, StoreBytesPerSecond: 16 << 20,
			InstanceDownBytesPerSecond: 8 << 20, InstanceUpBytesPerSecond: 8 << 20, RegionBytesPerSecond: 8 << 20},
	}
}

// loadResult is the number of requests and tokens received under a load, and what they
// cost.
type loadResult struct {
	requests, tokens      float64
	seconds               float64
	gatewayCPU, agentsCPU float64    // milliseconds of CPU time
	memoryMB              [2]float64 // resident memory by role, see roleNames
}

// BenchmarkRequests prints the CPU time that a request and a token cost.
func BenchmarkRequests(b *testing.B) {
	f := startServing(b, requestSite(tokenMilliseconds, 64))
	roles := daemonsByRole(f)
	idle := measureLoad(b, roles, func() loadResult { time.Sleep(idleTime); return loadResult{} })
	short := measureLoad(b, roles, func() loadResult { return runCallers(b, f, shortCallers, shortTokens) })
	long := measureLoad(b, roles, func() loadResult { return runCallers(b, f, longCallers, longTokens) })
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

func measureLoad(b *testing.B, roles [2][]daemon, run func() loadResult) loadResult {
	before, startTime := sampleRoles(b, roles), time.Now()
	l := run()
	l.seconds = time.Since(startTime).Seconds()
	after := sampleRoles(b, roles)
	cpuMilliseconds := func(role int) (sum float64) {
		for i := range after[role] {
			sum += after[role][i].cpuMilliseconds - before[role][i].cpuMilliseconds
		}
		return sum
	}
	l.gatewayCPU, l.agentsCPU = cpuMilliseconds(0), cpuMilliseconds(1)
	for i, roleDaemons := range roles {
		l.memoryMB[i], _ = memory(b, roleDaemons, "VmRSS")
	}
	return l
}

// runCallers runs n concurrent callers, each sending one request after another, for
// loadTime.
func runCallers(b *testing.B, f *fleet.Fleet, n, tokens int) loadResult {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: n}
	defer transport.CloseIdleConnections()
	c := client.New("http://"+f.Gateways[0].CallerAddress, organisations()[0].Key, &http.Client{Transport: transport})
	end := time.Now().Add(loadTime)
	var requests, tokenCount, failed atomic.Int64
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			for time.Now().Before(end) {
				prompt := fmt.Sprintf("caller %d: lot %d, weight and last sale?", i, requests.Load())
				answer, err := c.Complete(ctx, client.Completion{Class: modelClass, Prompt: prompt, MaxTokens: tokens})
				if err != nil || answer.Record.Outcome != "Answered" {
					failed.Add(1)
					continue
				}
				requests.Add(1)
				tokenCount.Add(int64(len(answer.Tokens)))
			}
		})
	}
	group.Wait()
	require.Zero(b, failed.Load(), "number of requests that were not answered")
	return loadResult{requests: float64(requests.Load()), tokens: float64(tokenCount.Load())}
}

// printLoads prints the measured loads, and the cost of a request and of a token derived
// from them.
func printLoads(idle, short, long loadResult) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\trequests/s\ttokens/s\tgateway core %\tagents core %\tgateway RSS MB\tagent RSS MB\t")
	for i, l := range []loadResult{idle, short, long} {
		name := []string{"idle", "short", "long"}[i]
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", name, l.requests/l.seconds, l.tokens/l.seconds,
			l.gatewayCPU/l.seconds/10, l.agentsCPU/l.seconds/10, l.memoryMB[0], l.memoryMB[1])
	}
	_ = w.Flush()
	for i, role := range roleNames {
		request, token := requestAndTokenCost(idle, short, long, i)
		fmt.Printf("%s: %.0f microseconds per request and %.1f microseconds per token\n", role, request, token)
	}
}

// requestAndTokenCost returns the CPU time of a request and of a token in microseconds.
// It solves cost = request + token*n for the two loads, where n is the mean number of
// tokens per request, after subtracting the idle usage.
func requestAndTokenCost(idle, short, long loadResult, role int) (request, token float64) {
	cost := func(l loadResult) float64 {
		cpu, idleCPU := []float64{l.gatewayCPU, l.agentsCPU}[role], []float64{idle.gatewayCPU, idle.agentsCPU}[role]
		return 1000 * (cpu - idleCPU*l.seconds/idle.seconds) / l.requests
	}
	shortLength, longLength := short.tokens/short.requests, long.tokens/long.requests
	token = (cost(long) - cost(short)) / (longLength - shortLength)
	return cost(short) - token*shortLength, token
}
