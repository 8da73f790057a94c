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

	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/loopback"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/packed"
	"almondreel.example/almondreel/internal/standin/source"
)

const (
	warmUp  = 8 * time.Second
	steady  = 15 * time.Second
	changes = 12
	classes = 20
)

func TestMain(m *testing.M) {
	klog.InitFlags(nil)
	_ = flag.Set("logtostderr", "false")
	_ = flag.Set("alsologtostderr", "false")
	_ = flag.Set("stderrthreshold", "FATAL")
	klog.SetOutput(nowhere{})
	os.Exit(m.Run())
}

type nowhere struct{}

func (nowhere) Write(data []byte) (int, error) { return len(data), nil }

// BenchmarkConfiguration runs the control parts of whole sites in this process
// and reports, for each size: the time until a change is in force in every
// daemon, the key-value service's calls, and each daemon's share of processor
// time, memory and bytes. The processor time includes the stand-ins.
func BenchmarkConfiguration(b *testing.B) {
	for _, daemons := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("Daemons%d", daemons), func(b *testing.B) {
			for b.Loop() {
				measure(b, daemons)
			}
		})
	}
}

func measure(b *testing.B, daemons int) {
	memory := heap()
	gateways := max(3, daemons/20)
	s, err := loopback.Start(loopback.Options{DataCentres: 5, Gateways: gateways, Agents: daemons - gateways,
		WritesPerSecond: 400, ReadsPerSecond: 2000})
	require.NoError(b, err)
	defer s.Stop()
	prepare(b, s)
	time.Sleep(warmUp)
	b.ReportMetric((heap()-memory)/float64(daemons)/1e6, "MB/daemon")
	reportSteady(b, s, daemons, gateways)
	reportChanges(b, s)
}

// prepare gives the site a document with a busy day's history and classes that
// half the agents carry.
func prepare(b *testing.B, s *loopback.Site) {
	_, err := s.Origin.Publish("assistant", "1", source.Version{Bytes: 4096, Seed: 1, ChunkBytes: 512})
	require.NoError(b, err)
	var d operator.Document
	for i := range classes {
		d = d.WithClass(operator.Class{Name: fmt.Sprintf("class-%d", i), Kind: operator.Model, Service: "assistant", Idempotent: true,
			Target: operator.Target{Model: "assistant", Version: "1", Replicas: len(s.Agents) / 2, Weighing: operator.Time, AnswerMilliseconds: 1000}})
	}
	for range operator.MaxHistory {
		d = d.WithChange(operator.Change{ChangeID: "1000-" + uuid.NewString(), Class: "class-1", Operator: "operator", At: time.Now()})
	}
	_, err = kv.NewClient(s.KeyValueURL()).Swap(context.Background(), kv.Swap{Key: operator.ConfigurationKey, Value: packed.Pack(d.Encode())})
	require.NoError(b, err)
}

func reportSteady(b *testing.B, s *loopback.Site, daemons, gateways int) {
	t := s.Traffic()
	heartbeats, exchanges, keyValue := t.Heartbeats.Load(), t.Exchanges.Load(), t.KeyValue.Load()
	counted := callsByKey(s)
	processor := processorTime()
	time.Sleep(steady)
	seconds := steady.Seconds()
	heartbeats, exchanges, keyValue = t.Heartbeats.Load()-heartbeats, t.Exchanges.Load()-exchanges, t.KeyValue.Load()-keyValue
	b.ReportMetric((processorTime()-processor).Seconds()/seconds/float64(daemons)*100, "%core/daemon")
	b.ReportMetric(float64(heartbeats)/seconds/float64(daemons-gateways), "B/s/agent")
	// A byte between gateways is sent by one and received by another.
	b.ReportMetric((float64(heartbeats)+2*float64(exchanges)+float64(keyValue))/seconds/float64(gateways), "B/s/gateway")
	b.ReportMetric(2*float64(exchanges)/seconds/float64(gateways), "B/s/gateway-exchanges")
	b.ReportMetric(float64(keyValue)/seconds/float64(gateways), "B/s/gateway-kv")
	report(b, "steady", counted, callsByKey(s), seconds)
}

func reportChanges(b *testing.B, s *loopback.Site) {
	counted := callsByKey(s)
	began := time.Now()
	var each []time.Duration
	var worst time.Duration
	for i := range changes {
		times := adopted(s, change(b, s, i))
		each = append(each, times...)
		worst = max(worst, slices.Max(times))
		time.Sleep(time.Second)
	}
	slices.Sort(each)
	b.ReportMetric(worst.Seconds(), "s/in-force-everywhere-worst")
	b.ReportMetric(each[len(each)/2].Seconds(), "s/in-force-median")
	b.ReportMetric(each[len(each)*95/100].Seconds(), "s/in-force-p95")
	report(b, "changing", counted, callsByKey(s), time.Since(began).Seconds())
}

func change(b *testing.B, s *loopback.Site, i int) uint64 {
	key := kv.Key{Client: kv.NewClient(s.KeyValueURL()), Name: operator.ConfigurationKey}
	outcome := operator.Editor{Store: key, Operator: "bench"}.Apply(context.Background(), "class-1",
		func(held operator.Class, _ bool) (operator.Class, error) {
			held.Priority = 100 + i
			return held, nil
		})
	require.IsType(b, operator.Accepted{}, outcome)
	return outcome.(operator.Accepted).Revision
}

// adopted returns, for each daemon, the time from now until it has the revision.
func adopted(s *loopback.Site, revision uint64) []time.Duration {
	began := time.Now()
	var times []time.Duration
	waiting := map[string]func() uint64{}
	for _, g := range s.Gateways {
		waiting[g.Name] = func() uint64 { snapshot, _ := g.Desired.Current(); return snapshot.Configuration.Revision }
	}
	for _, a := range s.Agents {
		waiting[a.Name] = func() uint64 { snapshot, _ := a.Desired.Current(); return snapshot.Configuration.Revision }
	}
	for len(waiting) > 0 && time.Since(began) < time.Minute {
		for name, held := range waiting {
			if held() >= revision {
				times = append(times, time.Since(began))
				delete(waiting, name)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return times
}

func callsByKey(s *loopback.Site) map[string]int {
	out := map[string]int{}
	for _, c := range s.KeyValue.Calls().Calls {
		out[string(c.Kind)+" "+c.Prefix] += c.Count
	}
	return out
}

func report(b *testing.B, phase string, before, after map[string]int, seconds float64) {
	all := 0
	for key, n := range after {
		if n > before[key] {
			all += n - before[key]
			b.Logf("%s: key-value calls %s: %.2f/s", phase, key, float64(n-before[key])/seconds)
		}
	}
	b.ReportMetric(float64(all)/seconds, "kv-calls/s-"+phase)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
