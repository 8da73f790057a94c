package loopback

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes sent in both directions, without TCP and IP headers.
type Traffic struct {
	Heartbeats atomic.Int64 // between agents and gateways
	Exchanges  atomic.Int64 // between gateways
	KeyValue   atomic.Int64 // between gateways and the key-value service
}

// Traffic returns the site's byte counts, which go on changing while it runs.
func (s *Site) Traffic() *Traffic { return &s.traffic }

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, wrapped in a countingConn.
func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, c.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the received bytes.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}
