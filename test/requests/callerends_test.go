package requests_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/callerapi"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/testsite"
)

// dialGateway returns a connection to a gateway's listener for callers that is closed when
// the test ends.
func dialGateway(t *testing.T, g *testsite.Gateway) *net.TCPConn {
	t.Helper()
	address, err := url.Parse(g.URL)
	require.NoError(t, err)
	conn, err := net.Dial("tcp", address.Host)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// writeRequest writes a whole request with these additional header lines.
func writeRequest(t *testing.T, w io.Writer, path, header, body string) {
	t.Helper()
	_, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-north\r\nContent-Length: %d\r\n%s\r\n%s", path, len(body), header, body)
	require.NoError(t, err)
}

// Requests that ended with their caller's connection left no line in the log and no reason
// in the counters.
func TestCountersTellHowACallersConnectionEnded(t *testing.T) {
	o := options()
	o.Engines, o.Engine.FirstTokenMilliseconds = 1, 2000 // nothing is written, so only a read can fail
	s := startSite(t, o)
	running := func(count int) {
		require.Eventually(t, func() bool { return s.Replicas[0].Status.Status().Running == count }, 5*time.Second, time.Millisecond)
	}
	for reason, end := range map[outcome.Reason]func(*net.TCPConn) error{
		outcome.CallerClosed: (*net.TCPConn).CloseWrite,
		outcome.CallerReset: func(conn *net.TCPConn) error {
			require.NoError(t, conn.SetLinger(0))
			return conn.Close()
		},
	} {
		running(0)
		before := counter.Value("Cancelled." + string(reason))
		conn := dialGateway(t, s.Gateways[0])
		writeRequest(t, conn, callerapi.CompletionsPath, "", `{"model": "questions", "prompt": "lot 14", "max_tokens": 1000}`)
		running(1)
		require.NoError(t, end(conn))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		for counter.Value("Cancelled."+string(reason)) == before {
			require.NoError(t, ctx.Err(), "not counted: %s", reason)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// readRecord reads the answer to one request and returns its status and outcome.
func readRecord(t *testing.T, conn *net.TCPConn) (int, outcome.Record) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "no answer and no refusal")
	var r outcome.Record
	require.NoError(t, json.Unmarshal([]byte(response.Header.Get(callerapi.HeaderOutcome)), &r))
	return response.StatusCode, r
}

// A caller that closed its sending side after a whole request was not told that the
// request had not run.
func TestHalfClosedCallerGetsATruthfulAnswer(t *testing.T) {
	o := options()
	o.Engines, o.Engine.Slots, o.Engine.FirstTokenMilliseconds = 1, 1, 300
	s := startSite(t, o)
	const body = `{"model": "questions", "prompt": "lot 14", "max_tokens": 2}`

	running := dialGateway(t, s.Gateways[0])
	writeRequest(t, running, callerapi.CompletionsPath, "", body)
	require.Eventually(t, func() bool { return s.Replicas[0].Status.Status().Running == 1 }, 5*time.Second, time.Millisecond)
	waiting := dialGateway(t, s.Gateways[0])
	writeRequest(t, waiting, callerapi.CompletionsPath, "", body)
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, waiting.CloseWrite())
	status, r := readRecord(t, waiting)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.True(t, r.NotRun)
	require.Equal(t, outcome.CallerClosed, r.Reason)
	require.False(t, r.RetryAt.IsZero())

	require.NoError(t, running.CloseWrite())
	status, r = readRecord(t, running)
	require.Equal(t, http.StatusBadGateway, status)
	require.False(t, r.NotRun)
	require.Equal(t, outcome.CallerClosed, r.Reason)
}

// A caller whose body did not come in time got no refusal: the gateway waited for the rest
// of the body before it responded.
func TestBodyThatComesTooLateIsRefused(t *testing.T) {
	s := startSite(t, options())
	conn := dialGateway(t, s.Gateways[0])
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-north\r\nContent-Length: 100\r\n\r\n{", callerapi.CompletionsPath)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(15*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "no answer and no refusal")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close, "the rest of the body could be taken for a request")
}

// A caller that sent a large body with an unknown key got a reset connection in place of
// its refusal, if it read only after it had sent the whole request.
func TestRefusalOfALargeRequestReachesItsCaller(t *testing.T) {
	s := startSite(t, options())
	conn := dialGateway(t, s.Gateways[0])
	const pieces, pieceBytes, piecePause = 62, 16 << 10, 15 * time.Millisecond
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer removed\r\nContent-Length: %d\r\n\r\n", callerapi.CompletionsPath, pieces*pieceBytes)
	require.NoError(t, err)
	for range pieces {
		_, err := conn.Write(make([]byte, pieceBytes))
		require.NoError(t, err, "the connection was closed before the whole request was read")
		time.Sleep(piecePause)
	}
	status, r := readRecord(t, conn)
	require.Equal(t, http.StatusUnauthorized, status)
	require.Equal(t, outcome.Unauthorised, r.Reason)
}

// A deadline in the year 1, which is the zero time, stood for no deadline.
func TestOddDeadlinesGetAnAnswer(t *testing.T) {
	s := startSite(t, options())
	for deadline, want := range map[string]struct {
		status int
		reason outcome.Reason
	}{
		"9999-12-31T23:59:59Z":           {http.StatusOK, ""},
		"9999-12-31T23:59:59-23:59":      {http.StatusOK, ""},
		"0001-01-01T00:00:00Z":           {http.StatusServiceUnavailable, outcome.DeadlinePassed},
		"0000-01-01T00:00:00Z":           {http.StatusServiceUnavailable, outcome.DeadlinePassed},
		"1970-01-01T00:00:00.000000001Z": {http.StatusServiceUnavailable, outcome.DeadlinePassed},
		"10000-01-01T00:00:00Z":          {http.StatusBadRequest, outcome.Malformed},
		"1e20":                           {http.StatusBadRequest, outcome.Malformed},
		"2026-12-05T00:00:00":            {http.StatusBadRequest, outcome.Malformed},
	} {
		for _, path := range []string{callerapi.CompletionsPath, callerapi.CallsPath + lookups} {
			conn := dialGateway(t, s.Gateways[0])
			writeRequest(t, conn, path, "Request-Deadline: "+deadline+"\r\n", `{"model": "questions", "prompt": "lot 14", "max_tokens": 2}`)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "no answer and no refusal")
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, want.status, response.StatusCode, "%s %s", deadline, path)
			if want.reason != "" {
				require.Contains(t, response.Header.Get(callerapi.HeaderOutcome), string(want.reason))
			}
		}
	}
}
