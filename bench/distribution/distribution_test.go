// Package distribution_test measures the distribution of a model version: the time
// until N replicas hold it and the number of copies downloaded from the origin, compared
// with the lower bound and with a baseline in which every instance downloads from the
// origin.
package distribution_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/source"
	standinsource "almondreel.example/almondreel/internal/standin/source"
	"almondreel.example/almondreel/internal/swarm"
)

const (
	originCopies           = 4         // copies that the origin's link can carry in the window
	instanceCopies         = 2         // copies that an instance's link can carry in the window
	regionLinkBytes        = 2_000_000 // bytes per second used of a 20 Mb/s link between two regions
	baselineTimeoutSeconds = 25
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(discardWriter{})
	os.Exit(m.Run())
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// scenario is the configuration of one benchmark run.
type scenario struct {
	agents, regions      int
	bytes, chunkBytes    int64
	windowSeconds        float64 // sets the rates of the links, see originCopies and instanceCopies
	weighing             operator.Weighing
	regionBytesPerSecond int64 // rate limit from one region to another; 0: none
	faults               bool  // one agent is killed, one stalls and 1% of chunks are corrupt
}

func (sc scenario) originBytesPerSecond() int64 {
	return int64(float64(originCopies*sc.bytes) / sc.windowSeconds)
}
func (sc scenario) linkBytesPerSecond() int64 {
	return int64(float64(instanceCopies*sc.bytes) / sc.windowSeconds)
}

func (sc scenario) name() string {
	name := fmt.Sprintf("Agents=%d/Regions=%d/%s", sc.agents, sc.regions, sc.weighing)
	if sc.faults {
		name += "/Faults"
	}
	return name
}

// lowerBoundSeconds is the minimum distribution time max(F/us, F/d, N*F/(us+N*u)) of F
// bytes to N agents, with the origin's upload rate us and an agent's download rate d and
// upload rate u, which are equal here.
func (sc scenario) lowerBoundSeconds() float64 {
	f, n := float64(sc.bytes), float64(sc.agents)
	us, u := float64(sc.originBytesPerSecond()), float64(sc.linkBytesPerSecond())
	return max(f/us, f/u, n*f/(us+n*u))
}

func startSwarm(b testing.TB, sc scenario) (*swarm.Swarm, manifest.Manifest) {
	s, err := swarm.Start(swarm.Options{
		Agents:      sc.agents,
		Regions:     sc.regions,
		OriginBytes: sc.originBytesPerSecond(),
		Link: settings.Link{
			DownBytesPerSecond:   sc.linkBytesPerSecond(),
			UpBytesPerSecond:     sc.linkBytesPerSecond(),
			RegionBytesPerSecond: sc.regionBytesPerSecond * int64(sc.regions) / int64(sc.agents),
		},
	})
	require.NoError(b, err)
	m, err := s.Origin.Publish("model", "1", standinsource.Version{Bytes: sc.bytes, Seed: 1, ChunkBytes: sc.chunkBytes})
	require.NoError(b, err)
	return s, m
}

// awaitVersion starts the download on all agents, calls inject if it is not nil, and
// returns the seconds until every agent that is still alive holds the verified version.
func awaitVersion(b testing.TB, s *swarm.Swarm, m manifest.Manifest, weighing operator.Weighing, inject func()) float64 {
	startTime := time.Now()
	plan := s.PlanOf(m)
	plan.Weighing = weighing
	var group sync.WaitGroup
	for _, a := range s.Agents() {
		t := a.Fetch(plan)
		group.Add(1)
		go func() {
			defer group.Done()
			select {
			case <-t.Done():
			case <-t.Ended():
			}
		}()
	}
	if inject != nil {
		inject()
	}
	group.Wait()
	seconds := time.Since(startTime).Seconds()
	for _, a := range s.Agents() {
		if a.Alive() {
			require.True(b, a.Weights.Store.Verified(m.Digest()), a.Settings.Name)
		}
	}
	return seconds
}

func scenarios() []scenario {
	const mebibyte, kibibyte = 1 << 20, 1 << 10
	singleRegion := []scenario{
		{agents: 8, bytes: 16 * mebibyte, chunkBytes: 64 * kibibyte, windowSeconds: 10},
		{agents: 32, bytes: 16 * mebibyte, chunkBytes: 64 * kibibyte, windowSeconds: 10},
		{agents: 128, bytes: 8 * mebibyte, chunkBytes: 64 * kibibyte, windowSeconds: 20},
	}
	var all []scenario
	for _, faults := range []bool{false, true} {
		for _, sc := range singleRegion {
			sc.regions, sc.weighing, sc.faults = 1, operator.Time, faults
			all = append(all, sc)
		}
	}
	for _, w := range []operator.Weighing{operator.Time, operator.OriginBytes} {
		all = append(all, scenario{
			agents: 24, regions: 3, bytes: 16 * mebibyte, chunkBytes: 64 * kibibyte, windowSeconds: 10,
			weighing: w, regionBytesPerSecond: regionLinkBytes,
		})
	}
	only, _ := strconv.Atoi(os.Getenv("AGENTS"))
	return slices.DeleteFunc(all, func(sc scenario) bool { return only != 0 && sc.agents != only })
}

// usage is the resource usage of this process since its start.
type usage struct {
	cpuSeconds   float64
	controlBytes int64
	regionBytes  int64
}

func currentUsage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return usage{
		cpuSeconds:   seconds(r.Utime) + seconds(r.Stime),
		controlBytes: counter.Value("ControlSentBytes") + counter.Value("ControlReceivedBytes"),
		regionBytes:  counter.Value("RegionSentBytes"),
	}
}

