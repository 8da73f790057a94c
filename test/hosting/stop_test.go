package hosting_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const (
	// slowEventMS makes a stream last about a second.
	slowEventMS = 100
	// graceTime is the GraceSeconds setting of gateways without another one.
	graceTime = 8 * time.Second
)

// sendMany sends n stream requests to a gateway at once and returns their outcomes.
func (s *site) sendMany(gateway, n int) <-chan caller.Outcome {
	outcomes := make(chan caller.Outcome, n)
	for range n {
		go func() { outcomes <- s.send(gateway, apiKey) }()
	}
	return outcomes
}

// startStreams sends n stream requests to a gateway, and returns their outcomes on a
// channel once they are in progress.
func (s *site) startStreams(gateway, n int) <-chan caller.Outcome {
	s.t.Helper()
	for _, e := range s.engines {
		e.SetEventMS(slowEventMS)
	}
	before := len(s.engines[0].Runs())
	outcomes := s.sendMany(gateway, n)
	s.eventually(time.Second, "the engine runs the streams", func() bool { return len(s.engines[0].Runs()) == before+n })
	return outcomes
}

// requireWholeStreams requires that all n streams end complete.
func requireWholeStreams(t *testing.T, outcomes <-chan caller.Outcome, n int) {
	t.Helper()
	for range n {
		o := <-outcomes
		require.NoError(t, o.Err)
		require.Equal(t, 200, o.Status)
		require.NoError(t, o.CheckStream())
	}
}

// A second stop signal ended the gateway at once, in the middle of its streams.
func TestRepeatedStopSignalsInterruptNoStream(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM twice":        {syscall.SIGTERM, syscall.SIGTERM},
		"SIGTERM then SIGINT":  {syscall.SIGTERM, syscall.SIGINT},
		"SIGINT twice":         {syscall.SIGINT, syscall.SIGINT},
		"a series of all":      {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM},
		"SIGPIPE then SIGTERM": {syscall.SIGPIPE, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, options{gateways: 1, engines: 1})
			g := s.gateways[0]
			s.waitForVersion(0, 1, 10*time.Second)
			outcomes := s.startStreams(0, 3)
			for _, signal := range signals {
				require.NoError(t, g.command.Process.Signal(signal))
				time.Sleep(100 * time.Millisecond)
			}
			requireWholeStreams(t, outcomes, 3)
			require.NoError(t, g.command.Wait())
			require.Contains(t, g.log.String(), "program stopped")
		})
	}
}

// startWithPipe restarts a gateway with its output in a pipe, and returns the end to
// read it from once the gateway serves.
func (s *site) startWithPipe(gateway int) *os.File {
	s.t.Helper()
	g := s.gateways[gateway]
	g.kill()
	reader, writer, err := os.Pipe()
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = reader.Close() }) // a test may have closed it
	g.command = exec.Command(filepath.Join(programs, g.program), "--settings", g.file)
	g.command.Stdout, g.command.Stderr = writer, writer
	require.NoError(s.t, g.command.Start())
	require.NoError(s.t, writer.Close())
	_, err = bufio.NewReaderSize(reader, 16).ReadString('\n')
	require.NoError(s.t, err)
	return reader
}

// A gateway whose log nobody read any more ended at its next log line, in the middle of
// its streams.
func TestGatewayOutlivesLogReader(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	g := s.gateways[0]
	s.waitForVersion(0, 1, 10*time.Second)
	reader := s.startWithPipe(0)
	s.waitForVersion(0, 1, 10*time.Second)
	outcomes := s.startStreams(0, 3)
	require.NoError(t, reader.Close())
	require.NoError(t, g.command.Process.Signal(syscall.SIGHUP)) // writes a log line
	requireWholeStreams(t, outcomes, 3)
	outcomes = s.startStreams(0, 3)
	require.NoError(t, g.command.Process.Signal(syscall.SIGTERM))
	requireWholeStreams(t, outcomes, 3)
	require.NoError(t, g.command.Wait())
}

