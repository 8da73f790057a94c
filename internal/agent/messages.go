// Package agent holds the messages that an agent takes: dispatches from
// gateways over HTTP and chunk exchange from other agents over net/rpc and HTTP.
package agent

import "almondreel.example/almondreel/internal/manifest"

// DispatchPath takes a POST with the caller's body, from gateways.
const DispatchPath = "/v1/dispatch"

// ChunkPath serves a chunk by digest, from agents: ChunkPath + digest.
const ChunkPath = "/v1/chunks/"

// WeightsPath serves a whole verified version to the engine beside the agent.
const WeightsPath = "/v1/weights/"

// ManifestPath serves a manifest by digest, from agents.
const ManifestPath = "/v1/manifests/"

// Headers of a dispatch.
const (
	HeaderRequestID    = "Almondreel-Request"
	HeaderAttempt      = "Almondreel-Attempt" // unique for each dispatch; echoed in the answer
	HeaderClass        = "Almondreel-Class"
	HeaderOrganisation = "Almondreel-Organisation"
	HeaderDigest       = "Almondreel-Digest"      // version that must answer; echoed
	HeaderDeadline     = "Almondreel-Deadline"    // Unix milliseconds
	HeaderFingerprint  = "Almondreel-Fingerprint" // of organisation, class and body
	HeaderSuspect      = "Almondreel-Suspect"     // "1": run no other suspect beside it
	HeaderResumeFrom   = "Almondreel-Resume-From" // tokens that the caller has
	HeaderPriority     = "Almondreel-Priority"
)

// Headers and trailers of an answer.
const (
	HeaderRefused = "Almondreel-Refused" // reason; set: the request was not run
	TrailerEnd    = "Almondreel-End"     // EndWhole, or the reason for a cut
	HeaderRunning = "Almondreel-Running" // requests in progress
	HeaderSlots   = "Almondreel-Slots"
	HeaderStatus  = "Almondreel-Status" // status of a plain service's answer
)

// EndWhole in TrailerEnd says that the backend server's answer was passed on whole.
const EndWhole = "Whole"

// HeaderRegion tells an agent from which region a chunk is asked for.
const HeaderRegion = "Almondreel-Region"

// MethodHave exchanges holdings between agents: HaveRequest, HaveReply.
const MethodHave = "Agent.Have"

// Mark is a point in the history of one agent's holdings of a version.
type Mark struct {
	Run      uint64 // tells histories of one agent apart; 0: nothing is known
	Sequence uint64 // chunks that were added until then
}

// Holdings tells which chunks of a version an agent holds: all of them in
// Whole, or only those added since Base.
type Holdings struct {
	Run      uint64
	Base     uint64
	Sequence uint64
	Whole    []uint64 // bitset of chunk indices; set when Base is 0
	Added    []uint32 // chunk indices; set when Base is not 0
}

// Seen tells which chunks are known to be held by any agent. Empty sets say
// that nothing has changed since the last message to the same agent.
type Seen struct {
	InRegion []uint64 // bitset: held in the sender's region
	Anywhere []uint64 // bitset
}

// HaveRequest tells a neighbour what the sender holds.
type HaveRequest struct {
	From       string
	Region     string
	DataCentre string
	Address    string
	Digest     manifest.Digest
	Holdings   Holdings
	Known      Mark // what the sender knows of the neighbour's holdings
	Seen       Seen
	TakingOver []uint32 // chunks that the sender brings in the neighbour's place unless it is at work on them
}

// HaveReply answers with the neighbour's own holdings.
type HaveReply struct {
	Known        bool // the neighbour has or fetches the version
	Holdings     Holdings
	Acknowledged Mark     // what the neighbour knows of the sender's holdings
	Drawing      []uint32 // chunks that the neighbour brings into its region now
	Seen         Seen
}
