package reel

import (
	"context"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/draw"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/pause"
)

// keepTime is how often the wanted version is compared with what there is.
const keepTime = 40 * time.Millisecond

// keep opens the wanted version and orders the engine to load it when it is
// whole and its turn has come.
func (a *Agent) keep(ctx context.Context) {
	for {
		a.step(ctx)
		if !pause.For(ctx, keepTime) {
			return
		}
	}
}

func (a *Agent) step(ctx context.Context) {
	a.mu.Lock()
	wanted, v, ready, idle := a.wanted, a.bringing, a.ready, !a.heard && !a.awaited
	due := ready != nil && a.behind(ready) && !a.state.Loading
	a.mu.Unlock()
	if wanted.Version == 0 || wanted.Engine.Model == "" || idle {
		return
	}
	a.readOnce(ctx, v)
	if v == nil || v.manifest.Model != wanted.Engine.Model || v.manifest.Version != wanted.Version && !a.finishing() {
		a.open(ctx, wanted)
	}
	if due && a.turn(ready.manifest.Version) {
		a.load(ctx, ready)
	}
}

// finishing reports whether the version that is being brought should be
// finished before a newer one is begun.
func (a *Agent) finishing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.bringing
	ends, ok := a.named.EndsAt(v.manifest.Model, v.manifest.Version)
	if !ok || v.plan.Complete() {
		return false
	}
	held := v.plan.Have()
	for _, m := range a.members {
		if m.Pieces.Model == v.manifest.Model && m.Pieces.Version == v.manifest.Version {
			held = union(held, m.Pieces.Have)
		}
	}
	return draw.Finish(time.Now(), draw.Count(held), len(v.manifest.Digests), ends)
}

// open begins to bring a version whose digests are known, with what is staged of
// it already.
func (a *Agent) open(ctx context.Context, w neighbour.Wanted) {
	m, ok := a.comingOf(w)
	if !ok {
		return
	}
	a.mu.Lock()
	v, starts, awaited := a.upcoming, a.bringing == nil, a.awaited
	if v == nil || !v.manifest.is(m.Model, m.Version) {
		v = a.newVersion(m)
	}
	a.mu.Unlock()
	staged := 0
	if starts && !awaited { // the engine may hold what was staged before
		staged = a.readStaged(ctx, v)
	}
	v.unread = starts && awaited
	a.mu.Lock()
	defer a.mu.Unlock()
	a.former, a.bringing, a.upcoming = a.bringing, v, nil
	a.noteComplete(v)
	event.Log(event.TransferStarted, "Model", m.Model, "Version", m.Version, "Pieces", len(m.Digests), "Staged", staged)
}

// readOnce takes what lies at an engine that began to answer after a version was
// begun. v is nil while none was.
func (a *Agent) readOnce(ctx context.Context, v *version) {
	a.mu.Lock()
	due := v != nil && v.unread && !a.awaited
	if due {
		v.stagedAt = a.state.Born
	}
	a.mu.Unlock()
	if !due {
		return
	}
	found := a.readStaged(ctx, v)
	a.mu.Lock()
	defer a.mu.Unlock()
	v.unread = false
	a.noteComplete(v)
	event.Log(event.StagedTaken, "Model", v.manifest.Model, "Version", v.manifest.Version, "Staged", found)
}

// newVersion returns a version of which nothing is here. Callers hold mu.
func (a *Agent) newVersion(m Manifest) *version {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &version{
		manifest: m, data: make([][]byte, len(m.Digests)), staged: make([]bool, len(m.Digests)), stagedAt: a.state.Born,
		plan: draw.NewPlan(a.Name, a.Region, len(m.Digests), time.Now(), random),
	}
}

// readStaged takes the pieces that lie at the engine and are of the version.
func (a *Agent) readStaged(ctx context.Context, v *version) int {
	held, err := a.Engine.Held(ctx, v.manifest.Model)
	if err != nil {
		event.Fail(event.StagedUnread, err, "Version", v.manifest.Version)
		return 0
	}
	found, began := 0, time.Now()
	for _, n := range held {
		data, err := a.Engine.Staged(ctx, v.manifest.Model, n)
		if err != nil || v.manifest.Verify(n, data) != nil {
			continue // it is spoilt, or of another version
		}
		a.mu.Lock()
		v.data[n], v.staged[n] = data, true
		v.plan.Got(n)
		a.mu.Unlock()
		found++
	}
	if found == len(v.manifest.Digests) {
		v.readAt = began
	}
	return found
}

