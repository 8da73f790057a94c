// Package configuration_test measures how long a configuration change takes to reach
// every daemon of a site, and what the control plane costs in CPU, memory and traffic.
package configuration_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"almondreel.example/almondreel/internal/compress"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/loopback"
	"almondreel.example/almondreel/internal/operator"
	standinsource "almondreel.example/almondreel/internal/standin/source"
)

const (
	warmUp      = 8 * time.Second
	steadyTime  = 15 * time.Second // measured without changes
	changeCount = 12
	classCount  = 20
)

func TestMain(m *testing.M) {
	klog.InitFlags(nil)
	_ = flag.Set("logtostderr", "false")
	_ = flag.Set("alsologtostderr", "false")
	_ = flag.Set("stderrthreshold", "FATAL")
	klog.SetOutput(discardWriter{})
	os.Exit(m.Run())
}

type discardWriter struct{}

func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// BenchmarkConfiguration runs the control plane of complete sites in this process. For
// each size it reports the time until every daemon has adopted a change, the rate of
// calls to the key-value service, and the CPU time, memory and traffic per daemon. The
// CPU time includes that of the stand-ins.
func BenchmarkConfiguration(b *testing.B) {
	for _, daemons := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("Daemons%d", daemons), func(b *testing.B) {
			for b.Loop() {
				measureSize(b, daemons)
			}
		})
	}
}

func measureSize(b *testing.B, daemons int) {
	heapBefore := heapBytes()
	gateways := max(3, daemons/20)
	s, err := loopback.Start(loopback.Options{DataCentres: 5, Gateways: gateways, Agents: daemons - gateways,
		WritesPerSecond: 400, ReadsPerSecond: 2000})
	require.NoError(b, err)
	defer s.Stop()
	configure(b, s)
	time.Sleep(warmUp)
	b.ReportMetric((heapBytes()-heapBefore)/float64(daemons)/1e6, "MB/daemon")
	reportSteady(b, s, daemons, gateways)
	reportChanges(b, s)
}

// configure stores a configuration with a full change history, as after a busy day, and
// with classes that each have half of the agents as replicas.
func configure(b *testing.B, s *loopback.Site) {
	_, err := s.Origin.Publish("assistant", "1", standinsource.Version{Bytes: 4096, Seed: 1, ChunkBytes: 512})
	require.NoError(b, err)
	var d operator.Document
	for i := range classCount {
		d = d.WithClass(operator.Class{Name: fmt.Sprintf("class-%d", i), Kind: operator.Model, Service: "assistant", Idempotent: true,
			Target: operator.Target{Model: "assistant", Version: "1", Replicas: len(s.Agents) / 2, Weighing: operator.Time, AnswerMilliseconds: 1000}})
	}
	for range operator.MaxHistory {
		d = d.WithChange(operator.Change{ChangeID: "1000-" + uuid.NewString(), Class: "class-1", Operator: "operator", At: time.Now()})
	}
	_, err = kv.NewClient(s.KeyValueURL()).Swap(context.Background(), kv.Swap{Key: operator.ConfigurationKey, Value: compress.Gzip(d.Encode())})
	require.NoError(b, err)
}

func reportSteady(b *testing.B, s *loopback.Site, daemons, gateways int) {
	t := s.Traffic()
	heartbeats, exchanges, keyValue := t.Heartbeats.Load(), t.Exchanges.Load(), t.KeyValue.Load()
	callsBefore := callsByKey(s)
	cpuBefore := cpuTime()
	time.Sleep(steadyTime)
	seconds := steadyTime.Seconds()
	heartbeats, exchanges, keyValue = t.Heartbeats.Load()-heartbeats, t.Exchanges.Load()-exchanges, t.KeyValue.Load()-keyValue
	b.ReportMetric((cpuTime()-cpuBefore).Seconds()/seconds/float64(daemons)*100, "%core/daemon")
	b.ReportMetric(float64(heartbeats)/seconds/float64(daemons-gateways), "B/s/agent")
	// Exchange bytes count twice: one gateway sends them and another receives them.
	b.ReportMetric((float64(heartbeats)+2*float64(exchanges)+float64(keyValue))/seconds/float64(gateways), "B/s/gateway")
	b.ReportMetric(2*float64(exchanges)/seconds/float64(gateways), "B/s/gateway-exchanges")
	b.ReportMetric(float64(keyValue)/seconds/float64(gateways), "B/s/gateway-kv")
	reportCalls(b, "steady", callsBefore, callsByKey(s), seconds)
}

func reportChanges(b *testing.B, s *loopback.Site) {
	callsBefore := callsByKey(s)
	startTime := time.Now()
	var allTimes []time.Duration
	var slowest time.Duration
	for i := range changeCount {
		times := adoptionTimes(s, changePriority(b, s, i))
		allTimes = append(allTimes, times...)
		slowest = max(slowest, slices.Max(times))
		time.Sleep(time.Second)
	}
	slices.Sort(allTimes)
	b.ReportMetric(slowest.Seconds(), "s/in-force-everywhere-worst")
	b.ReportMetric(allTimes[len(allTimes)/2].Seconds(), "s/in-force-median")
	b.ReportMetric(allTimes[len(allTimes)*95/100].Seconds(), "s/in-force-p95")
	reportCalls(b, "changing", callsBefore, callsByKey(s), time.Since(startTime).Seconds())
}

func changePriority(b *testing.B, s *loopback.Site, i int) uint64 {
	key := kv.Key{Client: kv.NewClient(s.KeyValueURL()), Name: operator.ConfigurationKey}
	outcome := operator.Editor{Store: key, Operator: "bench"}.Apply(context.Background(), "class-1",
		func(current operator.Class, _ bool) (operator.Class, error) {
			current.Priority = 100 + i
			return current, nil
		})
	require.IsType(b, operator.Accepted{}, outcome)
	return outcome.(operator.Accepted).Revision
}

// adoptionTimes waits at most a minute and returns, for each daemon that adopts the
// revision, the time from the call until it does.
func adoptionTimes(s *loopback.Site, revision uint64) []time.Duration {
	startTime := time.Now()
	var times []time.Duration
	pending := map[string]func() uint64{}
	for _, g := range s.Gateways {
		pending[g.Name] = func() uint64 { snapshot, _ := g.Desired.Current(); return snapshot.Configuration.Revision }
	}
	for _, a := range s.Agents {
		pending[a.Name] = func() uint64 { snapshot, _ := a.Desired.Current(); return snapshot.Configuration.Revision }
	}
	for len(pending) > 0 && time.Since(startTime) < time.Minute {
		for name, current := range pending {
			if current() >= revision {
				times = append(times, time.Since(startTime))
				delete(pending, name)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return times
}

func callsByKey(s *loopback.Site) map[string]int {
	counts := map[string]int{}
	for _, c := range s.KeyValue.Calls().Calls {
		counts[string(c.Kind)+" "+c.Prefix] += c.Count
	}
	return counts
}

func reportCalls(b *testing.B, phase string, before, after map[string]int, seconds float64) {
	total := 0
	for key, n := range after {
		if n > before[key] {
			total += n - before[key]
			b.Logf("%s: key-value calls %s: %.2f/s", phase, key, float64(n-before[key])/seconds)
		}
	}
	b.ReportMetric(float64(total)/seconds, "kv-calls/s-"+phase)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
