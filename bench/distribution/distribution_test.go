// Package distribution_test measures the time until N replicas hold a version
// and the copies drawn from the origin, against the lower bound and against
// the baseline in which every instance draws from the origin.
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
	standin "almondreel.example/almondreel/internal/standin/source"
	"almondreel.example/almondreel/internal/swarm"
)

const (
	copiesOfOrigin   = 4         // carried by the origin's link in the window
	copiesOfInstance = 2         // carried by an instance's link in the window
	regionShareBytes = 2_000_000 // per second between two regions, of 20 Mb/s
	baselineSeconds  = 25
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(nullWriter{})
	os.Exit(m.Run())
}

type nullWriter struct{}

func (nullWriter) Write(p []byte) (int, error) { return len(p), nil }

// size is one line of the table.
type size struct {
	agents, regions int
	bytes, chunk    int64
	windowSeconds   float64
	weighing        operator.Weighing
	regionBytes     int64 // per second from one region to another; 0: not shaped
	faults          bool  // one death, one stall and 1% corrupt chunks
}

func (z size) origin() int64 { return int64(float64(copiesOfOrigin*z.bytes) / z.windowSeconds) }
func (z size) link() int64   { return int64(float64(copiesOfInstance*z.bytes) / z.windowSeconds) }

func (z size) name() string {
	name := fmt.Sprintf("Agents=%d/Regions=%d/%s", z.agents, z.regions, z.weighing)
	if z.faults {
		name += "/Faults"
	}
	return name
}

// bound is max(F/us, F/d, N*F/(us+N*u)) in seconds.
func (z size) bound() float64 {
	f, n := float64(z.bytes), float64(z.agents)
	us, u := float64(z.origin()), float64(z.link())
	return max(f/us, f/u, n*f/(us+n*u))
}

func start(b testing.TB, z size) (*swarm.Swarm, manifest.Manifest) {
	s, err := swarm.Start(swarm.Options{
		Agents:      z.agents,
		Regions:     z.regions,
		OriginBytes: z.origin(),
		Link: settings.Link{
			DownBytesPerSecond:   z.link(),
			UpBytesPerSecond:     z.link(),
			RegionBytesPerSecond: z.regionBytes * int64(z.regions) / int64(z.agents),
		},
	})
	require.NoError(b, err)
	m, err := s.Origin.Publish("model", "1", standin.Version{Bytes: z.bytes, Seed: 1, ChunkBytes: z.chunk})
	require.NoError(b, err)
	return s, m
}

// await waits until every living agent holds the version, and returns the seconds.
func await(b testing.TB, s *swarm.Swarm, m manifest.Manifest, w operator.Weighing, during func()) float64 {
	began := time.Now()
	plan := s.PlanOf(m)
	plan.Weighing = w
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
	if during != nil {
		during()
	}
	group.Wait()
	took := time.Since(began).Seconds()
	for _, a := range s.Agents() {
		if a.Alive() {
			require.True(b, a.Weights.Store.Verified(m.Digest()), a.Settings.Name)
		}
	}
	return took
}

func sizes() []size {
	const mebibyte, kibibyte = 1 << 20, 1 << 10
	one := []size{
		{agents: 8, bytes: 16 * mebibyte, chunk: 64 * kibibyte, windowSeconds: 10},
		{agents: 32, bytes: 16 * mebibyte, chunk: 64 * kibibyte, windowSeconds: 10},
		{agents: 128, bytes: 8 * mebibyte, chunk: 64 * kibibyte, windowSeconds: 20},
	}
	var all []size
	for _, faults := range []bool{false, true} {
		for _, z := range one {
			z.regions, z.weighing, z.faults = 1, operator.Time, faults
			all = append(all, z)
		}
	}
	for _, w := range []operator.Weighing{operator.Time, operator.OriginBytes} {
		all = append(all, size{
			agents: 24, regions: 3, bytes: 16 * mebibyte, chunk: 64 * kibibyte, windowSeconds: 10,
			weighing: w, regionBytes: regionShareBytes,
		})
	}
	only, _ := strconv.Atoi(os.Getenv("AGENTS"))
	return slices.DeleteFunc(all, func(z size) bool { return only != 0 && z.agents != only })
}

// usage is what the whole process has used.
type usage struct {
	processorSeconds float64
	controlBytes     int64
	regionBytes      int64
}

func used() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return usage{
		processorSeconds: seconds(r.Utime) + seconds(r.Stime),
		controlBytes:     counter.Value("ControlSentBytes") + counter.Value("ControlReceivedBytes"),
		regionBytes:      counter.Value("RegionSentBytes"),
	}
}

