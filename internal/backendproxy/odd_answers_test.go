package backendproxy_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/settings"
)

// sendPlain sends a call to the proxy of a plain service that answers with text, and
// returns how the answer ended.
func sendPlain(t *testing.T, text string) (response *http.Response, end string) {
	t.Helper()
	address := startScripted(t, func(int, *http.Request, []byte) (string, bool) { return text, true })
	response = testDispatch{attempt: "a1", deadline: year2100, body: []byte(`{}`)}.sendTo(newScriptedProxy(address, settings.KindPlain, ""))
	_, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, response.Trailer.Get(agent.TrailerEnd)
}

// A service answers with a change of protocol or a status out of range, which callers
// must not get as its whole answer.
func TestAnswerWithoutFinalStatusIsNotWhole(t *testing.T) {
	_, end := sendPlain(t, "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}")
	require.Equal(t, agent.EndWhole, end)
	for _, status := range []string{"101 Switching Protocols", "600 Odd", "999 Odd", "000 Odd", "099 Odd", "-20 Odd", "1e2 Odd", "1000 Odd"} {
		response, end := sendPlain(t, "HTTP/1.1 "+status+"\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n{}")
		require.NotEqual(t, agent.EndWhole, end, status)
		require.Empty(t, response.Header.Get(agent.HeaderRefused), "%s: the service may have run the call", status)
	}
}

// invalidFields are lines of a head in which the name of a field contains a blank or a
// control byte. Some of them frame the body.
var invalidFields = []string{
	"X Field: v", "X-Field : v", " X-Field: v", "\tX-Field: v", "X-Field\t: v", "X-\x01Field: v", "X-Field\x00: v", "X-Field\r: v",
	"Content-Length : 2", " Content-Length: 2", "Transfer-Encoding : chunked", "\tTransfer-Encoding: chunked",
}

// A service answers with a field whose name contains a blank or a control byte, which
// callers must not get as its whole answer: the field may frame the body.
func TestAnswerWithInvalidFieldNameIsNotWhole(t *testing.T) {
	for framing, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\n\r\n{}",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"close":   "HTTP/1.1 200 OK\r\nServer: s\r\n%s\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"refused": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n%s\r\n\r\n{}",
	} {
		for _, line := range invalidFields {
			t.Run(fmt.Sprintf("%s/%q", framing, line), func(t *testing.T) {
				t.Parallel()
				response, end := sendPlain(t, fmt.Sprintf(answer, line))
				require.NotEqual(t, agent.EndWhole, end)
				require.Empty(t, response.Header.Get(agent.HeaderRefused), "the service may have run the call")
			})
		}
	}
}

// An engine answers with a field whose name contains a blank or a control byte. A request
// that may be repeated is answered by a sound engine, another one has run once.
func TestInvalidFieldNameOfEngineEndsItsAttemptOnly(t *testing.T) {
	for _, line := range invalidFields {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			for _, idempotent := range []bool{false, true} {
				var runs atomic.Int64
				run := func(text func(attempt string) string) func(int, *http.Request, []byte) (string, bool) {
					return func(_ int, r *http.Request, body []byte) (string, bool) {
						var c engine.Completion
						if r.URL.Path != engine.CompletionsPath || json.Unmarshal(body, &c) != nil {
							return "HTTP/1.1 204 No Content\r\n\r\n", true
						}
						runs.Add(1)
						return text(c.RequestID), true
					}
				}
				faulty := startScripted(t, run(func(attempt string) string {
					return strings.Replace(tokenStream(t, attempt), "\r\n\r\n", "\r\n"+line+"\r\n\r\n", 1)
				}))
				other := faulty
				if idempotent {
					other = startScripted(t, run(func(attempt string) string { return tokenStream(t, attempt) }))
				}
				_, o := newEngineDispatcher(t, faulty, other).Stream(t.Context(), attempt.Request{
					ID: "r", Prompt: "p", Fingerprint: "p", IdempotencyKey: "p", MaxTokens: 1, Body: []byte(`{"prompt":"p"}`),
					Class:    operator.Class{Name: "questions", Kind: operator.Model, Service: "assistant", Idempotent: idempotent},
					Deadline: time.Now().Add(5 * time.Second),
				}, discardTokens{})
				if idempotent {
					require.Equal(t, outcome.Answered{Digest: string(fuzzDigest), Tokens: 1}, o)
					continue
				}
				require.IsType(t, outcome.Unknown{}, o)
				require.EqualValues(t, 1, runs.Load())
			}
		})
	}
}

// An answer without a length ends when its connection closes. It is whole after a clean
// close, but not after a reset.
func TestAnswerWithoutLengthIsWholeOnlyAfterCleanClose(t *testing.T) {
	for name, reset := range map[string]bool{"ends": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			served := make(chan struct{})
			go func() {
				defer close(served)
				c, err := l.Accept()
				if err != nil {
					return
				}
				serveScripted(resettingConn{c, reset}, func(int, *http.Request, []byte) (string, bool) {
					return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe first half", true
				})
			}()
			response := testDispatch{attempt: "a1", deadline: year2100, body: []byte(`{}`)}.sendTo(newScriptedProxy(l.Addr().String(), settings.KindPlain, ""))
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			<-served
			require.Equal(t, !reset, response.Trailer.Get(agent.TrailerEnd) == agent.EndWhole)
		})
	}
}

// resettingConn resets its connection, if reset is set, a moment after the last bytes.
type resettingConn struct {
	net.Conn
	reset bool
}

// Close closes the connection.
func (c resettingConn) Close() error {
	time.Sleep(50 * time.Millisecond)
	if c.reset {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	}
	return c.Conn.Close()
}
