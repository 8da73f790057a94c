// Package heartbeat reports an agent's status to gateways and applies the
// configuration and placement in their replies.
//
// Gateways are discovered from the platform's list of instances, which is polled slowly
// with jitter. One goroutine for each selected gateway sends a heartbeat every second.
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
	interval         = time.Second
	listPollInterval = 2 * time.Minute
	// minListPollInterval is the shortest time between polls of the list while
	// gateways do not answer.
	minListPollInterval = 5 * time.Second
	minListRetry        = time.Second
	maxListRetry        = 15 * time.Second
	reselectInterval    = 2 * time.Second
)

// Heartbeat selects an agent's gateways and sends heartbeats to them.
type Heartbeat struct {
	settings     settings.Agent
	desired      *desired.State
	tracker      *serving.Tracker
	instanceList *instances.Client
	started      int64

	mu              sync.Mutex
	sequence        uint64
	gateways        []instances.Instance
	avoidedUntil    map[string]time.Time // by gateway name
	peers           map[string]peerList  // by gateway name
	gatewaysChanged chan struct{}

	pollNow chan struct{} // triggers an early poll of the list
}

type peerList struct {
	version uint32
	peers   []gateway.Peer
}

// New returns the heartbeat of the agent with settings s.
func New(s settings.Agent, d *desired.State, tracker *serving.Tracker) *Heartbeat {
	return &Heartbeat{
		settings:        s,
		desired:         d,
		tracker:         tracker,
		instanceList:    instances.NewClient(s.Instances),
		started:         time.Now().UnixNano(),
		avoidedUntil:    map[string]time.Time{},
		peers:           map[string]peerList{},
		gatewaysChanged: make(chan struct{}, 1),

		pollNow: make(chan struct{}, 1),
	}
}

// Peers returns the other agents that fetch or serve the version that this agent
// fetches, as last reported by the gateways.
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
		h.pollList(ctx)
	}()
	h.runSenders(ctx)
	<-listDone
	return ctx.Err()
}

// pollList polls the platform's list slowly with jitter, earlier when a gateway does
// not answer, and with backoff while the list cannot be read or has no gateway.
func (h *Heartbeat) pollList(ctx context.Context) {
	retry := minListRetry
	for {
		l, err := h.instanceList.List(ctx)
		gateways := l.WithRole(instances.RoleGateway)
		wait := pause.Jitter(listPollInterval)
		if err != nil || len(gateways) == 0 {
			wait = pause.Jitter(retry)
			retry = min(2*retry, maxListRetry)
		} else {
			retry = minListRetry
			h.setGateways(gateways)
		}
		minWait := min(wait, pause.Jitter(minListPollInterval))
		if !pause.For(ctx, minWait) || !h.waitForPoll(ctx, wait-minWait) {
			return
		}
	}
}

// waitForPoll waits until the next poll of the list is due. It returns false when ctx
// ends.
func (h *Heartbeat) waitForPoll(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-h.pollNow:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Heartbeat) setGateways(gateways []instances.Instance) {
	h.mu.Lock()
	h.gateways = gateways
	h.mu.Unlock()
	h.notifyChanged()
}

func (h *Heartbeat) notifyChanged() {
	select {
	case h.gatewaysChanged <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// runSenders keeps one sender for each selected gateway until ctx ends, then stops all.
func (h *Heartbeat) runSenders(ctx context.Context) {
	running := map[string]*sender{}
	for ctx.Err() == nil {
		h.reconcile(ctx, running)
		wait, cancel := context.WithTimeout(ctx, reselectInterval)
		select {
		case <-wait.Done():
		case <-h.gatewaysChanged:
		}
		cancel()
	}
	for name, s := range running {
		h.stopSender(name, s)
	}
}

func (h *Heartbeat) reconcile(ctx context.Context, running map[string]*sender) {
	chosen := map[string]instances.Instance{}
	for _, g := range h.selectGateways(time.Now()) {
		chosen[g.Name] = g
	}
	for name, s := range running {
		if g, ok := chosen[name]; !ok || g.Address != s.client.Address() {
			h.stopSender(name, s)
			delete(running, name)
		}
	}
	for name, g := range chosen {
		if running[name] == nil {
			running[name] = h.startSender(ctx, g)
		}
	}
	counter.Set("HeartbeatGateways", int64(len(running)))
}

func (h *Heartbeat) stopSender(name string, s *sender) {
	s.cancel()
	<-s.done
	h.mu.Lock()
	delete(h.peers, name)
	h.mu.Unlock()
}
