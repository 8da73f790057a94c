package control_test

import (
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/control"
)

type slowReceiver struct {
	running, peak atomic.Int64
	release       chan struct{}
}

func (s *slowReceiver) Wait(_ struct{ A int }, _ *struct{ A int }) error {
	if n := s.running.Add(1); n > s.peak.Load() {
		s.peak.Store(n)
	}
	<-s.release
	s.running.Add(-1)
	return nil
}

// Guards against a goroutine for each call of a peer that reads no answer. All calls are
// answered once the first ones are.
func TestCallsOfOneConnectionAreBounded(t *testing.T) {
	const calls, bound = 500, 64
	s := &slowReceiver{release: make(chan struct{})}
	handler, err := control.Handle(map[string]any{"Slow": s})
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "CONNECT %s HTTP/1.0\r\n\r\n", control.Path)
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, len("HTTP/1.0 200 Connected to Go RPC\n\n")))
	require.NoError(t, err)
	encoder := gob.NewEncoder(conn)
	for n := range uint64(calls) {
		require.NoError(t, encoder.Encode(rpc.Request{ServiceMethod: "Slow.Wait", Seq: n}))
		require.NoError(t, encoder.Encode(struct{ A int }{1}))
	}
	require.Eventually(t, func() bool { return s.running.Load() == bound }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, int64(bound), s.peak.Load())
	close(s.release)
	decoder := gob.NewDecoder(conn)
	for range calls {
		var response rpc.Response
		require.NoError(t, decoder.Decode(&response))
		require.NoError(t, decoder.Decode(&struct{ A int }{}))
		require.Empty(t, response.Error)
	}
}
