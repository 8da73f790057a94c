package event

// Events of every program: 1000 to 1099.
const (
	Started Number = 1000 + iota
	Stopping
	Stopped
	DutyFailed
	InvariantBroken
)

// Events of configuration, placement and membership: 2000 to 2099.
const (
	ConfigurationAdopted Number = 2000 + iota
	ConfigurationOlder
	PlacementAdopted
	PlacementOlder
	PlacementWritten
	DutyAcquired
	DutyLost
	KeyValueDown
	KeyValueUp
	MemberJoined
	MemberLeaving
	MemberSuspected
	MemberLost
	DataCentreSilent
	GatewaySilent
	DocumentUndecodable
	DutyFenced
	TargetShort
	VersionUnresolved
	PlacementTooLarge
	SettingsReloaded
	StoreDown
	StoreUp
	HistoryForgotten
	EntryUnreadable
	NeighbourUp
	NeighbourDown
	ServersChanged
	VersionNamed
)

// Events of the distribution of weights: 3000 to 3099.
const (
	TransferStarted Number = 3000 + iota
	TransferVerified
	TransferAbandoned
	ChunkRejected
	ChunkTakenOver
	LoadOrdered
	LoadConfirmed
	LoadUnsettled
	OrderRefused
	EngineUp
	EngineDown
	PieceFailed
	ManifestMissing
	StagedUnread
	StagedSpoilt
	PieceUnstaged
	StagedTaken
)

// Events of requests: 4000 to 4099.
const (
	RequestRefused Number = 4000 + iota
	RequestFailed
	RequestUnknown
	RequestRetried
	RequestConvicted
	DispatchRefused
	BackendDied
	LedgerDelayed
	DrainStarted
	DrainEnded
	ClaimUnsettled
	LedgerKeyTaken
	LedgerNotHandedOver
	RequestEnded
	ServerDeparts
)

var catalogue = map[Number]string{
	Started:         "program started",
	Stopping:        "program stopping",
	Stopped:         "program stopped",
	DutyFailed:      "duty failed and is restarted",
	InvariantBroken: "an invariant is broken: please report it",

	ConfigurationAdopted: "configuration revision adopted",
	ConfigurationOlder:   "older configuration revision offered and ignored",
	PlacementAdopted:     "placement revision adopted",
	PlacementOlder:       "older placement revision offered and ignored",
	PlacementWritten:     "placement written",
	DutyAcquired:         "planning duty acquired",
	DutyLost:             "planning duty lost",
	KeyValueDown:         "key-value service does not answer",
	KeyValueUp:           "key-value service answers again",
	MemberJoined:         "instance joined",
	MemberLeaving:        "instance is leaving",
	MemberSuspected:      "instance suspected: one source is silent",
	MemberLost:           "instance lost",
	DataCentreSilent:     "whole data centre silent: treated as a partition",
	GatewaySilent:        "gateway does not answer heartbeats: another is chosen",
	DocumentUndecodable:  "document from a peer cannot be decoded",
	DutyFenced:           "placement write lost against a newer revision",
	TargetShort:          "too few instances for a class's target",
	VersionUnresolved:    "origin does not resolve a version",
	PlacementTooLarge:    "placement is larger than the key-value service holds",
	SettingsReloaded:     "settings file read again",
	StoreDown:            "metadata store does not answer",
	StoreUp:              "metadata store answers again",
	HistoryForgotten:     "metadata store forgot its history: everything is read again",
	EntryUnreadable:      "entry of the metadata store cannot be used",
	NeighbourUp:          "neighbour answers",
	NeighbourDown:        "neighbour does not answer",
	ServersChanged:       "backend servers changed",
	VersionNamed:         "model version named",

	TransferStarted:   "transfer of a model started",
	TransferVerified:  "transfer complete and verified",
	TransferAbandoned: "transfer abandoned for a newer placement",
	ChunkRejected:     "chunk rejected: wrong digest or length",
	ChunkTakenOver:    "chunk drawn out of turn after its holder's deadline",
	LoadOrdered:       "load order sent to engine",
	LoadConfirmed:     "engine states the ordered digest",
	LoadUnsettled:     "load order without an answer: reading engine state",
	OrderRefused:      "order refused: older fencing number",
	EngineUp:          "engine answers",
	EngineDown:        "engine does not answer",
	PieceFailed:       "piece could not be brought",
	ManifestMissing:   "manifest could not be read",
	StagedUnread:      "staged pieces could not be listed",
	StagedSpoilt:      "staged pieces missing or spoilt: staged again",
	PieceUnstaged:     "piece could not be staged",
	StagedTaken:       "staged pieces taken from an engine that began to answer",

	RequestRefused:      "request refused, not run",
	RequestFailed:       "request failed",
	RequestUnknown:      "request outcome unknown",
	RequestRetried:      "request retried",
	RequestConvicted:    "request quarantined: it crashes backend servers",
	DispatchRefused:     "dispatch refused by agent, not run",
	BackendDied:         "backend server died",
	LedgerDelayed:       "outcome records wait for the key-value service",
	DrainStarted:        "drain started: no new work",
	DrainEnded:          "drain ended: no request in progress",
	ClaimUnsettled:      "claim could not be settled: repeats are told that its outcome is unknown",
	LedgerKeyTaken:      "ledger key holds another batch: the batch is not in the ledger",
	LedgerNotHandedOver: "outcome records could not be handed to another gateway",
	RequestEnded:        "request ended",
	ServerDeparts:       "backend server is about to end: no new requests",
}
