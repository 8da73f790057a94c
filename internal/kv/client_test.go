package kv_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/kv"
)

func answer(t *testing.T, status int, body any) *kv.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		if body != nil {
			_ = json.NewEncoder(w).Encode(body)
		}
	}))
	t.Cleanup(server.Close)
	return kv.NewClient(server.URL)
}

func TestSwapTellsWhatTheAnswerProves(t *testing.T) {
	ctx := context.Background()
	current := kv.Entry{Key: "k", Value: []byte("other"), Revision: 7}
	_, err := answer(t, http.StatusConflict, current).Swap(ctx, kv.Swap{Key: "k"})
	var conflict *kv.Conflict
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, current, conflict.Current)

	var unavailable *kv.Unavailable
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		_, err = answer(t, status, nil).Swap(ctx, kv.Swap{Key: "k"})
		require.ErrorAs(t, err, &unavailable)
	}
	_, err = kv.NewClient("http://127.0.0.1:1").Swap(ctx, kv.Swap{Key: "k"})
	require.ErrorAs(t, err, &unavailable)

	var ambiguous *kv.Ambiguous
	_, err = answer(t, http.StatusInternalServerError, nil).Swap(ctx, kv.Swap{Key: "k"})
	require.ErrorAs(t, err, &ambiguous)
}

func TestCutAfterTheRequestIsAmbiguousForWritesOnly(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	c := kv.NewClient(server.URL)
	var ambiguous *kv.Ambiguous
	_, err := c.Swap(context.Background(), kv.Swap{Key: "k"})
	require.ErrorAs(t, err, &ambiguous)
	var unavailable *kv.Unavailable
	_, err = c.Get(context.Background(), "k")
	require.ErrorAs(t, err, &unavailable)
}

func TestWatchReportsNothingNew(t *testing.T) {
	_, newer, err := answer(t, http.StatusNoContent, nil).Watch(context.Background(), kv.Watch{Key: "k", After: 3})
	require.NoError(t, err)
	require.False(t, newer)
	_, err = answer(t, http.StatusNotFound, nil).KeepAlive(context.Background(), "l")
	var lapsed *kv.Lapsed
	require.ErrorAs(t, err, &lapsed)
}
