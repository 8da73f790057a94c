package daemon_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/daemon"
	"almondreel.example/almondreel/internal/supervisor"
)

// unbufferedListener accepts one connection, on which a write waits until the peer reads.
type unbufferedListener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *unbufferedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *unbufferedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *unbufferedListener) Addr() net.Addr { return &net.TCPAddr{} }

// A gateway and an agent closed their connections 2 s and 5 s after their last request
// had been handled, while the end of an answer waited to be written to a slow reader.
func TestStopWaitsUntilEndOfAnswerIsWritten(t *testing.T) {
	const pause = 7 * time.Second // a caller may pause for 10 s
	for name, stop := range map[string]func(context.Context, *http.Server){"gateway": daemon.ShutDownCallers, "agent": daemon.ShutDownAgent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handled := make(chan struct{})
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer close(handled)
				_, _ = io.WriteString(w, "the whole answer") // stays in the server's buffer
			})}
			client, peer := net.Pipe()
			defer client.Close()
			listener := &unbufferedListener{accept: make(chan net.Conn, 1), closed: make(chan struct{})}
			listener.accept <- peer
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- supervisor.Serve(listener, server, stop)(ctx) }()
			request, err := http.NewRequest(http.MethodGet, "http://gateway/", nil)
			require.NoError(t, err)
			require.NoError(t, request.Write(client))
			<-handled
			cancel()
			time.Sleep(pause)
			response, err := http.ReadResponse(bufio.NewReader(client), request)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "the whole answer", string(body))
			require.ErrorIs(t, <-stopped, context.Canceled)
		})
	}
}
