package door_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/door"
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

// dispatched is a dispatch with arbitrary headers and body.
type dispatched struct {
	attempt, digest, deadline, resume, priority, suspect string
	body                                                 []byte
}

func (d dispatched) to(h http.Handler) *http.Response {
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

func addDispatches(f *testing.F) {
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

// FuzzDispatchToService sends arbitrary dispatches to a plain service's door:
// one that is refused did not run, any other states how its answer ended.
func FuzzDispatchToService(f *testing.F) {
	addDispatches(f)
	backend := standinservice.New(standinservice.Options{})
	listener := httptest.NewServer(backend)
	f.Cleanup(listener.Close)
	d, board := open(listener, settings.KindPlain, "")
	f.Fuzz(func(t *testing.T, attempt, digest, deadline, resume, priority, suspect string, body []byte) {
		before := len(backend.Journal().Entries)
		answer := dispatched{attempt, digest, deadline, resume, priority, suspect, body}.to(d)
		ran := len(backend.Journal().Entries) - before
		requireTrue(t, answer, ran)
		require.LessOrEqual(t, ran, 1)
		require.Zero(t, board.Status().Running)
	})
}

// FuzzDispatchToEngine is FuzzDispatchToService with an engine, which states
// what it ran by its load.
func FuzzDispatchToEngine(f *testing.F) {
	addDispatches(f)
	backend := standinengine.New(standinengine.Options{Digest: fuzzDigest})
	var ran atomic.Int64
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		backend.ServeHTTP(&begun{ResponseWriter: w, count: &ran}, r)
	}))
	f.Cleanup(listener.Close)
	d, board := open(listener, settings.KindEngine, fuzzDigest)
	f.Fuzz(func(t *testing.T, attempt, digest, deadline, resume, priority, suspect string, body []byte) {
		ran.Store(0)
		answer := dispatched{attempt, digest, deadline, resume, priority, suspect, body}.to(d)
		requireTrue(t, answer, int(ran.Load()))
		require.Zero(t, board.Status().Running)
	})
}

// begun counts the streams that an engine began.
type begun struct {
	http.ResponseWriter
	count *atomic.Int64
}

// WriteHeader passes the status on.
func (b *begun) WriteHeader(status int) {
	if b.Header().Get("Content-Type") == "text/event-stream" {
		b.count.Add(1)
	}
	b.ResponseWriter.WriteHeader(status)
}

// Flush passes the flush on.
func (b *begun) Flush() { b.ResponseWriter.(http.Flusher).Flush() }

// open returns an open door before the backend server at listener.
func open(listener *httptest.Server, kind string, digest manifest.Digest) (*door.Door, *serving.Board) {
	board := serving.NewBoard()
	board.Update(func(s *serving.Status) { s.Open, s.Digest, s.Slots = true, digest, 1 })
	address := strings.TrimPrefix(listener.URL, "http://")
	d := door.New(settings.Agent{Backend: settings.Backend{Kind: kind, Address: address}}, board)
	return d, board
}

// requireTrue checks that what the answer says agrees with whether it ran.
func requireTrue(t *testing.T, answer *http.Response, ran int) {
	if answer.Header.Get(agent.HeaderRefused) != "" {
		require.Zero(t, ran, "refused and ran")
		require.NotEqual(t, http.StatusOK, answer.StatusCode)
		return
	}
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.NotEmpty(t, answer.Trailer.Get(agent.TrailerEnd))
}
