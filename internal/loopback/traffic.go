package loopback

import (
	"net"
	"sync/atomic"
)

// Traffic counts bytes in both directions, without the headers of TCP and IP.
type Traffic struct {
	Heartbeats atomic.Int64 // between agents and gateways
	Exchanges  atomic.Int64 // between gateways
	KeyValue   atomic.Int64 // between gateways and the key-value service
}

// Traffic returns the site's counts.
func (s *Site) Traffic() *Traffic { return &s.traffic }

// counted is a listener that counts the bytes of its connections.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept counts the connection's bytes.
func (c counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what was received.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what was sent.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}
