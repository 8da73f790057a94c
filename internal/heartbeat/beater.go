package heartbeat

import (
	"context"
	"errors"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/serving"
)

const (
	beatTimeout = 2 * time.Second
	maxFailures = 3 // in a row, until another gateway is chosen
	// lookInterval is how often a beater looks for a change that is worth a
	// heartbeat of its own.
	lookInterval = 200 * time.Millisecond
)

// beater sends heartbeats to one gateway.
type beater struct {
	heartbeat *Heartbeat
	gateway   instances.Instance
	client    *control.Client
	cancel    context.CancelFunc
	done      chan struct{}

	acknowledged gateway.Member // last member that the gateway has whole
	behind       bool           // the gateway wants documents newer than known
	known        gateway.Revisions
	answered     bool // the last heartbeat was
	failures     int
}

func (h *Heartbeat) start(ctx context.Context, g instances.Instance) *beater {
	ctx, cancel := context.WithCancel(ctx)
	b := &beater{
		heartbeat: h,
		gateway:   g,
		client:    control.NewClient(g.Address),
		cancel:    cancel,
		done:      make(chan struct{}),
	}
	go func() {
		defer close(b.done)
		b.run(ctx)
	}()
	return b
}

func (b *beater) run(ctx context.Context) {
	defer b.client.Close()
	for b.beat(ctx); b.pause(ctx); b.beat(ctx) {
	}
}

// pause waits until the next heartbeat is due: a jittered second, or less when
// the gateway needs to hear of a change. It returns false when ctx ends.
func (b *beater) pause(ctx context.Context) bool {
	due := time.Now().Add(interval*9/10 + pause.Jitter(interval/10))
	for pause.For(ctx, lookInterval) {
		if !time.Now().Before(due) || b.hurries() {
			return true
		}
	}
	return false
}

// hurries reports whether the gateway needs to hear of a change, or the agent
// waits for its turn to load a version that it has whole.
func (b *beater) hurries() bool {
	m := b.heartbeat.member(0)
	changed := b.answered && m.Settled() != b.acknowledged
	waits := m.Want != "" && m.Want != m.Digest && m.Have == m.Chunks && m.Chunks > 0
	return changed || waits
}

func (b *beater) beat(ctx context.Context) {
	snapshot, _ := b.heartbeat.desired.Current()
	request := b.request(snapshot)
	whole := b.heartbeat.member(request.Member.Sequence)
	var reply gateway.HeartbeatReply
	callContext, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	err := b.client.Call(callContext, gateway.MethodHeartbeat, request, &reply)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		b.fail(err)
		return
	}
	b.failures = 0
	b.acknowledged = whole.Settled()
	if reply.Resend {
		b.acknowledged = gateway.Member{}
	}
	b.known, b.behind, b.answered = reply.Revisions, reply.Behind, true
	b.adopt(reply)
}

func (b *beater) request(s desired.Snapshot) gateway.HeartbeatRequest {
	member := b.heartbeat.member(b.heartbeat.next())
	request := gateway.HeartbeatRequest{
		Member:       member,
		Revisions:    s.Revisions(),
		PeersVersion: b.heartbeat.peersVersion(b.gateway.Name),
	}
	if member.Settled() == b.acknowledged {
		request.Member = member.Brief()
		request.Brief = true
	}
	if b.behind {
		request.Documents = s.Newer(b.known)
	}
	return request
}

func (b *beater) fail(err error) {
	b.acknowledged, b.behind, b.answered = gateway.Member{}, false, false
	b.failures++
	reason := "Failed"
	if errors.Is(err, context.DeadlineExceeded) {
		reason = "Timeout"
	}
	counter.Add("HeartbeatFailed."+reason, 1)
	if b.failures == maxFailures {
		event.Fail(event.GatewaySilent, err, "Gateway", b.gateway.Name)
		b.heartbeat.avoid(b.gateway.Name, time.Now().Add(avoidTime))
	}
}

func (b *beater) adopt(reply gateway.HeartbeatReply) {
	if err := b.heartbeat.desired.Adopt(reply.Documents, b.gateway.Name); err != nil {
		counter.Add("HeartbeatFailed.Undecodable", 1)
		event.Fail(event.DocumentUndecodable, err, "Gateway", b.gateway.Name)
	}
	b.heartbeat.setPeers(b.gateway.Name, reply)
}

// next returns the next heartbeat's sequence number.
func (h *Heartbeat) next() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return h.sequence
}

// member says how the agent fares now.
func (h *Heartbeat) member(sequence uint64) gateway.Member {
	status := h.board.Status()
	return gateway.Member{
		Name:       h.settings.Name,
		Region:     h.settings.Region,
		DataCentre: h.settings.DataCentre,
		Address:    h.settings.Address(),
		Service:    h.settings.Backend.Service,
		Kind:       h.settings.Backend.Kind,
		Leaving:    status.Leaving,
		Digest:     served(status),
		Want:       status.Want,
		Have:       status.Have,
		Chunks:     status.Chunks,
		Running:    status.Running,
		Slots:      status.Slots,
		Sequence:   sequence,
		Started:    h.started,
	}
}

func (h *Heartbeat) peersVersion(gatewayName string) uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers[gatewayName].version
}

func (h *Heartbeat) setPeers(gatewayName string, reply gateway.HeartbeatReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reply.PeersChanged {
		h.peers[gatewayName] = peerList{version: reply.PeersVersion, peers: reply.Peers}
	}
}

// served is the version that the engine states, if the door is open for it.
func served(s serving.Status) manifest.Digest {
	if !s.Open {
		return ""
	}
	return s.Digest
}
