package backendproxy_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/backendproxy"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	standinservice "almondreel.example/almondreel/internal/standin/service"
)

const (
	fuzzDigest = manifest.Digest("sha256:fuzz")
	year2100   = "4102444800000" // Unix milliseconds
)

// testDispatch is a dispatch with arbitrary headers and body.
type testDispatch struct {
	attempt, digest, deadline, resume, priority, suspect string
	body                                                 []byte
}

func (d testDispatch) sendTo(h http.Handler) *http.Response {
	r := httptest.NewRequest(http.MethodPost, agent.DispatchPath, bytes.NewReader(d.body))
	r.Header.Set(agent.HeaderAttempt, d.attempt)
	r.Header.Set(agent.HeaderDigest, d.digest)
	r.Header.Set(agent.HeaderDeadline, d.deadline)
	r.Header.Set(agent.HeaderResumeFrom, d.resume)
	r.Header.Set(agent.HeaderPriority, d.priority)
	r.Header.Set(agent.HeaderSuspect, d.suspect)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result()
}

// addSeedDispatches adds the seed corpus of the dispatch fuzz targets.
func addSeedDispatches(f *testing.F) {
	f.Add("a1", string(fuzzDigest), year2100, "", "", "", []byte(`{"prompt":"lot 12","max_tokens":3}`))
	f.Add("a1", string(fuzzDigest), year2100, "2", "-1", "1", []byte(`{"prompt":"lot 12","max_tokens":3}`))
	f.Add("a1", string(fuzzDigest), year2100, "-2", "", "", []byte(`{"prompt":"lot 12"}`))
	f.Add("a1", string(fuzzDigest), year2100, "99999999999999999999", "", "", []byte(`{}`))
	f.Add("a1", "sha256:other", year2100, "", "", "", []byte(`{"max_tokens":-3}`))
	f.Add("a1", string(fuzzDigest), "0", "", "", "", []byte(`{`))
	f.Add("a1", string(fuzzDigest), "9223372036854775807", "", "", "", []byte(`{"prompt":1}`))
	f.Add("", string(fuzzDigest), year2100, "", "x", "", []byte{})
	f.Add("a1", "", year2100, "", "", "", []byte(`{"amount":7}`))
}

// FuzzDispatchToService sends arbitrary dispatches to the proxy of a plain
// service. A refused dispatch must not have run, and any other answer must say
// how it ended.
func FuzzDispatchToService(f *testing.F) {
	addSeedDispatches(f)
	backend := standinservice.New(standinservice.Options{})
	server := httptest.NewServer(backend)
	f.Cleanup(server.Close)
	p, tracker := newProxy(server, settings.KindPlain, "")
	f.Fuzz(func(t *testing.T, attempt, digest, deadline, resume, priority, suspect string, body []byte) {
		before := len(backend.Journal().Entries)
		answer := testDispatch{attempt, digest, deadline, resume, priority, suspect, body}.sendTo(p)
		ran := len(backend.Journal().Entries) - before
		requireAnswerMatchesRun(t, answer, ran)
		require.LessOrEqual(t, ran, 1)
		require.Zero(t, tracker.Status().Running)
	})
}

// FuzzDispatchToEngine is FuzzDispatchToService with an engine. A dispatch has run
// if the engine began a stream.
func FuzzDispatchToEngine(f *testing.F) {
	addSeedDispatches(f)
	backend := standinengine.New(standinengine.Options{Digest: fuzzDigest})
	var ran atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		backend.ServeHTTP(&streamCounter{ResponseWriter: w, count: &ran}, r)
	}))
	f.Cleanup(server.Close)
	p, tracker := newProxy(server, settings.KindEngine, fuzzDigest)
	f.Fuzz(func(t *testing.T, attempt, digest, deadline, resume, priority, suspect string, body []byte) {
		ran.Store(0)
		answer := testDispatch{attempt, digest, deadline, resume, priority, suspect, body}.sendTo(p)
		requireAnswerMatchesRun(t, answer, int(ran.Load()))
		require.Zero(t, tracker.Status().Running)
	})
}

// streamCounter counts the streams that an engine begins.
type streamCounter struct {
	http.ResponseWriter
	count *atomic.Int64
}

// WriteHeader counts the start of an event stream and passes the status on.
func (c *streamCounter) WriteHeader(status int) {
	if c.Header().Get("Content-Type") == "text/event-stream" {
		c.count.Add(1)
	}
	c.ResponseWriter.WriteHeader(status)
}

// Flush passes the flush on.
func (c *streamCounter) Flush() { c.ResponseWriter.(http.Flusher).Flush() }

// newProxy returns a proxy with one slot for the backend server that listens at
// server.URL, and the tracker by whose status it admits dispatches.
func newProxy(server *httptest.Server, kind string, digest manifest.Digest) (*backendproxy.Proxy, *serving.Tracker) {
	tracker := serving.NewTracker()
	tracker.Update(func(s *serving.Status) { s.Open, s.Digest, s.Slots = true, digest, 1 })
	address := strings.TrimPrefix(server.URL, "http://")
	p := backendproxy.New(settings.Agent{Backend: settings.Backend{Kind: kind, Address: address}}, tracker)
	return p, tracker
}

// requireAnswerMatchesRun checks that a refused dispatch did not run and that any
// other has status 200 and a trailer. ran is the number of times that it ran.
func requireAnswerMatchesRun(t *testing.T, answer *http.Response, ran int) {
	if answer.Header.Get(agent.HeaderRefused) != "" {
		require.Zero(t, ran, "a refused dispatch ran")
		require.NotEqual(t, http.StatusOK, answer.StatusCode)
		return
	}
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.NotEmpty(t, answer.Trailer.Get(agent.TrailerEnd))
}
