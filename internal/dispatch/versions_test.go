package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/placement"
)

const formerDigest = manifest.Digest("sha256:ff")

// In the middle of a release the agents with the former version close one after
// another, before heartbeats say so. A request that was pinned to it and not
// run is answered by the new version.
func TestRequestThatWasNotRunIsPinnedAnew(t *testing.T) {
	closing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(agent.HeaderAttempt, r.Header.Get(agent.HeaderAttempt))
		w.Header().Set(agent.HeaderRefused, string(outcome.ReplicaOther))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer closing.Close()
	open := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		whole(w, r, answerer{w: w, attempt: r.Header.Get(agent.HeaderAttempt)})
	}))
	defer open.Close()

	table := membership.NewTable()
	var names []string
	for i := range 6 {
		m := gateway.Member{
			Name: fmt.Sprintf("a%d", i), Service: "assistant", Slots: 4, Sequence: 1, Started: 1,
			Digest: formerDigest, Address: closing.Listener.Addr().String(),
		}
		if i < 2 {
			m.Digest, m.Address = digest, open.Listener.Addr().String()
		}
		names = append(names, m.Name)
		table.Hear(m, time.Now())
	}
	placed, err := json.Marshal(placement.Placement{Assignments: []placement.Assignment{{
		Class: "questions", Kind: operator.Model, Service: "assistant", Digest: digest,
		Instances: names, Previous: []manifest.Digest{formerDigest},
	}}})
	require.NoError(t, err)
	d := desired.NewState()
	require.NoError(t, d.AdoptPlacement(gateway.Versioned{Value: placed, Revision: 1}, "test"))
	dispatcher := dispatch.New(dispatch.Options{Gateway: "g", Desired: d, Members: table})
	for i := range 20 {
		r := question()
		r.ID = fmt.Sprint("r", i)
		r.Fingerprint = r.ID
		_, o := dispatcher.Stream(context.Background(), r, &kept{})
		require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o, r.ID)
	}
}

// An attempt that is cut before the agent says that it took the request may not
// have reached a backend server: whether it ran is not known.
func TestRequestThatMayNotHaveBegunIsUnknown(t *testing.T) {
	cut := func(http.ResponseWriter, *http.Request, answerer) { panic(http.ErrAbortHandler) }
	d := site(t, cut, cut, cut, cut)
	_, o := d.Stream(context.Background(), question(), &kept{})
	require.IsType(t, outcome.Unknown{}, o)

	begun := func(_ http.ResponseWriter, _ *http.Request, a answerer) {
		a.open()
		a.w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	d = site(t, begun, cut, cut, cut)
	_, o = d.Stream(context.Background(), question(), &kept{})
	require.IsType(t, outcome.Failed{}, o)
}
