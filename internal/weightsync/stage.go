package weightsync

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/pause"
)

// Staged pieces survive a crash of the engine and a restart of the agent, so
// pieces are staged as they arrive. Engines that all lose their loaded weights
// at once can then load the staged pieces and fetch only the rest. An engine
// keeps one staging area per model, which may mix pieces of two versions, and
// loads its content when it accepts an order. Nothing else is therefore staged
// from the check before an order until the order has been carried out.

// stageInterval is how often newly fetched pieces are staged.
const stageInterval = 50 * time.Millisecond

// stageLoop stages pieces as they arrive until ctx ends.
func (a *Agent) stageLoop(ctx context.Context) {
	for {
		for ctx.Err() == nil && a.stageOne(ctx) {
		}
		if !pause.For(ctx, stageInterval) {
			return
		}
	}
}

// stageOne stages one piece and reports whether it did.
func (a *Agent) stageOne(ctx context.Context) bool {
	a.stagingMu.Lock()
	defer a.stagingMu.Unlock()
	v, n, ok := a.nextUnstaged(time.Now())
	if !ok {
		return false
	}
	err := a.stage(ctx, v, n)
	if err != nil {
		if ctx.Err() == nil {
			event.Fail(event.StagingFailed, err, "Piece", n, "Version", v.manifest.Version)
			pause.For(ctx, reportInterval) // the next report may show that the engine is down
		}
		return false
	}
	counter.Add("PiecesStaged", 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	v.staged[n] = true
	return true
}

// lateStagingTime is how long after an engine has answered again a piece may still be
// staged whose sender got no answer.
const lateStagingTime = 500 * time.Millisecond

// stage stages a piece of a version. Callers hold stagingMu.
func (a *Agent) stage(ctx context.Context, v *version, piece int) error {
	err := a.Engine.Stage(ctx, v.manifest.Model, piece, v.data[piece])
	stagedBy := time.Now()
	if err != nil { // the engine may have staged it, or may do so yet
		stagedBy = stagedBy.Add(lateStagingTime)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if stagedBy.After(a.stagedAt) {
		a.stagedAt = stagedBy
	}
	return err
}

// extendStaging moves the time until which an engine that does not answer may stage a
// piece late. Callers hold mu.
func (a *Agent) extendStaging(now time.Time) {
	if now.Before(a.stagedAt) {
		a.stagedAt = now.Add(lateStagingTime)
	}
}

// nextUnstaged returns a held piece of the current version that is not staged
// yet. While an older version is complete and waits to be loaded, nothing is
// staged over it.
func (a *Agent) nextUnstaged(now time.Time) (v *version, piece int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v = a.fetching
	if v == nil || !a.engineUp || a.changesPending(v, now) || a.ready != nil && a.ready != v && a.behind(a.ready) {
		return nil, 0, false
	}
	if v.engineStart != a.state.Born { // the engine restarted, perhaps after a power loss, and may have lost them
		v.engineStart = a.state.Born
		clear(v.staged)
	}
	for n := range v.data {
		if v.data[n] != nil && !v.staged[n] {
			return v, n, true
		}
	}
	return nil, 0, false
}

// pendingOrder is a load order that got no answer, and that the engine may accept until
// a time unless it restarts.
type pendingOrder struct {
	version, born int64
	until         time.Time
}

// extend moves the time until which an engine that does not answer may accept the order.
func (o *pendingOrder) extend(now time.Time) {
	if now.Before(o.until) {
		o.until = now.Add(loadTimeout)
	}
}

func (a *Agent) setPending(v *version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = pendingOrder{version: v.manifest.Version, born: a.state.Born, until: time.Now().Add(loadTimeout)}
}

// changesPending reports whether staging v would change what a pending order of another
// version loads. Callers hold mu.
func (a *Agent) changesPending(v *version, now time.Time) bool {
	o := a.pending
	return now.Before(o.until) && o.born == a.state.Born && o.version != v.manifest.Version
}

// unmarkStaged records that staging v overwrites the pieces of the version
// being fetched. Callers hold stagingMu.
func (a *Agent) unmarkStaged(v *version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if current := a.fetching; current != nil && current != v {
		clear(current.staged)
	}
}

// markStaged records that every piece of v is staged at the engine, and was read
// intact by a check that started at checkedAt. Callers hold stagingMu.
func (a *Agent) markStaged(v *version, checkedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v.engineStart, v.checkedAt = a.state.Born, checkedAt
	for n := range v.staged {
		v.staged[n] = true
	}
}

// maxCheckRounds bounds the rounds of reading back and restaging pieces before
// a load.
const maxCheckRounds = 4

// verifyStaged stages a version and reports whether every piece was then read
// back intact.
func (a *Agent) verifyStaged(ctx context.Context, v *version) bool {
	a.unmarkStaged(v)
	if age, ok := a.checkAge(v); ok && age < recentCheckTime {
		return true
	}
	for range maxCheckRounds {
		startedAt := time.Now()
		restaged, err := a.restageCorrupt(ctx, v)
		if err != nil {
			event.Fail(event.StagedCorrupt, err, "Version", v.manifest.Version)
			return false
		}
		if restaged == 0 {
			a.markStaged(v, startedAt)
			return true
		}
		event.Log(event.StagedCorrupt, "Pieces", restaged, "Version", v.manifest.Version)
	}
	return false
}

const (
	// maxCheckAge bounds the time from the start of a check of the staged pieces to the
	// load order. Pieces that turn corrupt after they were read are found by no check.
	// An engine must not load pieces that have been corrupt for three seconds, and the
	// order may take up to a call's timeout to reach it.
	maxCheckAge = 2 * time.Second
	// recentCheckTime is how long pieces that were read back count as verified when a
	// load begins. The rest of maxCheckAge is for the wait until the announced time.
	recentCheckTime = time.Second
)

// checkAge returns the time since the start of the last read that found every piece
// intact. ok is false if there was none, if another run of the engine was read, or if a
// piece has been staged since. An agent that starts next to a running engine reads the
// staged pieces anyway.
func (a *Agent) checkAge(v *version) (age time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v.checkedAt.IsZero() || v.engineStart != a.state.Born || !v.checkedAt.After(a.stagedAt) {
		return 0, false
	}
	return time.Since(v.checkedAt), true
}

// restageCorrupt reads every staged piece back, restages those that are
// corrupt, missing or unreadable, and returns their number.
func (a *Agent) restageCorrupt(ctx context.Context, v *version) (int, error) {
	restaged := 0
	for n := range v.manifest.Digests {
		data, err := a.Engine.Staged(ctx, v.manifest.Model, n)
		if err == nil && v.manifest.Verify(n, data) == nil {
			continue
		}
		restaged++
		counter.Add("PiecesStaged", 1)
		if err := a.stage(ctx, v, n); err != nil {
			return restaged, err
		}
	}
	return restaged, nil
}
