// Package gateway holds the messages that a gateway takes over net/rpc and the
// client that agents and other gateways use.
package gateway

import (
	"almondreel.example/almondreel/internal/manifest"
)

// Methods of a gateway.
const (
	MethodHeartbeat = "Gateway.Heartbeat" // HeartbeatRequest, HeartbeatReply
	MethodExchange  = "Gateway.Exchange"  // ExchangeRequest, ExchangeReply
)

// Member is what an agent says of itself.
type Member struct {
	Name       string
	Region     string
	DataCentre string
	Address    string // agent's Listen
	Service    string
	Kind       string // settings.KindEngine or settings.KindPlain
	Leaving    bool
	Digest     manifest.Digest // version that its engine states and the door is open for
	Want       manifest.Digest // version that it is fetching
	Have       int             // chunks of Want that are verified
	Chunks     int             // chunks of Want
	Running    int             // requests in progress
	Slots      int             // requests that it takes at once
	Sequence   uint64          // rises with each heartbeat of one run
	Started    int64           // Unix nanoseconds; tells runs of one instance apart
}

// HeartbeatRequest is sent by an agent to each of its gateways every second.
type HeartbeatRequest struct {
	Member       Member
	Brief        bool      // only the fields of Member.Brief are set; the rest is as last sent
	Revisions    Revisions // in force at the agent
	PeersVersion uint32    // of the peers that the agent holds from this gateway
	Documents    Documents // what the gateway said that it is behind on
}

// HeartbeatReply carries what the agent is behind on.
type HeartbeatReply struct {
	Documents    Documents
	PeersChanged bool
	PeersVersion uint32 // set if PeersChanged, as is Peers
	Peers        []Peer // agents that fetch or hold the agent's wanted version
	Resend       bool   // the gateway does not know the agent: send Member whole
	Behind       bool   // the gateway has Revisions and wants newer Documents
	Revisions    Revisions
}

// Revisions are those of the two documents in force at a daemon.
type Revisions struct {
	Configuration uint64
	Placement     uint64
}

// Documents carries what a peer is behind on; an empty value says that it is not.
type Documents struct {
	Configuration Versioned
	Placement     Versioned
}

// Versioned is an encoded document and its key-value revision.
type Versioned struct {
	Value    []byte
	Revision uint64
	packed   []byte // Value compressed, as it travels; empty until it is needed
}

// Peer is an agent that takes part in a transfer.
type Peer struct {
	Name       string
	Region     string
	DataCentre string
	Address    string
}

// ExchangeRequest is sent by a gateway to a few others every second. It asks
// for what changed in the other's view since Sequence of its run Run.
type ExchangeRequest struct {
	From      Peer
	Revisions Revisions
	Run       int64
	Sequence  uint64
	Convicted []Conviction
}

// ExchangeReply carries what the sender is behind on.
type ExchangeReply struct {
	Documents Documents
	Run       int64    // Unix nanoseconds at which the gateway started
	Sequence  uint64   // of the replying gateway's view
	Members   []Member // changed, and heard directly by the replying gateway
	Silent    []string // members that it heard directly and no longer hears
	Leaving   []string // instances that the platform lists as leaving
	Convicted []Conviction
}

// Conviction is a request fingerprint that is refused until ExpiresAt (Unix nanoseconds).
type Conviction struct {
	Fingerprint string
	ExpiresAt   int64
}

// Brief returns the member with only its identity and the fields that change
// with every heartbeat.
func (m Member) Brief() Member {
	return Member{Name: m.Name, Have: m.Have, Running: m.Running, Sequence: m.Sequence, Started: m.Started}
}

// WithBrief returns the member with the fields that b carries replaced.
func (m Member) WithBrief(b Member) Member {
	m.Have, m.Running, m.Sequence = b.Have, b.Running, b.Sequence
	return m
}

// Settled returns the member without the fields that Brief carries; two
// heartbeats with the same Settled need not be sent whole.
func (m Member) Settled() Member {
	m.Have, m.Running, m.Sequence = 0, 0, 0
	return m
}
