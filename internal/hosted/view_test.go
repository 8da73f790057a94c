package hosted_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/belief"
	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/platform"
	"almondreel.example/almondreel/platform/standin"
)

// Pattern: the store and a neighbour tell a gateway of one server at once, the one
// that it is there, the other that it has gone, and the older word is acted on
// last. The server must not be in use again.
func TestAServerThatHasGoneStaysGoneWhoeverIsActedOnLast(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.NewDoor())
	t.Cleanup(server.Close)
	standin.NewEngine(standin.EngineOptions{ID: "i-1", Address: "127.0.0.1:7700", DataCentre: "north-a"}).List(store, false)
	snapshot, err := platform.NewStore(server.Listener.Addr().String()).List(context.Background(), "")
	require.NoError(t, err)
	require.Len(t, snapshot.Items, 1)
	entry := snapshot.Items[0]

	v := hosted.NewView(8000)
	there := v.Beliefs.Replace(snapshot)
	left := belief.Item{Key: entry.Key, Revision: entry.Revision + 1, Deleted: true}
	gone := v.Beliefs.Adopt(belief.Update{Items: []belief.Item{left}, Revision: left.Revision})
	v.Take(gone)
	v.Take(there)
	require.Zero(t, v.Listed())

	back := entry
	back.Revision = left.Revision + 1
	v.Take(v.Beliefs.Apply(belief.Changes{Items: []belief.Item{back}, Revision: back.Revision}))
	require.Equal(t, 1, v.Listed(), "it is listed anew")
}
