package door_test

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

const stallWait = 25 * time.Second

// dispatchRaw sends the head and a part of a dispatch's body over a connection
// of its own.
func dispatchRaw(t *testing.T, address, body string, bodyBytes int) *net.TCPConn {
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

// A gateway whose link stalls without closing must not hold a slot beyond its
// request's deadline.
func TestSlotIsFreeAfterTheDeadlineThoughNobodyReads(t *testing.T) {
	t.Parallel()
	backend := httptest.NewServer(standinengine.New(standinengine.Options{Digest: fuzzDigest}))
	defer backend.Close()
	d, board := open(backend, settings.KindEngine, fuzzDigest)
	listener := httptest.NewServer(d)
	defer listener.Close()
	body := `{"prompt":"x","max_tokens":65536}`
	dispatchRaw(t, listener.Listener.Addr().String(), body, len(body))
	require.Eventually(t, func() bool { return board.Status().Running == 1 }, stallWait, time.Millisecond)
	require.Eventually(t, func() bool { return board.Status().Running == 0 }, stallWait, 10*time.Millisecond)
}

// A body that never comes must not hold its connection for ever.
func TestBodyThatStallsIsGivenUp(t *testing.T) {
	t.Parallel()
	backend := httptest.NewServer(standinengine.New(standinengine.Options{Digest: fuzzDigest}))
	defer backend.Close()
	d, _ := open(backend, settings.KindEngine, fuzzDigest)
	listener := httptest.NewServer(d)
	defer listener.Close()
	conn := dispatchRaw(t, listener.Listener.Addr().String(), `{"prompt":`, 1000)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(stallWait)))
	answer, err := io.ReadAll(conn)
	require.NoError(t, err, "the agent does not end the connection")
	require.Contains(t, string(answer), agent.HeaderRefused)
}
