// Package claim ensures that work with the same key runs at most once, even if
// its retries reach different processes.
//
// Claims are stored in a compare-and-swap store, many in one shard. A claim is
// won only by a write that is known to have taken effect; after an ambiguous
// write the shard is written again. All pending claims and results of a shard
// are committed in one write, so the write rate does not grow with the load.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"almondreel.example/almondreel/pkg/condwrite"
)

const (
	shards                 = 256
	workers                = 8
	maxQueued              = 512 // operations queued for one worker
	maxShardBytes          = 900 << 10
	defaultWritesPerSecond = 50
	defaultRetentionHours  = 24
)

var (
	// ErrUnavailable reports that the store did not confirm a claim in time.
	// The claim was not won and will not be won later.
	ErrUnavailable = errors.New("store did not confirm the claim in time")
	// ErrFull reports that the shard or the queue of its worker is full.
	ErrFull = errors.New("claim shard or queue is full")
)

// Entry is one claim. Times are Unix milliseconds.
type Entry struct {
	Token       string `json:"Token"`       // unique to the attempt that claimed the key
	Holder      string `json:"Holder"`      // process that runs the work
	Fingerprint string `json:"Fingerprint"` // identifies the content of the work
	ClaimedAt   int64  `json:"ClaimedAt"`
	EndsBy      int64  `json:"EndsBy"`  // time by which the holder has finished or given up
	Settled     bool   `json:"Settled"` // Result is recorded
	Result      []byte `json:"Result,omitempty"`
}

// document is the value of a shard.
type document struct {
	Entries map[string]Entry `json:"Entries"`
}

// Options of a Table.
type Options struct {
	Open            func(key string) condwrite.Store // opens a key of the store
	Prefix          string                           // prefix of the shard keys
	WritesPerSecond float64                          // maximum write rate; 0 means 50
	RetentionHours  int                              // how long claims are kept; 0 means 24
}

// Table claims keys. It needs Run to be running and is safe for concurrent use.
type Table struct {
	options Options
	limiter *rate.Limiter
	workers []*worker
}

// New returns a table.
func New(o Options) *Table {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = defaultWritesPerSecond
	}
	if o.RetentionHours <= 0 {
		o.RetentionHours = defaultRetentionHours
	}
	t := &Table{options: o, limiter: rate.NewLimiter(rate.Limit(o.WritesPerSecond), workers)}
	for range workers {
		t.workers = append(t.workers, newWorker(t))
	}
	return t
}

// SetWriteRate sets the maximum writes per second, such as this process's share
// of a limit on all processes.
func (t *Table) SetWriteRate(perSecond float64) {
	t.limiter.SetLimit(rate.Limit(perSecond))
}

// Run commits operations until ctx ends and returns the error of ctx.
func (t *Table) Run(ctx context.Context) error {
	done := make(chan struct{}, workers)
	for _, w := range t.workers {
		go func() {
			defer func() { done <- struct{}{} }()
			w.run(ctx)
		}()
	}
	for range t.workers {
		<-done
	}
	return ctx.Err()
}

// Claim claims key for e and reports whether e won. It returns the entry that
// owns the key. The error is ErrUnavailable, ErrFull or that of decoding the
// shard; the key is then not claimed, or is released as soon as the store
// responds. While the store is down, claims fail at once with ErrUnavailable,
// except one per probeInterval and worker that tests the store.
func (t *Table) Claim(ctx context.Context, key string, e Entry) (Entry, bool, error) {
	switch t.worker(key).breaker.decide(time.Now()) {
	case refuse:
		return Entry{}, false, ErrUnavailable
	case probe:
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		ctx = probeCtx
	}
	o := newOperation(claimKind, key, e)
	if !t.enqueue(o) {
		return Entry{}, false, ErrFull
	}
	select {
	case <-o.done:
	case <-ctx.Done():
		if o.abandon() {
			return Entry{}, false, ErrUnavailable
		}
		<-o.done
	}
	return o.current, o.current.Token == e.Token, o.err
}

// Settle records the result of a won claim. It returns when the result is
// recorded or ctx ends; in the latter case recording continues until Run ends.
func (t *Table) Settle(ctx context.Context, key, token string, result []byte) error {
	return t.submit(ctx, newOperation(settleKind, key, Entry{Token: token, Settled: true, Result: result}))
}

// Release removes a won claim whose work was not started.
func (t *Table) Release(ctx context.Context, key, token string) error {
	return t.submit(ctx, newOperation(releaseKind, key, Entry{Token: token}))
}

func (t *Table) submit(ctx context.Context, o *operation) error {
	if !t.enqueue(o) {
		return ErrFull
	}
	select {
	case <-o.done:
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Find reads the entry of key from the store and reports whether there is one.
func (t *Table) Find(ctx context.Context, key string) (Entry, bool, error) {
	current, err := t.options.Open(t.shardKey(key)).Read(ctx)
	if err != nil {
		return Entry{}, false, err
	}
	d, err := decode(current.Value)
	if err != nil {
		return Entry{}, false, err
	}
	e, ok := d.Entries[key]
	return e, ok, nil
}

// enqueue passes o to the worker of its shard. It reports false if the worker's
// queue is full.
func (t *Table) enqueue(o *operation) bool {
	o.shard = t.shardKey(o.key)
	select {
	case t.worker(o.key).operations <- o:
		return true
	default:
		return false
	}
}

// worker returns the worker of the key's shard.
func (t *Table) worker(key string) *worker {
	return t.workers[xxhash.Sum64String(key)%shards%workers]
}

func (t *Table) shardKey(key string) string {
	return fmt.Sprintf("%s%02x", t.options.Prefix, xxhash.Sum64String(key)%shards)
}

func decode(value []byte) (document, error) {
	d := document{Entries: map[string]Entry{}}
	if len(value) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(value, &d); err != nil {
		return d, fmt.Errorf("decode claims shard: %w", err)
	}
	if d.Entries == nil {
		d.Entries = map[string]Entry{}
	}
	return d, nil
}

// prune deletes claims that are older than the given number of hours.
func (d document) prune(now time.Time, hours int) {
	cutoff := now.Add(-time.Duration(hours) * time.Hour).UnixMilli()
	for key, e := range d.Entries {
		if e.ClaimedAt < cutoff {
			delete(d.Entries, key)
		}
	}
}
