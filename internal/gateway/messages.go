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
	Member        Member
	Configuration uint64 // revision in force
	Placement     uint64 // revision in force
}

// HeartbeatReply carries what the agent is behind on.
type HeartbeatReply struct {
	Configuration Versioned // empty value: the agent is not behind
	Placement     Versioned
	Peers         []Peer // agents that fetch or hold the agent's wanted version
}

// Versioned is an encoded document and its key-value revision.
type Versioned struct {
	Value    []byte
	Revision uint64
}

// Peer is an agent that takes part in a transfer.
type Peer struct {
	Name       string
	Region     string
	DataCentre string
	Address    string
}

// ExchangeRequest is sent between gateways every second.
type ExchangeRequest struct {
	From          string
	Configuration uint64
	Placement     uint64
	Members       []Member // heard directly since the last exchange
	Convicted     []Conviction
}

// ExchangeReply carries what the sender is behind on.
type ExchangeReply struct {
	Configuration Versioned
	Placement     Versioned
	Members       []Member
	Convicted     []Conviction
}

// Conviction is a request fingerprint that is refused until ExpiresAt (Unix nanoseconds).
type Conviction struct {
	Fingerprint string
	ExpiresAt   int64
}
