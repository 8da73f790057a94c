// Package invariant asserts in the running program what must always hold.
package invariant

import (
	"fmt"
	"testing"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
)

// Name identifies an invariant; it is the reason of the InvariantsBroken counter.
type Name string

// Invariants.
const (
	OneOutcome         Name = "OneOutcome"         // a request ends in one terminal outcome
	NotRunBeforeSend   Name = "NotRunBeforeSend"   // a request said not to be run was never dispatched and accepted
	OneDispatchOfClaim Name = "OneDispatchOfClaim" // a claimed call is dispatched at most once
	ServedDigestPlaced Name = "ServedDigestPlaced" // an answer's version is the one that the request was pinned to
	RevisionRises      Name = "RevisionRises"      // a revision in force never falls
	VerifiedBeforeLoad Name = "VerifiedBeforeLoad" // a load order follows the verification of the whole
	OneOrderAtATime    Name = "OneOrderAtATime"    // an engine has at most one order without an answer
)

// Assert reports a broken invariant: it panics in tests; elsewhere it counts it
// and logs an event, and the program goes on.
func Assert(holds bool, name Name, format string, args ...any) {
	if holds {
		return
	}
	detail := fmt.Sprintf(format, args...)
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s is broken: %s", name, detail))
	}
	counter.Add("InvariantsBroken."+string(name), 1)
	event.Log(event.InvariantBroken, "Invariant", string(name), "Detail", detail)
}