// A gateway whose log reader stalls must serve, and must stop within its grace period.
func TestGatewayStopsWhileLogReaderStalls(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	g := s.gateways[0]
	s.waitForVersion(0, 1, 10*time.Second)
	s.startWithPipe(0)
	s.waitForVersion(0, 1, 10*time.Second)
	fillPipe(t, g)
	outcomes := s.startStreams(0, 3)
	require.NoError(t, g.command.Process.Signal(syscall.SIGTERM))
	requireWholeStreams(t, outcomes, 3)
	ended := make(chan error, 1)
	go func() { ended <- g.command.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(graceTime):
		require.Fail(t, "the gateway did not end within its grace period")
	}
}

// fillPipe makes the gateway log more than the pipe to the reader of its log holds.
func fillPipe(t *testing.T, g *daemon) {
	t.Helper()
	const lines = 1500
	for range lines {
		require.NoError(t, g.command.Process.Signal(syscall.SIGHUP)) // writes a log line
		time.Sleep(time.Millisecond)
	}
}

// A gateway that was told to stop just after it had begun to listen was ended by the
// signal, without a drain.
func TestStopDuringStartDrains(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	g := s.gateways[0]
	s.waitForVersion(0, 1, 10*time.Second)
	for range 20 {
		g.kill()
		g.start(t)
		s.eventuallyAtOnce(5*time.Second, "the gateway listens", func() bool {
			c, err := net.Dial("tcp", g.callerAddress)
			if err == nil {
				_ = c.Close()
			}
			return err == nil
		})
		require.NoError(t, g.command.Process.Signal(syscall.SIGTERM))
		require.NoError(t, g.command.Wait(), "the gateway ended without a drain")
	}
}

// eventuallyAtOnce is eventually without a pause between calls of condition.
func (s *site) eventuallyAtOnce(timeout time.Duration, what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); {
		require.True(s.t, time.Now().Before(deadline), "%s: not within %s", what, timeout)
	}
}

// During a stop a caller goes on to send requests over its kept connections until the
// gateway is gone. A request without an answer must not have reached a backend server.
func TestRequestsOnKeptConnectionsDuringStop(t *testing.T) {
	const callers = 24
	s := startSite(t, options{gateways: 1, engines: 2})
	g := s.gateways[0]
	s.waitForVersion(0, 1, 10*time.Second)
	for _, e := range s.engines {
		e.SetEventMS(1)
	}
	type result struct{ answered, refused, unanswered []caller.Outcome }
	results := make(chan result, callers)
	for n := range callers {
		go func() {
			var r result
			defer func() { results <- r }()
			c := caller.New(g.callerAddress)
			defer c.Close()
			for i := 0; len(r.unanswered) < 20; i++ {
				path := standin.StreamPath
				if n%2 == 0 {
					path = standin.OncePath
				}
				o := c.Send(s.t.Context(), path+"x", fmt.Sprintf("kept-%d-%d", n, i), apiKey, time.Now().Add(requestTimeout))
				switch {
				case o.Status == 0:
					r.unanswered = append(r.unanswered, o)
				case o.NotRun():
					r.refused = append(r.refused, o)
				default:
					r.answered = append(r.answered, o)
				}
				if path == standin.StreamPath && o.Status == 200 && o.CheckStream() != nil {
					r.unanswered = append(r.unanswered, o)
				}
				time.Sleep(time.Duration(n%7) * time.Millisecond)
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	require.NoError(t, g.command.Process.Signal(syscall.SIGTERM))
	require.NoError(t, g.command.Wait())
	ran := map[string]int{}
	for _, r := range s.runsOf("kept-") {
		ran[r.Attempt]++
	}
	for _, r := range s.ledger.Runs() {
		ran[r.Attempt]++
	}
	answered := 0
	for range callers {
		r := <-results
		answered += len(r.answered)
		for _, o := range append(r.unanswered, r.refused...) {
			require.Zero(t, ran[o.Attempt], "%s ran and got no answer: status %d, %v", o.Attempt, o.Status, o.Err)
		}
	}
	require.Greater(t, answered, 100)
}
