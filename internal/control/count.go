package control

import (
	"bufio"
	"net"
	"net/http"

	"almondreel.example/almondreel/internal/counter"
)

// countingConn counts the bytes of calls and answers in the process's metrics. Clients
// and servers use it.
type countingConn struct{ net.Conn }

// Read reads from the connection and counts the received bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	counter.Add("ControlReceivedBytes", int64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	counter.Add("ControlSentBytes", int64(n))
	return n, err
}

// limitConns wraps a handler that hijacks its connections, counts their bytes and bounds
// the messages that it receives.
func limitConns(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(limitingWriter{w}, r)
	})
}

type limitingWriter struct{ http.ResponseWriter }

// Hijack takes over the connection and wraps it in a countingConn and a limitedConn.
func (w limitingWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffered, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	return newLimitedConn(countingConn{conn}), buffered, nil
}
