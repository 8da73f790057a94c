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
	"almondreel.example/almondreel/pkg/settle"
)

// memory is a store in memory that can lose answers and apply writes late.
type memory struct {
	mu       sync.Mutex
	entries  map[string]settle.Entry
	revision uint64
	lose     float64
	late     float64
	down     bool
	writes   int
	group    sync.WaitGroup
}

func newMemory() *memory { return &memory{entries: map[string]settle.Entry{}} }

func (m *memory) set(lose, late float64, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose, m.late, m.down = lose, late, down
}

type memoryKey struct {
	memory *memory
	key    string
}

func (m *memory) open(key string) settle.Store { return memoryKey{memory: m, key: key} }

func (k memoryKey) Read(context.Context) (settle.Entry, error) {
	k.memory.mu.Lock()
	defer k.memory.mu.Unlock()
	if k.memory.down {
		return settle.Entry{}, errors.New("down")
	}
	return k.memory.entries[k.key], nil
}

func (k memoryKey) Swap(_ context.Context, value []byte, revision uint64) settle.Answer {
	m := k.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down:
		return settle.Unavailable{Err: errors.New("down")}
	case rand.Float64() < m.late:
		m.group.Go(func() {
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			m.mu.Lock()
			defer m.mu.Unlock()
			k.write(value, revision)
		})
		return settle.Lost{Err: errors.New("late")}
	}
	answer := k.write(value, revision)
	if rand.Float64() < m.lose {
		return settle.Lost{Err: errors.New("lost")}
	}
	return answer
}

func (k memoryKey) write(value []byte, revision uint64) settle.Answer {
	m := k.memory
	if m.entries[k.key].Revision != revision {
		return settle.Conflict{Current: m.entries[k.key]}
	}
	m.revision++
	m.writes++
	m.entries[k.key] = settle.Entry{Value: value, Revision: m.revision}
	return settle.Written{Revision: m.revision}
}

// run starts a table; it stops at the end of the test.
func run(t *testing.T, m *memory) *claim.Table {
	t.Helper()
	table := claim.New(claim.Options{Open: m.open, Prefix: "c/", WritesPerSecond: 5000})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- table.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		m.group.Wait()
	})
	return table
}

func entry(token string) claim.Entry {
	now := time.Now()
	return claim.Entry{Token: token, ClaimedAt: now.UnixMilli(), EndsBy: now.Add(time.Minute).UnixMilli()}
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestOneOfManyWinsThoughAnswersAreLostOrLate(t *testing.T) {
	for _, f := range []struct{ lose, late float64 }{{0, 0}, {0.5, 0}, {0, 0.5}, {0.3, 0.3}} {
		m := newMemory()
		m.set(f.lose, f.late, false)
		tables := []*claim.Table{run(t, m), run(t, m), run(t, m)}
		for key := range 20 {
			var group sync.WaitGroup
			var mu sync.Mutex
			winners := 0
			for i, table := range tables {
				group.Go(func() {
					_, won, err := table.Claim(within(t, 5*time.Second), fmt.Sprint(key), entry(fmt.Sprint(key, "by", i)))
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

func TestResultIsToldToRepeats(t *testing.T) {
	m := newMemory()
	a, b := run(t, m), run(t, m)
	ctx := within(t, 5*time.Second)
	_, won, err := a.Claim(ctx, "k", entry("1"))
	require.NoError(t, err)
	require.True(t, won)
	require.NoError(t, a.Settle(ctx, "k", "1", []byte("result")))
	held, won, err := b.Claim(ctx, "k", entry("2"))
	require.NoError(t, err)
	require.False(t, won)
	require.True(t, held.Settled)
	require.Equal(t, "result", string(held.Result))

	require.NoError(t, a.Release(ctx, "k", "2"), "only the holder's token releases")
	_, found, err := a.Find(ctx, "k")
	require.NoError(t, err)
	require.True(t, found)
}

// A claim that its claimer gave up does not stand, though its write comes late.
func TestAbandonedClaimDoesNotStand(t *testing.T) {
	m := newMemory()
	table := run(t, m)
	for i := range 30 {
		m.set(0.5, 0.5, i%3 == 0)
		key := fmt.Sprint(i)
		_, won, err := table.Claim(within(t, 3*time.Millisecond), key, entry("token"+key))
		m.set(0, 0, false)
		if err == nil {
			require.True(t, won)
			continue
		}
		require.ErrorIs(t, err, claim.ErrUnavailable)
		require.Eventually(t, func() bool {
			_, won, err := table.Claim(within(t, time.Second), key, entry("again"+key))
			return err == nil && won
		}, 3*time.Second, 10*time.Millisecond)
	}
	m.group.Wait()
	for i := range 30 {
		held, found, err := table.Find(within(t, time.Second), fmt.Sprint(i))
		require.NoError(t, err)
		require.True(t, found)
		require.Contains(t, held.Token, fmt.Sprint(i))
	}
}

func TestClaimsOfOneShardShareWrites(t *testing.T) {
	m := newMemory()
	table := run(t, m)
	m.set(0, 0, true)
	var group sync.WaitGroup
	for i := range 300 {
		group.Go(func() {
			if _, won, err := table.Claim(within(t, 10*time.Second), fmt.Sprint(i), entry(fmt.Sprint(i))); !won || err != nil {
				t.Error(i, won, err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	m.set(0, 0, false)
	group.Wait()
	require.LessOrEqual(t, m.writes, 200, "300 claims wait for at most 256 shards")
}

// While the store is down, a claim is refused at once but for one that probes.
func TestClaimIsRefusedAtOnceWhileTheStoreIsDown(t *testing.T) {
	m := newMemory()
	m.set(0, 0, true)
	table := claim.New(claim.Options{Open: m.open})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- table.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	take := func(token string, wait time.Duration) (bool, error) {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		_, won, err := table.Claim(ctx, "key", claim.Entry{Token: token, EndsBy: time.Now().Add(time.Minute).UnixMilli()})
		return won, err
	}
	_, err := take("first", 1500*time.Millisecond)
	require.ErrorIs(t, err, claim.ErrUnavailable)
	const patient = time.Minute
	began := time.Now()
	for i := range 20 {
		_, err := take(fmt.Sprint("next ", i), patient)
		require.ErrorIs(t, err, claim.ErrUnavailable)
	}
	require.Less(t, time.Since(began), patient)

	m.set(0, 0, false)
	require.Eventually(t, func() bool {
		won, _ := take("last", 2*time.Second)
		return won
	}, 10*time.Second, 50*time.Millisecond)
}
