package planner_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/planner"
	"almondreel.example/almondreel/internal/settings"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
)

// Guards against a stored placement that cannot be decoded, after which no planner wrote
// a placement any more. It is there when the planner starts, and again later.
func TestOddPlacementIsReplaced(t *testing.T) {
	server := httptest.NewServer(standinkv.New(standinkv.Options{}))
	t.Cleanup(server.Close)
	client, state := kv.NewClient(server.URL), desired.NewState()
	put := func(key, text string) uint64 {
		current, err := client.Get(t.Context(), key)
		require.NoError(t, err)
		e, err := client.Swap(t.Context(), kv.Swap{Key: key, Value: []byte(text), Revision: current.Revision})
		require.NoError(t, err)
		return e.Revision
	}
	put(operator.ConfigurationKey, `{"Classes":[{"Name":"lookups","Kind":"Plain","Service":"ledger"}]}`)
	odd := put(placement.Key, `{"Assignments":7}`)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	p := planner.New(settings.Gateway{Identity: settings.Identity{Name: "g", DataCentre: "a"}}, state, membership.NewTable(), client)
	go func() { ended <- p.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	replaced := func() bool {
		snapshot, _ := state.Current()
		return snapshot.EncodedPlacement.Revision > odd
	}
	require.Eventually(t, replaced, 15*time.Second, 20*time.Millisecond, "found at the planner's start")
	odd = put(placement.Key, "null")
	put(operator.ConfigurationKey, `{"Classes":[]}`)
	require.NoError(t, state.AdoptStored(operator.ConfigurationKey, []byte(`{"Classes":[]}`), odd+1))
	require.Eventually(t, replaced, 15*time.Second, 20*time.Millisecond, "found by a write")
}
