package capacity_test

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/ledger"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/pkg/claim"
	"almondreel.example/almondreel/pkg/quarantine"
)

// stateSize is the size of one kind of state.
type stateSize struct {
	name         string
	count        int
	heapBytes    int64
	encodedBytes int // size in the key-value service; 0: not stored there
	sentBytes    int // size when sent between daemons; 0: not sent as one document
}

// documentBytes returns the size of a document when sent between daemons.
func documentBytes(b *testing.B, value []byte) int {
	text, err := gateway.Versioned{Value: value, Revision: 1}.GobEncode()
	require.NoError(b, err)
	return len(text)
}

// BenchmarkState prints the memory that a daemon needs for each kind of state, at
// several sizes.
func BenchmarkState(b *testing.B) {
	klog.LogToStderr(false)
	var all []stateSize
	for _, n := range []int{200, 600} {
		all = append(all, measureMembers(n), measurePlacement(b, n, 6), measurePlacement(b, n, 30))
	}
	for _, n := range []int{6, 60, 600} {
		all = append(all, measureConfiguration(b, n, 0))
	}
	all = append(all, measureConfiguration(b, 60, operator.MaxHistory))
	for _, n := range []int{256, 4096} {
		all = append(all, measureConvictions(n))
	}
	for _, n := range []int{2000, 20000} {
		all = append(all, measureRecords(b, n))
	}
	all = append(all, measureClaims(b, 1000))
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "state\tnumber\theap KB\theap bytes each\tencoded bytes\tsent bytes\t")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t\n", s.name, s.count, s.heapBytes/1024, s.heapBytes/int64(s.count), s.encodedBytes, s.sentBytes)
	}
	_ = w.Flush()
}

// heapGrowth returns the growth of the heap in bytes by the value that build returns. It
// calls build once before measuring, so that one-time allocations are not counted.
func heapGrowth(build func() any) int64 {
	_ = build()
	before := liveHeap()
	state := build()
	after := liveHeap()
	runtime.KeepAlive(state)
	runtime.KeepAlive(build)
	return after - before
}

// liveHeap returns the heap size after two garbage collections; pooled objects survive
// the first one.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func instanceName(i int) string { return fmt.Sprintf("assistant-%04d", i) }

func measureMembers(n int) stateSize {
	heap := heapGrowth(func() any {
		t := membership.NewTable()
		for i := range n {
			t.RecordHeartbeat(gateway.Member{Name: instanceName(i), Region: fmt.Sprintf("region-%d", i%regions),
				DataCentre: fmt.Sprintf("data-centre-%d", i%dataCentres), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
				Service: strings.Clone("assistant"), Kind: strings.Clone("Engine"), Digest: manifest.Digest(fmt.Sprintf("sha256:%064d", 1)), Started: 1, Sequence: 1}, time.Now())
		}
		return t
	})
	return stateSize{name: "members", count: n, heapBytes: heap}
}

func measurePlacement(b *testing.B, instances, classes int) stateSize {
	var names []string
	for i := range instances {
		names = append(names, instanceName(i))
	}
	p := placement.Placement{ChangeID: uuid.NewString(), Holder: "gateway-1"}
	for i := range classes {
		p.Assignments = append(p.Assignments, placement.Assignment{Class: fmt.Sprintf("class-%d", i), Kind: operator.Model, Service: "assistant",
			Model: "assistant", Version: "1", Digest: manifest.Digest(fmt.Sprintf("sha256:%064d", i)), Instances: names})
	}
	text, err := json.Marshal(p)
	require.NoError(b, err)
	heap := heapGrowth(func() any {
		s := desired.NewState()
		require.NoError(b, s.AdoptPlacement(gateway.Versioned{Value: append([]byte(nil), text...), Revision: 1}, "test"))
		return s
	})
	return stateSize{fmt.Sprintf("instances in a placement of %d classes", classes), instances, heap, len(text), documentBytes(b, text)}
}

func measureConfiguration(b *testing.B, classes, history int) stateSize {
	var d operator.Document
	for i := range classes {
		target := operator.Target{Model: "assistant", Version: "1", Replicas: 600, Weighing: operator.Time, FirstTokenMilliseconds: 540,
			BetweenTokensMilliseconds: 52, AnswerMilliseconds: 10_000, ReadyBy: time.Now()}
		d.Classes = append(d.Classes, operator.Class{Name: fmt.Sprintf("class-%d", i), Kind: operator.Model, Service: "assistant", Priority: 1, Target: target})
	}
	for i := range history {
		d.History = append(d.History, operator.Change{ChangeID: fmt.Sprintf("%d-%s", i, uuid.NewString()), Class: "class-1", Operator: "operator", At: time.Now().UTC().Truncate(time.Second), Revision: uint64(i)})
	}
	text := d.Encode()
	heap := heapGrowth(func() any {
		s := desired.NewState()
		require.NoError(b, s.AdoptStored(operator.ConfigurationKey, text, 1))
		return s
	})
	return stateSize{fmt.Sprintf("classes, %d changes of history", history), classes, heap, len(text), documentBytes(b, d.WithoutHistory().Encode())}
}

func measureConvictions(n int) stateSize {
	heap := heapGrowth(func() any {
		t := quarantine.NewTable()
		for i := range n {
			t.Merge([]quarantine.Entry{{Fingerprint: fmt.Sprintf("%064d", i), Convicted: true, ExpiresAt: time.Now().Add(time.Hour)}})
		}
		return t
	})
	return stateSize{name: "convictions", count: n, heapBytes: heap}
}

// measureClaims returns the size of a shard of claims as stored in the key-value
// service. A gateway holds the shard only while it commits.
func measureClaims(b *testing.B, n int) stateSize {
	r := outcome.NewRecord(outcome.Answered{})
	r.RequestID, r.Organisation, r.Class, r.At = uuid.NewString(), "organisation", "settlement-postings", time.Now().UTC()
	result, err := json.Marshal(map[string]any{"Record": r, "Status": 200, "ContentType": "application/json", "Body": []byte(`{"Posted":true}`)})
	require.NoError(b, err)
	entries := map[string]claim.Entry{}
	for i := range n {
		entries[fmt.Sprintf("%064d", i)] = claim.Entry{Token: uuid.NewString(), Holder: "gateway-1", Fingerprint: fmt.Sprintf("%064d", i),
			ClaimedAt: time.Now().UnixMilli(), EndsBy: time.Now().UnixMilli(), Settled: true, Result: result}
	}
	encode := func() any {
		text, err := json.Marshal(map[string]any{"Entries": entries})
		require.NoError(b, err)
		return text
	}
	return stateSize{"settled claims in a shard", n, heapGrowth(encode), len(encode().([]byte)), 0}
}

func measureRecords(b *testing.B, n int) stateSize {
	record := func(i int) outcome.Record {
		r := outcome.NewRecord(outcome.Answered{Digest: fmt.Sprintf("sha256:%064d", 1), Tokens: 400})
		r.RequestID, r.Organisation, r.Class, r.At = fmt.Sprintf("%036d", i), "organisation", "auction-questions", time.Now().UTC()
		return r
	}
	heap := heapGrowth(func() any {
		l := ledger.New("gateway", kv.NewClient("http://127.0.0.1:1"))
		for i := range n {
			l.Add(record(i))
		}
		return l
	})
	batch := ledger.Batch{Gateway: "gateway"}
	for i := range n {
		batch.Records = append(batch.Records, record(i))
	}
	text, err := json.Marshal(batch)
	require.NoError(b, err)
	return stateSize{"ledger records waiting", n, heap, len(text), 0}
}
