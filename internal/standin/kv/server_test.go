package kv_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/standin"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
)

const waitTimeout = 10 * time.Second

type fixture struct {
	*testing.T
	ctx    context.Context
	server *standinkv.Server
	client *kv.Client
	url    string
}

func start(t *testing.T, o standinkv.Options) fixture {
	server := standinkv.New(o)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return fixture{T: t, ctx: ctx, server: server, client: kv.NewClient(listener.URL), url: listener.URL}
}

func (f fixture) swap(key, value string, revision uint64) kv.Entry {
	e, err := f.client.Swap(f.ctx, kv.Swap{Key: key, Value: []byte(value), Revision: revision})
	require.NoError(f, err)
	return e
}

func (f fixture) get(key string) kv.Entry {
	e, err := f.client.Get(f.ctx, key)
	require.NoError(f, err)
	return e
}

func TestSwapIsConditionalAndRevisionsIncrease(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	first := f.swap("a", "1", 0)
	other := f.swap("b", "1", 0)
	require.Greater(t, other.Revision, first.Revision)
	second := f.swap("a", "2", first.Revision)
	require.Greater(t, second.Revision, other.Revision)

	_, err := f.client.Swap(f.ctx, kv.Swap{Key: "a", Value: []byte("3"), Revision: first.Revision})
	var conflict *kv.Conflict
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, second, conflict.Current)
	require.Equal(t, second, f.get("a"))
}

func TestDeletionHidesKeyAndNotifiesWatchers(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	e := f.swap("a", "1", 0)
	f.swap("a", "", e.Revision)
	require.Equal(t, kv.Entry{Key: "a"}, f.get("a"))
	seen, newer, err := f.client.Watch(f.ctx, kv.Watch{Key: "a", After: e.Revision, WaitMilliseconds: 5000})
	require.NoError(t, err)
	require.True(t, newer)
	require.Empty(t, seen.Value)
	again := f.swap("a", "2", 0)
	require.Greater(t, again.Revision, seen.Revision)
}

func TestListIsSortedAndLimited(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	for _, key := range []string{"p/c", "p/a", "q/a", "p/b"} {
		f.swap(key, key, 0)
	}
	entries, err := f.client.List(f.ctx, kv.List{Prefix: "p/", After: "p/a", Limit: 1})
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.Equal(t, "p/b", entries[0].Key)
}

func TestExpiredLeaseDeletesItsKeysAndRefusesWrites(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	lease, err := f.client.Grant(f.ctx, 1000)
	require.NoError(t, err)
	created, err := f.client.Swap(f.ctx, kv.Swap{Key: "duty", Value: []byte("me"), Lease: lease.Lease})
	require.NoError(t, err)
	_, err = f.client.KeepAlive(f.ctx, lease.Lease)
	require.NoError(t, err)

	deleted, newer, err := f.client.Watch(f.ctx, kv.Watch{Key: "duty", After: created.Revision, WaitMilliseconds: 5000})
	require.NoError(t, err)
	require.True(t, newer)
	require.Empty(t, deleted.Value)
	_, err = f.client.KeepAlive(f.ctx, lease.Lease)
	require.Error(t, err)
	_, err = f.client.Swap(f.ctx, kv.Swap{Key: "duty", Value: []byte("me"), Lease: lease.Lease})
	require.Error(t, err)
	require.Zero(t, f.get("duty").Revision)
}

func TestWatchReturnsNextWriteOrTimesOut(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	e := f.swap("a", "1", 0)
	_, newer, err := f.client.Watch(f.ctx, kv.Watch{Key: "a", After: e.Revision, WaitMilliseconds: 20})
	require.NoError(t, err)
	require.False(t, newer)

	type watchResult struct {
		entry kv.Entry
		newer bool
		err   error
	}
	results := make(chan watchResult, 1)
	go func() {
		entry, newer, err := f.client.Watch(f.ctx, kv.Watch{Key: "a", After: e.Revision, WaitMilliseconds: 5000})
		results <- watchResult{entry, newer, err}
	}()
	next := f.swap("a", "2", e.Revision)
	got := <-results
	require.NoError(t, got.err)
	require.True(t, got.newer)
	require.Equal(t, next, got.entry)
}

func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	f.server.SetFaults(standinkv.Faults{LoseAnswersOneIn: 1})
	_, err := f.client.Swap(f.ctx, kv.Swap{Key: "a", Value: []byte("1")})
	var ambiguous *kv.Ambiguous
	require.ErrorAs(t, err, &ambiguous)
	require.Equal(t, "1", string(f.get("a").Value))
}

