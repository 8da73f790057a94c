package peerconn_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/peerconn"
)

// longUpload exceeds what the connection's buffers hold, so that it is still being
// written while the peer answers.
var longUpload = bytes.Repeat([]byte("u"), 8<<20)

// plays is how often a race of the peer's reset with the upload is played.
const plays = 40

// untilClose is a response whose body ends with its connection.
const untilClose = "HTTP/1.1 200 OK\r\nServer: s\r\n\r\npart of the body"

// listen accepts connections, one after the other, calls serve with each and closes it.
func listen(t *testing.T, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	t.Cleanup(func() { _ = l.Close(); <-ended })
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			serve(c.(*net.TCPConn))
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// dial connects to a peer as a transport does.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	transport := &http.Transport{}
	peerconn.NewTransport(transport)
	c, err := transport.DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	return c
}

// reset closes the connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// await waits until done is closed or the test ends.
func await(t *testing.T, done <-chan struct{}) {
	select {
	case <-done:
	case <-t.Context().Done():
	}
}

// A peer resets the connection after part of its response, and the kernel reports that to
// a write. The end of the data that follows must not pass for the end of the response.
func TestResetReportedToWriteIsNoEndOfResponse(t *testing.T) {
	connected, ended := make(chan struct{}), make(chan struct{})
	c := dial(t, listen(t, func(c *net.TCPConn) {
		await(t, connected)
		_, _ = io.WriteString(c, untilClose)
		reset(c)
		close(ended)
	}))
	close(connected)
	await(t, ended)
	_, err := io.WriteString(c, "upload")
	require.ErrorIs(t, err, syscall.ECONNRESET)
	text, err := io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Equal(t, untilClose, string(text))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET, "the connection stays aborted")
}

// A peer closes the connection after its whole response, and resets it as the upload goes
// on. The response is complete.
func TestResetAfterCloseIsEndOfResponse(t *testing.T) {
	connected, ended := make(chan struct{}), make(chan struct{})
	c := dial(t, listen(t, func(c *net.TCPConn) {
		await(t, connected)
		_, _ = io.WriteString(c, untilClose)
		_ = c.CloseWrite()
		reset(c)
		close(ended)
	}))
	close(connected)
	await(t, ended)
	_, err := io.WriteString(c, "upload")
	require.ErrorIs(t, err, syscall.EPIPE)
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, untilClose, string(text))
}

// A peer that reads no more of the upload ends its whole response. The response must
// neither wait for the upload nor fail with it.
func TestEndOfResponseDoesNotWaitForBlockedUpload(t *testing.T) {
	received := make(chan struct{})
	c := dial(t, listen(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, untilClose)
		_ = c.CloseWrite()
		await(t, received)
	}))
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(longUpload)
		sent <- err
	}()
	text, err := io.ReadAll(c)
	close(received)
	require.NoError(t, err)
	require.Equal(t, untilClose, string(text))
	if err := <-sent; !errors.Is(err, os.ErrDeadlineExceeded) {
		require.ErrorIs(t, err, syscall.EPIPE, "the upload is interrupted, or reset by the peer")
	}
}

// uploadHeads are the beginnings of responses, up to the part of the body that the peer sends.
var uploadHeads = map[string]string{
	"until close":           "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n",
	"until close, HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n",
	"length":                "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n",
	"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf4240\r\n",
}

// post sends the upload and returns the body of the response.
func post(ctx context.Context, c *http.Client, url string, upload []byte) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(upload))
	if err != nil {
		return "", err
	}
	response, err := c.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// A peer answers a long upload at once, sends part of its response and resets the
// connection while the upload is still being written. That part is no complete response.
func TestResetDuringUploadMakesTheBodyIncomplete(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS()
	defer server.Close()
	serverConfig := &tls.Config{Certificates: server.TLS.Certificates}
	for _, secure := range []bool{false, true} {
		for framing, head := range uploadHeads {
			t.Run(fmt.Sprintf("%s, TLS %t", framing, secure), func(t *testing.T) {
				play := 0
				address := listen(t, func(tcp *net.TCPConn) {
					var c net.Conn = tcp
					if secure {
						c = tls.Server(tcp, serverConfig)
					}
					_, _ = io.ReadFull(c, make([]byte, 1<<10))
					_, _ = io.WriteString(c, head)
					_, _ = io.WriteString(c, strings.Repeat("part of the body", 99))
					time.Sleep(time.Duration(play%4) * time.Millisecond)
					play++
					reset(tcp)
				})
				c := newClient(t)
				url := "http://" + address
				if secure {
					c.Transport = peerconn.NewTransport(server.Client().Transport.(*http.Transport).Clone())
					url = "https://" + address
				}
				complete := 0
				for range plays {
					if _, err := post(t.Context(), c, url, longUpload); err == nil {
						complete++
					}
				}
				require.Zero(t, complete, "of %d partial responses", plays)
			})
		}
	}
}

// The same happens to the second request of a connection.
func TestResetDuringUploadOnReusedConnectionMakesTheBodyIncomplete(t *testing.T) {
	for framing, head := range uploadHeads {
		t.Run(framing, func(t *testing.T) {
			play := 0
			address := listen(t, func(c *net.TCPConn) {
				requests := bufio.NewReader(c)
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				_, _ = io.WriteString(c, head+strings.Repeat("part of the body", 99))
				time.Sleep(time.Duration(play%4) * time.Millisecond)
				play++
				reset(c)
			})
			c := newClient(t)
			complete := 0
			for range plays {
				text, err := post(t.Context(), c, "http://"+address, nil)
				require.NoError(t, err)
				require.Equal(t, "whole", text)
				if _, err := post(t.Context(), c, "http://"+address, longUpload); err == nil {
					complete++
				}
			}
			require.Zero(t, complete, "of %d partial responses", plays)
		})
	}
}

// A peer answers a long upload at once with a whole response, closes its side of the
// connection, and reads on or does not. The response is passed on whole.
func TestEarlyResponseToUploadIsReadWhole(t *testing.T) {
	for _, readsOn := range []bool{false, true} {
		t.Run(fmt.Sprintf("reads on %t", readsOn), func(t *testing.T) {
			received := make(chan struct{}, 1)
			address := listen(t, func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, 1<<10))
				_, _ = io.WriteString(c, untilClose)
				_ = c.CloseWrite()
				if readsOn {
					_, _ = io.Copy(io.Discard, c)
				}
				await(t, received)
			})
			c := newClient(t)
			for range plays {
				text, err := post(t.Context(), c, "http://"+address, longUpload)
				received <- struct{}{}
				require.NoError(t, err)
				require.Equal(t, "part of the body", text)
			}
		})
	}
}

// The store answers a long write at once and resets the connection while the write is
// still being sent. The store may have made the write or not.
func TestSwapResetDuringUploadIsAmbiguous(t *testing.T) {
	for _, status := range []string{"200 OK", "409 Conflict"} {
		t.Run(status, func(t *testing.T) {
			play := 0
			address := listen(t, func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, 1<<10))
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nServer: s\r\n\r\n"+`{"Key":"k","Revision":7}`)
				time.Sleep(time.Duration(play%4) * time.Millisecond)
				play++
				reset(c)
			})
			settled := 0
			for range plays {
				var ambiguous *kv.Ambiguous
				if _, err := kv.NewClient("http://"+address).Swap(t.Context(), kv.Swap{Key: "k", Value: longUpload[:4<<20]}); !errors.As(err, &ambiguous) {
					settled++
				}
			}
			require.Zero(t, settled, "of %d writes", plays)
		})
	}
}
