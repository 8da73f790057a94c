package backendproxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/settings"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
)

const stallTimeout = 25 * time.Second

// sendPartialDispatch sends a dispatch's headers and the given part of a body of
// bodyBytes bytes over a new connection, from which it reads nothing.
func sendPartialDispatch(t *testing.T, address, body string, bodyBytes int) *net.TCPConn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	tcp := conn.(*net.TCPConn)
	require.NoError(t, tcp.SetReadBuffer(4096))
	deadline := time.Now().Add(time.Second).UnixMilli()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: agent\r\n%s: a1\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		agent.DispatchPath, agent.HeaderAttempt, agent.HeaderDigest, fuzzDigest, agent.HeaderDeadline, deadline, bodyBytes, body)
	require.NoError(t, err)
	return tcp
}

// A gateway whose connection stalls without closing must not hold a slot much longer
// than its request's deadline.
func TestSlotIsReleasedAfterDeadlineWhenNobodyReads(t *testing.T) {
	t.Parallel()
	backend := httptest.NewServer(standinengine.New(standinengine.Options{Digest: fuzzDigest}))
	defer backend.Close()
	p, tracker := newProxy(backend, settings.KindEngine, fuzzDigest)
	proxyServer := httptest.NewServer(p)
	defer proxyServer.Close()
	body := `{"prompt":"x","max_tokens":65536}`
	sendPartialDispatch(t, proxyServer.Listener.Addr().String(), body, len(body))
	require.Eventually(t, func() bool { return tracker.Status().Running == 1 }, stallTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return tracker.Status().Running == 0 }, stallTimeout, 10*time.Millisecond)
}

// A body that never arrives must not hold its connection open for ever.
func TestStalledBodyTimesOut(t *testing.T) {
	t.Parallel()
	backend := httptest.NewServer(standinengine.New(standinengine.Options{Digest: fuzzDigest}))
	defer backend.Close()
	p, _ := newProxy(backend, settings.KindEngine, fuzzDigest)
	proxyServer := httptest.NewServer(p)
	defer proxyServer.Close()
	conn := sendPartialDispatch(t, proxyServer.Listener.Addr().String(), `{"prompt":`, 1000)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(stallTimeout)))
	answer, err := io.ReadAll(conn)
	require.NoError(t, err, "the agent must close the connection")
	require.Contains(t, string(answer), agent.HeaderRefused)
}
