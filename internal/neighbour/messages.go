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

// Wanted is what the platform's store says of an agent's engine. It is told
// instead of the store's items, which grow with the site.
type Wanted struct {
	Revision int64 // of the store that it was read at; it only rises
	Engine   site.Engine
	Origin   string // address of the origin of weights
	Version  int64  // of the weights that are to serve; 1 while none is named
	Movable  bool   // answers that are cut off go on at another engine
}

// Same reports whether both say the same, whenever they were read.
func (w Wanted) Same(o Wanted) bool {
	w.Revision = o.Revision
	return w == o
}

// Mark is a point in what a gateway has to tell of agents.
type Mark struct {
	Start  int64 // of the gateway's process; others begin anew
	Change int64 // number of the last change that was told
}

// Holder is an agent's pieces alone.
type Holder struct {
	Name   string
	Pieces Pieces
}

// Seen says that an agent is alive and says what it said before.
type Seen struct {
	Name            string
	AgeMilliseconds int64 // since it said so
}

// SyncRequest is an agent's word to a gateway.
type SyncRequest struct {
	Agent    Agent
	Mark     Mark   // up to which it was told
	Gateways uint64 // digest of the gateways that it knows
}

// FollowRequest waits until the gateway knows of something else than Known.
type FollowRequest struct {
	Service          string
	Known            Wanted
	WaitMilliseconds int64 // at most
}

// FollowReply is what is wanted of a service's engines.
type FollowReply struct {
	Wanted Wanted
	Named  []Named
}

// Others is what an agent has not heard of the other agents of its service.
type Others struct {
	Whole  bool     // Agents are all that the gateway knows; else those that changed
	Agents []Agent  // without what only gateways need
	Pieces []Holder // of agents of which nothing else changed
	Gone   []string // agents that are no more
}

// SyncReply is what the agent may lack.
type SyncReply struct {
	Wanted   Wanted
	Others   Others
	Mark     Mark
	Gateways []Gateway // nil: those that it knows
	Named    []Named
}

// Gateway is where a gateway listens for its neighbours.
type Gateway struct {
	Name            string
	Address         string
	Region          string
	AgeMilliseconds int64 // since it was heard
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

// Departure is a backend server that said it is about to end.
type Departure struct {
	Service         string
	Server          string
	Born            int64 // Unix milliseconds of the start of the server that said so
	AgeMilliseconds int64 // since it said so
}

// Load is what the gateways of a region have running.
type Load struct {
	Region          string
	Running         map[string]int // requests by server
	AgeMilliseconds int64
}

// ExchangeRequest is one gateway's word to another.
type ExchangeRequest struct {
	Gateway     Gateway
	Pulls       bool           // it wants what it lacks after Revision
	Revision    int64          // of its beliefs
	Running     map[string]int // requests of this gateway, by server
	Loads       []Load         // of regions that the other does not hear itself
	Agents      []Agent        // whose words are new
	Alive       []Seen
	Gateways    []Gateway // that the other does not hear itself
	Known       uint64    // digest of the gateways that this one knows
	Named       []Named
	Convictions []Conviction
	Departures  []Departure
}

// ExchangeReply is what the calling gateway lacks.
type ExchangeReply struct {
	Beliefs         belief.Update   // empty unless the caller pulls
	Packed          map[string]bool // keys of items whose values are compressed
	Revision        int64           // of the beliefs of the gateway that answers
	Gateways        []Gateway       // nil: those that it knows
	AgeMilliseconds int64           // since its beliefs were known to be current; below 0: never
}
