package backendproxy_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
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
