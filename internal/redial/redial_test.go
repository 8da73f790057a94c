package redial_test

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/redial"
)

// deaf listens without room for connections: further opening packets are dropped.
// It returns the number of those that it has taken.
func deaf(t *testing.T) (fd, taken int, address string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address = net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for ; taken < 8; taken++ {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return fd, taken, address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("connections are queued without bound")
	return fd, taken, address
}

// Pattern: a peer that had no power is back a moment after the first packet.
func TestAPeerThatIsBackIsReachedSoon(t *testing.T) {
	fd, taken, address := deaf(t)
	began := time.Now()
	accepted := time.AfterFunc(200*time.Millisecond, func() {
		for range taken {
			_, _, _ = syscall.Accept(fd)
		}
	})
	defer accepted.Stop()
	conn, err := redial.Dial(context.Background(), net.Dialer{Timeout: 3 * time.Second}, address)
	require.NoError(t, err)
	_ = conn.Close()
	require.Less(t, time.Since(began), 900*time.Millisecond, "the kernel would take a second")
}

func TestDialKeepsToItsTimeAndContext(t *testing.T) {
	_, _, address := deaf(t)
	began := time.Now()
	_, err := redial.Dial(context.Background(), net.Dialer{Timeout: 150 * time.Millisecond}, address)
	require.Error(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancel()
	_, err = redial.Dial(ctx, net.Dialer{Timeout: 10 * time.Second}, address)
	require.Error(t, err)
	require.Less(t, time.Since(began), 3*time.Second)
}

func TestARefusedConnectionIsNotTriedAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = redial.Dial(context.Background(), net.Dialer{Timeout: 5 * time.Second}, address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
