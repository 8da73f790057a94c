package event

// Events of every program: 1000 to 1099.
const (
	Started Number = 1000 + iota
	Stopping
	Stopped
	TaskFailed
	InvariantBroken
	StopRepeated
)

// Events of configuration, placement and membership: 2000 to 2099.
const (
	ConfigurationAdopted Number = 2000 + iota
	ConfigurationOlder
	PlacementAdopted
	PlacementOlder
	PlacementWritten
	PlannerLeaseAcquired
	PlannerLeaseLost
	KeyValueDown
	KeyValueUp
	MemberJoined
	MemberLeaving
	MemberSuspected
	MemberLost
	DataCentreUnreachable
	GatewayUnresponsive
	DocumentUndecodable
	PlacementConflict
	TargetUnmet
	VersionUnresolved
	PlacementTooLarge
	SettingsReloaded
	StoreDown
	StoreUp
	StoreCompacted
	EntryInvalid
	GatewayUp
	GatewayDown
	ServersChanged
	TargetVersionChanged
	PeerMessageRejected
	ServerWeightsChanged
	RegionUnknown
	DataCentreEvacuated
	EvacuationEnded
	EvacuationUnknown
	ServerCold
	ServerNotCold
	FieldImplausible
	StarvationBegan
	StarvationEnded
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
	LoadUnanswered
	OrderRefused
	EngineUp
	EngineDown
	PieceFetchFailed
	ManifestFetchFailed
	StagedListFailed
	StagedCorrupt
	StagingFailed
	StagedRead
	LoadPostponed
	ManifestContradicted
	ManifestReplaced
	EngineWeightsChanged
	LoadNotConfirmed
	LoadVerified
	LoadUnverified
	LoadSpoilt
	UnloadFailed
	StoredChunkCorrupt
)

// Events of requests: 4000 to 4099.
const (
	RequestRefused Number = 4000 + iota
	RequestFailed
	RequestUnknown
	RequestRetried
	RequestQuarantined
	DispatchRefused
	BackendDied
	LedgerDelayed
	DrainStarted
	DrainEnded
	ClaimUpdateFailed
	LedgerKeyConflict
	LedgerNotHandedOver
	RequestEnded
	ServerLeaving
	PartQuarantined
	RateLimitChanged
	RequestCancelled
	HandlerPanicked
	SuccessorStarted
	SuccessorEnded
	SlotWithdrawn
)

