package statesync

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
)

// maxPeers bounds the number of peers that one agent fetches weights from.
const maxPeers = 48

// Heartbeat is called by an agent. It records the agent's state and returns the
// documents and the list of peers that the agent lacks.
func (s *Syncer) Heartbeat(request gateway.HeartbeatRequest, reply *gateway.HeartbeatReply) error {
	now := time.Now()
	counter.Add("HeartbeatsTaken", 1)
	if !request.Brief {
		s.table.RecordHeartbeat(request.Member, now)
	} else if !s.table.RecordBriefHeartbeat(request.Member, now) {
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
	if hash := hashPeers(peers); hash != request.PeersVersion {
		reply.PeersChanged, reply.PeersVersion, reply.Peers = true, hash, peers
	}
	return nil
}

// hashPeers returns a hash that identifies a list of peers; 0 means an empty list.
func hashPeers(peers []gateway.Peer) uint32 {
	if len(peers) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, p := range peers {
		_, _ = h.WriteString(p.Name + "\x00" + p.Address + "\x00")
	}
	return uint32(h.Sum64()) | 1
}
