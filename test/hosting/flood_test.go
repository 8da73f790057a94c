package hosting_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"almondreel.example/almondreel/internal/supervisor"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// openFiles returns the number of files that a process has open.
func openFiles(t *testing.T, p *daemon) int {
	t.Helper()
	list, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), "fd"))
	require.NoError(t, err)
	return len(list)
}

// Callers retry without delay, each time on a new connection, and leave the old one
// open, while the gateway may open few files. It must accept new connections all the
// time and serve every caller once the flood of connections is over.
func TestConnectionFloodLeavesRoomForNewCallers(t *testing.T) {
	const (
		clients   = 6
		floodTime = 4 * time.Second
		margin    = 100 // files other than sockets of callers and backend servers
	)
	s := startSite(t, options{gateways: 1, engines: 1})
	g := s.gateways[0]
	s.waitForVersion(0, 1, 10*time.Second)
	limit := unix.Rlimit{Cur: gatewayMaxFiles, Max: gatewayMaxFiles}
	require.NoError(t, unix.Prlimit(g.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))

	var opened atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), floodTime)
	defer cancel()
	clientLoops := make([]func(context.Context), clients)
	for n := range clientLoops {
		clientLoops[n] = func(ctx context.Context) { opened.Add(openConnections(ctx, g.callerAddress)) }
	}
	ended := make(chan error, 1)
	go func() { ended <- supervisor.RunAll(ctx, clientLoops...) }()
	peak := 0
	for ctx.Err() == nil {
		c := caller.New(g.callerAddress)
		o := c.Send(context.Background(), standin.StreamPath+"x", "id-1", apiKey, time.Now().Add(requestTimeout))
		c.Close()
		require.NotZero(t, o.Status, "a new caller got no answer: %+v", o)
		require.True(t, caller.Ready(g.readyAddress))
		peak = max(peak, openFiles(t, g))
		time.Sleep(100 * time.Millisecond)
	}
	require.ErrorIs(t, <-ended, context.DeadlineExceeded)
	require.Greater(t, opened.Load(), int64(2*gatewayMaxFiles), "too few connections were opened for a flood")
	require.Less(t, peak, gatewayMaxFiles-margin)

	s.waitForVersion(0, 1, 3*time.Second)
	for range 20 {
		require.Equal(t, http.StatusOK, s.send(0, apiKey).Status)
	}
}

// openConnections opens connections one after another, sends a request on each and
// leaves them open until ctx ends. It returns their number.
func openConnections(ctx context.Context, address string) int64 {
	var open []net.Conn
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		_, _ = fmt.Fprintf(c, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		open = append(open, c)
		time.Sleep(2 * time.Millisecond)
	}
	for _, c := range open {
		_ = c.Close()
	}
	return int64(len(open))
}
