// Package connlimit keeps the number of caller connections of an http.Server below
// the process's file descriptor limit. It closes idle connections to make room, so
// that new ones can always be accepted.
package connlimit

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/counter"
)

const (
	// reservedFiles is the number of the process's file descriptors that are not
	// available for sockets, according to the platform's documentation.
	reservedFiles = 200
	// callerShare is the fraction of the sockets for connections of callers.
	// requestShare is the fraction for requests in progress, each of which may have
	// a connection to a backend server. The rest is for connections to other
	// gateways, agents and the store, and for connections that are closing.
	callerShare  = 0.5
	requestShare = 0.35
	// nearLimitShare is the fraction of the allowed caller connections above which
	// refused callers are told to close their connection. They retry on a new
	// connection anyway.
	nearLimitShare = 0.75
	// closingShare bounds the tracked connections, with those that are active or closing,
	// as a share of the allowed ones. A new connection above it is closed.
	closingShare = 1.2
	// maxRoomWait bounds the wait of a new connection for evicted ones to close.
	maxRoomWait = 200 * time.Millisecond
	// takenOverAge is the time for which a connection that net/rpc has taken over may
	// receive nothing before it can be closed to make room. Agents and gateways in use
	// send several times a second.
	takenOverAge = time.Second
	// roomCheckInterval is the time between attempts to close them.
	roomCheckInterval = 10 * time.Millisecond
)

// Limiter tracks and limits the connections of an http.Server. It is safe for
// concurrent use.
type Limiter struct {
	maxConnections, maxRequests int
	maxTracked                  int

	mu             sync.Mutex
	connections    map[net.Conn]*connection
	idle           map[string]*list.List // of *connection, by caller address, longest idle first
	activeRequests int
	closing        int           // evicted connections that have not closed yet
	removed        chan struct{} // receives a value when a connection is no longer tracked
}

type connection struct {
	net.Conn
	address     string
	idleElement *list.Element // in the list of idle connections; nil if it is in none
	evicted     bool
	takenOver   *trackedConn // nil: by nobody
}

// New returns a limiter for a process that may have files file descriptors open.
func New(files int) *Limiter {
	return NewFixed(int(callerShare*sockets(files)), int(requestShare*sockets(files)))
}

// NewWithin returns a limiter for a process that may have files file descriptors open and
// memory for maxConnections connections of callers.
func NewWithin(files, maxConnections int) *Limiter {
	connections := min(int(callerShare*sockets(files)), maxConnections)
	return NewFixed(connections, int(requestShare/callerShare*float64(connections)))
}

// NewFixed returns a limiter for at most maxConnections connections, of which maxRequests
// may have a request in progress.
func NewFixed(maxConnections, maxRequests int) *Limiter {
	return &Limiter{
		maxConnections: maxConnections, maxRequests: maxRequests, maxTracked: int(closingShare * float64(maxConnections)),
		connections: map[net.Conn]*connection{}, idle: map[string]*list.List{}, removed: make(chan struct{}, 1),
	}
}

// sockets returns the number of sockets of a process that may have files file descriptors
// open.
func sockets(files int) float64 { return float64(max(files-reservedFiles, reservedFiles)) }

const (
	// probeConnections is the number of connections for readiness probes.
	probeConnections = 16
	// controlShare is the fraction of the sockets for connections of gateways and agents.
	controlShare = 0.15
	// minControlConnections lets the processes of a small site connect to a process with
	// few files.
	minControlConnections = 64
)

// NewProbes returns a limiter for the listener of readiness probes.
func NewProbes() *Limiter { return NewFixed(probeConnections, probeConnections) }

// NewControl returns a limiter for the listener of net/rpc and metrics of a process that
// may have files file descriptors open. Its connections must be accepted by a Listener.
func NewControl(files int) *Limiter {
	most := max(minControlConnections, int(controlShare*sockets(files)))
	return NewFixed(most, most)
}

// Listener tells a Limiter of the end of connections that the http.Server no longer
// tracks, as net/rpc has taken them over.
type Listener struct {
	net.Listener
	Limiter *Limiter
}

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c, limiter: l.Limiter}, nil
}

type trackedConn struct {
	net.Conn
	limiter  *Limiter
	lastRead atomic.Int64 // Unix time in nanoseconds
}

// Read reads from the connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lastRead.Store(time.Now().UnixNano())
	return n, err
}

// NetConn returns the connection that c wraps.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, if the connection can do that. net/http does so
// before it closes the connection.
func (c *trackedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.limiter.Track(c, http.StateClosed)
	return err
}

// Track records a change of a connection's state. It is the ConnState hook of an
// http.Server.
func (l *Limiter) Track(c net.Conn, s http.ConnState) {
	if s == http.StateNew && !l.waitForRoom(time.Now().Add(maxRoomWait)) {
		counter.Add("CallerConnectionsRejected", 1)
		_ = c.Close() // the http.Server ends with an error of its first read
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		conn := &connection{Conn: c, address: callerAddress(c)}
		l.connections[c] = conn
		l.evictIdle()
		l.markIdle(conn)
	case http.StateActive:
		l.markActive(c)
	case http.StateIdle:
		if conn, ok := l.connections[c]; ok {
			l.activeRequests--
			l.evictIdle() // not this one: the http.Server sets its read deadline next
			l.markIdle(conn)
		}
	case http.StateHijacked:
		tracked, ok := c.(*trackedConn)
		if conn := l.connections[c]; !ok || conn == nil {
			l.remove(c)
		} else {
			conn.takenOver = tracked
		}
	case http.StateClosed:
		l.remove(c)
	}
}

