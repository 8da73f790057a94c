package weightsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/piecesched"
	"almondreel.example/almondreel/internal/site"
)

// reconcileInterval is how often the wanted version is compared with the
// current state.
const reconcileInterval = 40 * time.Millisecond

// reconcileLoop starts to fetch the wanted version, and orders the engine to
// load a version that is complete once the engine may switch.
func (a *Agent) reconcileLoop(ctx context.Context) {
	for {
		a.reconcile(ctx)
		if !pause.For(ctx, reconcileInterval) {
			return
		}
	}
}

func (a *Agent) reconcile(ctx context.Context) {
	now := time.Now()
	a.mu.Lock()
	wanted, v, ready, engineDown := a.wanted, a.fetching, a.ready, !a.engineUp && !a.engineAwaited
	loadDue := ready != nil && a.behind(ready) && !a.state.Loading && !a.holdsUnverified(ready) &&
		!a.changesPending(ready, now) && !now.Before(a.stagedAt)
	a.mu.Unlock()
	if wanted.Version == 0 || wanted.Engine.Model == "" || engineDown {
		return
	}
	a.readStagedOnStart(ctx, v)
	if v == nil || v.manifest.Model != wanted.Engine.Model || v.manifest.Version != wanted.Version && !a.shouldFinish() {
		a.startVersion(ctx, wanted)
	}
	switch {
	case a.verifyFound(ctx):
	case loadDue && a.maySwitch(ready):
		a.load(ctx, ready)
	}
}

// shouldFinish reports whether the version being fetched should be completed
// before a newer one is started.
func (a *Agent) shouldFinish() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.fetching
	endsAt, ok := a.rollouts.ServesUntil(v.manifest.Model, v.manifest.Version)
	if !ok || v.scheduler.Complete() {
		return false
	}
	held := v.scheduler.Have()
	for _, m := range a.members {
		if m.Pieces.Model == v.manifest.Model && m.Pieces.Version == v.manifest.Version {
			held = union(held, m.Pieces.Have)
		}
	}
	return piecesched.ShouldFinish(time.Now(), piecesched.CountPieces(held), len(v.manifest.Digests), endsAt)
}

// startVersion starts to fetch the wanted version, if its manifest is known.
// Pieces that are staged at the engine already are reused.
func (a *Agent) startVersion(ctx context.Context, w hostedrpc.Wanted) {
	m, ok := a.manifestFor(w)
	if !ok {
		return
	}
	a.mu.Lock()
	v, first, awaited := a.prefetched, a.fetching == nil, a.engineAwaited
	if v == nil || !v.manifest.isVersion(m.Model, m.Version) {
		v = a.newVersion(m)
	}
	a.mu.Unlock()
	staged := 0
	if first && !awaited { // the engine may hold pieces from before the agent's start
		staged = a.readStaged(ctx, v)
	}
	v.stagedUnread = first && awaited
	a.mu.Lock()
	defer a.mu.Unlock()
	a.previous, a.fetching, a.prefetched = a.fetching, v, nil
	a.markReadyIfComplete(v)
	event.Log(event.TransferStarted, "Model", m.Model, "Version", m.Version, "Pieces", len(m.Digests), "Staged", staged)
}

// readStagedOnStart reads the staged pieces of an engine that first answered
// after the version was started. v is nil if no version was started.
func (a *Agent) readStagedOnStart(ctx context.Context, v *version) {
	a.mu.Lock()
	needed := v != nil && v.stagedUnread && !a.engineAwaited
	if needed {
		v.engineStart = a.state.Born
	}
	a.mu.Unlock()
	if !needed {
		return
	}
	found := a.readStaged(ctx, v)
	a.mu.Lock()
	defer a.mu.Unlock()
	v.stagedUnread = false
	a.markReadyIfComplete(v)
	event.Log(event.StagedRead, "Model", v.manifest.Model, "Version", v.manifest.Version, "Staged", found)
}

// newVersion returns a version of which no piece is held. Callers hold mu.
func (a *Agent) newVersion(m Manifest) *version {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &version{
		manifest: m, evidence: newEvidence(), data: make([][]byte, len(m.Digests)), staged: make([]bool, len(m.Digests)), engineStart: a.state.Born,
		scheduler: piecesched.NewScheduler(a.Name, a.Region, len(m.Digests), time.Now(), random),
	}
}

// readStaged reads the pieces staged at the engine, keeps those that belong to
// the version and returns their number.
func (a *Agent) readStaged(ctx context.Context, v *version) int {
	held, err := a.Engine.ListStaged(ctx, v.manifest.Model)
	if err != nil {
		event.Fail(event.StagedListFailed, err, "Version", v.manifest.Version)
		return 0
	}
	found, start := 0, time.Now()
	for _, n := range held {
		data, err := a.Engine.Staged(ctx, v.manifest.Model, n)
		if err != nil {
			continue
		}
		if v.manifest.Verify(n, data) != nil { // corrupt, or of another version
			a.recordRejected(v, n, data, false)
			continue
		}
		a.mu.Lock()
		v.data[n], v.staged[n] = data, true
		v.scheduler.MarkHeld(n)
		a.mu.Unlock()
		found++
	}
	if found == len(v.manifest.Digests) {
		v.checkedAt = start
	}
	return found
}

