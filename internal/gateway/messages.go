// Package gateway defines the net/rpc messages that agents and other gateways exchange
// with a gateway: heartbeats of agents, and exchanges of state between gateways.
package gateway

import (
	"almondreel.example/almondreel/internal/manifest"
)

// Net/rpc methods of a gateway, with their request and reply types.
const (
	MethodHeartbeat = "Gateway.Heartbeat" // HeartbeatRequest, HeartbeatReply
	MethodExchange  = "Gateway.Exchange"  // ExchangeRequest, ExchangeReply
)

// Member is the state that an agent reports about itself.
type Member struct {
	Name       string
	Region     string
	DataCentre string
	Address    string // at which other processes reach the agent
	Service    string
	Kind       string // settings.KindEngine or settings.KindPlain
	Leaving    bool
	Digest     manifest.Digest // version that its engine serves and for which the agent admits requests
	Want       manifest.Digest // version that it fetches
	Have       int             // chunks of Want that are verified
	Chunks     int             // chunks of Want
	Running    int             // requests in progress
	Slots      int             // requests that it runs at the same time
	Sequence   uint64          // incremented with each heartbeat of one run
	Started    int64           // Unix nanoseconds at which it started; identifies the run of the instance
}

// HeartbeatRequest is sent by an agent to each of its gateways every second.
type HeartbeatRequest struct {
	Member       Member
	Brief        bool      // only the fields of Member.Brief are set; the others are as last sent
	Revisions    Revisions // current at the agent
	PeersVersion uint32    // hash of the list of peers last received from this gateway
	Documents    Documents // documents for which the gateway last replied Behind
}

// HeartbeatReply carries the documents and peers that the agent lacks.
type HeartbeatReply struct {
	Documents    Documents
	PeersChanged bool
	PeersVersion uint32 // set if PeersChanged, as is Peers
	Peers        []Peer // agents that fetch or serve the version in Member.Want
	Resend       bool   // the gateway has no record of the agent, which must send all fields of Member
	Behind       bool   // the gateway has the older Revisions below and needs newer Documents
	Revisions    Revisions
}

// Revisions holds the revisions of the two documents at a gateway or an agent; 0 means
// that it has none.
type Revisions struct {
	Configuration uint64
	Placement     uint64
}

// Documents carries the documents that the receiver lacks; the others are left empty.
type Documents struct {
	Configuration Versioned
	Placement     Versioned
}

// Versioned is an encoded document and its key-value revision.
type Versioned struct {
	Value      []byte
	Revision   uint64
	compressed []byte // Value as sent over the network; empty until first needed
}

// Peer is the address and location of a gateway or an agent.
type Peer struct {
	Name       string
	Region     string
	DataCentre string
	Address    string
}

// ExchangeRequest is sent by a gateway to a few others every second. It requests the
// membership changes of the other gateway after Sequence of that gateway's run Run.
type ExchangeRequest struct {
	From      Peer
	Revisions Revisions
	Run       int64
	Sequence  uint64
	Convicted []QuarantineEntry
}

// ExchangeReply carries the documents and membership changes that the sender of the
// request lacks.
type ExchangeReply struct {
	Documents Documents
	Run       int64    // Unix nanoseconds at which the replying gateway started
	Sequence  uint64   // of the latest change at the replying gateway
	Members   []Member // changed members that send heartbeats to the replying gateway
	Silent    []string // members whose heartbeats to the replying gateway stopped
	Leaving   []string // instances that the platform lists as leaving
	Convicted []QuarantineEntry
}

// QuarantineEntry is the fingerprint of a request that is refused until ExpiresAt (Unix
// nanoseconds).
type QuarantineEntry struct {
	Fingerprint string
	ExpiresAt   int64
}

// Brief returns a copy with only the identity and the fields that can change with every
// heartbeat.
func (m Member) Brief() Member {
	return Member{Name: m.Name, Have: m.Have, Running: m.Running, Sequence: m.Sequence, Started: m.Started}
}

// WithBrief returns a copy that takes the changing fields from brief.
func (m Member) WithBrief(brief Member) Member {
	m.Have, m.Running, m.Sequence = brief.Have, brief.Running, brief.Sequence
	return m
}

// WithoutBrief returns a copy without the changing fields that Brief carries. While it
// is unchanged, brief heartbeats suffice.
func (m Member) WithoutBrief() Member {
	m.Have, m.Running, m.Sequence = 0, 0, 0
	return m
}
