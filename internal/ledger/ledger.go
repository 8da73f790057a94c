// Package ledger writes the outcome of every request from the gateways to the
// platform's key-value service. Invoices are computed from it.
//
// Each gateway writes batches under its own keys, so its write rate does not
// grow with its request rate. While the service is down, records are kept in
// bounded memory; further records are summed by organisation, class and
// outcome, so that no request is missing from the invoice. A gateway that shuts
// down during an outage hands its batches over to another gateway.
//
// The key and the bytes of a batch do not change after the first write attempt.
// However often and by whichever gateway it is written, it is in the ledger
// once.
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
	"almondreel.example/almondreel/pkg/condwrite"
)

// Prefix is the prefix of the ledger's keys: Prefix + gateway + "/" + sequence.
const Prefix = "ledger/"

const (
	maxRecords      = 20000 // records kept individually; further ones are summed
	maxBatchRecords = 2000  // records per batch
	flushEvery      = time.Second
	writeTimeout    = 2 * time.Second
	maxTotals       = 4096 // totals above which digest and reason are no longer distinguished
)

// Total sums the records with the same organisation, class, outcome, reason and
// digest beyond those that are kept individually.
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

// KeyedBatch is an encoded Batch and the key that it is written under.
type KeyedBatch struct {
	Key   string
	Value []byte
}

// Ledger collects the records of one gateway and writes them in batches. It is
// safe for concurrent use.
type Ledger struct {
	gateway string
	open    func(key string) condwrite.Store
	writeMu sync.Mutex // serialises Flush and HandOver

	mu       sync.Mutex
	sequence uint64
	records  []outcome.Record
	totals   map[Total]Total // the key is the total with Requests and Tokens 0
	pending  []KeyedBatch    // batches with a key, own or taken over, oldest first
	delayed  bool            // the last write failed
}

// New returns the ledger of a gateway. Sequence numbers start at the current
// Unix time in nanoseconds, so that a restarted gateway does not reuse its
// keys.
func New(gateway string, k *kv.Client) *Ledger {
	client := k.WithPurpose("Ledger")
	return &Ledger{
		gateway:  gateway,
		open:     func(key string) condwrite.Store { return kv.Key{Client: client, Name: key} },
		sequence: uint64(time.Now().UnixNano()),
		totals:   map[Total]Total{},
	}
}

// Add adds a record. It does not wait for a write.
func (l *Ledger) Add(r outcome.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) < maxRecords {
		l.records = append(l.records, r)
		return
	}
	counter.Add("LedgerSummed", 1)
	key := Total{Organisation: r.Organisation, Class: r.Class, Outcome: r.Outcome, Reason: r.Reason, Digest: r.Digest}
	if r.Repeat {
		return
	}
	if _, ok := l.totals[key]; !ok && len(l.totals) >= maxTotals {
		key.Digest, key.Reason = "", ""
	}
	total := l.totals[key]
	total.Requests++
	total.Tokens += int64(r.Tokens)
	l.totals[key] = total
}

// Pending returns the number of records, totals and batches that are not yet
// written.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) + len(l.totals) + len(l.pending)
}

// Run writes pending batches every second until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	return pause.Every(ctx, flushEvery, func() { l.Flush(ctx) })
}

// Flush writes all pending batches. It stops when ctx ends or a write fails.
func (l *Ledger) Flush(ctx context.Context) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	for ctx.Err() == nil {
		b, ok := l.oldest()
		if !ok || !l.write(ctx, b) {
			return
		}
		l.remove(b)
	}
}

// oldest returns the oldest pending batch, or a new one of the collected
// records. It stays pending until it is removed.
func (l *Ledger) oldest() (KeyedBatch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 && !l.makeBatch() {
		return KeyedBatch{}, false
	}
	return l.pending[0], true
}

// makeBatch moves records and totals into a new pending batch. It reports false
// if there are none. The caller holds mu.
func (l *Ledger) makeBatch() bool {
	n := min(len(l.records), maxBatchRecords)
	b := Batch{Gateway: l.gateway, Records: l.records[:n]}
	for key, total := range l.totals {
		key.Requests, key.Tokens = total.Requests, total.Tokens
		b.Totals = append(b.Totals, key)
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
	l.pending = append(l.pending, KeyedBatch{Key: fmt.Sprintf("%s%s/%020d", Prefix, l.gateway, l.sequence), Value: value})
	l.records = append([]outcome.Record(nil), l.records[n:]...)
	l.totals = map[Total]Total{}
	return true
}

func (l *Ledger) remove(b KeyedBatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.pending {
		if other.Key == b.Key {
			l.pending = append(l.pending[:i:i], l.pending[i+1:]...)
			return
		}
	}
}

// write writes a batch under its key. It reports false if the write must be
// retried.
func (l *Ledger) write(ctx context.Context, b KeyedBatch) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	switch result := condwrite.Do(ctx, l.open(b.Key), condwrite.Write{Value: b.Value, Presence: presenceOf(b.Value)}).(type) {
	case condwrite.Accepted:
		l.setDelayed(false, nil)
		return true
	case condwrite.Rejected:
		// Not expected: the key contains the gateway's name and start time.
		event.Fail(event.LedgerKeyConflict, errs.New("write batch", b.Key, "key holds another batch"))
		counter.Add("LedgerKeysTaken", 1)
		return true
	case condwrite.NotWritten:
		l.setDelayed(true, result.Err)
	case condwrite.Unknown:
		l.setDelayed(true, result.Err)
	}
	return false
}

// presenceOf returns a function that reports whether an entry contains value,
// the bytes of a batch.
func presenceOf(value []byte) func(condwrite.Entry) condwrite.Presence {
	return func(e condwrite.Entry) condwrite.Presence {
		if string(e.Value) == string(value) {
			return condwrite.Present
		}
		return condwrite.Absent
	}
}

// setDelayed updates the metrics and reports an event when writes begin to
// fail.
func (l *Ledger) setDelayed(delayed bool, err error) {
	pending := l.Pending()
	counter.Set("LedgerWaiting", int64(pending))
	l.mu.Lock()
	first := delayed && !l.delayed
	l.delayed = delayed
	l.mu.Unlock()
	if first {
		event.Fail(event.LedgerDelayed, err, "Waiting", pending)
	}
}
