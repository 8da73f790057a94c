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

// MethodHave exchanges have-sets between agents: HaveRequest, HaveReply.
const MethodHave = "Agent.Have"

// HaveRequest tells a neighbour which chunks of a version the sender holds.
type HaveRequest struct {
	From    string
	Address string
	Digest  manifest.Digest
	After   uint64 // last Sequence of the neighbour that the sender knows
	Have    []byte // bitset of chunk indices
}

// HaveReply answers with the neighbour's own set.
type HaveReply struct {
	Sequence uint64
	Have     []byte // empty: unchanged since After, or version unknown
	Known    bool   // the neighbour has or fetches the version
}
