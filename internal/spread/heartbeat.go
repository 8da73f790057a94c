package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
)

// maxPeers bounds the neighbours of one agent in a transfer.
const maxPeers = 48

// Heartbeat takes an agent's word on itself and answers with what it is behind on.
func (s *Spread) Heartbeat(request gateway.HeartbeatRequest, reply *gateway.HeartbeatReply) error {
	now := time.Now()
	counter.Add("HeartbeatsTaken", 1)
	if !request.Brief {
		s.table.Hear(request.Member, now)
	} else if !s.table.HearBrief(request.Member, now) {
		reply.Resend = true
	}
	if err := s.desired.Adopt(request.Documents, request.Member.Name); err != nil {
		counter.Add("DocumentUndecodable", 1)
		event.Fail(event.DocumentUndecodable, err, "Instance", request.Member.Name)
	}
	snapshot, _ := s.desired.Current()
	if snapshot.Behind(request.Revisions) {
		reply.Behind = true
		reply.Revisions = snapshot.Revisions()
	}
	reply.Documents = snapshot.Newer(request.Revisions)
	peers := s.table.Peers(request.Member.Name, maxPeers, now)
	if v := version(peers); v != request.PeersVersion {
		reply.PeersChanged, reply.PeersVersion, reply.Peers = true, v, peers
	}
	return nil
}

// version identifies a list of peers; 0 is the empty list.
func version(peers []gateway.Peer) uint32 {
	if len(peers) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, p := range peers {
		_, _ = d.WriteString(p.Name + "\x00" + p.Address + "\x00")
	}
	return uint32(d.Sum64()) | 1
}
