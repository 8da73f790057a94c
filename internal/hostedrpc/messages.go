// Package hostedrpc defines the net/rpc messages between the processes of a site on a
// hosting platform. Gateways exchange loads, store items and agents' reports with each
// other. Agents report their engine's state and the pieces that they hold to a gateway,
// and get the version to serve and the other agents' pieces in return.
package hostedrpc

import (
	"almondreel.example/almondreel/internal/crashreport"
	"almondreel.example/almondreel/internal/mirror"
	"almondreel.example/almondreel/internal/site"
)

// Service name and methods that a gateway serves.
const (
	ServiceName    = "Neighbour"
	MethodExchange = ServiceName + ".Exchange"
	MethodSync     = ServiceName + ".Sync"
	MethodFollow   = ServiceName + ".Follow"
)

// Pieces is the set of verified pieces of a version that an agent holds.
type Pieces struct {
	Model   string
	Version int64
	Have    []uint64 // bit n%64 of word n/64: piece n
}

// Agent is an agent's report on itself and on its engine.
type Agent struct {
	Name            string
	Address         string // IP:port where it serves pieces
	Region          string
	Service         string
	EngineAddress   string // IP:port
	Born            int64  // Unix milliseconds of the engine's start; 0 if it does not answer
	Holding         site.ServedWeights
	HoldingUnknown  bool  // the agent has started and does not know yet how many layers make Holding whole
	Ready           int64 // newest version that the engine could load now; 0 if none
	Change          Switchover
	Switching       bool  // the engine takes no new requests while it replaces its weights
	Unverified      int64 // oldest version that the engine may have loaded, or may still load, unverified; 0: none
	UnverifiedBorn  int64 // start of the engine that Unverified is of, also while it does not answer
	Found           bool  // the engine had loaded Holding when the agent started, by an order of the agent before
	Pieces          Pieces
	AgeMilliseconds int64 // age of the report
}

// UnverifiedLoad is the oldest version that an engine may have loaded without a check of
// what it took. Version is 0 if there is none.
type UnverifiedLoad struct {
	Born    int64 // Unix milliseconds of the engine's start
	Version int64
}

// EndedAgentLoad is an unverified load by the last report of an agent that has ended.
type EndedAgentLoad struct {
	UnverifiedLoad
	Engine          string // IP:port
	AgeMilliseconds int64  // age of the report
}

// Switchover is an engine's planned change to another version. The engine takes no new
// requests between start and end. Both are relative to the report, and negative if
// past. Version is 0 if no change is planned.
type Switchover struct {
	Version           int64
	StartMilliseconds int64
	EndMilliseconds   int64
}

// Wanted is the desired state of an agent's engine by the platform's store. It is sent
// instead of the store's items, whose size grows with the site.
type Wanted struct {
	Revision int64 // of the store when it was read; never decreases
	Engine   site.Engine
	Origin   string // address of the origin of weights
	Version  int64  // of the weights to serve; 1 while operators have announced none
	Movable  bool   // interrupted answers may be continued by another engine
}

// EqualIgnoringRevision reports whether w and o differ in nothing but Revision.
func (w Wanted) EqualIgnoringRevision(o Wanted) bool {
	w.Revision = o.Revision
	return w == o
}

// Cursor is a position in a gateway's numbered changes to its agents.
type Cursor struct {
	Start  int64 // of the gateway's process; a different start restarts the numbering
	Change int64 // number of the last change that was sent
}

// AgentPieces is a change to an agent's pieces and to nothing else of its report.
type AgentPieces struct {
	Name   string
	Pieces Pieces
}

// Liveness renews an agent's last report, unchanged.
type Liveness struct {
	Name            string
	AgeMilliseconds int64 // since the agent was last known to be alive
}

// SyncRequest is an agent's report to a gateway.
type SyncRequest struct {
	Agent    Agent
	Mark     Cursor // position up to which the agent has received changes
	Gateways uint64 // digest of the agent's list of gateways
	// Quarantine is the digest of what the agent knows to be quarantined. Convictions
	// are that, if the gateway's last digest differed.
	Quarantine  uint64
	Convictions []QuarantineEntry
}

