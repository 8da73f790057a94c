package atmostonce_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/process"
)

// newClosingServer starts a server that responds to the first request on each
// connection, and closes the connection after it has read the second one. It also
// returns the number of requests read.
func newClosingServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	requests := &atomic.Int64{}
	ended := make(chan struct{})
	t.Cleanup(func() { <-ended })
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		defer close(ended)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn, requests)
		}
	}()
	return l.Addr().String(), requests
}

func serve(conn net.Conn, requests *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// Shows the behaviour of net/http that this package avoids: the transport repeats a
// request with an Idempotency-Key header by itself.
func TestHTTPTransportRepeatsRequestWithIdempotencyKey(t *testing.T) {
	address, requests := newClosingServer(t)
	c := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader([]byte("x")))
		require.NoError(t, err)
		r.Header.Set("Idempotency-Key", "k")
		response, err := c.Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.EqualValues(t, 3, requests.Load(), "the peer reads three requests for two that were sent")
}

// Guards against the repeats shown above, on reused and on new connections.
func TestSendNeverRepeatsARequest(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		address, requests := newClosingServer(t)
		c := atmostonce.NewClient()
		defer c.Close()
		for i := range 6 {
			header := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
			response, err := c.Send(context.Background(), atmostonce.Request{Address: address, Path: "/", Header: header, Body: []byte("x"), NewConn: fresh})
			if err == nil {
				require.NoError(t, response.Body.Close())
			} else {
				var notSent *atmostonce.NotSentError
				require.False(t, errors.As(err, &notSent), "the peer read the request")
				require.False(t, fresh)
			}
			require.EqualValues(t, i+1, requests.Load())
		}
	}
}

// Guards against reporting a request as not sent although the peer may have read it.
func TestNotSentErrorOnlyIfNoByteWasWritten(t *testing.T) {
	ports, err := process.Reserve(1)
	require.NoError(t, err)
	defer ports.Release()
	l, err := ports.Listen()
	require.NoError(t, err)
	address := l.Addr().String()
	c := atmostonce.NewClient()
	defer c.Close()
	var notSent *atmostonce.NotSentError

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Send(ctx, atmostonce.Request{Address: address, Path: "/", Body: []byte("x")})
	require.False(t, errors.As(err, &notSent), "the unresponsive peer may have read the request")

	require.NoError(t, l.Close())
	_, err = c.Send(context.Background(), atmostonce.Request{Address: address, Path: "/", Body: []byte("x")})
	require.ErrorAs(t, err, &notSent)
	require.True(t, atmostonce.AnyProbeRefused(address))
}
