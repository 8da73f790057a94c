// Package agent defines the messages that an agent receives: requests that
// gateways dispatch over HTTP, and the chunk exchange of other agents over
// net/rpc and HTTP.
package agent

import "almondreel.example/almondreel/internal/manifest"

// DispatchPath accepts a POST of a caller's request body, from gateways.
const DispatchPath = "/v1/dispatch"

// ChunkPath serves a chunk to agents: ChunkPath + digest.
const ChunkPath = "/v1/chunks/"

// WeightsPath serves a whole verified version to the engine on the agent's
// instance: WeightsPath + digest.
const WeightsPath = "/v1/weights/"

// ManifestPath serves the manifest of a version to agents: ManifestPath + digest.
const ManifestPath = "/v1/manifests/"

// Headers of a dispatch.
const (
	HeaderRequestID    = "Almondreel-Request"
	HeaderAttempt      = "Almondreel-Attempt" // unique for each dispatch; echoed in the answer
	HeaderClass        = "Almondreel-Class"
	HeaderOrganisation = "Almondreel-Organisation"
	HeaderDigest       = "Almondreel-Digest"      // version that must answer; echoed in the answer
	HeaderDeadline     = "Almondreel-Deadline"    // Unix milliseconds
	HeaderFingerprint  = "Almondreel-Fingerprint" // hash of organisation, class and body
	HeaderSuspect      = "Almondreel-Suspect"     // "1": run no other suspect request at the same time
	HeaderResumeFrom   = "Almondreel-Resume-From" // number of tokens that the caller already has
	HeaderPriority     = "Almondreel-Priority"
)

// Headers and trailers of an answer.
const (
	HeaderRefused = "Almondreel-Refused" // reason; if set, the request was not run
	TrailerEnd    = "Almondreel-End"     // EndWhole, or the reason why the answer was cut off
	HeaderRunning = "Almondreel-Running" // requests in progress
	HeaderSlots   = "Almondreel-Slots"
	HeaderStatus  = "Almondreel-Status" // status of a plain service's answer
)

// EndWhole in TrailerEnd means that the whole answer of the backend server was
// forwarded.
const EndWhole = "Whole"

// HeaderRegion is the region of the agent that requests a chunk or a manifest.
const HeaderRegion = "Almondreel-Region"

// MethodHave is the net/rpc method that exchanges holdings between agents:
// HaveRequest, HaveReply.
const MethodHave = "Agent.Have"

// Cursor is a position in the sequence of chunks that one agent added to its
// holdings of a version.
type Cursor struct {
	Run      uint64 // random for each transfer of the agent; 0: nothing is known
	Sequence uint64 // number of chunks added so far
}

// Holdings lists the chunks of a version that an agent holds: all of them in
// Whole, or in Added only those added since Base. It leads to the cursor with Run
// and Sequence.
type Holdings struct {
	Run      uint64
	Base     uint64 // sequence that Added applies to; 0: Whole is set
	Sequence uint64
	Whole    []uint64 // bitset of chunk indices
	Added    []uint32 // chunk indices, in the order of their addition
}

// Seen lists the chunks that the sender has seen to be held by any agent. Empty
// sets mean no change since the last message to the same agent.
type Seen struct {
	InRegion []uint64 // bitset of chunk indices held in the sender's region
	Anywhere []uint64 // bitset of chunk indices held in any region
}

// HaveRequest sends the sender's holdings to a neighbour. From is empty if the
// sender only asks for the neighbour's holdings.
type HaveRequest struct {
	From       string
	Region     string
	DataCentre string
	Address    string
	Digest     manifest.Digest
	Holdings   Holdings
	Known      Cursor // the neighbour's holdings that the sender has received
	Seen       Seen
	TakingOver []uint32 // chunks that the sender imports instead of the neighbour, unless the neighbour is importing them
}

// HaveReply returns the neighbour's holdings.
type HaveReply struct {
	Known        bool // the neighbour has a transfer of the version
	Holdings     Holdings
	Acknowledged Cursor   // the sender's holdings that the neighbour has received
	Drawing      []uint32 // chunks that the neighbour is importing into its region
	Seen         Seen
}
