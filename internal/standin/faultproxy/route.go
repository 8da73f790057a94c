package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	dialTimeout      = 2 * time.Second
	relistenInterval = 20 * time.Millisecond
	relistenAttempts = 100
)

// direction is the direction in which bytes flow.
type direction int

const (
	toTarget direction = iota
	toCaller
	numDirections
)

// Route accepts connections on one address and forwards them to one target. It is
// safe for concurrent use.
type Route struct {
	address string
	target  string
	ctx     context.Context // cancelled by Close
	cancel  context.CancelFunc
	setMu   sync.Mutex // serialises Set and Close

	mu         sync.Mutex
	listener   net.Listener  // nil while connections are refused
	acceptDone chan struct{} // closed when the accept loop has returned
	faults     [numDirections]Fault
	limiters   [numDirections]*rate.Limiter
	refuse     bool
	generation int               // incremented by each Set
	changed    chan struct{}     // closed and replaced by each Set
	connsDone  []<-chan struct{} // one for each connection, closed when it has ended
}

// Start listens on listen (IP:port; port 0 picks a free port) and forwards
// connections to target (IP:port).
func Start(listen, target string) (*Route, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("start fault proxy: %w", err)
	}
	r := &Route{
		address: listener.Addr().String(),
		target:  target,
		changed: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.faults = [numDirections]Fault{Pass{}, Pass{}}
	r.accept(listener)
	return r, nil
}

// Address returns the address that the route listens on.
func (r *Route) Address() string { return r.address }

// Target returns the address that the route forwards to.
func (r *Route) Target() string { return r.target }

// Faults returns the current faults.
func (r *Route) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Faults{Refuse: r.refuse, ToTarget: r.faults[toTarget], ToCaller: r.faults[toCaller]}
}

// Set replaces the faults of open and new connections. It returns an error if the
// route was refusing connections and cannot listen on its address again.
func (r *Route) Set(f Faults) error {
	r.setMu.Lock()
	defer r.setMu.Unlock()
	r.mu.Lock()
	r.faults = [numDirections]Fault{orPass(f.ToTarget), orPass(f.ToCaller)}
	r.limiters = [numDirections]*rate.Limiter{newLimiter(f.ToTarget), newLimiter(f.ToCaller)}
	r.refuse = f.Refuse
	r.generation++
	close(r.changed)
	r.changed = make(chan struct{})
	listening := r.listener != nil
	r.mu.Unlock()
	if f.Refuse {
		r.stopListening()
		return nil
	}
	if listening {
		return nil
	}
	return r.relisten()
}

func orPass(f Fault) Fault {
	if f == nil {
		return Pass{}
	}
	return f
}

func newLimiter(f Fault) *rate.Limiter {
	if f, ok := f.(Rate); ok {
		return rate.NewLimiter(rate.Limit(f.BytesPerSecond), chunkBytes)
	}
	return nil
}

// Close stops listening, resets all connections and waits until they have ended.
func (r *Route) Close() {
	r.setMu.Lock()
	defer r.setMu.Unlock()
	r.cancel()
	r.stopListening()
	r.mu.Lock()
	connsDone := r.connsDone
	r.mu.Unlock()
	for _, done := range connsDone {
		<-done
	}
}

// accept starts to accept connections from listener until it is closed.
func (r *Route) accept(listener net.Listener) {
	done := make(chan struct{})
	r.mu.Lock()
	r.listener, r.acceptDone = listener, done
	r.mu.Unlock()
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				r.startConn(conn)
			}
		}
	}()
}

func (r *Route) stopListening() {
	r.mu.Lock()
	listener, acceptDone := r.listener, r.acceptDone
	r.listener = nil
	r.mu.Unlock()
	if listener == nil {
		return
	}
	_ = listener.Close()
	<-acceptDone
}

// relisten listens on the route's address again. Another process may hold the
// address meanwhile, so it retries.
func (r *Route) relisten() error {
	var err error
	for range relistenAttempts {
		if r.ctx.Err() != nil {
			return r.ctx.Err()
		}
		listener, listenErr := net.Listen("tcp", r.address)
		if listenErr == nil {
			r.accept(listener)
			return nil
		}
		err = listenErr
		time.Sleep(relistenInterval)
	}
	return fmt.Errorf("fault proxy: listen again: %w", err)
}

// startConn starts to serve a connection and registers it for Close.
func (r *Route) startConn(caller net.Conn) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.serveConn(caller.(*net.TCPConn))
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connsDone = append(slices.DeleteFunc(r.connsDone, isClosed), done)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// serveConn dials the target and forwards both directions until both streams have
// ended or one fails; a failure resets both connections.
func (r *Route) serveConn(caller *net.TCPConn) {
	defer func() { _ = caller.Close() }()
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		reset(caller)
		return
	}
	target := conn.(*net.TCPConn)
	defer func() { _ = target.Close() }()
	stop := context.AfterFunc(ctx, func() {
		reset(caller)
		reset(target)
	})
	defer stop()
	up := r.startCopy(ctx, toTarget, caller, target)
	down := r.startCopy(ctx, toCaller, target, caller)
	for range numDirections {
		select {
		case err = <-up:
		case err = <-down:
		}
		if err != nil {
			reset(caller)
			reset(target)
			cancel()
		}
	}
}

// reset closes a connection with a TCP reset, so that the peer sees an error
// instead of the end of the stream.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// state is the fault of one direction at one moment, and a channel that is closed
// when the faults change.
type state struct {
	fault      Fault
	limiter    *rate.Limiter
	generation int
	changed    <-chan struct{}
}

func (r *Route) state(d direction) state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return state{fault: r.faults[d], limiter: r.limiters[d], generation: r.generation, changed: r.changed}
}
