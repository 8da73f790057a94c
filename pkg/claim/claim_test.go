package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/claim"
	"almondreel.example/almondreel/pkg/condwrite"
)

// memoryStore is an in-memory store that can lose the responses to writes,
// apply writes late, or be down.
type memoryStore struct {
	mu         sync.Mutex
	entries    map[string]condwrite.Entry
	revision   uint64
	lossRate   float64 // share of applied writes whose response is lost
	lateRate   float64 // share of writes that are applied up to 30 ms late
	down       bool
	writes     int // writes that took effect
	lateWrites sync.WaitGroup
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[string]condwrite.Entry{}} }

func (m *memoryStore) setFaults(lossRate, lateRate float64, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lossRate, m.lateRate, m.down = lossRate, lateRate, down
}

type memoryKey struct {
	store *memoryStore
	key   string
}

func (m *memoryStore) open(key string) condwrite.Store { return memoryKey{store: m, key: key} }

func (k memoryKey) Read(context.Context) (condwrite.Entry, error) {
	k.store.mu.Lock()
	defer k.store.mu.Unlock()
	if k.store.down {
		return condwrite.Entry{}, errors.New("down")
	}
	return k.store.entries[k.key], nil
}

func (k memoryKey) Swap(_ context.Context, value []byte, revision uint64) condwrite.SwapResult {
	m := k.store
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down:
		return condwrite.Unavailable{Err: errors.New("down")}
	case rand.Float64() < m.lateRate:
		m.lateWrites.Go(func() {
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			m.mu.Lock()
			defer m.mu.Unlock()
			k.write(value, revision)
		})
		return condwrite.Ambiguous{Err: errors.New("late")}
	}
	result := k.write(value, revision)
	if rand.Float64() < m.lossRate {
		return condwrite.Ambiguous{Err: errors.New("lost")}
	}
	return result
}

func (k memoryKey) write(value []byte, revision uint64) condwrite.SwapResult {
	m := k.store
	if m.entries[k.key].Revision != revision {
		return condwrite.Conflict{Current: m.entries[k.key]}
	}
	m.revision++
	m.writes++
	m.entries[k.key] = condwrite.Entry{Value: value, Revision: m.revision}
	return condwrite.Written{Revision: m.revision}
}

// startTable runs a table until the end of the test.
func startTable(t *testing.T, m *memoryStore) *claim.Table {
	t.Helper()
	table := claim.New(claim.Options{Open: m.open, Prefix: "c/", WritesPerSecond: 5000})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- table.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-stopped
		m.lateWrites.Wait()
	})
	return table
}

func newEntry(token string) claim.Entry {
	now := time.Now()
	return claim.Entry{Token: token, ClaimedAt: now.UnixMilli(), EndsBy: now.Add(time.Minute).UnixMilli()}
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestOneClaimWinsWhenWritesAreAmbiguous(t *testing.T) {
	for _, faults := range []struct{ lossRate, lateRate float64 }{{0, 0}, {0.5, 0}, {0, 0.5}, {0.3, 0.3}} {
		m := newMemoryStore()
		m.setFaults(faults.lossRate, faults.lateRate, false)
		tables := []*claim.Table{startTable(t, m), startTable(t, m), startTable(t, m)}
		for key := range 20 {
			var group sync.WaitGroup
			var mu sync.Mutex
			winners := 0
			for i, table := range tables {
				group.Go(func() {
					_, won, err := table.Claim(contextWithTimeout(t, 5*time.Second), fmt.Sprint(key), newEntry(fmt.Sprint(key, "by", i)))
					if err != nil {
						t.Error(err)
					}
					if won {
						mu.Lock()
						winners++
						mu.Unlock()
					}
				})
			}
			group.Wait()
			require.Equal(t, 1, winners)
		}
	}
}

func TestRepeatGetsRecordedResult(t *testing.T) {
	m := newMemoryStore()
	a, b := startTable(t, m), startTable(t, m)
	ctx := contextWithTimeout(t, 5*time.Second)
	_, won, err := a.Claim(ctx, "k", newEntry("1"))
	require.NoError(t, err)
	require.True(t, won)
	require.NoError(t, a.Settle(ctx, "k", "1", []byte("result")))
	current, won, err := b.Claim(ctx, "k", newEntry("2"))
	require.NoError(t, err)
	require.False(t, won)
	require.True(t, current.Settled)
	require.Equal(t, "result", string(current.Result))

	require.NoError(t, a.Release(ctx, "k", "2"), "a release with another token is ignored")
	_, found, err := a.Find(ctx, "k")
	require.NoError(t, err)
	require.True(t, found)
}

// A claim whose caller timed out must be removed, even if its write takes
// effect late.
func TestAbandonedClaimIsRemoved(t *testing.T) {
	m := newMemoryStore()
	table := startTable(t, m)
	for i := range 30 {
		m.setFaults(0.5, 0.5, i%3 == 0)
		key := fmt.Sprint(i)
		_, won, err := table.Claim(contextWithTimeout(t, 3*time.Millisecond), key, newEntry("token"+key))
		m.setFaults(0, 0, false)
		if err == nil {
			require.True(t, won)
			continue
		}
		require.ErrorIs(t, err, claim.ErrUnavailable)
		require.Eventually(t, func() bool {
			_, won, err := table.Claim(contextWithTimeout(t, time.Second), key, newEntry("again"+key))
			return err == nil && won
		}, 3*time.Second, 10*time.Millisecond)
	}
	m.lateWrites.Wait()
	for i := range 30 {
		current, found, err := table.Find(contextWithTimeout(t, time.Second), fmt.Sprint(i))
		require.NoError(t, err)
		require.True(t, found)
		require.Contains(t, current.Token, fmt.Sprint(i))
	}
}

func TestClaimsOfOneShardAreBatched(t *testing.T) {
	m := newMemoryStore()
	table := startTable(t, m)
	m.setFaults(0, 0, true)
	var group sync.WaitGroup
	for i := range 300 {
		group.Go(func() {
			if _, won, err := table.Claim(contextWithTimeout(t, 10*time.Second), fmt.Sprint(i), newEntry(fmt.Sprint(i))); !won || err != nil {
				t.Error(i, won, err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	m.setFaults(0, 0, false)
	group.Wait()
	require.LessOrEqual(t, m.writes, 200, "300 claims are batched into at most 256 shards")
}

// While the breaker is open, claims must not wait for the store, except those
// that probe it.
func TestClaimIsRefusedAtOnceWhileStoreIsDown(t *testing.T) {
	m := newMemoryStore()
	m.setFaults(0, 0, true)
	table := claim.New(claim.Options{Open: m.open})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- table.Run(ctx) }()
	defer func() {
		cancel()
		<-stopped
	}()
	claimKey := func(token string, timeout time.Duration) (bool, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, won, err := table.Claim(ctx, "key", claim.Entry{Token: token, EndsBy: time.Now().Add(time.Minute).UnixMilli()})
		return won, err
	}
	_, err := claimKey("first", 1500*time.Millisecond)
	require.ErrorIs(t, err, claim.ErrUnavailable)
	const longTimeout = time.Minute
	start := time.Now()
	for i := range 20 {
		_, err := claimKey(fmt.Sprint("next ", i), longTimeout)
		require.ErrorIs(t, err, claim.ErrUnavailable)
	}
	require.Less(t, time.Since(start), longTimeout)

	m.setFaults(0, 0, false)
	require.Eventually(t, func() bool {
		won, _ := claimKey("last", 2*time.Second)
		return won
	}, 10*time.Second, 50*time.Millisecond)
}
