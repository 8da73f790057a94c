package hosting_test

import (
	"fmt"
	"net"
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
