package callerconn_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/outcome"
)

// end is what the handler does while its request's context has not ended, and what the
// caller does with its connection.
type end struct {
	handler func(http.ResponseWriter)
	caller  func(*httptest.Server, *net.TCPConn) error
}

// All requests whose connection had ended were logged with one reason, whether the caller
// had left, had closed its sending side only, or the gateway had ended the connection.
func TestReasonTellsHowTheCallersConnectionEnded(t *testing.T) {
	wait := func(http.ResponseWriter) {}
	write := func(w http.ResponseWriter) {
		for range 100 {
			_, _ = io.WriteString(w, strings.Repeat("x", 1<<20)) // the reason is checked below
		}
	}
	readNothing := func(*httptest.Server, *net.TCPConn) error { return nil }
	reset := func(_ *httptest.Server, c *net.TCPConn) error {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	}
	for name, c := range map[string]struct {
		end    end
		reason outcome.Reason
	}{
		"closed":              {end{wait, func(_ *httptest.Server, c *net.TCPConn) error { return c.Close() }}, outcome.CallerClosed},
		"sending side closed": {end{wait, func(_ *httptest.Server, c *net.TCPConn) error { return c.CloseWrite() }}, outcome.CallerClosed},
		"reset":               {end{wait, reset}, outcome.CallerReset},
		"read deadline": {end{func(w http.ResponseWriter) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // the reason is checked below
		}, readNothing}, outcome.CallerReadTimedOut},
		"write deadline": {end{func(w http.ResponseWriter) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond)) // the reason is checked below
			write(w)
		}, readNothing}, outcome.CallerWriteTimedOut},
		"write failed": {end{write, reset}, outcome.CallerWriteFailed},
		"closed by the gateway": {end{wait, func(s *httptest.Server, _ *net.TCPConn) error {
			return s.Config.Close()
		}}, outcome.GatewayClosed},
	} {
		t.Run(name, func(t *testing.T) {
			reasons, began := make(chan outcome.Reason, 1), make(chan bool, 1)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				began <- true
				c.end.handler(w)
				<-r.Context().Done()
				reasons <- callerconn.EndReason(r.Context())
			}))
			server.Listener = callerconn.Listener{Listener: server.Listener}
			server.Config.ConnContext = callerconn.Context
			server.Start()
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			<-began
			require.NoError(t, c.end.caller(server, conn.(*net.TCPConn)))
			require.Equal(t, c.reason, <-reasons)
		})
	}
}
