// Package ledger keeps every request's outcome in the platform's key-value
// service, from which invoices are made.
//
// Each gateway writes batches under its own keys, so its writes a second do not
// grow with its requests. While the service is down, records wait in bounded
// memory; beyond it they are summed by organisation, class and outcome, so no
// request is lost from the invoice. A gateway that ends before the service is
// back hands its batches to another gateway.
//
// A batch keeps its key and its bytes from the first try on. Whoever writes it,
// and however often, it enters the ledger once.
package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/pkg/settle"
)

// Prefix of the ledger's keys: Prefix + gateway + "/" + sequence.
const Prefix = "ledger/"

const (
	maxWaiting   = 20000 // records held one by one
	maxBatch     = 2000  // records a key
	flushEvery   = time.Second
	writeTimeout = 2 * time.Second
	maxTotals    = 4096 // distinct sums
)

// Total sums the records that did not fit into memory one by one.
type Total struct {
	Organisation string         `json:"Organisation"`
	Class        string         `json:"Class"`
	Outcome      string         `json:"Outcome"`
	Reason       outcome.Reason `json:"Reason,omitempty"`
	Digest       string         `json:"Digest,omitempty"`
	Requests     int64          `json:"Requests"`
	Tokens       int64          `json:"Tokens"`
}

// Batch is the value of one ledger key.
type Batch struct {
	Gateway string           `json:"Gateway"`
	Records []outcome.Record `json:"Records,omitempty"`
	Totals  []Total          `json:"Totals,omitempty"`
}

// Parcel is a batch with the key that it is written under.
type Parcel struct {
	Key   string
	Value []byte
}

// Ledger takes records and writes them. It is safe for concurrent use.
type Ledger struct {
	gateway string
	open    func(key string) settle.Store
	writing sync.Mutex // held by the goroutine that writes

	mu       sync.Mutex
	sequence uint64
	records  []outcome.Record
	totals   map[Total]Total // by their names, with the sums at 0
	parcels  []Parcel        // tried or taken over, oldest first
	late     bool
}

// New returns the ledger of a gateway. Sequences begin at the time, so a
// restarted gateway does not meet its former keys.
func New(gateway string, k *kv.Client) *Ledger {
	client := k.For("Ledger")
	return &Ledger{
		gateway:  gateway,
		open:     func(key string) settle.Store { return kv.Key{Client: client, Name: key} },
		sequence: uint64(time.Now().UnixNano()),
		totals:   map[Total]Total{},
	}
}

// Add takes a record. It does not block.
func (l *Ledger) Add(r outcome.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) < maxWaiting {
		l.records = append(l.records, r)
		return
	}
	counter.Add("LedgerSummed", 1)
	name := Total{Organisation: r.Organisation, Class: r.Class, Outcome: r.Outcome, Reason: r.Reason, Digest: r.Digest}
	if r.Repeat {
		return
	}
	if _, ok := l.totals[name]; !ok && len(l.totals) >= maxTotals {
		name.Digest, name.Reason = "", ""
	}
	sum := l.totals[name]
	sum.Requests++
	sum.Tokens += int64(r.Tokens)
	l.totals[name] = sum
}

// Waiting returns the number of records, sums and batches that are not written yet.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) + len(l.totals) + len(l.parcels)
}

// Run writes batches until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	return pause.Each(ctx, flushEvery, func() { l.Flush(ctx) })
}

// Flush writes all that waits, until ctx ends or the service fails.
func (l *Ledger) Flush(ctx context.Context) {
	l.writing.Lock()
	defer l.writing.Unlock()
	for ctx.Err() == nil {
		p, ok := l.first()
		if !ok || !l.write(ctx, p) {
			return
		}
		l.drop(p)
	}
}

// first returns the oldest batch, made from the records if there is none. It
// stays until it is dropped.
func (l *Ledger) first() (Parcel, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.parcels) == 0 && !l.pack() {
		return Parcel{}, false
	}
	return l.parcels[0], true
}

// pack moves records and sums into a batch, if there are any. Callers hold mu.
func (l *Ledger) pack() bool {
	n := min(len(l.records), maxBatch)
	b := Batch{Gateway: l.gateway, Records: l.records[:n]}
	for name, sum := range l.totals {
		name.Requests, name.Tokens = sum.Requests, sum.Tokens
		b.Totals = append(b.Totals, name)
	}
	if len(b.Records)+len(b.Totals) == 0 {
		return false
	}
	sort.Slice(b.Totals, func(i, j int) bool { return fmt.Sprint(b.Totals[i]) < fmt.Sprint(b.Totals[j]) })
	value, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	l.sequence++
	l.parcels = append(l.parcels, Parcel{Key: fmt.Sprintf("%s%s/%020d", Prefix, l.gateway, l.sequence), Value: value})
	l.records = append([]outcome.Record(nil), l.records[n:]...)
	l.totals = map[Total]Total{}
	return true
}

func (l *Ledger) drop(p Parcel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, q := range l.parcels {
		if q.Key == p.Key {
			l.parcels = append(l.parcels[:i:i], l.parcels[i+1:]...)
			return
		}
	}
}

// write tries one batch under its key, and reports whether it is in the ledger.
func (l *Ledger) write(ctx context.Context, p Parcel) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	switch o := settle.Do(ctx, l.open(p.Key), settle.Write{Value: p.Value, Trace: traceOf(p.Value)}).(type) {
	case settle.Accepted:
		l.told(false, nil)
		return true
	case settle.Rejected:
		// Keys carry a gateway's name and the time at which it started.
		event.Fail(event.LedgerKeyTaken, errs.New("write batch", p.Key, "key holds another batch"))
		counter.Add("LedgerKeysTaken", 1)
		return true
	case settle.NotWritten:
		l.told(true, o.Err)
	case settle.Unknown:
		l.told(true, o.Err)
	}
	return false
}

// traceOf tells a batch that took effect from another writer's.
func traceOf(value []byte) func(settle.Entry) settle.Trace {
	return func(e settle.Entry) settle.Trace {
		if string(e.Value) == string(value) {
			return settle.Present
		}
		return settle.Absent
	}
}

func (l *Ledger) told(late bool, err error) {
	waiting := l.Waiting()
	counter.Set("LedgerWaiting", int64(waiting))
	l.mu.Lock()
	first := late && !l.late
	l.late = late
	l.mu.Unlock()
	if first {
		event.Fail(event.LedgerDelayed, err, "Waiting", waiting)
	}
}
