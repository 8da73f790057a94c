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

// newTestClient returns a client of a server that sends one fixed response.
func newTestClient(t *testing.T, status int, body any) *kv.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		if body != nil {
			_ = json.NewEncoder(w).Encode(body)
		}
	}))
	t.Cleanup(server.Close)
	return kv.NewClient(server.URL)
}

func TestSwapErrorByResponse(t *testing.T) {
	ctx := context.Background()
	current := kv.Entry{Key: "k", Value: []byte("other"), Revision: 7}
	_, err := newTestClient(t, http.StatusConflict, current).Swap(ctx, kv.Swap{Key: "k"})
	var conflict *kv.Conflict
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, current, conflict.Current)

	var unavailable *kv.Unavailable
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		_, err = newTestClient(t, status, nil).Swap(ctx, kv.Swap{Key: "k"})
		require.ErrorAs(t, err, &unavailable)
	}
	_, err = kv.NewClient("http://127.0.0.1:1").Swap(ctx, kv.Swap{Key: "k"})
	require.ErrorAs(t, err, &unavailable)

	var ambiguous *kv.Ambiguous
	_, err = newTestClient(t, http.StatusInternalServerError, nil).Swap(ctx, kv.Swap{Key: "k"})
	require.ErrorAs(t, err, &ambiguous)
}

func TestCutConnectionIsAmbiguousForWritesOnly(t *testing.T) {
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

func TestWatchReportsNoChangeAndKeepAliveReportsExpiredLease(t *testing.T) {
	_, newer, err := newTestClient(t, http.StatusNoContent, nil).Watch(context.Background(), kv.Watch{Key: "k", After: 3})
	require.NoError(t, err)
	require.False(t, newer)
	_, err = newTestClient(t, http.StatusNotFound, nil).KeepAlive(context.Background(), "l")
	var expired *kv.LeaseExpired
	require.ErrorAs(t, err, &expired)
}
