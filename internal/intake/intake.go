// Package intake keeps the connections of callers within what the process may
// open, so that new ones are always accepted.
package intake

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
)

const (
	// reservedFiles of the process's limit are not sockets. Source: the platform's
	// page on machines.
	reservedFiles = 200
	// callerShare of the sockets may be connections of callers, and busyShare
	// requests in progress, each of which may have one to a backend server. The
	// rest is for neighbours, the store and connections that are closing.
	callerShare = 0.5
	busyShare   = 0.35
	// crowdedShare of callerShare taken, refused callers are told to close their
	// connection: they come back on a new one anyway.
	crowdedShare = 0.75
)

// Intake is the connections of a server. It is safe for concurrent use.
type Intake struct {
	mostConnections, mostBusy int

	mu          sync.Mutex
	connections map[net.Conn]*connection
	idle        map[string]*list.List // of *connection, by address of the caller, longest idle first
	busy        int
	ending      int // connections whose time was ended and that have not closed yet
}

type connection struct {
	net.Conn
	address string
	place   *list.Element // in the list of idle ones; nil while a request is in progress
	evicted bool
}

// New returns an intake for a process that may have so many files open.
func New(files int) *Intake {
	sockets := float64(max(files-reservedFiles, reservedFiles))
	return &Intake{
		mostConnections: int(callerShare * sockets), mostBusy: int(busyShare * sockets),
		connections: map[net.Conn]*connection{}, idle: map[string]*list.List{},
	}
}

// Track takes a change of a connection's state, as a ConnState hook of http.Server.
func (k *Intake) Track(c net.Conn, s http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch s {
	case http.StateNew:
		x := &connection{Conn: c, address: host(c)}
		k.connections[c] = x
		k.shed()
		k.rest(x)
	case http.StateActive:
		k.begin(c)
	case http.StateIdle:
		if x, ok := k.connections[c]; ok {
			k.busy--
			k.rest(x)
			k.shed()
		}
	case http.StateHijacked, http.StateClosed:
		k.forget(c)
	}
}

func host(c net.Conn) string {
	address := c.RemoteAddr().String()
	if name, _, err := net.SplitHostPort(address); err == nil {
		return name
	}
	return address
}

// rest notes a connection that waits for its caller. Callers hold mu.
func (k *Intake) rest(x *connection) {
	if k.idle[x.address] == nil {
		k.idle[x.address] = list.New()
	}
	x.place = k.idle[x.address].PushBack(x)
}

// begin notes a request that was read. One that crossed the end of its
// connection's time is served all the same. Callers hold mu.
func (k *Intake) begin(c net.Conn) {
	x, ok := k.connections[c]
	if !ok {
		return
	}
	k.busy++
	if x.evicted {
		x.evicted = false
		k.ending--
		_ = c.SetReadDeadline(time.Time{}) // fails on a connection that has ended
	}
	k.wake(x)
}

// wake takes a connection off the list of idle ones. Callers hold mu.
func (k *Intake) wake(x *connection) {
	if x.place == nil {
		return
	}
	k.idle[x.address].Remove(x.place)
	x.place = nil
	if k.idle[x.address].Len() == 0 {
		delete(k.idle, x.address)
	}
}

// forget drops a connection that has ended. Callers hold mu.
func (k *Intake) forget(c net.Conn) {
	x, ok := k.connections[c]
	if !ok {
		return
	}
	switch {
	case x.evicted:
		k.ending--
	case x.place == nil:
		k.busy--
	}
	k.wake(x)
	delete(k.connections, c)
}

// shed ends the longest idle connection of the address that has most of them,
// while there are too many. Callers hold mu.
func (k *Intake) shed() {
	for len(k.connections)-k.ending > k.mostConnections && len(k.idle) > 0 {
		x := k.most().Front().Value.(*connection)
		k.wake(x)
		x.evicted = true
		k.ending++
		// The server closes a connection that it waits at; one whose request has
		// just been read goes on (see begin).
		_ = x.SetReadDeadline(time.Now()) // fails on a connection that has ended
		counter.Add("CallerConnectionsShed", 1)
	}
}

// most is the idle connections of the address that has most. Callers hold mu.
func (k *Intake) most() *list.List {
	var out *list.List
	for _, l := range k.idle {
		if out == nil || l.Len() > out.Len() {
			out = l
		}
	}
	return out
}

// Full reports whether no further request may be taken up.
func (k *Intake) Full() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.busy > k.mostBusy
}

// Crowded reports whether connections are scarce, so that callers that are
// refused should close theirs.
func (k *Intake) Crowded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return float64(len(k.connections)) > crowdedShare*float64(k.mostConnections)
}