var texts = map[Number]string{
	Started:         "program started",
	Stopping:        "program stopping",
	Stopped:         "program stopped",
	TaskFailed:      "background task failed and is restarted",
	InvariantBroken: "invariant violated: please report it",
	StopRepeated:    "signal to stop ignored: the program is stopping",

	ConfigurationAdopted:  "configuration revision adopted",
	ConfigurationOlder:    "older configuration revision offered and ignored",
	PlacementAdopted:      "placement revision adopted",
	PlacementOlder:        "older placement revision offered and ignored",
	PlacementWritten:      "placement written",
	PlannerLeaseAcquired:  "planner lease acquired",
	PlannerLeaseLost:      "planner lease lost",
	KeyValueDown:          "key-value service does not answer",
	KeyValueUp:            "key-value service answers again",
	MemberJoined:          "instance joined",
	MemberLeaving:         "instance is leaving",
	MemberSuspected:       "instance suspected: no recent heartbeat from it",
	MemberLost:            "instance lost",
	DataCentreUnreachable: "no heartbeats from a whole data centre: treated as a partition",
	GatewayUnresponsive:   "gateway does not answer heartbeats: another is chosen",
	DocumentUndecodable:   "document from a peer cannot be decoded",
	PlacementConflict:     "placement write rejected: the stored revision is newer",
	TargetUnmet:           "too few instances for a class's target",
	VersionUnresolved:     "origin does not resolve a version",
	PlacementTooLarge:     "placement is too large for the key-value service",
	SettingsReloaded:      "settings file read again",
	StoreDown:             "metadata store does not answer",
	StoreUp:               "metadata store answers again",
	StoreCompacted:        "metadata store compacted its history: reading all entries again",
	EntryInvalid:          "metadata store entry is invalid",
	GatewayUp:             "gateway answers",
	GatewayDown:           "gateway does not answer",
	ServersChanged:        "backend servers changed",
	TargetVersionChanged:  "target version of a model changed",
	PeerMessageRejected:   "message of another process exceeds the limits: connection ended",
	ServerWeightsChanged:  "weights that a backend server counts as serving changed",
	RegionUnknown:         "configuration allows a region in which no data centre is",
	DataCentreEvacuated:   "data centre evacuated: no new requests to its backend servers",
	EvacuationEnded:       "evacuation of a data centre ended",
	EvacuationUnknown:     "evacuation of an unknown data centre ignored",
	ServerCold:            "backend server became cold: its requests are limited",
	ServerNotCold:         "backend server is no longer cold",
	FieldImplausible:      "metadata store entry has a field with an implausible value",
	StarvationBegan:       "requests of an organisation or route priority are starved: they go first",
	StarvationEnded:       "starved organisation or route priority has caught up",

	TransferStarted:      "transfer of a model started",
	TransferVerified:     "transfer complete and verified",
	TransferAbandoned:    "transfer abandoned for a newer placement",
	ChunkRejected:        "chunk rejected: wrong digest or length",
	ChunkTakenOver:       "chunk taken over from an agent that did not fetch it in time",
	LoadOrdered:          "load order sent to engine",
	LoadConfirmed:        "engine reports the ordered digest",
	LoadUnanswered:       "load order got no answer: reading the engine's state",
	OrderRefused:         "load order refused by the engine",
	EngineUp:             "engine answers",
	EngineDown:           "engine does not answer",
	PieceFetchFailed:     "piece could not be fetched",
	ManifestFetchFailed:  "manifest could not be read",
	StagedListFailed:     "staged pieces could not be listed",
	StagedCorrupt:        "staged pieces are missing or corrupt: staging them again",
	StagingFailed:        "piece could not be staged",
	StagedRead:           "staged pieces read from an engine that started answering",
	LoadPostponed:        "load order not sent",
	ManifestContradicted: "pieces contradict the manifest: no other manifest has their digests yet",
	ManifestReplaced:     "manifest was corrupt and has been replaced",
	EngineWeightsChanged: "engine reports other weights",
	LoadNotConfirmed:     "engine does not report the ordered version",
	LoadVerified:         "load verified: its pieces were intact after the engine had accepted the order",
	LoadUnverified:       "load not verified yet: its pieces could not be read",
	LoadSpoilt:           "engine may have loaded corrupt pieces: ordering it to unload them",
	UnloadFailed:         "engine did not unload corrupt pieces: ordering it again",
	StoredChunkCorrupt:   "stored chunk turned corrupt: fetching it again",

	RequestRefused:      "request refused, not run",
	RequestFailed:       "request failed",
	RequestUnknown:      "request outcome unknown",
	RequestRetried:      "request retried",
	RequestQuarantined:  "request quarantined: it crashes backend servers",
	DispatchRefused:     "dispatch refused by agent, not run",
	BackendDied:         "backend server died",
	LedgerDelayed:       "outcome records wait for the key-value service",
	DrainStarted:        "drain started: no new work",
	DrainEnded:          "drain ended",
	ClaimUpdateFailed:   "claim could not be updated: retries get an unknown outcome",
	LedgerKeyConflict:   "ledger key holds another batch: this batch is not in the ledger",
	LedgerNotHandedOver: "outcome records could not be handed to another gateway",
	RequestEnded:        "request ended",
	ServerLeaving:       "backend server is about to stop: no new requests",
	PartQuarantined:     "prompt part quarantined: it crashes backend servers",
	RateLimitChanged:    "rate limit of a backend server changed",
	RequestCancelled:    "request cancelled: the caller's connection ended",
	HandlerPanicked:     "request handler panicked",
	SuccessorStarted:    "server is silent: another is asked to go on with the response",
	SuccessorEnded:      "server does not go on with the response of a silent one",
	SlotWithdrawn:       "slot given back before anything was sent: the server is no longer permitted",
}
