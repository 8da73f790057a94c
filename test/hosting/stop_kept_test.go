package hosting_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// callOnKeptConnection sends calls over one connection, with random pauses of at most
// maxPause between them, until the gateway closes it. It counts the answered calls, and
// returns the attempt that got no whole answer, "" if there is none.
func callOnKeptConnection(address, prefix string, maxPause time.Duration, answered *atomic.Int64) (unanswered string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return ""
	}
	defer conn.Close()
	c, answers := caller.New(address), bufio.NewReader(conn)
	for n := 0; ; n++ {
		attempt := fmt.Sprint(prefix, "-", n)
		if c.Write(conn, standin.OncePath+"x", attempt, apiKey, time.Now().Add(requestTimeout)) != nil {
			return attempt
		}
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			return attempt
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			return attempt
		}
		answered.Add(1)
		if response.Close {
			return ""
		}
		time.Sleep(rand.N(maxPause))
	}
}

// At SIGTERM the gateway closed kept connections as idle although the next request had
// just been read from them. The request was passed on and its answer was lost.
func TestStopsCutNoRequestOnKeptConnection(t *testing.T) {
	const stops, callers = 20, 80
	s := startSite(t, options{gateways: 1, engines: 1})
	g := s.gateways[0]
	for stop := range stops {
		s.waitForVersion(0, 1, 10*time.Second)
		var answered atomic.Int64
		results := make(chan string, callers)
		for n := range callers {
			go func() {
				results <- callOnKeptConnection(g.callerAddress, fmt.Sprint("kept-", stop, "-", n), time.Duration(1+n)*50*time.Microsecond, &answered)
			}()
		}
		s.eventually(5*time.Second, "connections are used again", func() bool { return answered.Load() > callers })
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, g.command.Process.Signal(syscall.SIGTERM))
		var unanswered []string
		for range callers {
			if attempt := <-results; attempt != "" {
				unanswered = append(unanswered, attempt)
			}
		}
		for _, r := range s.ledger.Runs() {
			require.NotContains(t, unanswered, r.Attempt, "ran and got no answer")
		}
		require.NotRegexp(t, `Outcome="Cancelled"|Reason="(Caller|Gateway)`, g.log.String(), "the gateway had read a request and closed its connection")
		g.kill() // no request is in progress
		g.start(t)
	}
}
