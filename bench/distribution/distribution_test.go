// Package distribution_test measures the time until N replicas hold a version
// and the copies drawn from the origin, against the lower bound and against
// the baseline in which every instance draws from the origin.
package distribution_test

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	standin "almondreel.example/almondreel/internal/standin/source"
	"almondreel.example/almondreel/internal/swarm"
)

const (
	copiesOfOrigin   = 4 // carried by the origin's link in the window
	copiesOfInstance = 2 // carried by an instance's link in the window
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
}

func (z size) origin() int64 { return int64(float64(copiesOfOrigin*z.bytes) / z.windowSeconds) }
func (z size) link() int64   { return int64(float64(copiesOfInstance*z.bytes) / z.windowSeconds) }

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
		Link:        settings.Link{DownBytesPerSecond: z.link(), UpBytesPerSecond: z.link()},
	})
	require.NoError(b, err)
	b.Cleanup(s.Close)
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
	all := []size{
		{agents: 8, regions: 1, bytes: 16 << 20, chunk: 64 << 10, windowSeconds: 10, weighing: operator.Time},
		{agents: 32, regions: 1, bytes: 16 << 20, chunk: 64 << 10, windowSeconds: 10, weighing: operator.Time},
		{agents: 128, regions: 1, bytes: 8 << 20, chunk: 64 << 10, windowSeconds: 20, weighing: operator.Time},
	}
	only, _ := strconv.Atoi(os.Getenv("AGENTS"))
	if only == 0 {
		return all
	}
	var out []size
	for _, z := range all {
		if z.agents == only {
			out = append(out, z)
		}
	}
	return out
}

func BenchmarkTimeToReplicas(b *testing.B) {
	for _, z := range sizes() {
		b.Run(fmt.Sprintf("Agents=%d", z.agents), func(b *testing.B) {
			for range b.N {
				s, m := start(b, z)
				watching := trace(b, s, z)
				took := await(b, s, m, z.weighing, nil)
				watching()
				b.ReportMetric(took, "s")
				b.ReportMetric(took/z.bound(), "x-bound")
				b.ReportMetric(float64(s.Origin.Sent().Bytes)/float64(z.bytes), "origin-copies")
			}
		})
	}
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
