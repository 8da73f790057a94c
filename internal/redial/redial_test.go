package redial_test

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/process"
	"almondreel.example/almondreel/internal/redial"
)

// listenWithFullBacklog listens with a full accept queue, so that the kernel drops
// further SYNs. It returns the socket, the number of queued connections and the address.
func listenWithFullBacklog(t *testing.T) (fd, queued int, address string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address = net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for ; queued < 8; queued++ {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return fd, queued, address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the accept queue does not fill up")
	return fd, queued, address
}

// A peer without power drops the first SYN and is back shortly afterwards. Dial must
// not wait for the kernel's retransmission.
func TestDialReachesReturnedPeerBeforeKernelRetransmit(t *testing.T) {
	fd, queued, address := listenWithFullBacklog(t)
	began := time.Now()
	accepted := time.AfterFunc(200*time.Millisecond, func() {
		for range queued {
			_, _, _ = syscall.Accept(fd)
		}
	})
	defer accepted.Stop()
	conn, err := redial.Dial(context.Background(), net.Dialer{Timeout: 3 * time.Second}, address)
	require.NoError(t, err)
	_ = conn.Close()
	require.Less(t, time.Since(began), 900*time.Millisecond, "the kernel retransmits only after a second")
}

func TestDialRespectsTimeoutAndContext(t *testing.T) {
	_, _, address := listenWithFullBacklog(t)
	began := time.Now()
	_, err := redial.Dial(context.Background(), net.Dialer{Timeout: 150 * time.Millisecond}, address)
	require.Error(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancel()
	_, err = redial.Dial(ctx, net.Dialer{Timeout: 10 * time.Second}, address)
	require.Error(t, err)
	require.Less(t, time.Since(began), 3*time.Second)
}

func TestDialDoesNotRetryRefusedConnection(t *testing.T) {
	ports, err := process.Reserve(1)
	require.NoError(t, err)
	defer ports.Release()
	_, err = redial.Dial(context.Background(), net.Dialer{Timeout: 5 * time.Second}, ports.Next())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
