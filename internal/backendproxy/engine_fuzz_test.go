package backendproxy_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/settings"
)

// FuzzEngineAnswer answers a dispatch with an arbitrary engine response. Only
// tokens of this attempt and of the served version may be forwarded, and the
// answer may be complete only if the engine sent the end event.
func FuzzEngineAnswer(f *testing.F) {
	const token = `data: {"id":"a1","digest":"sha256:fuzz","index":0,"text":"x"}` + "\n\n"
	const done = "data: [DONE]\n\n"
	for _, text := range []string{
		token + done,
		token,
		done,
		strings.ReplaceAll(token, "a1", "a2") + done,
		strings.ReplaceAll(token, "fuzz", "other") + done,
		"data: " + strings.Repeat("x", 1<<17) + "\n\n" + done,
		"event: outcome\ndata: [DONE]\n\n",
		"data: [DONE]\ndata: more\n\n",
		": comment\r\rid: 7\rdata:[DONE]",
		"data: null\n\n" + done,
		"\xef\xbb\xbf" + token + done,
	} {
		f.Add(http.StatusOK, []byte(text))
	}
	f.Add(http.StatusServiceUnavailable, []byte(done))
	f.Add(http.StatusInternalServerError, []byte(token+done))
	type engineAnswer struct {
		status int
		body   []byte
	}
	// Atomic: the proxy may drop a connection before the handler has read the answer.
	var current atomic.Pointer[engineAnswer]
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		a := current.Load()
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
	}))
	f.Cleanup(backend.Close)
	p, tracker := newProxy(backend, settings.KindEngine, fuzzDigest)
	f.Fuzz(func(t *testing.T, answerStatus int, answerBody []byte) {
		if answerStatus < 200 || answerStatus > 599 {
			return
		}
		current.Store(&engineAnswer{answerStatus, answerBody})
		answer := testDispatch{attempt: "a1", digest: string(fuzzDigest), deadline: year2100, body: []byte(`{"prompt":"x"}`)}.sendTo(p)
		forwarded, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		require.Zero(t, tracker.Status().Running)
		if answer.Header.Get(agent.HeaderRefused) != "" {
			require.Empty(t, forwarded)
			return
		}
		complete := answer.Trailer.Get(agent.TrailerEnd) == agent.EndWhole
		requireOwnTokens(t, string(forwarded), complete)
	})
}

// requireOwnTokens checks the forwarded events: every token is of the attempt and
// version of the dispatch, and a complete answer has the end event last.
func requireOwnTokens(t *testing.T, forwarded string, complete bool) {
	events := strings.Split(forwarded, "\n\n")
	require.Empty(t, events[len(events)-1])
	events = events[:len(events)-1]
	if complete {
		require.NotEmpty(t, events)
		require.Equal(t, "data: "+engine.Done, events[len(events)-1])
		events = events[:len(events)-1]
	}
	for _, e := range events {
		data, found := strings.CutPrefix(e, "data: ")
		require.True(t, found)
		var token engine.Token
		require.NoError(t, json.Unmarshal([]byte(data), &token), data)
		require.Equal(t, "a1", token.RequestID)
		require.Equal(t, fuzzDigest, token.Digest)
	}
}
