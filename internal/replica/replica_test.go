package replica_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/replica"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/source"
	"almondreel.example/almondreel/internal/standin/engine"
	standinsource "almondreel.example/almondreel/internal/standin/source"
	"almondreel.example/almondreel/internal/weights"
)

const (
	within = 10 * time.Second
	poll   = 10 * time.Millisecond
)

// agent is the part of an agent that keeps its engine at the placement.
type agent struct {
	desired *desired.State
	board   *serving.Board
	engine  *engine.Server
	origin  string
}

func startAgent(t *testing.T) *agent {
	t.Helper()
	origin := standinsource.New(standinsource.Options{})
	originServer := httptest.NewServer(origin)
	t.Cleanup(originServer.Close)
	for version, seed := range map[string]string{"1": "1", "2": "2"} {
		body := `{"Bytes": 100000, "ChunkBytes": 30000, "Seed": ` + seed + `}`
		request, err := http.NewRequest(http.MethodPut, originServer.URL+"/v1/models/m/"+version, strings.NewReader(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.Less(t, response.StatusCode, 300)
		require.NoError(t, response.Body.Close())
	}

	a := &agent{desired: desired.NewState(), board: serving.NewBoard(), origin: originServer.URL}
	a.engine = engine.New(engine.Options{ChecksOrders: true})
	engineServer := httptest.NewServer(a.engine)
	t.Cleanup(engineServer.Close)

	mux := http.NewServeMux()
	agentServer := httptest.NewServer(mux)
	t.Cleanup(agentServer.Close)
	s := settings.Agent{
		Identity: settings.Identity{Name: "a1", Region: "r", DataCentre: "d"},
		Listen:   strings.TrimPrefix(agentServer.URL, "http://"),
		Origin:   originServer.URL,
		Backend:  settings.Backend{Kind: settings.KindEngine, Service: "s", Address: strings.TrimPrefix(engineServer.URL, "http://")},
	}
	w := weights.New(s, func() []gateway.Peer { return nil })
	w.Register(mux)
	r := replica.New(s, a.desired, a.board, w)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return a
}

// place puts a version in force and returns its digest.
func (a *agent) place(t *testing.T, revision uint64, version string, previous ...manifest.Digest) manifest.Digest {
	t.Helper()
	response, err := http.Get(a.origin + source.ManifestPath("m", version))
	require.NoError(t, err)
	defer response.Body.Close()
	var m manifest.Manifest
	require.NoError(t, json.NewDecoder(response.Body).Decode(&m))
	p := placement.Placement{Assignments: []placement.Assignment{{
		Class: "c", Kind: operator.Model, Service: "s", Model: "m", Version: version,
		Digest: m.Digest(), Instances: []string{"a1"}, Previous: previous,
	}}}
	value, err := json.Marshal(p)
	require.NoError(t, err)
	require.NoError(t, a.desired.AdoptPlacement(gateway.Versioned{Value: value, Revision: revision}, "test"))
	return m.Digest()
}

func (a *agent) serves(d manifest.Digest) func() bool {
	return func() bool {
		s := a.board.Status()
		return s.Open && s.Digest == d
	}
}

// A load order must not reach an engine that runs a request: the answer would
// be cut, or its end would come from another version.
func TestOrderWaitsUntilRequestsHaveEnded(t *testing.T) {
	a := startAgent(t)
	first := a.place(t, 5, "1")
	require.Eventually(t, a.serves(first), within, poll)

	a.board.Update(func(s *serving.Status) { s.Running++ })
	next := a.place(t, 6, "2", first)
	require.Eventually(t, func() bool {
		s := a.board.Status()
		return s.Want == next && s.Have == s.Chunks && s.Chunks > 0 && !s.Open
	}, within, poll, "the board closes once the version is held")
	require.Never(t, func() bool { return a.engine.State().FencingNumber > 5 }, time.Second, poll)

	a.board.Update(func(s *serving.Status) { s.Running-- })
	require.Eventually(t, a.serves(next), within, poll)
	require.Equal(t, uint64(6), a.engine.State().FencingNumber)
}
