// Package outcome defines the outcomes with which a gateway ends a request, their
// reasons, and the record that encodes them for callers and the ledger.
package outcome

import "time"

// Outcome is one of Answered, Refused, Failed, Unknown and Cancelled.
type Outcome interface{ outcome() }

// Answered means that the caller received the whole answer.
type Answered struct {
	Digest string // version that answered; empty for a plain service
	Tokens int
}

// Refused means that the request was certainly not run.
type Refused struct {
	Reason  Reason
	RetryAt time.Time // zero: a retry cannot succeed
}

// Failed means that the request began to run and the caller did not receive the
// whole answer.
type Failed struct {
	Reason Reason
	Tokens int // tokens passed to the caller
}

// Unknown means that the request may or may not have run.
type Unknown struct {
	Reason  Reason
	RetryAt time.Time // when the outcome may be known; zero: it stays unknown
}

// Cancelled means that the caller's connection ended after Tokens tokens.
type Cancelled struct {
	Reason Reason
	Tokens int
}

func (Answered) outcome()  {}
func (Refused) outcome()   {}
func (Failed) outcome()    {}
func (Unknown) outcome()   {}
func (Cancelled) outcome() {}

// Reason is why a request was refused, retried or failed. Each reason has a
// counter.
type Reason string

// Reasons.
const (
	Malformed                 Reason = "Malformed"
	Unauthorised              Reason = "Unauthorised"
	UnknownClass              Reason = "UnknownClass"
	TooLarge                  Reason = "TooLarge"
	IdempotencyKeyMissing     Reason = "IdempotencyKeyMissing"
	IdempotencyKeyReused      Reason = "IdempotencyKeyReused"
	NoAllowedRegion           Reason = "NoAllowedRegion"     // no server in an allowed region is serving
	DataCentreEvacuated       Reason = "DataCentreEvacuated" // all serving servers are in evacuated data centres
	QueueFull                 Reason = "QueueFull"
	MemoryExhausted           Reason = "MemoryExhausted" // for the requests of all callers
	ProjectedWaitTooLong      Reason = "ProjectedWaitTooLong"
	NoReplicaServing          Reason = "NoReplicaServing"
	ReplicaBusy               Reason = "ReplicaBusy"
	ReplicaLeaving            Reason = "ReplicaLeaving"
	ReplicaServesOtherVersion Reason = "ReplicaServesOtherVersion"
	ReplicaUnreachable        Reason = "ReplicaUnreachable"
	BackendUnreachable        Reason = "BackendUnreachable"
	BackendRefused            Reason = "BackendRefused"
	BackendDied               Reason = "BackendDied"
	BackendFailed             Reason = "BackendFailed"
	StreamCut                 Reason = "StreamCut"
	DeadlinePassed            Reason = "DeadlinePassed"
	Quarantined               Reason = "Quarantined"
	ClaimPending              Reason = "ClaimPending"    // a request with the same key is in progress
	ClaimHolderLost           Reason = "ClaimHolderLost" // the gateway that claimed the key never recorded an outcome
	KeyValueUnavailable       Reason = "KeyValueUnavailable"
	RetryBudgetSpent          Reason = "RetryBudgetSpent"
	ShuttingDown              Reason = "ShuttingDown"
	InternalError             Reason = "InternalError" // a defect of the gateway
	// Why a caller's connection ended.
	CallerGone           Reason = "CallerGone"           // not known
	CallerClosed         Reason = "CallerClosed"         // the caller closed it, or its sending side
	CallerReset          Reason = "CallerReset"          // reading from it failed
	CallerReadTimedOut   Reason = "CallerReadTimedOut"   // a read deadline of the gateway passed
	CallerWriteFailed    Reason = "CallerWriteFailed"    // writing to it failed
	CallerWriteTimedOut  Reason = "CallerWriteTimedOut"  // a write deadline of the gateway passed
	CallerBodyIncomplete Reason = "CallerBodyIncomplete" // it ended within the request's body
	GatewayClosed        Reason = "GatewayClosed"        // the gateway closed it
)

// Names of the outcomes in a Record.
const (
	NameAnswered  = "Answered"
	NameRefused   = "Refused"
	NameFailed    = "Failed"
	NameUnknown   = "Unknown"
	NameCancelled = "Cancelled"
)

// Record is the encoding of an outcome for callers and the ledger.
type Record struct {
	RequestID    string    `json:"RequestID"`
	Organisation string    `json:"Organisation"`
	Class        string    `json:"Class"`
	Outcome      string    `json:"Outcome"`
	Reason       Reason    `json:"Reason,omitempty"`
	NotRun       bool      `json:"NotRun"`
	RetryAt      time.Time `json:"RetryAt,omitzero"`
	Digest       string    `json:"Digest,omitempty"`
	Tokens       int       `json:"Tokens"`
	At           time.Time `json:"At"`
	Repeat       bool      `json:"Repeat,omitempty"` // replayed for a repeated idempotency key; not billed
}

// FromRecord returns the outcome that r records.
func FromRecord(r Record) Outcome {
	switch r.Outcome {
	case NameAnswered:
		return Answered{Digest: r.Digest, Tokens: r.Tokens}
	case NameRefused:
		return Refused{Reason: r.Reason, RetryAt: r.RetryAt}
	case NameFailed:
		return Failed{Reason: r.Reason, Tokens: r.Tokens}
	case NameCancelled:
		return Cancelled{Reason: r.Reason, Tokens: r.Tokens}
	}
	return Unknown{Reason: r.Reason, RetryAt: r.RetryAt}
}

// NewRecord returns a record of o without RequestID, Organisation, Class, At and
// Repeat, which its caller sets.
func NewRecord(o Outcome) Record {
	switch o := o.(type) {
	case Answered:
		return Record{Outcome: NameAnswered, Digest: o.Digest, Tokens: o.Tokens}
	case Refused:
		return Record{Outcome: NameRefused, Reason: o.Reason, NotRun: true, RetryAt: o.RetryAt}
	case Failed:
		return Record{Outcome: NameFailed, Reason: o.Reason, Tokens: o.Tokens}
	case Unknown:
		return Record{Outcome: NameUnknown, Reason: o.Reason, RetryAt: o.RetryAt}
	case Cancelled:
		return Record{Outcome: NameCancelled, Reason: o.Reason, Tokens: o.Tokens}
	}
	panic("outcome: unknown outcome type")
}
