package hosted_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/mirror"
	"almondreel.example/almondreel/platform"
	"almondreel.example/almondreel/platform/standin"
)

// A gateway receives a server's entry from the store and its later deletion from
// another gateway at the same time, and applies the older item last. The server must
// not come back into use.
func TestDeletedServerIsNotRestoredByALateOlderItem(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.NewEndpoint())
	t.Cleanup(server.Close)
	standin.NewEngine(standin.EngineOptions{ID: "i-1", Address: "127.0.0.1:7700", DataCentre: "north-a"}).Register(store, false)
	snapshot, err := platform.NewStore(server.Listener.Addr().String()).List(context.Background(), "")
	require.NoError(t, err)
	require.Len(t, snapshot.Items, 1)
	entry := snapshot.Items[0]

	v := hosted.NewView(8000)
	added := v.Mirror.Replace(snapshot)
	deletion := mirror.Item{Key: entry.Key, Revision: entry.Revision + 1, Deleted: true}
	removed := v.Mirror.ApplyUpdate(mirror.Update{Items: []mirror.Item{deletion}, Revision: deletion.Revision})
	v.Apply(removed)
	v.Apply(added)
	require.Zero(t, v.Listed())

	relisted := entry
	relisted.Revision = deletion.Revision + 1
	v.Apply(v.Mirror.Apply(mirror.Changes{Items: []mirror.Item{relisted}, Revision: relisted.Revision}))
	require.Equal(t, 1, v.Listed(), "the server is listed again")
}
