package control

import (
	"net"

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