// maySwitch reports whether the engine may switch to a complete version now. An
// engine that serves nothing may always switch.
func (a *Agent) maySwitch(v *version) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	served := a.served()
	if !served.Whole || served.Version == v.manifest.Version {
		return true
	}
	engines := []string{a.Name}
	for _, m := range a.members {
		if m.Service == a.Service && m.Holding.Whole {
			engines = append(engines, m.Name)
		}
	}
	endsAt, ok := a.rollouts.ServesUntil(a.wanted.Engine.Model, served.Version)
	if !ok {
		return true
	}
	announcedAt, earliest := endsAt.Add(-a.rolloutPeriod()), v.completeAt.Add(switchNotice)
	switchAt := piecesched.SwitchTime(a.Name, v.manifest.Version, engines, announcedAt, endsAt, earliest)
	return !time.Now().Before(switchAt.Add(-switchNotice))
}

// rolloutPeriod is the time from the announcement of a version until all
// engines must serve it.
func (a *Agent) rolloutPeriod() time.Duration {
	return time.Duration(a.RolloutMilliseconds) * time.Millisecond
}

const (
	// drainTime is how long before the load order the engine gets no new
	// requests, so that short answers can end.
	drainTime = 500 * time.Millisecond
	// switchNotice is how long in advance a switch is announced: two gossip
	// rounds between gateways, so that all of them know of it.
	switchNotice = 800 * time.Millisecond
	// loadMargin is added to the time that a load takes. It covers the order's
	// latency and one iteration of the engine.
	loadMargin = 40 * time.Millisecond
)

// load verifies the staged pieces, orders the engine to load them, and verifies them again
// once it has accepted the order. It sends no order if the pieces have not been verified
// within maxCheckAge, as after a freeze of the agent, or if the engine has accepted another
// order meanwhile. The engine then goes on with what it serves until the next attempt,
// which announces another switch.
func (a *Agent) load(ctx context.Context, v *version) {
	a.setOrdering(v.manifest.Version)
	defer a.setOrdering(0)
	at, serving := a.announceSwitch(v)
	defer a.setSwitching(false)
	if serving && !pause.For(ctx, time.Until(at)-maxCheckTime) {
		return
	}
	a.stagingMu.Lock()
	defer a.stagingMu.Unlock()
	before := a.engineState()
	if !a.verifyStaged(ctx, v) || serving && !pause.For(ctx, time.Until(at)) {
		return
	}
	a.awaitReport(ctx, v.manifest.Version)
	a.setSwitching(true)
	if now := time.Now(); !serving || now.After(at.Add(loadMargin)) {
		a.announceLoad(v, now)
	}
	invariant.Assert(v.scheduler.Complete(), invariant.VerifiedBeforeLoad, "version %d is incomplete", v.manifest.Version)
	// The check may have staged pieces again that an earlier order had taken corrupt. If no
	// order was accepted up to this read, the load that follows took what the check has left.
	if !a.refreshState(ctx) || idOf(a.engineState()) != idOf(before) {
		a.postponeLoad(v, "EngineChanged")
		return
	}
	abort := a.answersMovable()
	age, ok := a.checkAge(v)
	if !ok || age > maxCheckAge {
		a.postponeLoad(v, "CheckTooOld", "CheckedMS", age.Milliseconds())
		return
	}
	event.Log(event.LoadOrdered, "Engine", a.EngineAddress, "Born", before.Born, "Orders", before.Orders,
		"Model", v.manifest.Model, "Version", v.manifest.Version, "Abort", abort, "CheckedMS", age.Milliseconds())
	a.order(ctx, v, Load{Model: v.manifest.Model, Version: v.manifest.Version, Abort: abort, Accepted: before.Orders})
}

// postponeLoad logs why a load order was not sent, with further pairs of keys and values.
func (a *Agent) postponeLoad(v *version, reason string, pairs ...any) {
	event.Log(event.LoadPostponed, append([]any{"Engine", a.EngineAddress, "Model", v.manifest.Model, "Version", v.manifest.Version, "Reason", reason}, pairs...)...)
	counter.Add("LoadsPostponed", 1)
}

