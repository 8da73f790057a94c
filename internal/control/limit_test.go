package control_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/control"
)

const (
	connected = "HTTP/1.0 200 Connected to Go RPC\n\n"
	// maxPeerHeap bounds the heap that a process may need for faulty peers. The smallest
	// instances have 152 MB.
	maxPeerHeap = 48 << 20
)

// gigabyte is the gob length of a message of 1 GB.
var gigabyte = []byte{0xfc, 0x3f, 0xff, 0xff, 0xff}

// messageOf returns the gob length of a message of fewer than 1 << 24 bytes.
func messageOf(bytes int) []byte {
	return []byte{0xfd, byte(bytes >> 16), byte(bytes >> 8), byte(bytes)}
}

// endlessPeer listens and sends each caller head, message once the first call arrives, and
// then filler without end.
func endlessPeer(t *testing.T, head, message []byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = conn.Write(head)
			if len(message) > 0 {
				_, _ = conn.Read(make([]byte, 1))
			}
			sendEndless(conn, message)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
	})
	return l.Addr().String()
}

// sendEndless writes head and filler until the peer closes the connection.
func sendEndless(conn net.Conn, head []byte) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err := conn.Write(head)
	for filler := bytes.Repeat([]byte("x"), 64<<10); err == nil; {
		_, err = conn.Write(filler)
	}
}

// watchHeap returns a function that stops watching and returns how many bytes the heap
// grew.
func watchHeap(t *testing.T) func() int64 {
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(t.Context())
	peak, ended := atomic.Int64{}, make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak.Store(max(peak.Load(), int64(now.HeapAlloc)-int64(before.HeapAlloc)))
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return func() int64 {
		cancel()
		<-ended
		return peak.Load()
	}
}

// Guards against a process that runs out of memory as a peer sends bytes without end, in
// place of its answer to CONNECT or of a reply.
func TestEndlessAnswerOfPeerIsNotKept(t *testing.T) {
	for name, sent := range map[string]struct{ head, message []byte }{
		"status line":         {head: []byte("HTTP/1.0 200 ")},
		"header":              {head: []byte("HTTP/1.0 200 Connected to Go RPC\nA: ")},
		"message of 1 GB":     {[]byte(connected), gigabyte},
		"length of 16 EB":     {[]byte(connected), []byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		"length of 128 bytes": {[]byte(connected), []byte{0x80}},
	} {
		t.Run(name, func(t *testing.T) {
			c := control.NewClient(endlessPeer(t, sent.head, sent.message))
			defer c.Close()
			grown := watchHeap(t)
			startedAt := time.Now()
			_, err := call(c, 2*time.Second, Message{Data: []byte("x")})
			require.Error(t, err)
			require.Less(t, time.Since(startedAt), time.Second, "the connection ends once it exceeds the limits")
			require.Less(t, grown(), int64(maxPeerHeap))
		})
	}
}

func serveAddress(t *testing.T, e *Echo) string {
	handler, err := control.Handle(map[string]any{"Echo": e})
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(control.Path, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// connect returns a connection on which the server has accepted CONNECT.
func connect(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "CONNECT "+control.Path+" HTTP/1.0\n\n")
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, len(connected)))
	require.NoError(t, err)
	return conn
}

// Guards against a process that runs out of memory as callers send it messages without
// end, one or many at the same time.
func TestEndlessMessagesOfCallersAreNotKept(t *testing.T) {
	const callers = 24
	address := serveAddress(t, &Echo{})
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i] = connect(t, address)
	}
	longest := append(messageOf(4<<20), make([]byte, 4<<20)...) // decoding it fails
	grown := watchHeap(t)
	ended := make(chan struct{}, callers)
	for i, conn := range conns {
		head := gigabyte
		if i%2 == 0 {
			head = longest
		}
		go func() {
			sendEndless(conn, head)
			ended <- struct{}{}
		}()
	}
	requireEchoes(t, address, 1<<10) // a sound caller beside them
	for range conns {
		<-ended
	}
	require.Less(t, grown(), int64(maxPeerHeap))
	requireEchoes(t, address, 1<<20)
}

// Guards against a process that runs out of memory as many of its peers send answers
// without end at the same time, each within the limit of one message.
func TestEndlessAnswersOfManyPeersAreBoundedInSum(t *testing.T) {
	const peers = 16
	sound := serveAddress(t, &Echo{})
	var clients []*control.Client
	for range peers {
		clients = append(clients, control.NewClient(endlessPeer(t, []byte(connected), messageOf(4<<20))))
	}
	grown := watchHeap(t)
	failed := make(chan error, peers)
	for _, c := range clients {
		go func() {
			defer c.Close()
			_, err := call(c, 5*time.Second, Message{Data: []byte("x")})
			failed <- err
		}()
	}
	requireEchoes(t, sound, 1<<10)
	for range clients {
		require.Error(t, <-failed)
	}
	require.Less(t, grown(), int64(maxPeerHeap))
	requireEchoes(t, sound, 1<<20)
}

func requireEchoes(t *testing.T, address string, size int) {
	t.Helper()
	c := control.NewClient(address)
	defer c.Close()
	reply, err := call(c, 10*time.Second, Message{Data: make([]byte, size)})
	require.NoError(t, err)
	require.Len(t, reply.Data, size)
}

// Guards against peers that begin long messages and never end them: they would use up the
// memory for messages, and keep all others from being received.
func TestMessagesThatStallReturnTheirMemory(t *testing.T) {
	const stalled = 6
	address := serveAddress(t, &Echo{})
	for range stalled {
		_, err := connect(t, address).Write(messageOf(7 << 19))
		require.NoError(t, err)
	}
	time.Sleep(100 * time.Millisecond)
	requireEchoes(t, address, 1<<10) // small messages need no share of that memory
	c := control.NewClient(address)
	defer c.Close()
	require.Eventually(t, func() bool {
		_, err := call(c, time.Second, Message{Data: make([]byte, 3<<20)})
		return err == nil
	}, 15*time.Second, 100*time.Millisecond)
}

// Guards against memory for messages that is not returned, and against messages that are
// cut where lengths and contents arrive in pieces.
func TestLongMessagesInARowAreReceived(t *testing.T) {
	address := serveAddress(t, &Echo{})
	for _, size := range []int{0, 1, 127, 128, 4000, 4096, 5000, 64 << 10} {
		requireEchoes(t, address, size)
	}
	c := control.NewClient(address)
	defer c.Close()
	for range 20 {
		reply, err := call(c, 10*time.Second, Message{Data: make([]byte, 3<<20)})
		require.NoError(t, err)
		require.Len(t, reply.Data, 3<<20)
	}
	small, err := call(c, 10*time.Second, Message{Data: []byte("x")})
	require.NoError(t, err)
	require.Equal(t, []byte("x"), small.Data)
}
