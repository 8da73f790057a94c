// Package neighbour carries what the processes of a hosted site tell each other
// over net/rpc: gateways their loads and beliefs, agents the state of their
// engines and the pieces that they hold.
package neighbour

import (
	"almondreel.example/almondreel/internal/belief"
	"almondreel.example/almondreel/internal/site"
)

// Methods of a gateway's receiver.
const (
	Receiver       = "Neighbour"
	MethodExchange = Receiver + ".Exchange"
	MethodSync     = Receiver + ".Sync"
	MethodFollow   = Receiver + ".Follow"
)

// Pieces says which pieces of a version an agent holds and vouches for.
type Pieces struct {
	Model   string
	Version int64
	Have    []uint64 // bit n%64 of word n/64: piece n
}

// Agent is what an agent says of itself and of the engine beside it.
type Agent struct {
	Name            string
	Address         string // IP:port where it serves pieces
	Region          string
	Service         string
	EngineAddress   string // IP:port
	Born            int64  // Unix milliseconds of the engine's start; 0: it does not answer
	Holding         site.Holding
	Ready           int64 // newest version that the agent could have the engine load; 0: none
	Change          Change
	Switching       bool // the engine takes no new requests while it changes its weights
	Pieces          Pieces
	AgeMilliseconds int64 // since the agent said so
}

// Change is when an engine is to change over to another version. It takes no
// new requests from the first moment to the second; both are told as what is
// left, below 0 if past. Version is 0 if there is none.
type Change struct {
	Version           int64
	StartMilliseconds int64
	EndMilliseconds   int64
}

// SyncRequest is an agent's word to a gateway.
type SyncRequest struct {
	Agent    Agent
	Revision int64 // of the agent's beliefs
}

// FollowRequest waits until the gateway knows more than Revision.
type FollowRequest struct {
	Revision         int64
	WaitMilliseconds int64 // at most
}

// SyncReply is what the agent lacks.
type SyncReply struct {
	Beliefs  belief.Update
	Agents   []Agent // the others
	Gateways []Gateway
	Named    []Named
}

// Gateway is where a gateway listens for its neighbours.
type Gateway struct {
	Name    string
	Address string
	Region  string
}

// Named is how long ago a version was named. It was named before that, at an
// unknown moment, if the gateway found it when it started.
type Named struct {
	Model           string
	Version         int64
	AgeMilliseconds int64
	Found           bool
}

// Conviction is a request that crashes servers.
type Conviction struct {
	Fingerprint      string
	Server           string
	Convicted        bool
	LeftMilliseconds int64
}

// ExchangeRequest is one gateway's word to another.
type ExchangeRequest struct {
	Gateway         Gateway
	Revision        int64
	Running         map[string]int // requests by server
	Agents          []Agent        // that spoke to this gateway
	Gateways        []Gateway      // others that it knows
	Named           []Named
	Convictions     []Conviction
	AgeMilliseconds int64 // since its beliefs were known to be current; below 0: never
}

// ExchangeReply is what the calling gateway lacks.
type ExchangeReply struct {
	Beliefs         belief.Update
	Gateways        []Gateway
	AgeMilliseconds int64
}
