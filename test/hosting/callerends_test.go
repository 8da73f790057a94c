package hosting_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// dialGateway returns a connection to a gateway that is closed when the test ends.
func dialGateway(t *testing.T, s *site) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.gateways[0].callerAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// The log had one reason for all requests whose caller's connection had ended, so it could
// not tell callers that left from requests that the gateway itself lost.
func TestLogTellsHowACallersConnectionEnded(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.ledger.SetDelayMS(500)
	c := caller.New(s.gateways[0].callerAddress)
	for reason, end := range map[string]func(*net.TCPConn) error{
		"CallerClosed": (*net.TCPConn).CloseWrite,
		"CallerReset": func(conn *net.TCPConn) error {
			require.NoError(t, conn.SetLinger(0))
			return conn.Close()
		},
	} {
		conn := dialGateway(t, s)
		require.NoError(t, c.Write(conn, standin.OncePath+"x", reason, apiKey, time.Now().Add(requestTimeout)))
		s.eventually(requestTimeout, "the request runs", func() bool { return s.ran(reason) })
		require.NoError(t, end(conn))
		line := fmt.Sprintf(`Event=4013 Request=%q Route="once" Organisation="north" Outcome="Cancelled" Reason=%q`, reason, reason)
		s.eventually(requestTimeout, line, func() bool { return s.logged(line) })
	}
}

// sendHalfClosed sends a whole request and closes only the sending side of its connection.
func sendHalfClosed(t *testing.T, s *site, path, attempt string) *net.TCPConn {
	t.Helper()
	conn := dialGateway(t, s)
	require.NoError(t, caller.New("").Write(conn, path, attempt, apiKey, time.Now().Add(requestTimeout)))
	require.NoError(t, conn.CloseWrite())
	return conn
}

// finalAnswer is the whole answer to a request.
type finalAnswer struct {
	*http.Response
	body string
}

// readFinalAnswer reads the answer to one request.
func readFinalAnswer(t *testing.T, conn *net.TCPConn) finalAnswer {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(requestTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "no answer and no refusal")
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return finalAnswer{response, string(body)}
}

// A caller that closed its sending side after a whole request got no answer and no refusal:
// its request was taken for one whose caller had left.
func TestHalfClosedCallerGetsATruthfulAnswer(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.ledger.SetDelayMS(700)

	t.Run("waiting", func(t *testing.T) {
		for n := range 10 { // as many as the service may have at a time
			conn := dialGateway(t, s)
			require.NoError(t, caller.New("").Write(conn, standin.OncePath+"x", fmt.Sprint("filler-", n), apiKey, time.Now().Add(requestTimeout)))
		}
		s.eventually(requestTimeout, "the service is full", func() bool { return len(s.ledger.Runs()) == 10 })
		conn := dialGateway(t, s)
		require.NoError(t, caller.New("").Write(conn, standin.OncePath+"x", "waiting", apiKey, time.Now().Add(requestTimeout)))
		time.Sleep(20 * time.Millisecond)
		require.NoError(t, conn.CloseWrite())
		response := readFinalAnswer(t, conn)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Equal(t, "CallerClosed\n", response.body)
		time.Sleep(time.Second)
		require.False(t, s.ran("waiting"), "ran and was refused")
	})
	t.Run("running", func(t *testing.T) {
		conn := dialGateway(t, s)
		require.NoError(t, caller.New("").Write(conn, standin.OncePath+"x", "running", apiKey, time.Now().Add(requestTimeout)))
		s.eventually(requestTimeout, "the request runs", func() bool { return s.ran("running") })
		require.NoError(t, conn.CloseWrite())
		require.Equal(t, http.StatusBadGateway, readFinalAnswer(t, conn).StatusCode)
	})
	t.Run("at once", func(t *testing.T) {
		answers := map[string]finalAnswer{}
		for n := range 20 {
			attempt := fmt.Sprint("at-once-", n)
			answers[attempt] = readFinalAnswer(t, sendHalfClosed(t, s, standin.OncePath+"x", attempt))
		}
		time.Sleep(time.Second) // a request that still runs would reach the service by then
		for attempt, response := range answers {
			if response.StatusCode != http.StatusBadGateway {
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.NotEmpty(t, response.Header.Get("Retry-After"))
				require.False(t, s.ran(attempt), "ran and was refused")
			}
		}
	})
}

// The deadline for writing an answer must not stay on a kept connection: a later request
// that is refused at once sets none, and its refusal would not be written.
func TestWriteDeadlineOfAnEarlierRequestEndsWithIt(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	conn := dialGateway(t, s)
	require.NoError(t, caller.New("").Write(conn, standin.OncePath+"x", "first", apiKey, time.Now().Add(200*time.Millisecond)))
	require.Equal(t, http.StatusOK, readFinalAnswer(t, conn).StatusCode)
	time.Sleep(200*time.Millisecond + 2*time.Second + 300*time.Millisecond) // the deadline and the time for writing
	require.NoError(t, caller.New("").Write(conn, "/none/", "second", apiKey, time.Now().Add(requestTimeout)))
	require.Equal(t, http.StatusNotFound, readFinalAnswer(t, conn).StatusCode)
}