// heapBytes is the memory of live objects.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// harm brings about one death, one stall and corrupt chunks in mid-transfer.
func harm(b testing.TB, s *swarm.Swarm, z size) func() {
	if !z.faults {
		return nil
	}
	s.Origin.SetFaults(standin.Faults{CorruptOneIn: 100})
	agents := s.Agents()
	for _, a := range agents {
		a.SetFaults(swarm.Faults{CorruptOneIn: 100})
	}
	return func() {
		time.Sleep(time.Duration(z.bound() * 0.3 * float64(time.Second)))
		agents[1].SetFaults(swarm.Faults{Stalled: true})
		agents[2].Kill()
	}
}

func BenchmarkTimeToReplicas(b *testing.B) {
	for _, z := range sizes() {
		b.Run(z.name(), func(b *testing.B) {
			for range b.N {
				measure(b, z)
			}
		})
	}
}

func measure(b *testing.B, z size) {
	s, m := start(b, z)
	defer s.Close()
	heap, before := heapBytes(), used()
	watching := trace(b, s, z)
	took := await(b, s, m, z.weighing, harm(b, s, z))
	watching()
	after := used()
	chunks := float64(z.agents) * float64(len(m.Chunks))
	held := int64(0)
	for _, a := range s.Agents() {
		_, bytes := a.Weights.Store.Held()
		held += bytes
	}
	pairs := float64(max(z.regions*(z.regions-1), 1))
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(took, "s")
	b.ReportMetric(took/z.bound(), "x-bound")
	b.ReportMetric(float64(s.Origin.Sent().Bytes)/float64(z.bytes), "origin-copies")
	b.ReportMetric((after.processorSeconds-before.processorSeconds)*1e6/chunks, "cpu-us/chunk")
	b.ReportMetric(float64(heapBytes()-heap-held)/float64(z.agents)/1024, "KiB/agent")
	b.ReportMetric(float64(after.controlBytes-before.controlBytes)/float64(z.agents)/took, "control-B/s/agent")
	b.ReportMetric(float64(after.regionBytes-before.regionBytes)/pairs/took, "region-B/s")
}

// BenchmarkEveryInstanceDrawsFromOrigin is the baseline. A run is cut off after
// baselineSeconds; its time is then projected from the bytes drawn so far.
func BenchmarkEveryInstanceDrawsFromOrigin(b *testing.B) {
	for _, z := range sizes() {
		if z.regions > 1 || z.faults {
			continue
		}
		b.Run(z.name(), func(b *testing.B) {
			for range b.N {
				baseline(b, z)
			}
		})
	}
}

func baseline(b *testing.B, z size) {
	s, m := start(b, z)
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), baselineSeconds*time.Second)
	defer cancel()
	began := time.Now()
	var group sync.WaitGroup
	for _, a := range s.Agents() {
		group.Add(1)
		go func() {
			defer group.Done()
			drawAll(ctx, a, m)
		}()
	}
	group.Wait()
	took := time.Since(began).Seconds()
	copies := float64(s.Origin.Sent().Bytes) / float64(z.bytes)
	whole, projected := took, 0.0
	if ctx.Err() != nil {
		whole, projected = took*float64(z.agents)/copies, 1
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(whole, "s")
	b.ReportMetric(whole/z.bound(), "x-bound")
	b.ReportMetric(float64(z.agents), "origin-copies")
	b.ReportMetric(projected, "projected")
}

// drawAll reads the whole version from the origin in one request.
func drawAll(ctx context.Context, a *swarm.Agent, m manifest.Manifest) {
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

// trace logs, with TRACE set, when shares of all chunks were held.
func trace(b testing.TB, s *swarm.Swarm, z size) (stop func()) {
	if os.Getenv("TRACE") == "" {
		return func() {}
	}
	end, ended := make(chan struct{}), make(chan struct{})
	began := time.Now()
	go func() {
		defer close(ended)
		ticker := time.NewTicker(time.Duration(z.bound() * float64(time.Second) / 10))
		defer ticker.Stop()
		for {
			select {
			case <-end:
				return
			case <-ticker.C:
				held, least := 0, 1<<30
				for _, a := range s.Agents() {
					if t := a.Transfer(); t != nil {
						have, _ := t.Progress()
						held += have
						least = min(least, have)
					}
				}
				total := int(z.bytes / z.chunk)
				b.Logf("%.2f of bound: held %.3f, least %.3f, origin %.3f", time.Since(began).Seconds()/z.bound(),
					float64(held)/float64(total*z.agents), float64(least)/float64(total), float64(s.Origin.Sent().Bytes)/float64(z.bytes))
			}
		}
	}()
	return func() {
		close(end)
		<-ended
	}
}