func TestLateWriteTakesEffectAfterConnectionClose(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	f.server.SetFaults(standinkv.Faults{LateWriteMilliseconds: 1000})
	_, err := f.client.Swap(f.ctx, kv.Swap{Key: "a", Value: []byte("late")})
	var ambiguous *kv.Ambiguous
	require.ErrorAs(t, err, &ambiguous)
	require.Zero(t, f.get("a").Revision)
	seen, newer, err := f.client.Watch(f.ctx, kv.Watch{Key: "a", WaitMilliseconds: 5000})
	require.NoError(t, err)
	require.True(t, newer)
	require.Equal(t, "late", string(seen.Value))
}

func TestLateWriteConflictsWithEarlierWrite(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	f.server.SetFaults(standinkv.Faults{LateWriteMilliseconds: 1000})
	_, err := f.client.Swap(f.ctx, kv.Swap{Key: "a", Value: []byte("late")})
	require.Error(t, err)
	f.server.SetFaults(standinkv.Faults{})
	e := f.swap("a", "early", 0)
	_, newer, err := f.client.Watch(f.ctx, kv.Watch{Key: "a", After: e.Revision, WaitMilliseconds: 1500})
	require.NoError(t, err)
	require.False(t, newer)
}

func TestStaleReadsReturnPreviousEntry(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	first := f.swap("a", "1", 0)
	second := f.swap("a", "2", first.Revision)
	f.server.SetFaults(standinkv.Faults{StaleReads: true})
	require.Equal(t, first, f.get("a"))
	third := f.swap("a", "3", second.Revision)
	require.Equal(t, second, f.get("a"))
	f.server.SetFaults(standinkv.Faults{})
	require.Equal(t, third, f.get("a"))
}

func TestDownServiceAppliesNoWrites(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	f.server.SetFaults(standinkv.Faults{Down: true})
	_, err := f.client.Swap(f.ctx, kv.Swap{Key: "a", Value: []byte("1")})
	require.Error(t, err)
	_, err = f.client.Get(f.ctx, "a")
	require.Error(t, err)
	f.server.SetFaults(standinkv.Faults{})
	require.Zero(t, f.get("a").Revision)
}

func TestFlappingServiceAlternates(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	f.server.SetFaults(standinkv.Faults{FlapMilliseconds: 30})
	up, down := false, false
	for f.ctx.Err() == nil && !(up && down) {
		_, err := f.client.Get(f.ctx, "a")
		up, down = up || err == nil, down || err != nil
	}
	require.True(t, up && down)
}

func TestCallsAboveRateAreRefusedAndCounted(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{WritesPerSecond: 1, ReadsPerSecond: 1})
	_, _, _ = f.client.Watch(f.ctx, kv.Watch{Key: "claims/7", WaitMilliseconds: 1})
	body := bytes.NewReader([]byte(`{"key":"claims/8"}`))
	response, err := http.Post(f.url+kv.GetPath, "application/json", body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	require.Equal(t, []standinkv.Call{
		{Kind: standinkv.KindGet, Prefix: "claims", Count: 1, Refused: 1},
		{Kind: standinkv.KindWatch, Prefix: "claims", Count: 1},
	}, f.server.Calls().Calls)
}

func TestOversizedValueIsRefused(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	f.swap("a", strings.Repeat("x", kv.MaxValueBytes), 0)
	for _, bytes := range []int{kv.MaxValueBytes + 1, 3 * kv.MaxValueBytes} {
		_, err := f.client.Swap(f.ctx, kv.Swap{Key: "b", Value: make([]byte, bytes)})
		require.Error(t, err)
	}
	require.Zero(t, f.get("b").Revision)
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	t.Parallel()
	f := start(t, standinkv.Options{})
	put := func(body string) int {
		request, err := http.NewRequest(http.MethodPut, f.url+standin.FaultsPath, strings.NewReader(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, put(`{"StaleReads":true,"LoseAnswersOneIn":3}`))
	require.Equal(t, standinkv.Faults{StaleReads: true, LoseAnswersOneIn: 3}, f.server.Faults())
	require.Equal(t, http.StatusBadRequest, put(`{"Colour":"red"}`))
	require.Equal(t, standinkv.Faults{StaleReads: true, LoseAnswersOneIn: 3}, f.server.Faults())
}
