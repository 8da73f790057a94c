package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/intake"
)

const (
	files = 300 // the fewest sockets that an intake reckons with: 200, half for callers
	most  = 100
)

// serve starts a server whose requests take as long as slow says.
func serve(t *testing.T, slow *atomic.Int64) (*intake.Intake, string) {
	t.Helper()
	k, address, _ := serveCounting(t, slow)
	return k, address
}

// serveCounting returns the requests that are in progress, too.
func serveCounting(t *testing.T, slow *atomic.Int64) (*intake.Intake, string, *atomic.Int64) {
	t.Helper()
	k, running := intake.New(files), &atomic.Int64{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		time.Sleep(time.Duration(slow.Load()))
		_, _ = io.WriteString(w, "answer")
	}))
	s.Config.ConnState = k.Track
	s.Config.ReadHeaderTimeout = 20 * time.Second
	s.Config.IdleTimeout = 90 * time.Second
	s.Start()
	t.Cleanup(s.Close)
	return k, s.Listener.Addr().String(), running
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// ask sends a request on a connection and reports whether it was answered.
func ask(c net.Conn) bool {
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	return answered(c)
}

func answered(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == "answer"
}

// ended reports whether the server closed a connection.
func ended(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

// Pattern: callers that repeat at once, each time on a new connection, and leave
// the old ones open. The longest idle ones end, new ones are always answered.
func TestTheLongestIdleConnectionsMakeRoom(t *testing.T) {
	var slow atomic.Int64
	k, address := serve(t, &slow)
	var all []net.Conn
	for range 3 * most {
		c := dial(t, address)
		require.True(t, ask(c))
		all = append(all, c)
	}
	require.True(t, k.Crowded())
	require.True(t, ended(all[0]))
	require.True(t, ended(all[most]))
	require.True(t, ask(all[len(all)-1]))
	for _, c := range all {
		_ = c.Close()
	}
	require.Eventually(t, func() bool { return !k.Crowded() }, 3*time.Second, 10*time.Millisecond)
}

func TestConnectionsThatNeverAskMakeRoom(t *testing.T) {
	var slow atomic.Int64
	_, address := serve(t, &slow)
	silent := make([]net.Conn, 0, 3*most)
	for range 3 * most {
		silent = append(silent, dial(t, address))
	}
	require.Eventually(t, func() bool { return ended(silent[0]) }, 5*time.Second, 10*time.Millisecond)
	require.True(t, ask(dial(t, address)))
}

// Requests in progress are never cut off to make room.
func TestRequestsInProgressAreNotCutOff(t *testing.T) {
	var slow atomic.Int64
	k, address, running := serveCounting(t, &slow)
	slow.Store(int64(600 * time.Millisecond))
	const busy = 90
	answers := make(chan bool, busy)
	for range busy {
		c := dial(t, address)
		go func() { answers <- ask(c) }()
	}
	require.Eventually(t, func() bool { return running.Load() == busy }, 500*time.Millisecond, time.Millisecond)
	require.True(t, k.Full(), "more than seven in twenty of the sockets")
	for range 3 * most {
		dial(t, address)
	}
	for range busy {
		require.True(t, <-answers)
	}
	require.Eventually(t, func() bool { return !k.Full() }, 2*time.Second, time.Millisecond)
}

// Pattern: requests on kept connections cross the end of these connections'
// time. One that the server has begun to read is answered.
func TestARequestThatCrossesTheEndOfItsConnection(t *testing.T) {
	var slow atomic.Int64
	k, address := serve(t, &slow)
	var kept []net.Conn
	for range most {
		c := dial(t, address)
		require.True(t, ask(c))
		kept = append(kept, c)
	}
	slow.Store(int64(20 * time.Millisecond))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for _, c := range kept {
			_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	}()
	for range most {
		dial(t, address)
	}
	<-sent
	for _, c := range kept {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		head := make([]byte, 12)
		n, err := io.ReadFull(c, head)
		if n > 0 { // an answer that began is whole
			require.NoError(t, err)
			require.Equal(t, "HTTP/1.1 200", string(head))
		}
	}
	require.Eventually(t, func() bool { return !k.Full() }, 2*time.Second, time.Millisecond)
}
