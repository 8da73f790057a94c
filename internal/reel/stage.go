package reel

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/pause"
)

// What lies at an engine outlasts a crash of the engine and a restart of the
// agent, so pieces are staged as they come: engines that lose all they hold at
// once then load what is there, and fetch the rest only. An engine keeps one
// copy of a model, in which pieces of two versions may lie side by side, and
// loads what lies there when it accepts an order. Nothing is therefore staged
// from the check before an order until the order has been carried out.

// stageTime is how often pieces are staged that have come.
const stageTime = 50 * time.Millisecond

// stage stages pieces as they come until ctx ends.
func (a *Agent) stage(ctx context.Context) {
	for {
		for ctx.Err() == nil && a.stageOne(ctx) {
		}
		if !pause.For(ctx, stageTime) {
			return
		}
	}
}

// stageOne stages one piece and reports whether there was one to stage.
func (a *Agent) stageOne(ctx context.Context) bool {
	a.staging.Lock()
	defer a.staging.Unlock()
	v, n, ok := a.unstaged(time.Now())
	if !ok {
		return false
	}
	err := a.Engine.Stage(ctx, v.manifest.Model, n, v.data[n])
	if err != nil {
		if ctx.Err() == nil {
			event.Fail(event.PieceUnstaged, err, "Piece", n, "Version", v.manifest.Version)
			pause.For(ctx, reportTime) // the next report may say that the engine is gone
		}
		return false
	}
	counter.Add("PiecesStaged", 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	v.staged[n] = true
	return true
}

// unstaged returns a piece of the version that is being brought which is here
// and not at the engine. An older version that waits for its turn to be loaded
// is not overwritten.
func (a *Agent) unstaged(now time.Time) (v *version, piece int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v = a.bringing
	if v == nil || !a.heard || now.Before(a.stageFrom) || a.ready != nil && a.ready != v && a.behind(a.ready) {
		return nil, 0, false
	}
	if v.stagedAt != a.state.Born { // the engine that had them is gone, perhaps with its power
		v.stagedAt = a.state.Born
		clear(v.staged)
	}
	for n := range v.data {
		if v.data[n] != nil && !v.staged[n] {
			return v, n, true
		}
	}
	return nil, 0, false
}

// unsettled keeps other versions from being staged while an order may still
// reach the engine.
func (a *Agent) unsettled() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stageFrom = time.Now().Add(loadTime)
}

// overwrite notes that pieces of v are about to replace those of the version
// that is being brought. Callers hold staging.
func (a *Agent) overwrite(v *version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.bringing; b != nil && b != v {
		clear(b.staged)
	}
}

// checked notes that every piece of v lies at the engine. Callers hold staging.
func (a *Agent) checked(v *version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v.stagedAt = a.state.Born
	for n := range v.staged {
		v.staged[n] = true
	}
}

// checkRounds bounds how often what is staged is read back and mended.
const checkRounds = 4

// check stages a version and returns true once every piece has been read back
// as it should be.
func (a *Agent) check(ctx context.Context, v *version) bool {
	a.overwrite(v)
	if a.justRead(v) {
		return true
	}
	for range checkRounds {
		differs, err := a.mend(ctx, v)
		if err != nil {
			event.Fail(event.StagedSpoilt, err, "Version", v.manifest.Version)
			return false
		}
		if differs == 0 {
			a.checked(v)
			return true
		}
		event.Log(event.StagedSpoilt, "Pieces", differs, "Version", v.manifest.Version)
	}
	return false
}

// justReadTime is how long what was read back counts as checked: less than the
// three seconds in which a piece may spoil that nobody who reads it can prevent.
const justReadTime = time.Second

// justRead reports whether every piece was found at this start of the engine a
// moment ago: an agent that starts beside an engine reads what lies there anyway.
func (a *Agent) justRead(v *version) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return v.stagedAt == a.state.Born && time.Since(v.readAt) < justReadTime
}

// mend reads every staged piece back and stages those again that differ. It
// returns their number.
func (a *Agent) mend(ctx context.Context, v *version) (int, error) {
	differs := 0
	for n := range v.manifest.Digests {
		data, err := a.Engine.Staged(ctx, v.manifest.Model, n)
		if err == nil && v.manifest.Verify(n, data) == nil {
			continue // one that is missing or cannot be read is staged again
		}
		differs++
		counter.Add("PiecesStaged", 1)
		if err := a.Engine.Stage(ctx, v.manifest.Model, n, v.data[n]); err != nil {
			return differs, err
		}
	}
	return differs, nil
}
