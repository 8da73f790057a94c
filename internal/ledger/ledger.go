// Package ledger keeps every request's outcome in the platform's key-value
// service, from which invoices are made.
//
// Each gateway writes batches under its own keys, so its writes a second do not
// grow with its requests. While the service is down, records wait in bounded
// memory; beyond it they are summed by organisation, class and outcome, so no
// request is lost from the invoice.
package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/pkg/settle"
)

// Prefix of the ledger's keys: Prefix + gateway + "/" + sequence.
const Prefix = "ledger/"

const (
	maxWaiting   = 20000 // records held one by one
	maxBatch     = 2000  // records a key
	flushEvery   = time.Second
	writeTimeout = 5 * time.Second
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

// Ledger takes records and writes them. It is safe for concurrent use.
type Ledger struct {
	gateway  string
	open     func(key string) settle.Store
	sequence uint64

	mu      sync.Mutex
	records []outcome.Record
	totals  map[Total]Total // by their names, with the sums at 0
	late    bool
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

// Waiting returns the number of records that are not written yet.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) + len(l.totals)
}

// Run writes batches until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.Flush(ctx)
		}
	}
}

// Flush writes all that waits, until ctx ends or the service fails.
func (l *Ledger) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		b, ok := l.take()
		if !ok {
			return
		}
		if !l.write(ctx, b) {
			l.giveBack(b)
			return
		}
	}
}

func (l *Ledger) take() (Batch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.records), maxBatch)
	b := Batch{Gateway: l.gateway, Records: append([]outcome.Record(nil), l.records[:n]...)}
	l.records = append([]outcome.Record(nil), l.records[n:]...)
	for name, sum := range l.totals {
		name.Requests, name.Tokens = sum.Requests, sum.Tokens
		b.Totals = append(b.Totals, name)
	}
	l.totals = map[Total]Total{}
	sort.Slice(b.Totals, func(i, j int) bool { return fmt.Sprint(b.Totals[i]) < fmt.Sprint(b.Totals[j]) })
	return b, len(b.Records)+len(b.Totals) > 0
}

// giveBack puts a batch that was not written back in front.
func (l *Ledger) giveBack(b Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(b.Records, l.records...)
	for _, t := range b.Totals {
		name := t
		name.Requests, name.Tokens = 0, 0
		sum := l.totals[name]
		sum.Requests += t.Requests
		sum.Tokens += t.Tokens
		l.totals[name] = sum
	}
}

// write repeats one batch under one key until its outcome is certain, so a lost
// answer cannot enter it twice.
func (l *Ledger) write(ctx context.Context, b Batch) bool {
	value, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	key := fmt.Sprintf("%s%s/%020d", Prefix, l.gateway, l.sequence)
	for {
		try, cancel := context.WithTimeout(ctx, writeTimeout)
		o := settle.Do(try, l.open(key), settle.Write{Value: value, Trace: traceOf(value)})
		cancel()
		switch o := o.(type) {
		case settle.Accepted:
			l.sequence++
			l.told(false, nil)
			return true
		case settle.Rejected:
			l.sequence++
			return false
		case settle.NotWritten:
			l.told(true, o.Err)
			return false
		case settle.Unknown:
			l.told(true, o.Err)
		}
		if ctx.Err() != nil {
			return false
		}
	}
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
	counter.Set("LedgerWaiting", int64(l.Waiting()))
	if late && !l.late {
		event.Fail(event.LedgerDelayed, err, "Waiting", l.Waiting())
	}
	l.late = late
}
