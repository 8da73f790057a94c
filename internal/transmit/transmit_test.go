package transmit_test

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

	"almondreel.example/almondreel/internal/transmit"
)

// closer answers the first request of each connection and closes the
// connection after it has read a second one.
func closer(t *testing.T) (string, *atomic.Int64) {
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

// The trap: net/http sends a request with an Idempotency-Key again by itself.
func TestTransportRepeatsKeyedRequests(t *testing.T) {
	address, requests := closer(t)
	c := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader([]byte("x")))
		require.NoError(t, err)
		r.Header.Set("Idempotency-Key", "k")
		response, err := c.Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.EqualValues(t, 3, requests.Load(), "two requests reach the peer three times")
}

func TestSendNeverRepeats(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		address, requests := closer(t)
		c := transmit.NewClient()
		defer c.Close()
		for i := range 6 {
			header := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
			response, err := c.Send(context.Background(), transmit.Message{Address: address, Path: "/", Header: header, Body: []byte("x"), Fresh: fresh})
			if err == nil {
				require.NoError(t, response.Body.Close())
			} else {
				var unsent *transmit.Unsent
				require.False(t, errors.As(err, &unsent), "the peer read the request")
				require.False(t, fresh)
			}
			require.EqualValues(t, i+1, requests.Load())
		}
	}
}

func TestUnsentIsProvenOnlyWithoutAWrite(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	c := transmit.NewClient()
	defer c.Close()
	var unsent *transmit.Unsent

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Send(ctx, transmit.Message{Address: address, Path: "/", Body: []byte("x")})
	require.False(t, errors.As(err, &unsent), "the silent peer may have read the request")

	require.NoError(t, l.Close())
	_, err = c.Send(context.Background(), transmit.Message{Address: address, Path: "/", Body: []byte("x")})
	require.ErrorAs(t, err, &unsent)
	require.True(t, transmit.Refuses(address))
}
