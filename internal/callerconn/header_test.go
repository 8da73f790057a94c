package callerconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/callermemory"
)

// startServer starts a server that reads bodies and bounds headers.
func startServer(t *testing.T, memory *callermemory.Account) string {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	server.Listener = callerconn.Listener{Listener: server.Listener, Memory: memory}
	server.Config.ConnState = callerconn.Track
	server.Start()
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// answer sends text on a connection and returns the status of the answer, or 0 if there is
// no whole one.
func answer(t *testing.T, c net.Conn, reader *bufio.Reader, text string) int {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, text) // the server may have closed the connection
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func head(fields int) string {
	var text strings.Builder
	text.WriteString("POST / HTTP/1.1\r\nHost: h\r\n")
	for n := range fields {
		fmt.Fprintf(&text, "F%d: b\r\n", n)
	}
	return text.String()
}

// Guards against headers of very many short fields, for which net/http uses many times
// their bytes. Bodies with many lines and later requests on the connection are served.
func TestHeaderFieldsAreBounded(t *testing.T) {
	memory := callermemory.New(1 << 20)
	address := startServer(t, memory)
	for _, c := range []struct {
		fields int
		served bool
	}{{10, true}, {1000, true}, {1100, false}} {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		for range 3 {
			status := answer(t, conn, reader, head(c.fields)+"Content-Length: 5000\r\n\r\n"+strings.Repeat("\n", 5000))
			require.Equal(t, c.served, status == http.StatusOK, "%d fields: status %d", c.fields, status)
		}
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool { return memory.Used() == 0 }, 5*time.Second, 5*time.Millisecond)
}

// Guards against many long headers at the same time, each within the limit on its fields.
func TestLongHeadersTogetherAreBounded(t *testing.T) {
	const capacity = 1 << 20
	memory := callermemory.New(capacity)
	address := startServer(t, memory)
	for range 50 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer conn.Close()
		_, _ = io.WriteString(conn, head(1000))
		require.LessOrEqual(t, memory.Used(), int64(capacity))
	}
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.Equal(t, 200, answer(t, conn, bufio.NewReader(conn), head(10)+"\r\n"))
}
