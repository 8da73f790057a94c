package control_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/control"
)

// Message is both the request and the reply of Echo.Say.
type Message struct{ Data []byte }

// Echo answers calls after a delay.
type Echo struct{ wait time.Duration }

// Say replies with the request.
func (e *Echo) Say(request Message, reply *Message) error {
	time.Sleep(e.wait)
	*reply = request
	return nil
}

func serve(t *testing.T, e *Echo) *control.Client {
	t.Helper()
	c := control.NewClient(serveAddress(t, e))
	t.Cleanup(c.Close)
	return c
}

func call(c *control.Client, limit time.Duration, request Message) (Message, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var reply Message
	err := c.Call(ctx, "Echo.Say", request, &reply)
	return reply, err
}

func TestCallReturnsTheReply(t *testing.T) {
	c := serve(t, &Echo{})
	reply, err := call(c, 10*time.Second, Message{Data: []byte("x")})
	require.NoError(t, err)
	require.Equal(t, []byte("x"), reply.Data)
}

// An answer that arrives after the call's deadline must not change the caller's reply.
func TestLateAnswerDoesNotChangeReply(t *testing.T) {
	c := serve(t, &Echo{wait: 100 * time.Millisecond})
	for range 20 {
		reply, err := call(c, 100*time.Millisecond, Message{Data: []byte("x")})
		if err != nil {
			require.Empty(t, reply.Data)
		}
	}
}

// A call to a peer that accepts the connection and then reads nothing must end at its
// deadline, also while a request larger than the socket buffers is being written.
func TestCallToPeerThatReadsNothingEndsAtDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		defer close(accepted)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte("HTTP/1.0 200 Connected to Go RPC\n\n"))
		accepted <- conn
	}()
	c := control.NewClient(l.Addr().String())
	returned := make(chan error, 1)
	go func() {
		_, err := call(c, 500*time.Millisecond, Message{Data: make([]byte, 64<<20)})
		returned <- err
	}()
	select {
	case err := <-returned:
		require.ErrorIs(t, err, context.DeadlineExceeded)
	case <-time.After(15 * time.Second):
		t.Error("the call did not return within 15 s")
	}
	require.NoError(t, l.Close())
	for conn := range accepted {
		require.NoError(t, conn.Close())
	}
}
