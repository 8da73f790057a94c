package condwrite_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/condwrite"
)

var errFault = errors.New("fault")

// faultyStore is a store that loses responses, applies writes late, and returns
// stale entries from reads and in conflicts. A value is the list of the changes
// made, each followed by a semicolon.
type faultyStore struct {
	mu         sync.Mutex
	random     *rand.Rand
	history    []condwrite.Entry // all entries so far, newest last
	lateWrites []func()
	faultless  bool
}

func (f *faultyStore) last() condwrite.Entry {
	if len(f.history) == 0 {
		return condwrite.Entry{}
	}
	return f.history[len(f.history)-1]
}

func (f *faultyStore) Read(context.Context) (condwrite.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.faultless && f.random.IntN(4) == 0 {
		return condwrite.Entry{}, errFault
	}
	return f.possiblyStale(), nil
}

// possiblyStale returns the newest entry or, at random, the one before it.
func (f *faultyStore) possiblyStale() condwrite.Entry {
	if f.faultless || len(f.history) < 2 || f.random.IntN(4) > 0 {
		return f.last()
	}
	return f.history[len(f.history)-2]
}

func (f *faultyStore) apply(value []byte, revision uint64) (condwrite.Entry, bool) {
	if f.last().Revision != revision {
		return f.last(), false
	}
	f.history = append(f.history, condwrite.Entry{Value: value, Revision: revision + 1 + uint64(f.random.IntN(3))})
	return f.last(), true
}

func (f *faultyStore) Swap(_ context.Context, value []byte, revision uint64) condwrite.SwapResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.faultless {
		switch f.random.IntN(6) {
		case 0:
			return condwrite.Unavailable{Err: errFault}
		case 1:
			return condwrite.Ambiguous{Err: errFault} // the request was lost
		case 2:
			_, _ = f.apply(value, revision)
			return condwrite.Ambiguous{Err: errFault}
		case 3:
			f.lateWrites = append(f.lateWrites, func() { _, _ = f.apply(value, revision) })
			return condwrite.Ambiguous{Err: errFault}
		}
	}
	if e, ok := f.apply(value, revision); ok {
		return condwrite.Written{Revision: e.Revision}
	}
	return condwrite.Conflict{Current: f.possiblyStale()}
}

// deliverLateWrite attempts one of the late writes, chosen at random.
func (f *faultyStore) deliverLateWrite() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lateWrites) > 0 {
		i := f.random.IntN(len(f.lateWrites))
		f.lateWrites[i]()
		f.lateWrites = append(f.lateWrites[:i], f.lateWrites[i+1:]...)
	}
}

func (f *faultyStore) contains(change string) bool {
	return strings.Contains(string(f.last().Value), change+";")
}

// write appends change to the value and returns the outcome.
func write(ctx context.Context, f *faultyStore, change string) condwrite.Outcome {
	e, err := condwrite.Read(ctx, f)
	if err != nil {
		return condwrite.NotWritten{Err: err}
	}
	return condwrite.Do(ctx, f, condwrite.Write{
		Value:    append(append([]byte{}, e.Value...), change+";"...),
		Revision: e.Revision,
		Presence: func(e condwrite.Entry) condwrite.Presence {
			if strings.Contains(string(e.Value), change+";") {
				return condwrite.Present
			}
			return condwrite.Absent
		},
	})
}

// Several writers race on a faulty store. The outcome that each gets must agree
// with the final value, even if writes take effect late.
func TestOutcomesMatchStoreContents(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	for round := range 12 {
		t.Logf("seed %d", seed+uint64(round))
		runWriters(t, seed+uint64(round))
	}
}

func runWriters(t *testing.T, seed uint64) {
	f := &faultyStore{random: rand.New(rand.NewPCG(seed, 0))}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	const writers = 6
	type result struct {
		change  string
		outcome condwrite.Outcome
	}
	results := make(chan result, writers)
	for w := range writers {
		go func() {
			change := fmt.Sprintf("change-%d", w)
			results <- result{change, write(ctx, f, change)}
		}()
	}
	var all []result
	for len(all) < writers {
		select {
		case r := <-results:
			all = append(all, r)
		case <-time.After(20 * time.Millisecond):
			f.deliverLateWrite()
		}
	}
	for range writers * 8 {
		f.deliverLateWrite()
	}
	for _, r := range all {
		switch r.outcome.(type) {
		case condwrite.Accepted:
			require.True(t, f.contains(r.change), "seed %d: %s was accepted", seed, r.change)
		case condwrite.Rejected, condwrite.NotWritten:
			require.False(t, f.contains(r.change), "seed %d: %s got outcome %T", seed, r.change, r.outcome)
		}
	}
}

// scriptedStore returns the given results in order; the last one repeats.
type scriptedStore struct {
	results []condwrite.SwapResult
}

func (s *scriptedStore) Read(context.Context) (condwrite.Entry, error) { return condwrite.Entry{}, nil }

func (s *scriptedStore) Swap(context.Context, []byte, uint64) condwrite.SwapResult {
	next := s.results[0]
	if len(s.results) > 1 {
		s.results = s.results[1:]
	}
	return next
}

func TestDoReturnsOutcomeProvedByResults(t *testing.T) {
	ambiguous := condwrite.Ambiguous{Err: errFault}
	unavailable := condwrite.Unavailable{Err: errFault}
	newer := condwrite.Conflict{Current: condwrite.Entry{Revision: 9}}
	older := condwrite.Conflict{Current: condwrite.Entry{Revision: 3}}
	cases := []struct {
		name     string
		results  []condwrite.SwapResult
		presence condwrite.Presence
		want     condwrite.Outcome
	}{
		{"written", []condwrite.SwapResult{condwrite.Written{Revision: 6}}, condwrite.Absent, condwrite.Accepted{Revision: 6}},
		{"ambiguous, then written", []condwrite.SwapResult{ambiguous, condwrite.Written{Revision: 6}}, condwrite.Absent, condwrite.Accepted{Revision: 6}},
		{"ambiguous, then present", []condwrite.SwapResult{ambiguous, newer}, condwrite.Present, condwrite.Accepted{Revision: 9}},
		{"ambiguous, then absent", []condwrite.SwapResult{ambiguous, newer}, condwrite.Absent, condwrite.Rejected(newer)},
		{"ambiguous, then indeterminate", []condwrite.SwapResult{ambiguous, newer}, condwrite.Indeterminate, condwrite.Unknown{Err: errFault}},
		{"ambiguous, then stale conflict, then written", []condwrite.SwapResult{ambiguous, older, condwrite.Written{Revision: 6}}, condwrite.Absent, condwrite.Accepted{Revision: 6}},
		{"always unavailable", []condwrite.SwapResult{unavailable}, condwrite.Absent, condwrite.NotWritten{Err: errFault}},
		{"ambiguous, then always unavailable", []condwrite.SwapResult{ambiguous, unavailable}, condwrite.Absent, condwrite.Unknown{Err: errFault}},
		{"ambiguous, then refused", []condwrite.SwapResult{ambiguous, condwrite.Refused{Err: errFault}}, condwrite.Absent, condwrite.Unknown{Err: errFault}},
		{"conflict in first attempt", []condwrite.SwapResult{newer}, condwrite.Present, condwrite.Rejected(newer)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			got := condwrite.Do(ctx, &scriptedStore{results: c.results}, condwrite.Write{
				Revision: 5,
				Presence: func(condwrite.Entry) condwrite.Presence { return c.presence },
			})
			require.Equal(t, c.want, got)
		})
	}
}
