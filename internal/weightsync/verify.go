package weightsync

import (
	"context"
	"errors"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/site"
)

// An engine takes what is staged when it accepts an order, which may be long after the
// order was sent, and after the agent that sent it has ended. No check before the order
// can therefore tell what was loaded. Staged pieces turn corrupt but never intact by
// themselves, and only agents stage. So pieces that are read back intact after the
// acceptance, and were not staged since, are what the engine has loaded. Until then the
// load counts as incomplete, and a load that fails the check is unloaded.

// loadID identifies what an engine has loaded by its start and the orders that it has
// accepted since.
type loadID struct{ born, orders int64 }

func idOf(s site.EngineState) loadID { return loadID{s.Born, s.Orders} }

// errNoManifest reports a load of a version whose digests are not known.
var errNoManifest = errors.New("the version's manifest is not known")

// verification is what the agent knows of its engine's loads.
type verification struct {
	verified     loadID // the last load that counts as whole
	foundAtStart bool   // verified was complete when the agent started, which has not read its pieces since
	spoilt       loadID // the last load that failed the check
	unknown      loadID // the last load of a version whose digests were not known
	// told is a load that the previous agent had not verified, as a gateway told before
	// the engine answered. It is zero if there is none.
	told hostedrpc.UnverifiedLoad
	// acceptedAfter is a time before the engine accepted the last order: a read of the state
	// that began maxReportAge later showed one order less, or the order was sent then.
	acceptedAfter time.Time
	answered      loadID    // the load by the last order that was answered
	answeredAfter time.Time // when that order was sent
	stateAt       time.Time // when the last read of the state began
	retryAt       time.Time // a check or unload order that failed is not repeated before
	failures      int       // of checks and unload orders of the last load
}

// maxReportAge bounds the age of the state in an engine's report, by the platform's pages.
const maxReportAge = 500 * time.Millisecond

const (
	// minVerifyPause and maxVerifyPause bound the time between two checks of a load, or
	// orders to unload it, of which the first failed; it doubles with each.
	minVerifyPause = 250 * time.Millisecond
	maxVerifyPause = time.Second
)

// postpone records that a check or an unload order failed.
func (c *verification) postpone(now time.Time) {
	c.retryAt = now.Add(min(minVerifyPause<<min(c.failures, 8), maxVerifyPause))
	c.failures++
}

// record adds a state that was read from readAt on. first is set for the first one: what
// the engine has loaded then is the matter of the agent before, which gateways remember if
// it had not verified the load.
func (c *verification) record(known, state site.EngineState, first bool, readAt time.Time) {
	switch {
	case first && !state.Loading && !isLoad(state, c.told):
		c.verified, c.foundAtStart = idOf(state), true
	case idOf(state) == idOf(known):
	case idOf(state) == c.answered:
		c.acceptedAfter = c.answeredAfter
	default:
		c.acceptedAfter = c.stateAt.Add(-maxReportAge)
	}
	if idOf(known) != idOf(state) {
		c.retryAt, c.failures = time.Time{}, 0
	}
	c.stateAt = readAt
}

// recordAnswer records that the engine answered the order for a load, which was sent at
// sentAt. It would have refused if it had accepted another order before.
func (c *verification) recordAnswer(known site.EngineState, load loadID, sentAt time.Time) {
	c.answered, c.answeredAfter = load, sentAt
	if idOf(known) == load { // a read of the state was faster
		c.acceptedAfter = sentAt
	}
}

// isLoad reports whether an engine in this state holds the load, or a later one.
func isLoad(s site.EngineState, l hostedrpc.UnverifiedLoad) bool {
	return l.Version != 0 && s.Born == l.Born && s.Loaded.Version >= l.Version
}

// vouchesFor reports whether what an engine in this state has loaded counts as whole. An
// engine that has accepted no order since its start has not taken staged pieces.
func (c *verification) vouchesFor(s site.EngineState) bool {
	return s.Orders == 0 || c.verified == idOf(s)
}

// served returns what the engine serves. A load that has not been verified does not count
// as whole. Callers hold mu.
func (a *Agent) served() site.ServedWeights {
	served := a.state.Served(a.wanted.Engine.Layers)
	served.Whole = served.Whole && a.loads.vouchesFor(a.state)
	return served
}

// unverified reports whether the engine holds all layers of a load that has not been
// verified. Callers hold mu.
func (a *Agent) unverified() bool {
	return a.engineUp && !a.state.Loading && a.state.Served(a.wanted.Engine.Layers).Whole && !a.loads.vouchesFor(a.state)
}

// unverifiedVersion returns the oldest version that the engine may have loaded, or may still
// load, without a check since: of a load by an earlier agent's order, of an order in progress,
// and of one that got no answer. It is 0 if there is none. Callers hold mu.
func (a *Agent) unverifiedVersion(now time.Time) int64 {
	oldest := a.ordering
	if o := a.pending; now.Before(o.until) && o.born == a.state.Born {
		oldest = olderVersion(oldest, o.version)
	}
	if !a.loads.vouchesFor(a.state) {
		oldest = olderVersion(oldest, a.state.Loaded.Version)
	}
	return oldest
}

// olderVersion returns the older one of two versions, of which 0 is none.
func olderVersion(x, y int64) int64 {
	if x == 0 || y != 0 && y < x {
		return y
	}
	return x
}