// FollowRequest is a long poll that returns once the desired state differs from Known.
type FollowRequest struct {
	Service          string
	Known            Wanted
	WaitMilliseconds int64 // longest wait
}

// FollowReply is the desired state of a service's engines.
type FollowReply struct {
	Wanted Wanted
	Named  []VersionAge
}

// AgentChanges are the changes to the other agents of an agent's service.
type AgentChanges struct {
	Whole  bool          // Agents are all others of the service, not only those that changed
	Agents []Agent       // without the fields that only gateways use
	Pieces []AgentPieces // of agents that changed in nothing else
	Gone   []string      // names of agents that were removed
}

// SyncReply is what the agent lacks.
type SyncReply struct {
	Wanted   Wanted
	Others   AgentChanges
	Mark     Cursor
	Gateways []Gateway // nil if the agent's list is current
	Named    []VersionAge
	// Quarantine is the digest of what the gateway knows to be quarantined. Convictions
	// are that, if the agent's digest differed.
	Quarantine  uint64
	Convictions []QuarantineEntry
	// Unverified is a load of the agent's engine that this agent or the one before has not
	// verified, by its last report.
	Unverified UnverifiedLoad
}

// Gateway is the address at which a gateway serves these calls.
type Gateway struct {
	Name            string
	Address         string
	Region          string
	AgeMilliseconds int64 // since it was last known to be alive
	Leaving         bool  // it is stopping and soon takes no requests
}

// VersionAge is how long ago operators announced a version. If Found, the gateway found
// the version when it started, so it was announced earlier, at an unknown time.
type VersionAge struct {
	Model           string
	Version         int64
	AgeMilliseconds int64
	Found           bool
}

// QuarantineEntry is the fingerprint of a request that is suspected, or if Convicted
// known, to crash servers.
type QuarantineEntry struct {
	Fingerprint      string
	Server           string
	Convicted        bool
	LeftMilliseconds int64
}

// Departure is a backend server that announced that it is about to shut down.
type Departure struct {
	Service         string
	Server          string
	Born            int64 // Unix milliseconds of the server's start
	AgeMilliseconds int64 // since the announcement
}

// SlowStart is a response that a backend server started late.
type SlowStart struct {
	Service           string
	Server            string
	StartMilliseconds int64 // from sending the request until the response started
	AgeMilliseconds   int64 // since the response started
}

// RateLimit is the rate of requests that a backend server stated that it accepts from all
// gateways together; not Limited: it states none any more.
type RateLimit struct {
	Service         string
	Server          string
	Born            int64 // Unix milliseconds of the server's start
	Limited         bool
	PerSecond       float64
	AgeMilliseconds int64 // since the statement
}

// Load is the number of requests that a region's gateways have running.
type Load struct {
	Region          string
	Running         map[string]int // requests by server
	AgeMilliseconds int64
}

// ExchangeRequest is the state that one gateway sends to another.
type ExchangeRequest struct {
	Gateway     Gateway
	Pulls       bool           // requests the store items changed after Revision
	Revision    int64          // of its mirror of the store
	Running     map[string]int // requests of the sending gateway, by server; nil to another region
	Loads       []Load         // of regions whose gateways may not all call the receiver
	Agents      []Agent        // with reports that are new to the receiver
	Alive       []Liveness
	Unverified  []EndedAgentLoad
	Gateways    []Gateway // that may not call the receiver themselves
	Known       uint64    // digest of the sender's list of gateways
	Named       []VersionAge
	Convictions []QuarantineEntry
	PartCrashes []crashreport.PartCrash
	PartAnswers []crashreport.PartAnswer // to parts that are suspected
	Departures  []Departure
	SlowStarts  []SlowStart // of servers whose model version expires soon
	RateLimits  []RateLimit // stated lately
}

// ExchangeReply is what the calling gateway lacks.
type ExchangeReply struct {
	Beliefs         mirror.Update   // empty unless the request Pulls
	Packed          map[string]bool // keys of items whose values are compressed
	Revision        int64           // of the answering gateway's mirror
	Gateways        []Gateway       // nil if the caller's list is current
	AgeMilliseconds int64           // since the answering gateway's mirror was known to be current; negative ages are ignored
}
