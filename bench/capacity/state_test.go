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

// holding is a state, how much of it there is, and what the heap holds for it.
type holding struct {
	name    string
	number  int
	heap    int64
	encoded int // bytes as the key-value service keeps it; 0: it does not
	sent    int // bytes between daemons; 0: not sent as one document
}

// sentBytes returns the bytes of a document between daemons.
func sentBytes(b *testing.B, value []byte) int {
	text, err := gateway.Versioned{Value: value, Revision: 1}.GobEncode()
	require.NoError(b, err)
	return len(text)
}

// BenchmarkState prints the bytes of what a daemon holds, at two sizes each.
func BenchmarkState(b *testing.B) {
	klog.LogToStderr(false)
	var all []holding
	for _, n := range []int{200, 600} {
		all = append(all, heldMembers(n), heldPlacement(b, n, 6), heldPlacement(b, n, 30))
	}
	for _, n := range []int{6, 60, 600} {
		all = append(all, heldConfiguration(b, n, 0))
	}
	all = append(all, heldConfiguration(b, 60, operator.MaxHistory))
	for _, n := range []int{256, 4096} {
		all = append(all, heldConvictions(n))
	}
	for _, n := range []int{2000, 20000} {
		all = append(all, heldRecords(b, n))
	}
	all = append(all, heldClaims(b, 1000))
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "state\tnumber\theap KB\theap bytes each\tencoded bytes\tsent bytes\t")
	for _, h := range all {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t\n", h.name, h.number, h.heap/1024, h.heap/int64(h.number), h.encoded, h.sent)
	}
	_ = w.Flush()
}

// heapOf returns what the heap grows by for what build returns. It builds once
// before, for what is only made once.
func heapOf(build func() any) int64 {
	_ = build()
	before := liveHeap()
	held := build()
	after := liveHeap()
	runtime.KeepAlive(held)
	runtime.KeepAlive(build)
	return after - before
}

// liveHeap collects twice: pooled objects live through one collection.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func instanceName(i int) string { return fmt.Sprintf("assistant-%04d", i) }

func heldMembers(n int) holding {
	heap := heapOf(func() any {
		t := membership.NewTable()
		for i := range n {
			t.Hear(gateway.Member{Name: instanceName(i), Region: fmt.Sprintf("region-%d", i%regions),
				DataCentre: fmt.Sprintf("data-centre-%d", i%dataCentres), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
				Service: strings.Clone("assistant"), Kind: strings.Clone("Engine"), Digest: manifest.Digest(fmt.Sprintf("sha256:%064d", 1)), Started: 1, Sequence: 1}, time.Now())
		}
		return t
	})
	return holding{name: "members", number: n, heap: heap}
}

func heldPlacement(b *testing.B, instances, classes int) holding {
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
	heap := heapOf(func() any {
		d := desired.NewState()
		require.NoError(b, d.AdoptPlacement(gateway.Versioned{Value: append([]byte(nil), text...), Revision: 1}, "test"))
		return d
	})
	return holding{fmt.Sprintf("instances in a placement of %d classes", classes), instances, heap, len(text), sentBytes(b, text)}
}

func heldConfiguration(b *testing.B, classes, history int) holding {
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
	heap := heapOf(func() any {
		s := desired.NewState()
		require.NoError(b, s.AdoptStored(operator.ConfigurationKey, text, 1))
		return s
	})
	return holding{fmt.Sprintf("classes, %d changes of history", history), classes, heap, len(text), sentBytes(b, d.WithoutHistory().Encode())}
}

func heldConvictions(n int) holding {
	heap := heapOf(func() any {
		t := quarantine.NewTable()
		for i := range n {
			t.Adopt([]quarantine.Entry{{Fingerprint: fmt.Sprintf("%064d", i), Convicted: true, ExpiresAt: time.Now().Add(time.Hour)}})
		}
		return t
	})
	return holding{name: "convictions", number: n, heap: heap}
}

// heldClaims is a shard of claims as the key-value service keeps it; a gateway
// holds it only while it commits.
func heldClaims(b *testing.B, n int) holding {
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
	return holding{"settled claims in a shard", n, heapOf(encode), len(encode().([]byte)), 0}
}

func heldRecords(b *testing.B, n int) holding {
	record := func(i int) outcome.Record {
		r := outcome.NewRecord(outcome.Answered{Digest: fmt.Sprintf("sha256:%064d", 1), Tokens: 400})
		r.RequestID, r.Organisation, r.Class, r.At = fmt.Sprintf("%036d", i), "organisation", "auction-questions", time.Now().UTC()
		return r
	}
	heap := heapOf(func() any {
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
	return holding{"ledger records waiting", n, heap, len(text), 0}
}
