package limit_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/limit"
)

func ask(organisation string, wait time.Duration) limit.Ask {
	return limit.Ask{Organisation: organisation, Weight: 1, Cost: 1, StartBy: time.Now().Add(wait)}
}

// warm teaches q that a permit is held for about 20 ms.
func warm(t *testing.T, q *limit.Queue) {
	t.Helper()
	p, err := q.Acquire(context.Background(), ask("warm", time.Second))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	p.Return()
}

func TestRefusesAtOnceWhatWouldStartTooLate(t *testing.T) {
	q := limit.NewQueue(limit.Options{Ceiling: 1})
	warm(t, q)
	held, err := q.Acquire(context.Background(), ask("a", time.Second))
	require.NoError(t, err)
	defer held.Return()
	began := time.Now()
	_, err = q.Acquire(context.Background(), ask("a", time.Millisecond))
	var refusal *limit.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, limit.WaitTooLong, refusal.Cause)
	require.True(t, refusal.RetryAt.After(began))
	require.Equal(t, limit.State{Running: 1, Limit: 1}, q.State())
}

func TestGreedyOrganisationOnlyDelaysItself(t *testing.T) {
	q := limit.NewQueue(limit.Options{Ceiling: 1, MaxWaiting: 50})
	held, err := q.Acquire(context.Background(), ask("other", time.Second))
	require.NoError(t, err)
	var group sync.WaitGroup
	var mu sync.Mutex
	var order []string
	wait := func(organisation string) {
		group.Go(func() {
			p, err := q.Acquire(context.Background(), ask(organisation, 10*time.Second))
			if err != nil {
				return
			}
			mu.Lock()
			order = append(order, organisation)
			mu.Unlock()
			p.Return()
		})
	}
	for range 60 {
		wait("greedy")
	}
	require.Eventually(t, func() bool { return q.State().Waiting == 50 }, time.Second, time.Millisecond)
	for range 5 {
		wait("small")
	}
	time.Sleep(20 * time.Millisecond)
	held.Return()
	group.Wait()
	require.Len(t, order, 50)
	last := 0
	for i, o := range order {
		if o == "small" {
			last = i
		}
	}
	require.Less(t, last, 11, "five asks of the small one are served among the first ten or so")
	require.Zero(t, q.State().Running)
}

func TestAbandonedAskGivesItsPermitBack(t *testing.T) {
	q := limit.NewQueue(limit.Options{Ceiling: 1})
	for range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		p, err := q.Acquire(ctx, ask("a", time.Second))
		require.NoError(t, err)
		go func() {
			other, err := q.Acquire(ctx, ask("b", time.Second))
			if err == nil {
				other.Return()
			}
			done <- err
		}()
		go cancel()
		p.Return()
		<-done
		require.Equal(t, limit.State{Limit: 1}, q.State())
	}
}

func TestLimitFallsWithLateFirstResultsAndRecovers(t *testing.T) {
	q := limit.NewQueue(limit.Options{Ceiling: 40})
	feed := func(rounds, milliseconds int) int {
		for range rounds {
			var permits []*limit.Permit
			for range q.State().Limit {
				p, err := q.Acquire(context.Background(), ask("a", time.Second))
				require.NoError(t, err)
				permits = append(permits, p)
			}
			for _, p := range permits {
				p.Observed(milliseconds, 100)
			}
			for _, p := range permits {
				p.Return()
			}
			time.Sleep(30 * time.Millisecond)
		}
		return q.State().Limit
	}
	low := feed(20, 200)
	require.Less(t, low, 30, "late first results lower the limit")
	require.Less(t, feed(8, 10), 40, "it rises slowly")
	require.Equal(t, 40, feed(80, 10), "and reaches the ceiling again")
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := limit.NewBudget(0.1)
	for range 10000 {
		b.Request()
		b.Retry()
	}
	requests, retries := b.Counts()
	require.EqualValues(t, 10000, requests)
	require.LessOrEqual(t, retries, int64(1000+32))
}
