package status_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/status"
)

func getStatus(t *testing.T, h http.Handler) status.Status {
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, status.Path, nil))
	var s status.Status
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &s))
	return s
}

func TestStatusReportsProgressAndProblems(t *testing.T) {
	d, table := desired.NewState(), membership.NewTable()
	document := operator.Document{Classes: []operator.Class{
		{Name: "auction", Kind: operator.Model, Service: "assistant", Target: operator.Target{Model: "m", Version: "2", Replicas: 4}},
		{Name: "notes", Kind: operator.Model, Service: "assistant", Target: operator.Target{Model: "m", Version: "3", Replicas: 1}},
	}}
	require.NoError(t, d.AdoptConfiguration(gateway.Versioned{Value: document.Encode(), Revision: 5}, "test"))
	text, err := json.Marshal(placement.Placement{Holder: "gateway-1", PlannedFrom: 5, Assignments: []placement.Assignment{
		{Class: "auction", Model: "m", Version: "2", Digest: "d2", Instances: []string{"a", "b", "c"},
			Waiting: []string{"c"}, Previous: []manifest.Digest{"d1"}},
		{Class: "notes", Model: "m", Version: "1", Digest: "d1", Instances: []string{"e"}},
	}})
	require.NoError(t, err)
	require.NoError(t, d.AdoptPlacement(gateway.Versioned{Value: text, Revision: 6}, "test"))
	for i, m := range []gateway.Member{
		{Name: "a", Digest: "d2", Want: "d2", Have: 8, Chunks: 8},
		{Name: "b", Digest: "d1", Want: "d2", Have: 3, Chunks: 8},
		{Name: "c", Digest: "d1", Want: "d2", Have: 5, Chunks: 8},
	} {
		m.Service, m.Kind, m.Sequence, m.Started = "assistant", "Engine", uint64(i), 1
		table.RecordHeartbeat(m, time.Now())
	}
	h := status.Handler(d, table)
	s := getStatus(t, h)
	require.EqualValues(t, 5, s.Configuration)
	require.EqualValues(t, 6, s.Placement)
	require.False(t, s.Settled)
	require.Equal(t, []status.Service{{Name: "assistant", Kind: "Engine", Instances: 3}}, s.Services)
	c := s.Classes[0]
	require.Equal(t, []int{3, 1, 2, 1, 16, 24}, []int{c.Placed, c.Serving, c.ServingPrevious, c.WaitingToLoad, c.ChunksHave, c.ChunksWanted})
	require.Contains(t, c.Problem, "too few instances")
	require.Contains(t, s.Classes[1].Problem, "not planned yet")
	require.Zero(t, c.ProjectedFinish)
	table.RecordHeartbeat(gateway.Member{Name: "b", Service: "assistant", Kind: "Engine", Digest: "d2", Want: "d2", Have: 8, Chunks: 8, Sequence: 9, Started: 1}, time.Now())
	time.Sleep(10 * time.Millisecond)
	require.True(t, getStatus(t, h).Classes[0].ProjectedFinish.After(time.Now()), "two samples give a rate")
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, status.Path, nil))
	require.Equal(t, http.StatusMethodNotAllowed, recorder.Code)
}
