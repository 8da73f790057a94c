// Package invariant checks conditions in the running program that must always
// hold. A violation panics in tests and is counted and logged otherwise.
package invariant

import (
	"fmt"
	"testing"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
)

// Name identifies an invariant. It is the last part of the InvariantsBroken
// counter's name.
type Name string

// Invariants.
const (
	OneOutcome         Name = "OneOutcome"         // a request gets exactly one terminal outcome
	NotRunBeforeSend   Name = "NotRunBeforeSend"   // a refused request was accepted by no agent
	OneDispatchOfClaim Name = "OneDispatchOfClaim" // a non-idempotent request is not dispatched again once it may have run
	ServedDigestPlaced Name = "ServedDigestPlaced" // an answer's version is the one to which the request is pinned
	RevisionRises      Name = "RevisionRises"      // the revision of a current document never decreases
	VerifiedBeforeLoad Name = "VerifiedBeforeLoad" // a load order is sent only after all weights are verified
	OneOrderAtATime    Name = "OneOrderAtATime"    // an engine has at most one unanswered load order
)

// Assert reports a violation if holds is false. In tests it panics. Otherwise it
// adds to the counter InvariantsBroken, logs an event and returns. format and
// args describe the violation.
func Assert(holds bool, name Name, format string, args ...any) {
	if holds {
		return
	}
	detail := fmt.Sprintf(format, args...)
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s is violated: %s", name, detail))
	}
	counter.Add("InvariantsBroken."+string(name), 1)
	event.Log(event.InvariantBroken, "Invariant", string(name), "Detail", detail)
}