// heapBytes returns the heap size after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// injectFaults makes all sources corrupt 1% of the chunks. The function that it returns
// stalls one agent and kills another when 0.3 of the lower bound has passed. It returns
// nil for a scenario without faults.
func injectFaults(b testing.TB, s *swarm.Swarm, sc scenario) func() {
	if !sc.faults {
		return nil
	}
	s.Origin.SetFaults(standinsource.Faults{CorruptOneIn: 100})
	agents := s.Agents()
	for _, a := range agents {
		a.SetFaults(swarm.Faults{CorruptOneIn: 100})
	}
	return func() {
		time.Sleep(time.Duration(sc.lowerBoundSeconds() * 0.3 * float64(time.Second)))
		agents[1].SetFaults(swarm.Faults{Stalled: true})
		agents[2].Kill()
	}
}

func BenchmarkTimeToReplicas(b *testing.B) {
	for _, sc := range scenarios() {
		b.Run(sc.name(), func(b *testing.B) {
			for range b.N {
				measure(b, sc)
			}
		})
	}
}

func measure(b *testing.B, sc scenario) {
	s, m := startSwarm(b, sc)
	defer s.Close()
	heapBefore, before := heapBytes(), currentUsage()
	stopTrace := startTrace(b, s, sc)
	seconds := awaitVersion(b, s, m, sc.weighing, injectFaults(b, s, sc))
	stopTrace()
	after := currentUsage()
	chunks := float64(sc.agents) * float64(len(m.Chunks))
	heldBytes := int64(0)
	for _, a := range s.Agents() {
		_, bytes := a.Weights.Store.Size()
		heldBytes += bytes
	}
	pairs := float64(max(sc.regions*(sc.regions-1), 1))
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(seconds, "s")
	b.ReportMetric(seconds/sc.lowerBoundSeconds(), "x-bound")
	b.ReportMetric(float64(s.Origin.Sent().Bytes)/float64(sc.bytes), "origin-copies")
	b.ReportMetric((after.cpuSeconds-before.cpuSeconds)*1e6/chunks, "cpu-us/chunk")
	b.ReportMetric(float64(heapBytes()-heapBefore-heldBytes)/float64(sc.agents)/1024, "KiB/agent")
	b.ReportMetric(float64(after.controlBytes-before.controlBytes)/float64(sc.agents)/seconds, "control-B/s/agent")
	b.ReportMetric(float64(after.regionBytes-before.regionBytes)/pairs/seconds, "region-B/s")
}

// BenchmarkOriginOnlyBaseline measures the baseline in which every instance downloads
// from the origin. A run ends after baselineTimeoutSeconds; its time is then projected
// from the bytes sent so far.
func BenchmarkOriginOnlyBaseline(b *testing.B) {
	for _, sc := range scenarios() {
		if sc.regions > 1 || sc.faults {
			continue
		}
		b.Run(sc.name(), func(b *testing.B) {
			for range b.N {
				measureBaseline(b, sc)
			}
		})
	}
}

func measureBaseline(b *testing.B, sc scenario) {
	s, m := startSwarm(b, sc)
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), baselineTimeoutSeconds*time.Second)
	defer cancel()
	startTime := time.Now()
	var group sync.WaitGroup
	for _, a := range s.Agents() {
		group.Add(1)
		go func() {
			defer group.Done()
			downloadVersion(ctx, a, m)
		}()
	}
	group.Wait()
	seconds := time.Since(startTime).Seconds()
	copies := float64(s.Origin.Sent().Bytes) / float64(sc.bytes)
	total, projected := seconds, 0.0
	if ctx.Err() != nil {
		total, projected = seconds*float64(sc.agents)/copies, 1
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(total, "s")
	b.ReportMetric(total/sc.lowerBoundSeconds(), "x-bound")
	b.ReportMetric(float64(sc.agents), "origin-copies")
	b.ReportMetric(projected, "projected")
}

// downloadVersion downloads the version from the origin in one request.
func downloadVersion(ctx context.Context, a *swarm.Agent, m manifest.Manifest) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, a.Settings.Origin+source.WeightsPath(m.Model, m.Version), nil)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// startTrace logs the download progress of the agents ten times per lower bound if the
// environment variable TRACE is set. The function that it returns stops it.
func startTrace(b testing.TB, s *swarm.Swarm, sc scenario) (stop func()) {
	if os.Getenv("TRACE") == "" {
		return func() {}
	}
	end, ended := make(chan struct{}), make(chan struct{})
	startTime := time.Now()
	go func() {
		defer close(ended)
		ticker := time.NewTicker(time.Duration(sc.lowerBoundSeconds() * float64(time.Second) / 10))
		defer ticker.Stop()
		for {
			select {
			case <-end:
				return
			case <-ticker.C:
				total, lowest := 0, 1<<30
				for _, a := range s.Agents() {
					if t := a.Transfer(); t != nil {
						have, _ := t.Progress()
						total += have
						lowest = min(lowest, have)
					}
				}
				chunks := int(sc.bytes / sc.chunkBytes)
				b.Logf("at %.2f of the lower bound: mean progress %.3f, lowest progress %.3f, copies from origin %.3f", time.Since(startTime).Seconds()/sc.lowerBoundSeconds(),
					float64(total)/float64(chunks*sc.agents), float64(lowest)/float64(chunks), float64(s.Origin.Sent().Bytes)/float64(sc.bytes))
			}
		}
	}()
	return func() {
		close(end)
		<-ended
	}
}