// waitForRoom waits while there is no room for a new connection and evicted ones are
// closing, at most until deadline. The http.Server accepts no other connection meanwhile.
// It reports whether there is room.
func (l *Limiter) waitForRoom(deadline time.Time) bool {
	for {
		l.mu.Lock()
		l.evictIdle()
		full, closing := len(l.connections) >= l.maxTracked, l.closing > 0
		if full && closing {
			l.expireEvicted()
		}
		l.mu.Unlock()
		if !full || !closing || !time.Now().Before(deadline) {
			return !full
		}
		timer := time.NewTimer(roomCheckInterval)
		select {
		case <-l.removed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// expireEvicted sets the read deadlines of evicted connections again. The http.Server may
// have set another one meanwhile, as of a connection that has just become idle. Callers
// hold mu.
func (l *Limiter) expireEvicted() {
	for _, conn := range l.connections {
		if conn.evicted {
			_ = conn.SetReadDeadline(time.Now()) // fails if the connection has closed
		}
	}
}

// callerAddress returns the IP address of a connection's peer.
func callerAddress(c net.Conn) string {
	address := c.RemoteAddr().String()
	if name, _, err := net.SplitHostPort(address); err == nil {
		return name
	}
	return address
}

// markIdle records that a connection waits for a request. Callers hold mu.
func (l *Limiter) markIdle(conn *connection) {
	if l.idle[conn.address] == nil {
		l.idle[conn.address] = list.New()
	}
	conn.idleElement = l.idle[conn.address].PushBack(conn)
}

// markActive records that a request has been read. If its connection was evicted
// at the same time, the eviction is undone and the request is served. Callers hold
// mu.
func (l *Limiter) markActive(c net.Conn) {
	conn, ok := l.connections[c]
	if !ok {
		return
	}
	l.activeRequests++
	if conn.evicted {
		conn.evicted = false
		l.closing--
		_ = c.SetReadDeadline(time.Time{}) // fails if the connection has closed
	}
	l.removeIdle(conn)
}

// removeIdle removes a connection from the list of idle ones. Callers hold mu.
func (l *Limiter) removeIdle(conn *connection) {
	if conn.idleElement == nil {
		return
	}
	l.idle[conn.address].Remove(conn.idleElement)
	conn.idleElement = nil
	if l.idle[conn.address].Len() == 0 {
		delete(l.idle, conn.address)
	}
}

// remove stops tracking a connection that has closed. Callers hold mu.
func (l *Limiter) remove(c net.Conn) {
	conn, ok := l.connections[c]
	if !ok {
		return
	}
	switch {
	case conn.evicted:
		l.closing--
	case conn.idleElement == nil:
		l.activeRequests--
	}
	l.removeIdle(conn)
	delete(l.connections, c)
	select {
	case l.removed <- struct{}{}:
	default:
	}
}

// evictIdle evicts idle connections while there are too many connections. Each time
// it takes the longest idle one of the address with the most idle connections.
// Callers hold mu.
func (l *Limiter) evictIdle() {
	for len(l.connections)-l.closing > l.maxConnections && len(l.idle) > 0 {
		conn := l.largestIdleGroup().Front().Value.(*connection)
		l.removeIdle(conn)
		conn.evicted = true
		l.closing++
		// An expired read deadline makes the http.Server close the connection. If a
		// request has just been read, it is still served (see markActive).
		_ = conn.SetReadDeadline(time.Now()) // fails if the connection has closed
		counter.Add("CallerConnectionsShed", 1)
	}
	l.evictTakenOver()
}

// evictTakenOver closes a connection that net/rpc has taken over, if there are too many
// connections and no idle one. It takes the one that has received nothing for the longest.
// Its peer connects again if it needs it. Callers hold mu.
func (l *Limiter) evictTakenOver() {
	if len(l.connections)-l.closing <= l.maxConnections {
		return
	}
	var victim *connection
	oldest := time.Now().Add(-takenOverAge).UnixNano()
	for _, conn := range l.connections {
		if conn.takenOver != nil && !conn.evicted && conn.takenOver.lastRead.Load() < oldest {
			victim, oldest = conn, conn.takenOver.lastRead.Load()
		}
	}
	if victim == nil {
		return
	}
	victim.evicted = true
	l.closing++
	l.activeRequests--
	_ = victim.takenOver.Conn.Close() // net/rpc fails to read, and closes the trackedConn
	counter.Add("CallerConnectionsShed", 1)
}

// largestIdleGroup returns the idle connections of the address that has the most.
// Callers hold mu.
func (l *Limiter) largestIdleGroup() *list.List {
	var largest *list.List
	for _, group := range l.idle {
		if largest == nil || group.Len() > largest.Len() {
			largest = group
		}
	}
	return largest
}

// Full reports whether too many requests are in progress, so that new ones must be
// refused.
func (l *Limiter) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.activeRequests > l.maxRequests
}

// Active returns the number of connections whose request is being read or answered.
func (l *Limiter) Active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.activeRequests
}

// NearLimit reports whether the number of connections is near the limit, so that
// refused callers should be told to close theirs.
func (l *Limiter) NearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.connections)) > nearLimitShare*float64(l.maxConnections)
}
