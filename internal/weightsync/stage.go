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

// stage stages a piece of a version. Callers hold stagingMu.
func (a *Agent) stage(ctx context.Context, v *version, piece int) error {
	err := a.Engine.Stage(ctx, v.manifest.Model, piece, v.data[piece])
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stagedAt = time.Now() // also after an error, as the engine may have staged it
	return err
}

// nextUnstaged returns a held piece of the current version that is not staged
// yet. While an older version is complete and waits to be loaded, nothing is
// staged over it.
func (a *Agent) nextUnstaged(now time.Time) (v *version, piece int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v = a.fetching
	if v == nil || !a.engineUp || now.Before(a.stageAfter) || a.ready != nil && a.ready != v && a.behind(a.ready) {
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

// delayStaging stops staging while an order that got no answer may still reach
// the engine.
func (a *Agent) delayStaging() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stageAfter = time.Now().Add(loadTimeout)
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

// markStaged records that every piece of v is staged at the engine. Callers
// hold stagingMu.
func (a *Agent) markStaged(v *version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v.engineStart = a.state.Born
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
	if a.recentlyRead(v) {
		return true
	}
	for range maxCheckRounds {
		restaged, err := a.restageCorrupt(ctx, v)
		if err != nil {
			event.Fail(event.StagedCorrupt, err, "Version", v.manifest.Version)
			return false
		}
		if restaged == 0 {
			a.markStaged(v)
			return true
		}
		event.Log(event.StagedCorrupt, "Pieces", restaged, "Version", v.manifest.Version)
	}
	return false
}

// recentReadTime is how long pieces that were read back count as verified. It is
// less than three seconds, since no check can rule out corruption in the last
// three seconds before a load.
const recentReadTime = time.Second

// recentlyRead reports whether every piece was read within recentReadTime from
// this run of the engine, and none was staged since. An agent that starts next to
// a running engine reads the staged pieces anyway.
func (a *Agent) recentlyRead(v *version) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return v.engineStart == a.state.Born && time.Since(v.stagedReadAt) < recentReadTime && v.stagedReadAt.After(a.stagedAt)
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