// turn reports whether the engine may change over to a version now. One that serves nothing
// need not wait.
func (a *Agent) turn(wanted int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.state.Holding(a.wanted.Engine.Layers)
	if !held.Whole || held.Version == wanted {
		return true
	}
	engines := []string{a.Name}
	for _, m := range a.members {
		if m.Service == a.Service && m.Holding.Whole {
			engines = append(engines, m.Name)
		}
	}
	ends, ok := a.named.EndsAt(a.wanted.Engine.Model, held.Version)
	if !ok {
		return true
	}
	turn := draw.Turn(a.Name, wanted, engines, ends.Add(-a.versionTime()), ends)
	return !time.Now().Before(turn.Add(-switchNotice))
}

// versionTime is how long after its naming a version must serve everywhere.
func (a *Agent) versionTime() time.Duration { return time.Duration(a.VersionMS) * time.Millisecond }

const (
	// drainTime is how long before the order the engine gets no new requests, so
	// that short answers end.
	drainTime = 500 * time.Millisecond
	// switchNotice lets all gateways hear when an engine is about to change
	// over: two rounds of what they tell each other.
	switchNotice = 800 * time.Millisecond
	// loadMargin is added to the time that a load takes: the order's way and a
	// pass of the engine.
	loadMargin = 40 * time.Millisecond
)

// load checks what is staged and orders the engine to load it.
func (a *Agent) load(ctx context.Context, v *version) {
	at, serving := a.announce(v)
	defer a.setSwitching(false)
	if serving && !pause.For(ctx, time.Until(at)-checkTime) {
		return
	}
	a.staging.Lock()
	defer a.staging.Unlock()
	checked := time.Now()
	if !a.check(ctx, v) || serving && !pause.For(ctx, time.Until(at)) {
		return
	}
	a.setSwitching(true)
	if !serving {
		a.announceLoad(v, time.Now())
	}
	invariant.Assert(v.plan.Complete(), invariant.VerifiedBeforeLoad, "version %d is incomplete", v.manifest.Version)
	abort := a.others()
	event.Log(event.LoadOrdered, "Model", v.manifest.Model, "Version", v.manifest.Version, "Abort", abort, "CheckedMS", time.Since(checked).Milliseconds())
	counter.Add("LoadOrders", 1)
	if err := a.Engine.Load(ctx, Load{Model: v.manifest.Model, Version: v.manifest.Version, Abort: abort}); err != nil {
		event.Fail(event.LoadUnsettled, err, "Version", v.manifest.Version)
		a.unsettled()
	}
	a.await(ctx, v)
}

// checkTime is what reading back and comparing all pieces takes at the most.
const checkTime = 100 * time.Millisecond

// announce sets the moment at which the engine is ordered to load and tells the
// gateways. serving says that the engine has something to lose meanwhile.
func (a *Agent) announce(v *version) (at time.Time, serving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at = time.Now()
	held := a.state.Holding(a.wanted.Engine.Layers)
	ends, ok := a.named.EndsAt(v.manifest.Model, held.Version)
	serving = held.Whole && ok && at.Before(ends) // later, the gateways no longer use it
	if serving {
		at = at.Add(switchNotice)
		a.change = change{version: v.manifest.Version, from: at.Add(-drainTime), to: a.loadedBy(at)}
	}
	return at, serving
}

// announceLoad tells the gateways when an engine that serves nothing will serve,
// so that they need not hear first that it does.
func (a *Agent) announceLoad(v *version, orderedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.change = change{version: v.manifest.Version, from: orderedAt, to: a.loadedBy(orderedAt)}
}

// loadedBy is when an engine serves that is ordered at a moment to load. Callers
// hold mu.
func (a *Agent) loadedBy(orderedAt time.Time) time.Time {
	return orderedAt.Add(loadMargin + time.Duration(a.wanted.Engine.WarmUpMilliseconds*float64(time.Millisecond)))
}

// await returns when the engine serves the version, or does not load it.
func (a *Agent) await(ctx context.Context, v *version) {
	until := time.Now().Add(loadTime)
	grace := time.Now().Add(3 * reportTime)
	for time.Now().Before(until) && pause.For(ctx, reportTime/2) {
		a.mu.Lock()
		done := !a.behind(v)
		idle := !a.heard || !a.state.Loading && time.Now().After(grace)
		a.mu.Unlock()
		if done {
			event.Log(event.LoadConfirmed, "Version", v.manifest.Version)
			return
		}
		if idle {
			return
		}
	}
}

// others reports whether answers that the engine is giving can go on at other
// engines. Then it need not end them first, which takes many times as long as
// the load.
func (a *Agent) others() bool {
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
	a.switches = on
	if !on {
		a.change = change{}
	}
}