// announced returns the switchover that gateways may go by. The announced end stands for a
// load that is not verified yet, but no report that is made after it does.
func (a *Agent) announced(now time.Time, unverified int64) hostedrpc.Switchover {
	if unverified != 0 && now.After(a.switchover.to) {
		return hostedrpc.Switchover{}
	}
	return a.switchover.message(now)
}

// SetUnverified sets what gateways know of a load that the previous agent of this engine
// had not verified when it ended. It is ignored once this agent has verified a load.
func (a *Agent) SetUnverified(l hostedrpc.UnverifiedLoad) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engineAwaited && l.Version != 0 {
		a.loads.told = l
	}
	if a.loads.foundAtStart && isLoad(a.state, l) {
		a.loads.verified, a.loads.foundAtStart = loadID{}, false
	}
}

// refreshState reads the engine's state and reports whether it answered.
func (a *Agent) refreshState(ctx context.Context) bool {
	readAt := time.Now()
	state, err := a.Engine.Report(ctx)
	a.recordState(state, err, readAt)
	return err == nil
}

// verifyFound verifies a load that ended without it, as after an order that got no answer,
// and reports whether there was one of a version that the agent knows and whose check is
// due.
func (a *Agent) verifyFound(ctx context.Context) bool {
	a.mu.Lock()
	needed := a.unverified() && !time.Now().Before(a.loads.retryAt)
	v := a.find(a.state.Model, a.state.Loaded.Version)
	a.mu.Unlock()
	if needed && v == nil {
		a.logUnknown()
	}
	if !needed || v == nil {
		return false
	}
	a.stagingMu.Lock()
	defer a.stagingMu.Unlock()
	a.verifyLoad(ctx, v)
	return true
}

// logUnknown logs once that a load can't be verified, as the agent does not know the
// digests of its version.
func (a *Agent) logUnknown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := idOf(a.state)
	if a.loads.unknown == id {
		return
	}
	a.loads.unknown = id
	counter.Add("LoadsUnknown", 1)
	event.Fail(event.LoadUnverified, errNoManifest, "Engine", a.EngineAddress, "Born", id.born, "Orders", id.orders, "Version", a.state.Loaded.Version)
}

// verifyLoad reads back the pieces of the version that the engine was last ordered to
// load, and has accepted. If one is not intact, the engine is ordered to unload it. On an
// error the load stays unverified. Callers hold stagingMu.
func (a *Agent) verifyLoad(ctx context.Context, v *version) {
	a.mu.Lock()
	state := a.state
	id, stagedSince := idOf(state), a.stagedAt.After(a.loads.acceptedAfter)
	spoilt := a.loads.spoilt == id
	a.mu.Unlock()
	if spoilt {
		a.unload(ctx, v, state)
		return
	}
	corrupt, err := a.countCorrupt(ctx, v)
	if err != nil {
		a.postponeVerification()
		event.Fail(event.LoadUnverified, err, "Engine", a.EngineAddress, "Born", id.born, "Orders", id.orders, "Version", v.manifest.Version)
		return
	}
	a.mu.Lock()
	if corrupt > 0 || stagedSince {
		a.loads.spoilt = id
		v.checkedAt = time.Time{} // the next order must not rely on the check before this one
	} else {
		a.loads.verified, a.loads.foundAtStart, a.ordering = id, false, 0
	}
	a.mu.Unlock()
	if corrupt == 0 && !stagedSince {
		event.Log(event.LoadVerified, "Engine", a.EngineAddress, "Born", id.born, "Orders", id.orders, "Version", v.manifest.Version)
		return
	}
	counter.Add("LoadsSpoilt", 1)
	event.Log(event.LoadSpoilt, "Engine", a.EngineAddress, "Born", id.born, "Orders", id.orders, "Version", v.manifest.Version,
		"Corrupt", corrupt, "StagedSince", stagedSince)
	a.unload(ctx, v, state)
}

// countCorrupt reads every staged piece back and returns how many differ from the version's.
func (a *Agent) countCorrupt(ctx context.Context, v *version) (int, error) {
	corrupt := 0
	for n := range v.manifest.Digests {
		data, err := a.Engine.Staged(ctx, v.manifest.Model, n)
		if err != nil {
			return corrupt, err
		}
		if v.manifest.Verify(n, data) != nil {
			corrupt++
		}
	}
	return corrupt, nil
}

// unload orders the engine to unload what it has loaded, and takes back the switchover that
// was announced. An engine that is loading refuses; the order is then repeated by
// verifyFound.
func (a *Agent) unload(ctx context.Context, v *version, state site.EngineState) {
	a.withdrawSwitchover()
	err := a.Engine.Unload(ctx, Unload{Model: v.manifest.Model, Version: v.manifest.Version, Accepted: state.Orders})
	if err != nil {
		a.postponeVerification()
		event.Fail(event.UnloadFailed, err, "Engine", a.EngineAddress, "Born", state.Born, "Orders", state.Orders, "Version", v.manifest.Version)
		return
	}
	a.refreshState(ctx)
}

func (a *Agent) postponeVerification() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loads.postpone(time.Now())
}

// holdsUnverified reports whether the engine holds v by a load that has not been verified.
// An order to load v does nothing then. Callers hold mu.
func (a *Agent) holdsUnverified(v *version) bool {
	return a.unverified() && v.manifest.isVersion(a.state.Model, a.state.Loaded.Version)
}

// withdrawSwitchover takes back what was announced of the load in progress, so that
// gateways go by the agent's report of what the engine serves.
func (a *Agent) withdrawSwitchover() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.switchover = switchover{}
}
