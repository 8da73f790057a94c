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
	callTimeout = 2 * time.Second
	maxFailures = 3 // consecutive failures before another gateway is selected
	// changeCheckInterval is how often a sender checks for a change that must be sent
	// before the next heartbeat is due.
	changeCheckInterval = 200 * time.Millisecond
)

// sender sends heartbeats to one gateway.
type sender struct {
	heartbeat *Heartbeat
	gateway   instances.Instance
	client    *control.Client
	cancel    context.CancelFunc
	done      chan struct{}

	acknowledged     gateway.Member // WithoutBrief of the status that the gateway last received; zero: none
	gatewayBehind    bool           // the gateway needs documents newer than gatewayRevisions
	gatewayRevisions gateway.Revisions
	lastAnswered     bool // the last heartbeat was answered
	failures         int
}

func (h *Heartbeat) startSender(ctx context.Context, g instances.Instance) *sender {
	ctx, cancel := context.WithCancel(ctx)
	s := &sender{
		heartbeat: h,
		gateway:   g,
		client:    control.NewClient(g.Address),
		cancel:    cancel,
		done:      make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		s.run(ctx)
	}()
	return s
}

func (s *sender) run(ctx context.Context) {
	defer s.client.Close()
	for s.send(ctx); s.waitUntilDue(ctx); s.send(ctx) {
	}
}

// waitUntilDue waits until the next heartbeat is due: about a second with jitter,
// earlier if mustSendEarly reports true. It returns false when ctx ends.
func (s *sender) waitUntilDue(ctx context.Context) bool {
	due := time.Now().Add(interval*9/10 + pause.Jitter(interval/10))
	for pause.For(ctx, changeCheckInterval) {
		if !time.Now().Before(due) || s.mustSendEarly() {
			return true
		}
	}
	return false
}

// mustSendEarly reports whether the status changed since the gateway acknowledged it,
// or the agent has all chunks of a version and waits until it may load it.
func (s *sender) mustSendEarly() bool {
	m := s.heartbeat.currentMember(0)
	changed := s.lastAnswered && m.WithoutBrief() != s.acknowledged
	waitsToLoad := m.Want != "" && m.Want != m.Digest && m.Have == m.Chunks && m.Chunks > 0
	return changed || waitsToLoad
}

func (s *sender) send(ctx context.Context) {
	snapshot, _ := s.heartbeat.desired.Current()
	request := s.buildRequest(snapshot)
	full := s.heartbeat.currentMember(request.Member.Sequence)
	var reply gateway.HeartbeatReply
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.client.Call(callContext, gateway.MethodHeartbeat, request, &reply)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.recordFailure(err)
		return
	}
	s.failures = 0
	s.acknowledged = full.WithoutBrief()
	if reply.Resend {
		s.acknowledged = gateway.Member{}
	}
	s.gatewayRevisions, s.gatewayBehind, s.lastAnswered = reply.Revisions, reply.Behind, true
	s.applyReply(reply)
}

func (s *sender) buildRequest(snapshot desired.Snapshot) gateway.HeartbeatRequest {
	member := s.heartbeat.currentMember(s.heartbeat.nextSequence())
	request := gateway.HeartbeatRequest{
		Member:       member,
		Revisions:    snapshot.Revisions(),
		PeersVersion: s.heartbeat.peersVersion(s.gateway.Name),
	}
	if member.WithoutBrief() == s.acknowledged {
		request.Member = member.Brief()
		request.Brief = true
	}
	if s.gatewayBehind {
		request.Documents = snapshot.Newer(s.gatewayRevisions)
	}
	return request
}

func (s *sender) recordFailure(err error) {
	s.acknowledged, s.gatewayBehind, s.lastAnswered = gateway.Member{}, false, false
	s.failures++
	reason := "Failed"
	if errors.Is(err, context.DeadlineExceeded) {
		reason = "Timeout"
	}
	counter.Add("HeartbeatFailed."+reason, 1)
	if s.failures == maxFailures {
		event.Fail(event.GatewayUnresponsive, err, "Gateway", s.gateway.Name)
		s.heartbeat.avoid(s.gateway.Name, time.Now().Add(avoidDuration))
	}
}

func (s *sender) applyReply(reply gateway.HeartbeatReply) {
	if err := s.heartbeat.desired.Adopt(reply.Documents, s.gateway.Name); err != nil {
		counter.Add("HeartbeatFailed.Undecodable", 1)
		event.Fail(event.DocumentUndecodable, err, "Gateway", s.gateway.Name)
	}
	s.heartbeat.setPeers(s.gateway.Name, reply)
}

// nextSequence returns the next heartbeat's sequence number.
func (h *Heartbeat) nextSequence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return h.sequence
}

// currentMember returns the agent's current status.
func (h *Heartbeat) currentMember(sequence uint64) gateway.Member {
	status := h.tracker.Status()
	return gateway.Member{
		Name:       h.settings.Name,
		Region:     h.settings.Region,
		DataCentre: h.settings.DataCentre,
		Address:    h.settings.Address(),
		Service:    h.settings.Backend.Service,
		Kind:       h.settings.Backend.Kind,
		Leaving:    status.Leaving,
		Digest:     servedDigest(status),
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

// servedDigest returns the digest of the version that the engine reports, or "" if the
// backend server takes no requests.
func servedDigest(s serving.Status) manifest.Digest {
	if !s.Open {
		return ""
	}
	return s.Digest
}
