package hosting_test

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"almondreel.example/almondreel/internal/standin/faultproxy"
)

// silence is how long engines pause in the middle of their answers.
const silence = 1300 * time.Millisecond

// Streams whose engines were silent for longer than a second were ended by the gateway
// if no other engine could go on with them.
func TestSilentEnginesKeepTheirStreams(t *testing.T) {
	const streams = 6
	for _, c := range []struct {
		engines int
		stop    bool
	}{{1, false}, {1, true}, {2, false}, {2, true}} {
		t.Run(fmt.Sprintf("%d engines, stop %v", c.engines, c.stop), func(t *testing.T) {
			s := startSite(t, options{gateways: 1, engines: c.engines})
			s.waitForVersion(0, 1, 10*time.Second)
			s.eventually(10*time.Second, "all engines serve", func() bool {
				outcomes := s.sendMany(0, streams)
				for range streams {
					<-outcomes
				}
				for _, e := range s.engines {
					if len(e.Runs()) == 0 {
						return false
					}
				}
				return true
			})
			for _, e := range s.engines {
				e.SetEventMS(slowEventMS)
			}
			outcomes := s.sendMany(0, streams)
			time.Sleep(400 * time.Millisecond)
			if c.stop {
				require.NoError(t, s.gateways[0].command.Process.Signal(syscall.SIGTERM))
			}
			for _, e := range s.engines {
				require.NoError(t, e.route.Set(faultproxy.Faults{ToCaller: faultproxy.Stall{}}))
			}
			time.Sleep(silence)
			for _, e := range s.engines {
				require.NoError(t, e.route.Set(faultproxy.Faults{}))
			}
			cut := 0
			for range streams {
				if o := <-outcomes; o.Err != nil || o.Status != 200 || o.CheckStream() != nil {
					cut++
				}
			}
			require.Zero(t, cut, "streams cut of %d", streams)
		})
	}
}

// A log line that net/http wrote to standard error blocked the goroutine that accepts
// connections for good when the log's reader had stalled.
func TestFailedAcceptWithStalledLogReader(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		t.Run(fmt.Sprint("stalled ", stalled), func(t *testing.T) {
			s := startSite(t, options{gateways: 1, engines: 1})
			g := s.gateways[0]
			s.waitForVersion(0, 1, 10*time.Second)
			reader := s.startWithPipe(0)
			s.waitForVersion(0, 1, 10*time.Second)
			if stalled {
				fillPipe(t, g)
			} else {
				go func() { _, _ = io.Copy(io.Discard, reader) }() // until the test closes it
			}
			setFileLimit(t, g, 3) // accepting fails for a moment, which net/http logs
			c, err := net.Dial("tcp", g.callerAddress)
			require.NoError(t, err)
			time.Sleep(500 * time.Millisecond)
			setFileLimit(t, g, 4096)
			require.NoError(t, c.Close())
			s.waitForStatus(0, 200, 5*time.Second)
			require.NoError(t, g.command.Process.Signal(syscall.SIGTERM))
			ended := make(chan error, 1)
			go func() { ended <- g.command.Wait() }()
			select {
			case err := <-ended:
				require.NoError(t, err)
			case <-time.After(graceTime):
				require.Fail(t, "the gateway did not end within its grace period")
			}
		})
	}
}

// setFileLimit sets the number of file descriptors that a gateway may have open.
func setFileLimit(t *testing.T, g *daemon, files uint64) {
	t.Helper()
	var limit unix.Rlimit
	require.NoError(t, unix.Prlimit(g.command.Process.Pid, unix.RLIMIT_NOFILE, nil, &limit))
	limit.Cur = files
	require.NoError(t, unix.Prlimit(g.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
}
