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

	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// openFiles is the number of files that a process has open.
func openFiles(t *testing.T, p *program) int {
	t.Helper()
	list, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), "fd"))
	require.NoError(t, err)
	return len(list)
}

// Pattern: callers that repeat at once, each time on a new connection, and leave
// the old one open; the process may open few files. New connections are taken
// all the while, and once it has ended everybody is served.
func TestAFloodOfConnectionsLeavesRoomForNewOnes(t *testing.T) {
	const (
		floods    = 6
		floodTime = 4 * time.Second
		margin    = 100 // files besides sockets of callers and backend servers
	)
	s := startSite(t, options{gateways: 1, engines: 1})
	g := s.gateways[0]
	s.serves(0, 1, 10*time.Second)
	limit := unix.Rlimit{Cur: gatewayFiles, Max: gatewayFiles}
	require.NoError(t, unix.Prlimit(g.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))

	var opened atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), floodTime)
	defer cancel()
	flood := make([]func(context.Context), floods)
	for n := range flood {
		flood[n] = func(ctx context.Context) { opened.Add(floodOne(ctx, g.callers)) }
	}
	ended := make(chan error, 1)
	go func() { ended <- duty.Together(ctx, flood...) }()
	most := 0
	for ctx.Err() == nil {
		c := caller.New(g.callers)
		o := c.Ask(context.Background(), standin.StreamPath+"x", "id-1", key, time.Now().Add(askTime))
		c.Close()
		require.NotZero(t, o.Status, "a new caller got no answer: %+v", o)
		require.True(t, caller.Ready(g.ready))
		most = max(most, openFiles(t, g))
		time.Sleep(100 * time.Millisecond)
	}
	require.ErrorIs(t, <-ended, context.DeadlineExceeded)
	require.Greater(t, opened.Load(), int64(2*gatewayFiles), "the flood was no flood")
	require.Less(t, most, gatewayFiles-margin)

	s.serves(0, 1, 3*time.Second)
	for range 20 {
		require.Equal(t, http.StatusOK, s.ask(0, key).Status)
	}
}

// floodOne opens connections one after the other, sends a request on each and
// leaves them open until ctx ends. It returns how many.
func floodOne(ctx context.Context, address string) int64 {
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
