package backendproxy_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/backendproxy"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
)

const engineRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"

// startScripted starts a backend server that calls answer for each request, with the
// number of requests that the connection brought before. answer returns the bytes to
// write, and whether the connection is closed after them.
func startScripted(t *testing.T, answer func(earlier int, r *http.Request, body []byte) (string, bool)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	t.Cleanup(func() { <-ended })
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		defer close(ended)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveScripted(conn, answer)
		}
	}()
	return l.Addr().String()
}

func serveScripted(conn net.Conn, answer func(int, *http.Request, []byte) (string, bool)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for earlier := 0; ; earlier++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		text, last := answer(earlier, r, body)
		if _, err := io.WriteString(conn, text); err != nil || last {
			return
		}
	}
}

// newScriptedProxy returns a proxy for the backend server at address.
func newScriptedProxy(address, kind string, digest manifest.Digest) *backendproxy.Proxy {
	tracker := serving.NewTracker()
	tracker.Update(func(s *serving.Status) { s.Open, s.Digest, s.Slots = true, digest, 1 })
	return backendproxy.New(settings.Agent{Backend: settings.Backend{Kind: kind, Address: address}}, tracker)
}

// tokenStream returns an engine's whole response with one token.
func tokenStream(t testing.TB, attempt string) string {
	t.Helper()
	token, err := json.Marshal(engine.Token{RequestID: attempt, Digest: fuzzDigest, Text: "x", Finish: "stop"})
	require.NoError(t, err)
	events := fmt.Sprintf("data: %s\n\ndata: %s\n\n", token, engine.Done)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(events), events)
}

// An engine that repeats an earlier refusal on a kept connection must not make the agent
// refuse, as not run, a request that the engine ran.
func TestRepeatedRefusalOfEngineIsNotTakenForNextRequest(t *testing.T) {
	ran := make(chan string, 4)
	address := startScripted(t, func(earlier int, r *http.Request, body []byte) (string, bool) {
		if r.URL.Path != engine.CompletionsPath {
			return "HTTP/1.1 204 No Content\r\n\r\n", false
		}
		var c engine.Completion
		if json.Unmarshal(body, &c) != nil || c.RequestID == "a0" {
			return engineRefusal, false
		}
		ran <- c.RequestID
		text := tokenStream(t, c.RequestID)
		if earlier > 0 {
			text = engineRefusal + text
		}
		return text, false
	})
	p := newScriptedProxy(address, settings.KindEngine, fuzzDigest)
	send := func(attempt string) *http.Response {
		return testDispatch{attempt: attempt, digest: string(fuzzDigest), deadline: year2100, body: []byte(`{"prompt":"x"}`)}.sendTo(p)
	}
	require.Equal(t, "BackendRefused", send("a0").Header.Get(agent.HeaderRefused))
	for n := range 3 {
		attempt := fmt.Sprint("a", n+1)
		answer := send(attempt)
		require.Equal(t, attempt, <-ran)
		require.Empty(t, answer.Header.Get(agent.HeaderRefused), "the engine ran %s", attempt)
		text, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		require.Equal(t, agent.EndWhole, answer.Trailer.Get(agent.TrailerEnd))
		require.Equal(t, 2, strings.Count(string(text), "data: "))
	}
}
