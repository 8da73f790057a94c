package backendproxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/settings"
)

// startEarly starts a service that answers each call before it has read the body, with the
// text, and resets the connection up to 3 ms after that.
func startEarly(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	t.Cleanup(func() { _ = l.Close(); <-ended })
	go func() {
		defer close(ended)
		for calls := 0; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
				time.Sleep(time.Duration(calls%4) * time.Millisecond)
				calls++ // connections that only probe the service don't count
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// A service answers a long call at once, sends part of its answer and resets the
// connection while the call is still being written. Callers must not get that part as a
// whole answer, nor the promise that the call was not run.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	const plays = 40
	body := bytes.Repeat([]byte("u"), 8<<20)
	for framing, text := range map[string]string{
		"until close":           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe first half",
		"until close, HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\nthe first half",
		"length":                "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\nthe first half",
		"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nthe first half\r\n",
	} {
		t.Run(framing, func(t *testing.T) {
			p := newScriptedProxy(startEarly(t, text), settings.KindPlain, "")
			whole := 0
			for n := range plays {
				response := testDispatch{attempt: fmt.Sprint("a", n), deadline: year2100, body: body}.sendTo(p)
				_, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.Empty(t, response.Header.Get(agent.HeaderRefused))
				if response.Trailer.Get(agent.TrailerEnd) == agent.EndWhole {
					whole++
				}
			}
			require.Zero(t, whole, "of %d partial answers", plays)
		})
	}
}
