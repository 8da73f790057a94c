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
	dialTimeout   = 2 * time.Second
	relistenPause = 20 * time.Millisecond
	relistenTries = 100
)

// direction of bytes.
type direction int

const (
	toTarget direction = iota
	toCaller
	directions
)

// Route forwards connections from one address to one target. It is safe for
// concurrent use.
type Route struct {
	address string
	target  string
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	setting sync.Mutex // held while faults change

	mu         sync.Mutex
	listener   net.Listener  // nil while connections are refused
	accepting  chan struct{} // closed when the listener's loop is over
	faults     [directions]Fault
	limiters   [directions]*rate.Limiter
	refuse     bool
	generation int               // counts the settings of faults
	changed    chan struct{}     // closed when faults change
	links      []<-chan struct{} // each closes when its connection is over
}

// Start listens on listen (IP:port, port 0 for a free one) and forwards to target.
func Start(listen, target string) (*Route, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	r := &Route{
		address: listener.Addr().String(),
		target:  target,
		changed: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.faults = [directions]Fault{Pass{}, Pass{}}
	r.accept(listener)
	return r, nil
}

// Address returns the address that the route listens on.
func (r *Route) Address() string { return r.address }

// Target returns the address that the route forwards to.
func (r *Route) Target() string { return r.target }

// Faults returns the faults in force.
func (r *Route) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Faults{Refuse: r.refuse, ToTarget: r.faults[toTarget], ToCaller: r.faults[toCaller]}
}

// Set puts faults in force on open and later connections.
func (r *Route) Set(f Faults) error {
	r.setting.Lock()
	defer r.setting.Unlock()
	r.mu.Lock()
	r.faults = [directions]Fault{orPass(f.ToTarget), orPass(f.ToCaller)}
	r.limiters = [directions]*rate.Limiter{limiter(f.ToTarget), limiter(f.ToCaller)}
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

func limiter(f Fault) *rate.Limiter {
	if f, ok := f.(Rate); ok {
		return rate.NewLimiter(rate.Limit(f.BytesPerSecond), parcelBytes)
	}
	return nil
}

// Close ends the route and all its connections.
func (r *Route) Close() {
	r.setting.Lock()
	defer r.setting.Unlock()
	r.cancel()
	r.stopListening()
	r.mu.Lock()
	links := r.links
	r.mu.Unlock()
	for _, done := range links {
		<-done
	}
}

// accept takes connections from listener until it is closed.
func (r *Route) accept(listener net.Listener) {
	done := make(chan struct{})
	r.mu.Lock()
	r.listener, r.accepting = listener, done
	r.mu.Unlock()
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				r.forward(conn)
			}
		}
	}()
}

func (r *Route) stopListening() {
	r.mu.Lock()
	listener, accepting := r.listener, r.accepting
	r.listener = nil
	r.mu.Unlock()
	if listener == nil {
		return
	}
	_ = listener.Close()
	<-accepting
}

// relisten takes the route's address back. It was free meanwhile, so this may
// need several tries.
func (r *Route) relisten() error {
	var err error
	for range relistenTries {
		if r.ctx.Err() != nil {
			return r.ctx.Err()
		}
		listener, listenErr := net.Listen("tcp", r.address)
		if listenErr == nil {
			r.accept(listener)
			return nil
		}
		err = listenErr
		time.Sleep(relistenPause)
	}
	return fmt.Errorf("fault proxy: %w", err)
}

// forward starts a link for the connection.
func (r *Route) forward(caller net.Conn) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.link(caller.(*net.TCPConn))
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = append(slices.DeleteFunc(r.links, ended), done)
}

func ended(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// link carries one connection until either side ends it.
func (r *Route) link(caller *net.TCPConn) {
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
	up := r.pump(ctx, toTarget, caller, target)
	down := r.pump(ctx, toCaller, target, caller)
	for range directions {
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

// reset closes a connection so that its peer sees an error, not an end.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// state is a direction's fault and what to wait for.
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
