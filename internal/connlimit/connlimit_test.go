package connlimit_test

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

	"almondreel.example/almondreel/internal/connlimit"
)

const (
	fileLimit      = 300 // a Limiter assumes at least 200 sockets
	maxConnections = 100 // half of the sockets
)

// newServer starts a server that takes requestTime for each request.
func newServer(t *testing.T, requestTime *atomic.Int64) (*connlimit.Limiter, string) {
	t.Helper()
	limiter, address, _ := newCountingServer(t, requestTime)
	return limiter, address
}

// newCountingServer is like newServer and also returns the number of requests in
// progress.
func newCountingServer(t *testing.T, requestTime *atomic.Int64) (*connlimit.Limiter, string, *atomic.Int64) {
	t.Helper()
	limiter, running := connlimit.New(fileLimit), &atomic.Int64{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		time.Sleep(time.Duration(requestTime.Load()))
		_, _ = io.WriteString(w, "answer")
	}))
	s.Config.ConnState = limiter.Track
	s.Config.ReadHeaderTimeout = 20 * time.Second
	s.Config.IdleTimeout = 90 * time.Second
	s.Start()
	t.Cleanup(s.Close)
	return limiter, s.Listener.Addr().String(), running
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// sendRequest sends a request on a connection and reports whether the response was
// complete.
func sendRequest(c net.Conn) bool {
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	return readAnswer(c)
}

// readAnswer reports whether a complete response was read.
func readAnswer(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == "answer"
}

// closedByServer reports whether the server closed a connection.
func closedByServer(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

// Guards against callers that retry at once, each time on a new connection, and
// leave the old ones open until no socket is left. The longest idle connections are
// closed and requests on new ones are served.
func TestLongestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	var requestTime atomic.Int64
	limiter, address := newServer(t, &requestTime)
	var conns []net.Conn
	for range 3 * maxConnections {
		c := dial(t, address)
		require.True(t, sendRequest(c))
		conns = append(conns, c)
	}
	require.True(t, limiter.NearLimit())
	require.True(t, closedByServer(conns[0]))
	require.True(t, closedByServer(conns[maxConnections]))
	require.True(t, sendRequest(conns[len(conns)-1]))
	for _, c := range conns {
		_ = c.Close()
	}
	require.Eventually(t, func() bool { return !limiter.NearLimit() }, 3*time.Second, 10*time.Millisecond)
}

// Guards against connections that never send a request and use up the sockets.
func TestConnectionsWithoutRequestsAreClosedForNewOnes(t *testing.T) {
	var requestTime atomic.Int64
	_, address := newServer(t, &requestTime)
	idle := make([]net.Conn, 0, 3*maxConnections)
	for range 3 * maxConnections {
		idle = append(idle, dial(t, address))
	}
	require.Eventually(t, func() bool { return closedByServer(idle[0]) }, 5*time.Second, 10*time.Millisecond)
	require.True(t, sendRequest(dial(t, address)))
}

// Guards against closing the connection of a request in progress to make room.
func TestRequestsInProgressAreNotCutOff(t *testing.T) {
	var requestTime atomic.Int64
	limiter, address, running := newCountingServer(t, &requestTime)
	requestTime.Store(int64(600 * time.Millisecond))
	const inProgress = 90
	answers := make(chan bool, inProgress)
	for range inProgress {
		c := dial(t, address)
		go func() { answers <- sendRequest(c) }()
	}
	require.Eventually(t, func() bool { return running.Load() == inProgress }, 500*time.Millisecond, time.Millisecond)
	require.True(t, limiter.Full(), "the requests in progress exceed 35% of the sockets")
	for range 3 * maxConnections {
		dial(t, address)
	}
	for range inProgress {
		require.True(t, <-answers)
	}
	require.Eventually(t, func() bool { return !limiter.Full() }, 2*time.Second, time.Millisecond)
}

// Guards against a truncated response when a request arrives on a keep-alive
// connection that is being evicted. A request that the server has begun to read is
// answered in full.
func TestRequestReadDuringEvictionIsAnswered(t *testing.T) {
	var requestTime atomic.Int64
	limiter, address := newServer(t, &requestTime)
	var conns []net.Conn
	for range maxConnections {
		c := dial(t, address)
		require.True(t, sendRequest(c))
		conns = append(conns, c)
	}
	requestTime.Store(int64(20 * time.Millisecond))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for _, c := range conns {
			_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	}()
	for range maxConnections {
		dial(t, address)
	}
	<-sent
	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		head := make([]byte, 12)
		n, err := io.ReadFull(c, head)
		if n > 0 { // a response that began is complete
			require.NoError(t, err)
			require.Equal(t, "HTTP/1.1 200", string(head))
		}
	}
	require.Eventually(t, func() bool { return !limiter.Full() }, 2*time.Second, time.Millisecond)
}

// Guards against requests in progress that use up the sockets, as their connections are
// not idle. Once they end, new connections are served.
func TestConnectionsBeyondThoseInProgressAreClosed(t *testing.T) {
	const opened, bound = 2 * maxConnections, 120
	var requestTime atomic.Int64
	requestTime.Store(int64(time.Second))
	_, address, running := newCountingServer(t, &requestTime)
	for range opened {
		_, _ = fmt.Fprintf(dial(t, address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	require.LessOrEqual(t, running.Load(), int64(bound))
	require.Eventually(t, func() bool { return sendRequest(dial(t, address)) }, 10*time.Second, 50*time.Millisecond)
}

// Guards against connections that net/rpc has taken over and that are no longer counted.
func TestTakenOverConnectionsAreCounted(t *testing.T) {
	const bound = 12
	limiter := connlimit.NewFixed(10, 10)
	var taken atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		taken.Add(1)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}))
	s.Listener = connlimit.Listener{Listener: s.Listener, Limiter: limiter}
	s.Config.ConnState = limiter.Track
	s.Start()
	t.Cleanup(s.Close)
	address := s.Listener.Addr().String()
	var conns []net.Conn
	for range 2 * bound {
		c := dial(t, address)
		_, _ = fmt.Fprintf(c, "CONNECT / HTTP/1.0\r\n\r\n")
		conns = append(conns, c)
	}
	time.Sleep(100 * time.Millisecond)
	require.LessOrEqual(t, taken.Load(), int64(bound))
	require.Eventually(t, func() bool { // one that receives nothing makes room
		before := taken.Load()
		conns = append(conns, dial(t, address))
		_, _ = fmt.Fprintf(conns[len(conns)-1], "CONNECT / HTTP/1.0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		return taken.Load() > before
	}, 10*time.Second, 50*time.Millisecond)
	for _, c := range conns {
		_ = c.Close()
	}
	require.Eventually(t, func() bool { return limiter.Active() == 0 }, 5*time.Second, 5*time.Millisecond)
}
