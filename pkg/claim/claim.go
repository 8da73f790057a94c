// Package claim lets one holder run a piece of work at most once, whichever of
// several processes its repeats reach.
//
// Claims live in a compare-and-swap store, many to a shard. A claim is won only
// by a write that took effect; a lost answer is settled by writing again. The
// claims and results that wait for one shard are committed in one write, so
// writes stay bounded while the work grows.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"almondreel.example/almondreel/pkg/settle"
)

const (
	shards               = 256
	workers              = 8
	maxWaiting           = 512 // operations that wait for a worker
	maxShardBytes        = 900 << 10
	defaultWrites        = 50 // a second
	defaultRetentionHour = 24
)

var (
	// ErrUnavailable reports a claim that was not won and never will be: the
	// store did not confirm it in time.
	ErrUnavailable = errors.New("store did not confirm the claim in time")
	// ErrFull reports a shard without room or too many operations that wait.
	ErrFull = errors.New("no room for a claim")
)

// Entry is one claim. Times are Unix milliseconds.
type Entry struct {
	Token       string `json:"Token"`       // unique to the claimer's attempt
	Holder      string `json:"Holder"`      // process that runs the work
	Fingerprint string `json:"Fingerprint"` // of what the key was claimed for
	ClaimedAt   int64  `json:"ClaimedAt"`
	EndsBy      int64  `json:"EndsBy"` // after it the holder has given up the work
	Settled     bool   `json:"Settled"`
	Result      []byte `json:"Result,omitempty"`
}

type document struct {
	Entries map[string]Entry `json:"Entries"`
}

// Options of a Table.
type Options struct {
	Open            func(key string) settle.Store // the store's key
	Prefix          string                        // of the shards' keys
	WritesPerSecond float64                       // at most; 0 means 50
	RetentionHours  int                           // of claims; 0 means 24
}

// Table makes claims. Run must be running. It is safe for concurrent use.
type Table struct {
	options Options
	limiter *rate.Limiter
	workers []*worker
}

// New returns a table.
func New(o Options) *Table {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = defaultWrites
	}
	if o.RetentionHours <= 0 {
		o.RetentionHours = defaultRetentionHour
	}
	t := &Table{options: o, limiter: rate.NewLimiter(rate.Limit(o.WritesPerSecond), workers)}
	for range workers {
		t.workers = append(t.workers, newWorker(t))
	}
	return t
}

// SetWrites sets the writes a second, such as one of several processes' share.
func (t *Table) SetWrites(perSecond float64) {
	t.limiter.SetLimit(rate.Limit(perSecond))
}

// Run commits operations until ctx ends.
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

// Claim takes key for e. It reports whether e won; otherwise it returns the
// entry that holds the key. After an error the key is not claimed, or is given
// back as soon as the store answers. While the store is known to be down a claim
// is refused at once, but for one in probeInterval that tries it.
func (t *Table) Claim(ctx context.Context, key string, e Entry) (Entry, bool, error) {
	switch t.worker(key).outage.judge(time.Now()) {
	case refuse:
		return Entry{}, false, ErrUnavailable
	case probe:
		limited, cancel := context.WithTimeout(ctx, probeWait)
		defer cancel()
		ctx = limited
	}
	o := newOperation(claimKind, key, e)
	if !t.queue(o) {
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
	return o.held, o.held.Token == e.Token, o.err
}

// Settle records the result of a claim that was won. It returns when the result
// is recorded or ctx ends; the recording goes on until Run ends.
func (t *Table) Settle(ctx context.Context, key, token string, result []byte) error {
	return t.finish(ctx, newOperation(settleKind, key, Entry{Token: token, Settled: true, Result: result}))
}

// Release gives back a claim that was won and whose work did not begin.
func (t *Table) Release(ctx context.Context, key, token string) error {
	return t.finish(ctx, newOperation(releaseKind, key, Entry{Token: token}))
}

func (t *Table) finish(ctx context.Context, o *operation) error {
	if !t.queue(o) {
		return ErrFull
	}
	select {
	case <-o.done:
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Find reads the entry of key from the store.
func (t *Table) Find(ctx context.Context, key string) (Entry, bool, error) {
	current, err := t.options.Open(t.shard(key)).Read(ctx)
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

func (t *Table) queue(o *operation) bool {
	o.shard = t.shard(o.key)
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

func (t *Table) shard(key string) string {
	return fmt.Sprintf("%s%02x", t.options.Prefix, xxhash.Sum64String(key)%shards)
}

func decode(value []byte) (document, error) {
	d := document{Entries: map[string]Entry{}}
	if len(value) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(value, &d); err != nil {
		return d, fmt.Errorf("claims shard: %w", err)
	}
	if d.Entries == nil {
		d.Entries = map[string]Entry{}
	}
	return d, nil
}

// prune forgets claims past their retention.
func (d document) prune(now time.Time, hours int) {
	oldest := now.Add(-time.Duration(hours) * time.Hour).UnixMilli()
	for key, e := range d.Entries {
		if e.ClaimedAt < oldest {
			delete(d.Entries, key)
		}
	}
}
