package limit_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/limit"
)

func newRequest(organisation string, wait time.Duration) limit.Request {
	return limit.Request{Organisation: organisation, Weight: 1, Cost: 1, StartBy: time.Now().Add(wait)}
}

// primeHoldTime makes q measure a hold time of about 20 ms.
func primeHoldTime(t *testing.T, q *limit.Queue) {
	t.Helper()
	p, err := q.Acquire(context.Background(), newRequest("warm", time.Second))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	p.Release()
}

func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	q := limit.NewQueue(limit.Options{Ceiling: 1})
	primeHoldTime(t, q)
	permit, err := q.Acquire(context.Background(), newRequest("a", time.Second))
	require.NoError(t, err)
	defer permit.Release()
	start := time.Now()
	_, err = q.Acquire(context.Background(), newRequest("a", time.Millisecond))
	var refusal *limit.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, limit.WaitTooLong, refusal.Cause)
	require.True(t, refusal.RetryAt.After(start))
	require.Equal(t, limit.State{Running: 1, Limit: 1}, q.State())
}

func TestGreedyOrganisationOnlyDelaysItself(t *testing.T) {
	q := limit.NewQueue(limit.Options{Ceiling: 1, MaxWaiting: 50})
	permit, err := q.Acquire(context.Background(), newRequest("other", time.Second))
	require.NoError(t, err)
	var group sync.WaitGroup
	var mu sync.Mutex
	var order []string
	acquire := func(organisation string) {
		group.Go(func() {
			p, err := q.Acquire(context.Background(), newRequest(organisation, 10*time.Second))
			if err != nil {
				return
			}
			mu.Lock()
			order = append(order, organisation)
			mu.Unlock()
			p.Release()
		})
	}
	for range 60 {
		acquire("greedy")
	}
	require.Eventually(t, func() bool { return q.State().Waiting == 50 }, time.Second, time.Millisecond)
	for range 5 {
		acquire("small")
	}
	time.Sleep(20 * time.Millisecond)
	permit.Release()
	group.Wait()
	require.Len(t, order, 50)
	last := 0
	for i, o := range order {
		if o == "small" {
			last = i
		}
	}
	require.Less(t, last, 11, "the five requests of the small organisation are among the first 11")
	require.Zero(t, q.State().Running)
}

func TestCancelledRequestReleasesItsPermit(t *testing.T) {
	q := limit.NewQueue(limit.Options{Ceiling: 1})
	for range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		p, err := q.Acquire(ctx, newRequest("a", time.Second))
		require.NoError(t, err)
		go func() {
			other, err := q.Acquire(ctx, newRequest("b", time.Second))
			if err == nil {
				other.Release()
			}
			done <- err
		}()
		go cancel()
		p.Release()
		<-done
		require.Equal(t, limit.State{Limit: 1}, q.State())
	}
}

func TestLimitFollowsFirstResultLatency(t *testing.T) {
	q := limit.NewQueue(limit.Options{Ceiling: 40})
	runRounds := func(rounds, milliseconds int) int {
		for range rounds {
			var permits []*limit.Permit
			for range q.State().Limit {
				p, err := q.Acquire(context.Background(), newRequest("a", time.Second))
				require.NoError(t, err)
				permits = append(permits, p)
			}
			for _, p := range permits {
				p.ObserveLatency(milliseconds, 100)
			}
			for _, p := range permits {
				p.Release()
			}
			time.Sleep(30 * time.Millisecond)
		}
		return q.State().Limit
	}
	low := runRounds(20, 200)
	require.Less(t, low, 30, "late first results lower the limit")
	require.Less(t, runRounds(8, 10), 40, "the limit rises slowly")
	require.Equal(t, 40, runRounds(80, 10), "the limit reaches the ceiling again")
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := limit.NewRetryBudget(0.1)
	for range 10000 {
		b.CountRequest()
		b.TakeRetry()
	}
	requests, retries := b.Counts()
	require.EqualValues(t, 10000, requests)
	require.LessOrEqual(t, retries, int64(1000+32))
}

// Requests of an organisation wait in an overload and are refused, or their callers
// leave. What never ran must not delay the organisation's next request behind the
// backlog of another one.
func TestRequestsThatNeverRanCostTheirOrganisationNothing(t *testing.T) {
	q := limit.NewQueue(limit.Options{Ceiling: 1, MaxWaiting: 30})
	permit, err := q.Acquire(context.Background(), newRequest("other", time.Second))
	require.NoError(t, err)
	left, leave := context.WithCancel(context.Background())
	var refused sync.WaitGroup
	for n := range 20 {
		refused.Go(func() {
			ctx, wait := left, 10*time.Second
			if n%2 == 0 {
				ctx, wait = context.Background(), 30*time.Millisecond
			}
			_, err := q.Acquire(ctx, newRequest("a", wait))
			require.Error(t, err)
		})
	}
	require.Eventually(t, func() bool { return q.State().Waiting == 20 }, time.Second, time.Millisecond)
	leave()
	refused.Wait()
	var group sync.WaitGroup
	var mu sync.Mutex
	var order []string
	for n, organisation := range []string{"b", "b", "b", "b", "a"} {
		group.Go(func() {
			p, err := q.Acquire(context.Background(), newRequest(organisation, 10*time.Second))
			require.NoError(t, err)
			mu.Lock()
			order = append(order, organisation)
			mu.Unlock()
			p.Release()
		})
		require.Eventually(t, func() bool { return q.State().Waiting == n+1 }, time.Second, time.Millisecond)
	}
	permit.Release()
	group.Wait()
	require.Contains(t, order[:2], "a", "%v", order)
}
