// Package heartbeat tells gateways how an agent fares and adopts the
// configuration and placement that their replies carry.
//
// Gateways are found in the platform's list. One goroutine a gateway sends a
// heartbeat every second; the list is read again on a slow jittered poll.
package heartbeat

import (
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
)

const (
	interval     = time.Second
	listInterval = 2 * time.Minute
	// leastListInterval is the time between two readings when gateways do not answer.
	leastListInterval = 5 * time.Second
	listRetry         = time.Second
	maxListRetry      = 15 * time.Second
	reselect          = 2 * time.Second
)

// Heartbeat is the duty that keeps an agent in touch with its gateways.
type Heartbeat struct {
	settings  settings.Agent
	desired   *desired.State
	board     *serving.Board
	directory *instances.Client
	started   int64

	mu       sync.Mutex
	sequence uint64
	listed   []instances.Instance
	avoided  map[string]time.Time // gateway name to the time until which it is passed over
	peers    map[string]peerList  // by gateway name
	changed  chan struct{}

	unanswered chan struct{} // wakes the reader of the list
}

type peerList struct {
	version uint32
	peers   []gateway.Peer
}

// New returns a heartbeat of the agent that s describes.
func New(s settings.Agent, d *desired.State, b *serving.Board) *Heartbeat {
	return &Heartbeat{
		settings:  s,
		desired:   d,
		board:     b,
		directory: instances.NewClient(s.Instances),
		started:   time.Now().UnixNano(),
		avoided:   map[string]time.Time{},
		peers:     map[string]peerList{},
		changed:   make(chan struct{}, 1),

		unanswered: make(chan struct{}, 1),
	}
}

// Peers returns the agents that take part in fetching the version this agent
// wants, without itself, as the gateways last told.
func (h *Heartbeat) Peers() []gateway.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{h.settings.Name: true}
	var out []gateway.Peer
	for _, l := range h.peers {
		for _, p := range l.peers {
			if !seen[p.Name] {
				seen[p.Name] = true
				out = append(out, p)
			}
		}
	}
	return out
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) error {
	listDone := make(chan struct{})
	go func() {
		defer close(listDone)
		h.readList(ctx)
	}()
	h.keepBeating(ctx)
	<-listDone
	return ctx.Err()
}

// readList reads the platform's list on a slow jittered poll, sooner when a
// gateway does not answer, and with backoff while it names none.
func (h *Heartbeat) readList(ctx context.Context) {
	retry := listRetry
	for {
		l, err := h.directory.List(ctx)
		gateways := l.Of(instances.RoleGateway)
		wait := pause.Jitter(listInterval)
		if err != nil || len(gateways) == 0 {
			wait = pause.Jitter(retry)
			retry = min(2*retry, maxListRetry)
		} else {
			retry = listRetry
			h.setListed(gateways)
		}
		least := min(wait, pause.Jitter(leastListInterval))
		if !pause.For(ctx, least) || !h.awaitList(ctx, wait-least) {
			return
		}
	}
}

// awaitList waits until the list is to be read again. It returns false when ctx ends.
func (h *Heartbeat) awaitList(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-h.unanswered:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Heartbeat) setListed(gateways []instances.Instance) {
	h.mu.Lock()
	h.listed = gateways
	h.mu.Unlock()
	h.wake()
}

func (h *Heartbeat) wake() {
	select {
	case h.changed <- struct{}{}:
	default: // a wake-up is already waiting
	}
}

// keepBeating keeps one beater for each chosen gateway and joins them at the end.
func (h *Heartbeat) keepBeating(ctx context.Context) {
	running := map[string]*beater{}
	for ctx.Err() == nil {
		h.adjust(ctx, running)
		wait, cancel := context.WithTimeout(ctx, reselect)
		select {
		case <-wait.Done():
		case <-h.changed:
		}
		cancel()
	}
	for name, b := range running {
		h.end(name, b)
	}
}

func (h *Heartbeat) adjust(ctx context.Context, running map[string]*beater) {
	chosen := map[string]instances.Instance{}
	for _, g := range h.choose(time.Now()) {
		chosen[g.Name] = g
	}
	for name, b := range running {
		if g, ok := chosen[name]; !ok || g.Address != b.client.Address() {
			h.end(name, b)
			delete(running, name)
		}
	}
	for name, g := range chosen {
		if running[name] == nil {
			running[name] = h.start(ctx, g)
		}
	}
	counter.Set("HeartbeatGateways", int64(len(running)))
}

func (h *Heartbeat) end(name string, b *beater) {
	b.cancel()
	<-b.done
	h.mu.Lock()
	delete(h.peers, name)
	h.mu.Unlock()
}
