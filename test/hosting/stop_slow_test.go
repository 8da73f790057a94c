package hosting_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const (
	// smallReceiveBuffer is a slow caller's receive buffer, in bytes.
	smallReceiveBuffer = 4 << 10
	// longTimeout is the time that slow callers give a request. Answers may be written
	// until it has passed.
	longTimeout = 6 * time.Second
)

// setRouteTimeout sets the timeout of all routes in a new configuration, and waits until
// gateways apply it.
func (s *site) setRouteTimeout(timeout time.Duration) {
	s.configurationVersion++
	s.store.Configure(standin.Configuration{
		Version: s.configurationVersion, Keys: []string{apiKey}, Origin: s.originAddress, TimeoutMS: int(timeout.Milliseconds()),
	})
	time.Sleep(exchangeTime)
}

// dialSlowly connects with a small receive buffer.
func dialSlowly(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	c, err := dialer.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // a test may have closed it
	return c
}

// readWholeBody returns an error unless a whole response with status 200 and a body of
// size bytes is read.
func readWholeBody(r io.Reader, size int) error {
	response, err := http.ReadResponse(bufio.NewReaderSize(r, 512), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK || err != nil || len(body) != size {
		return fmt.Errorf("status %d, %d of %d bytes: %w", response.StatusCode, len(body), size, err)
	}
	return nil
}

// restartWith restarts a gateway with the text from replaced by to in its settings.
func (s *site) restartWith(gateway int, from, to string) {
	s.t.Helper()
	g := s.gateways[gateway]
	text, err := os.ReadFile(g.file)
	require.NoError(s.t, err)
	require.Contains(s.t, string(text), from)
	require.NoError(s.t, os.WriteFile(g.file, []byte(strings.ReplaceAll(string(text), from, to)), 0o600))
	g.kill()
	g.start(s.t)
	s.waitForVersion(gateway, 1, 10*time.Second)
}

// unreadCapacity returns about how many bytes a server can write to a connection whose
// peer has a small receive buffer and reads nothing.
func unreadCapacity(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client := dialSlowly(t, listener.Addr().String())
	c, err := listener.Accept()
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	n, err := c.Write(make([]byte, 16<<20))
	require.Error(t, err)
	require.NoError(t, client.Close())
	return n
}

// The gateway closed its connections shortly after the last request's handler had
// returned, while the end of an answer still waited to be written to a slow caller.
func TestSlowCallersGetWholeAnswersDuringStop(t *testing.T) {
	const (
		step = 2 << 10
		// The gateway writes a plain answer in blocks: some small ones, large ones and a
		// last one, which stays in the server's buffer when the handler returns.
		smallBlocks = 60 << 10
		largeBlock  = 64 << 10
		lastBlock   = 1800
	)
	s := startSite(t, options{gateways: 1, engines: 1})
	g := s.gateways[0]
	s.waitForVersion(0, 1, 10*time.Second)
	s.restartWith(0, "MemoryMB: 64", "MemoryMB: 512")
	s.setRouteTimeout(longTimeout)
	ended := func(attempt string) bool {
		return strings.Contains(g.log.String(), fmt.Sprintf("Request=%q", attempt))
	}
	type slowCall struct {
		net.Conn
		size int
	}
	// Answers grow until a handler waits to write one. The end of the one before waits
	// to be written.
	var calls []slowCall
	blocks := (unreadCapacity(t) - smallBlocks) / largeBlock
	for header, blocked := 0, false; !blocked && header < largeBlock; header += step {
		attempt := fmt.Sprintf("slow-%02d", len(calls))
		size := smallBlocks + blocks*largeBlock + lastBlock
		s.ledger.SetPadding(standin.Padding{Header: header, Body: size - len("done "+attempt)})
		c := dialSlowly(t, g.callerAddress)
		require.NoError(t, caller.New(g.callerAddress).Write(c, standin.OncePath+"x", attempt, apiKey, time.Now().Add(longTimeout)))
		blocked = true
		for deadline := time.Now().Add(200 * time.Millisecond); blocked && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			blocked = !ended(attempt)
		}
		calls = append(calls, slowCall{c, size})
	}
	require.False(t, ended(fmt.Sprintf("slow-%02d", len(calls)-1)), "no answer was too long for the connection's buffers")
	require.NoError(t, calls[len(calls)-1].Close())
	calls = calls[max(0, len(calls)-3) : len(calls)-1]
	failures := make(chan error, len(calls))
	for _, c := range calls {
		go func() {
			time.Sleep(3200 * time.Millisecond)
			failures <- readWholeBody(caller.SlowReader{Reader: c, Bytes: 64 << 10, Pause: 10 * time.Millisecond}, c.size)
		}()
	}
	require.NoError(t, g.command.Process.Signal(syscall.SIGTERM))
	require.NoError(t, g.command.Wait())
	for range calls {
		require.NoError(t, <-failures)
	}
}
