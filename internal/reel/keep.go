package reel

import (
	"context"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/draw"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/invariant"
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
	wanted, v, heard := a.wanted, a.current, a.heard
	due := heard && a.behind() && !a.state.Loading
	a.mu.Unlock()
	switch {
	case wanted.Version == 0 || wanted.Engine.Model == "" || !heard:
	case v == nil || v.manifest.Version != wanted.Version || v.manifest.Model != wanted.Engine.Model:
		a.open(ctx, wanted)
	case due && v.plan.Complete() && a.turn(wanted.Version):
		a.load(ctx, v)
	}
}

// open begins to bring a version, with what is staged of it already.
func (a *Agent) open(ctx context.Context, w Wanted) {
	m, err := a.manifest(ctx, w)
	if err != nil {
		event.Fail(event.ManifestMissing, err, "Model", w.Engine.Model, "Version", w.Version)
		pause.For(ctx, keepTime)
		return
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	v := &version{manifest: m, data: make([][]byte, len(m.Digests))}
	v.plan = draw.NewPlan(a.Name, a.Region, len(m.Digests), time.Now(), random)
	staged := a.readStaged(ctx, v)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current = v
	event.Log(event.TransferStarted, "Model", m.Model, "Version", m.Version, "Pieces", len(m.Digests), "Staged", staged)
}

// readStaged takes the pieces that lie at the engine and are of the version.
func (a *Agent) readStaged(ctx context.Context, v *version) int {
	held, err := a.Engine.Held(ctx, v.manifest.Model)
	if err != nil {
		event.Fail(event.StagedUnread, err, "Version", v.manifest.Version)
		return 0
	}
	found, misses := 0, 0
	for _, n := range held {
		if misses > maxMisses {
			break // it is another version that lies there
		}
		data, err := a.Engine.Staged(ctx, v.manifest.Model, n)
		if err != nil || v.manifest.Verify(n, data) != nil {
			misses++
			continue
		}
		v.data[n] = data
		v.plan.Got(n)
		found++
	}
	return found
}

// maxMisses is the number of staged pieces that may differ before the rest is
// taken to be of another version: some spoil.
const maxMisses = 12

// manifest asks the neighbours that hold pieces of the version, then the origin.
func (a *Agent) manifest(ctx context.Context, w Wanted) (Manifest, error) {
	a.mu.Lock()
	var holders []string
	for _, m := range a.members {
		if m.Pieces.Model == w.Engine.Model && m.Pieces.Version == w.Version && m.Region == a.Region {
			holders = append(holders, m.Address)
		}
	}
	a.mu.Unlock()
	for _, address := range holders {
		m, err := a.Peers.Manifest(ctx, address, w.Engine.Model, w.Version)
		if err == nil {
			return m, nil
		}
		counter.Add("ManifestFailures.Agent", 1)
	}
	return a.Origin.Manifest(ctx, w.Origin, w.Engine.Model, w.Version)
}

// turn reports whether the engine may change over now. One that serves nothing
// need not wait.
func (a *Agent) turn(wanted int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.state.Holding(a.wanted.Engine.Layers)
	if !held.Whole || held.Version == wanted {
		return true
	}
	engines := []draw.Engine{{Name: a.Name, Version: held.Version, Ready: true}}
	for _, m := range a.members {
		if m.Service == a.Service && m.Holding.Whole {
			e := draw.Engine{Name: m.Name, Version: m.Holding.Version}
			if m.Switching && e.Version < wanted {
				e.Version = wanted - 1
			}
			engines = append(engines, e)
		}
	}
	named := a.named[wanted]
	return draw.Turn(time.Now(), a.Name, wanted, engines, named, named.Add(time.Duration(a.VersionMS)*time.Millisecond))
}

// switchNotice lets the gateways hear that the engine is about to change over.
const switchNotice = 120 * time.Millisecond

// load checks what is staged and orders the engine to load it.
func (a *Agent) load(ctx context.Context, v *version) {
	a.setSwitching(true)
	defer a.setSwitching(false)
	a.mu.Lock()
	serving := a.state.Holding(a.wanted.Engine.Layers).Whole
	a.mu.Unlock()
	if serving && !pause.For(ctx, switchNotice) {
		return
	}
	checked := time.Now()
	if !a.check(ctx, v) {
		return
	}
	invariant.Assert(v.plan.Complete(), invariant.VerifiedBeforeLoad, "version %d is incomplete", v.manifest.Version)
	event.Log(event.LoadOrdered, "Model", v.manifest.Model, "Version", v.manifest.Version, "CheckedMS", time.Since(checked).Milliseconds())
	counter.Add("LoadOrders", 1)
	if _, err := a.Engine.Load(ctx, Load{Model: v.manifest.Model, Version: v.manifest.Version}); err != nil {
		event.Fail(event.LoadUnsettled, err, "Version", v.manifest.Version)
	}
	a.await(ctx, v)
}

// await returns when the engine serves the version, or does not load it.
func (a *Agent) await(ctx context.Context, v *version) {
	until := time.Now().Add(loadTime)
	grace := time.Now().Add(3 * reportTime)
	for time.Now().Before(until) && pause.For(ctx, reportTime/2) {
		a.mu.Lock()
		done := !a.behind() || a.wanted.Version != v.manifest.Version
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

func (a *Agent) setSwitching(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.switches = on
}

// check reads every staged piece back and stages those again that differ.
func (a *Agent) check(ctx context.Context, v *version) bool {
	whole := true
	for n := range v.manifest.Digests {
		data, err := a.Engine.Staged(ctx, v.manifest.Model, n)
		if err == nil {
			err = v.manifest.Verify(n, data)
		}
		if err == nil {
			continue
		}
		whole = false
		counter.Add("StagedPiecesSpoilt", 1)
		event.Fail(event.StagedSpoilt, err, "Piece", n, "Version", v.manifest.Version)
		if err := a.Engine.Stage(ctx, v.manifest.Model, n, v.data[n]); err != nil {
			return false
		}
	}
	return whole || a.check(ctx, v)
}
