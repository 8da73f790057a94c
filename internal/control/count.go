package control

import (
	"bufio"
	"net"
	"net/http"

	"almondreel.example/almondreel/internal/counter"
)

// countedConn counts the bytes of calls and answers, of both ends of a connection.
type countedConn struct{ net.Conn }

// Read counts what was received.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	counter.Add("ControlReceivedBytes", int64(n))
	return n, err
}

// Write counts what was sent.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	counter.Add("ControlSentBytes", int64(n))
	return n, err
}

// counted serves a handler that takes the connection over, and counts its bytes.
func counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(countedWriter{w}, r)
	})
}

type countedWriter struct{ http.ResponseWriter }

// Hijack hands the connection over.
func (w countedWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffered, err := http.NewResponseController(w.ResponseWriter).Hijack()
	return countedConn{conn}, buffered, err
}
