package statesync_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
	"almondreel.example/almondreel/internal/statesync"
)

// Guards against a stored document that cannot be decoded, which the watchers of its key
// read again without a pause.
func TestOddDocumentIsReadOnce(t *testing.T) {
	stored := standinkv.New(standinkv.Options{})
	var watches atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == kv.WatchPath {
			watches.Add(1)
		}
		stored.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	client, state := kv.NewClient(server.URL), desired.NewState()
	revision := uint64(0)
	put := func(text string) {
		e, err := client.Swap(t.Context(), kv.Swap{Key: operator.ConfigurationKey, Value: []byte(text), Revision: revision})
		require.NoError(t, err)
		revision = e.Revision
	}
	adopted := func() bool {
		snapshot, _ := state.Current()
		return snapshot.EncodedConfiguration.Revision == revision
	}
	put(`{"Classes":[]}`)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	syncer := statesync.New(settings.Gateway{Identity: settings.Identity{Name: "g", DataCentre: "a"}, Instances: server.URL}, state, membership.NewTable(), client, nil, nil)
	go func() { ended <- syncer.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	require.Eventually(t, adopted, 5*time.Second, 10*time.Millisecond)

	before := watches.Load()
	put(`{"Classes":7}`)
	time.Sleep(2 * time.Second)
	require.Less(t, watches.Load()-before, int64(10), "watches of two keys in 2 s")
	require.False(t, adopted())
	put(`{"Classes":[{"Name":"lookups"}]}`)
	require.Eventually(t, adopted, 5*time.Second, 10*time.Millisecond, "a later document is adopted")
}