// order sends a load order, verifies the load if the engine accepts it, and waits for its
// end. Callers hold stagingMu.
func (a *Agent) order(ctx context.Context, v *version, o Load) {
	counter.Add("LoadOrders", 1)
	orderedAt, born := time.Now(), a.engineState().Born
	switch err := a.Engine.Load(ctx, o); {
	case errors.Is(err, ErrOrderRefused):
		event.Fail(event.OrderRefused, err, "Engine", a.EngineAddress, "Version", o.Version, "OrderedMS", time.Since(orderedAt).Milliseconds())
		a.withdrawSwitchover()
	case err != nil:
		event.Fail(event.LoadUnanswered, err, "Engine", a.EngineAddress, "Version", o.Version, "OrderedMS", time.Since(orderedAt).Milliseconds())
		a.setPending(v)
		a.withdrawSwitchover()
	case a.showsOrder(ctx, loadID{born, o.Accepted + 1}, orderedAt):
		a.verifyLoad(ctx, v)
	}
	a.awaitLoad(ctx, v, orderedAt)
}

const (
	// maxReportWait bounds the wait for a gateway to hear of an order before it is sent: two
	// reports. Gateways may be away.
	maxReportWait = 150 * time.Millisecond
	reportPoll    = 5 * time.Millisecond
)

// awaitReport returns once a gateway has received a report of the order that is about to be
// sent, or after maxReportWait. If this agent is killed then, gateways remember that the
// load has to be verified.
func (a *Agent) awaitReport(ctx context.Context, version int64) {
	until := time.Now().Add(maxReportWait)
	for !a.hasReported(version) && time.Now().Before(until) && pause.For(ctx, reportPoll) {
	}
}

func (a *Agent) hasReported(version int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reported != 0 && a.reported <= version
}

// Reported records that a gateway has received a report.
func (a *Agent) Reported(report hostedrpc.Agent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported = report.Unverified
}

// showsOrder records that an order for a load was answered, and reports whether the
// engine's report shows it already.
func (a *Agent) showsOrder(ctx context.Context, load loadID, sentAt time.Time) bool {
	a.mu.Lock()
	a.loads.recordAnswer(a.state, load, sentAt)
	a.mu.Unlock()
	return a.refreshState(ctx) && idOf(a.engineState()) == load
}

func (a *Agent) setOrdering(version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ordering = version
}

// maxCheckTime bounds the time to read back and verify all pieces.
const maxCheckTime = 100 * time.Millisecond

// announceSwitch chooses the time of the load order and announces the switch to
// the gateways. serving reports whether the engine serves until then.
func (a *Agent) announceSwitch(v *version) (at time.Time, serving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at = time.Now()
	served := a.served()
	endsAt, ok := a.rollouts.ServesUntil(v.manifest.Model, served.Version)
	serving = served.Whole && ok && at.Before(endsAt) // an expired version gets no requests
	if serving {
		at = at.Add(switchNotice)
		a.switchover = switchover{version: v.manifest.Version, from: at.Add(-drainTime), to: a.loadedBy(at)}
	}
	return at, serving
}

// announceLoad announces when the engine will serve again. Gateways can then use an
// engine that served nothing before they receive its next report, and they do not use
// one whose order is later than was announced.
func (a *Agent) announceLoad(v *version, orderedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.switchover = switchover{version: v.manifest.Version, from: orderedAt, to: a.loadedBy(orderedAt)}
}

// loadedBy returns when an engine serves the version that it is ordered to load
// at orderedAt. Callers hold mu.
func (a *Agent) loadedBy(orderedAt time.Time) time.Time {
	return orderedAt.Add(loadMargin + time.Duration(a.wanted.Engine.WarmUpMilliseconds*float64(time.Millisecond)))
}

// awaitLoad returns when the engine serves the version or is not loading it, or
// after loadTimeout.
func (a *Agent) awaitLoad(ctx context.Context, v *version, orderedAt time.Time) {
	until := time.Now().Add(loadTimeout)
	grace := time.Now().Add(3 * reportInterval)
	for time.Now().Before(until) && pause.For(ctx, reportInterval/2) {
		a.mu.Lock()
		done, engine := a.engineUp && !a.behind(v), a.state
		idle := !a.engineUp || !a.state.Loading && time.Now().After(grace)
		a.mu.Unlock()
		if done {
			event.Log(event.LoadConfirmed, "Engine", a.EngineAddress, "Born", engine.Born, "Orders", engine.Orders,
				"Version", v.manifest.Version, "OrderedMS", time.Since(orderedAt).Milliseconds())
			return
		}
		if idle {
			break
		}
	}
	engine := a.engineState()
	event.Log(event.LoadNotConfirmed, "Engine", a.EngineAddress, "Born", engine.Born, "Orders", engine.Orders,
		"Version", v.manifest.Version, "OrderedMS", time.Since(orderedAt).Milliseconds())
}

func (a *Agent) engineState() site.EngineState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// answersMovable reports whether the engine's answers in progress can continue
// at other engines. The load order then aborts them: letting them end takes
// many times as long as the load.
func (a *Agent) answersMovable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	serving := 0
	for _, m := range a.members {
		if m.Service == a.Service && m.Holding.Whole && !m.Switching {
			serving++
		}
	}
	return a.wanted.Movable && serving > 0
}

func (a *Agent) setSwitching(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.switching = on
	if !on {
		a.switchover = switchover{}
	}
}
