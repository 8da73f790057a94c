package faultproxy_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/standin"
	"almondreel.example/almondreel/internal/standin/faultproxy"
)

// waitTimeout bounds the wait for expected data; quietTime is how long a test
// checks that no data arrives.
const (
	waitTimeout = 10 * time.Second
	quietTime   = 100 * time.Millisecond
)

// startEchoServer starts a server that sends back what it receives and returns its
// address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func startRoute(t *testing.T) *faultproxy.Route {
	route, err := faultproxy.Start("127.0.0.1:0", startEchoServer(t))
	require.NoError(t, err)
	t.Cleanup(route.Close)
	return route
}

func dial(t *testing.T, r *faultproxy.Route) *net.TCPConn {
	conn, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return conn.(*net.TCPConn)
}

func send(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

func expect(t *testing.T, conn net.Conn, text string) {
	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
}

func expectNoData(t *testing.T, conn net.Conn) {
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(quietTime)))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "want a read timeout, got: %v", err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
}

func TestPassForwardsBytesAndEndOfStream(t *testing.T) {
	conn := dial(t, startRoute(t))
	data := bytes.Repeat([]byte("almond"), 1<<18)
	sent := make(chan error, 1)
	go func() {
		_, err := conn.Write(data)
		if err == nil {
			err = conn.CloseWrite()
		}
		sent <- err
	}()
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.NoError(t, <-sent)
	require.True(t, bytes.Equal(data, got))
}

func TestDelayAndRateKeepBytesInOrder(t *testing.T) {
	for name, fault := range map[string]faultproxy.Fault{
		"delay": faultproxy.Delay{Milliseconds: 30},
		"rate":  faultproxy.Rate{BytesPerSecond: 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			r := startRoute(t)
			require.NoError(t, r.Set(faultproxy.Faults{ToTarget: fault, ToCaller: fault}))
			conn := dial(t, r)
			text := strings.Repeat("0123456789", 10000)
			send(t, conn, text)
			expect(t, conn, text)
		})
	}
}

func TestStallHoldsBytesUntilCleared(t *testing.T) {
	r := startRoute(t)
	conn := dial(t, r)
	send(t, conn, "first")
	expect(t, conn, "first")
	require.NoError(t, r.Set(faultproxy.Faults{ToCaller: faultproxy.Stall{}}))
	send(t, conn, "second")
	expectNoData(t, conn)
	require.NoError(t, r.Set(faultproxy.Faults{}))
	expect(t, conn, "second")
}

func TestBlackholeDropsOneDirection(t *testing.T) {
	r := startRoute(t)
	conn := dial(t, r)
	require.NoError(t, r.Set(faultproxy.Faults{ToTarget: faultproxy.Blackhole{}}))
	send(t, conn, "lost")
	expectNoData(t, conn)
	require.NoError(t, r.Set(faultproxy.Faults{}))
	send(t, conn, "kept")
	expect(t, conn, "kept")
}

func TestCutAfterForwardsExactByteCount(t *testing.T) {
	r := startRoute(t)
	require.NoError(t, r.Set(faultproxy.Faults{ToCaller: faultproxy.CutAfter{Bytes: 5}}))
	conn := dial(t, r)
	send(t, conn, "0123456789")
	got, err := io.ReadAll(conn)
	require.Error(t, err)
	require.Equal(t, "01234", string(got))
}

func TestCutResetsOpenConnections(t *testing.T) {
	r := startRoute(t)
	conn := dial(t, r)
	send(t, conn, "open")
	expect(t, conn, "open")
	require.NoError(t, r.Set(faultproxy.Faults{ToTarget: faultproxy.Cut{}}))
	_, err := io.ReadAll(conn)
	require.Error(t, err)
}

func TestRefuseRejectsOnlyNewConnections(t *testing.T) {
	r := startRoute(t)
	open := dial(t, r)
	send(t, open, "open")
	expect(t, open, "open")
	require.NoError(t, r.Set(faultproxy.Faults{Refuse: true}))
	_, err := net.Dial("tcp", r.Address())
	require.Error(t, err)
	send(t, open, "still open")
	expect(t, open, "still open")
	require.NoError(t, r.Set(faultproxy.Faults{}))
	reconnected := dial(t, r)
	send(t, reconnected, "again")
	expect(t, reconnected, "again")
}

func TestControlSetsFaultsPerRoute(t *testing.T) {
	one, two := startRoute(t), startRoute(t)
	control := httptest.NewServer(faultproxy.NewControl([]*faultproxy.Route{one, two}))
	defer control.Close()
	put := func(body string) int {
		request, err := http.NewRequest(http.MethodPut, control.URL+standin.FaultsPath, strings.NewReader(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	body := `[{"Listen":"` + two.Address() + `","ToCaller":{"Fault":"Delay","Milliseconds":7}}]`
	require.Equal(t, http.StatusOK, put(body))
	require.Equal(t, faultproxy.Pass{}, one.Faults().ToCaller)
	require.Equal(t, faultproxy.Delay{Milliseconds: 7}, two.Faults().ToCaller)
	require.Equal(t, http.StatusBadRequest, put(`[{"Listen":"`+two.Address()+`","ToCaller":{"Fault":"Melt"}}]`))
	require.Equal(t, http.StatusBadRequest, put(`[{"Listen":"127.0.0.1:1"}]`))
	require.Equal(t, http.StatusBadRequest, put(`[{"Colour":"red"}]`))
}
