package hosting_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const (
	callerKinds             = 10 // for each gateway
	callerKindsPerLargeSite = 4  // for each gateway of a large site, in turn
	callerKindsPerGrownSite = 20 // two callers of each kind for each gateway
)

// refusedPause is the pause after a request that was not answered.
const refusedPause = 50 * time.Millisecond

// secondKey is a credential that changes of the configuration revoke and add.
const secondKey = "second"

// shortBudget is a time budget in milliseconds that no answer keeps to.
const shortBudget = "1"

// oddBudgets are time budgets that callers name, in milliseconds.
var oddBudgets = []string{"0", "-5", shortBudget, "100000000000000000000", "1e20", "x", ""}

// plannedOutcome is the outcome of a request during planned work.
type plannedOutcome struct {
	caller.Outcome
	path, key, gateway     string
	budget                 string // of oddBudgets; empty: the time until deadline
	halfClosed             bool   // its caller closed the sending side, which may withdraw it
	began, ended, deadline time.Time
}

// runPlannedCaller sends requests to one gateway until ctx ends. Of each kind of caller
// there is one that sends stream requests and one that sends at-most-once calls, over a
// kept connection: at once (kinds 0 and 1), reading slowly (2 and 3), with pauses (4 and 5)
// or with odd time budgets (8 and 9). Those of kinds 6 and 7 use a connection for each
// request and close their sending side after it.
func (s *plannedSoak) runPlannedCaller(ctx context.Context, g *daemon, name string, kind int, r *rand.Rand) {
	c := caller.New(g.callerAddress)
	if kind/2 == 1 {
		c = c.WithSlowReads()
	}
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		o := plannedOutcome{path: standin.StreamPath, key: apiKey, gateway: g.name, began: time.Now()}
		if kind%2 == 1 {
			o.path = standin.OncePath
		}
		if r.IntN(4) == 0 {
			o.key = secondKey
		}
		o.deadline = o.began.Add(plannedDeadline)
		attempt := fmt.Sprint(name, "-", n)
		switch kind / 2 {
		case 3:
			o.halfClosed = true
			o.Outcome = c.SendHalfClosed(o.path+"x", attempt, o.key, o.deadline)
		case 4:
			o.budget = oddBudgets[r.IntN(len(oddBudgets))]
			o.Outcome = c.WithBudget(o.budget).Send(context.Background(), o.path+"x", attempt, o.key, o.deadline)
		default:
			o.Outcome = c.Send(context.Background(), o.path+"x", attempt, o.key, o.deadline)
		}
		o.ended = time.Now()
		s.mu.Lock()
		s.outcomes = append(s.outcomes, o)
		s.mu.Unlock()
		switch {
		case o.Status != 200:
			time.Sleep(refusedPause)
		case kind/2 == 2:
			pause.For(ctx, idleGap)
		}
	}
}
