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

const previousDigest = manifest.Digest("sha256:ff")

// During a rollout the agents with the previous version stop admitting requests one
// after another, before their heartbeats report it. A request that was pinned to
// that version and not run must be answered by the new version.
func TestRequestNotRunIsRepinnedDuringRollout(t *testing.T) {
	closing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(agent.HeaderAttempt, r.Header.Get(agent.HeaderAttempt))
		w.Header().Set(agent.HeaderRefused, string(outcome.ReplicaServesOtherVersion))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer closing.Close()
	open := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		completeAnswer(w, r, answerWriter{w: w, attempt: r.Header.Get(agent.HeaderAttempt)})
	}))
	defer open.Close()

	table := membership.NewTable()
	var names []string
	for i := range 6 {
		m := gateway.Member{
			Name: fmt.Sprintf("a%d", i), Service: "assistant", Slots: 4, Sequence: 1, Started: 1,
			Digest: previousDigest, Address: closing.Listener.Addr().String(),
		}
		if i < 2 {
			m.Digest, m.Address = digest, open.Listener.Addr().String()
		}
		names = append(names, m.Name)
		table.RecordHeartbeat(m, time.Now())
	}
	placed, err := json.Marshal(placement.Placement{Assignments: []placement.Assignment{{
		Class: "questions", Kind: operator.Model, Service: "assistant", Digest: digest,
		Instances: names, Previous: []manifest.Digest{previousDigest},
	}}})
	require.NoError(t, err)
	d := desired.NewState()
	require.NoError(t, d.AdoptPlacement(gateway.Versioned{Value: placed, Revision: 1}, "test"))
	dispatcher := dispatch.New(dispatch.Options{Gateway: "g", Desired: d, Members: table})
	for i := range 20 {
		r := completionRequest()
		r.ID = fmt.Sprint("r", i)
		r.Fingerprint = r.ID
		_, o := dispatcher.Stream(context.Background(), r, &tokenRecorder{})
		require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o, r.ID)
	}
}

// If no attempt was accepted before its connection broke, whether the request ran
// is unknown. If one was accepted, the request has failed.
func TestInterruptedBeforeAcceptanceIsUnknown(t *testing.T) {
	cut := func(http.ResponseWriter, *http.Request, answerWriter) { panic(http.ErrAbortHandler) }
	d := newDispatcher(t, cut, cut, cut, cut)
	_, o := d.Stream(context.Background(), completionRequest(), &tokenRecorder{})
	require.IsType(t, outcome.Unknown{}, o)

	acceptedThenCut := func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
		a.start()
		a.w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	d = newDispatcher(t, acceptedThenCut, cut, cut, cut)
	_, o = d.Stream(context.Background(), completionRequest(), &tokenRecorder{})
	require.IsType(t, outcome.Failed{}, o)
}
