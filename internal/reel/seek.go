package reel

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/draw"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/pause"
)

const (
	// manifestPause is the longest pause between tries for a manifest.
	manifestPause = 120 * time.Millisecond
	// manifestTry bounds a try at the origin: one without power drops what it is
	// sent, and may be back a moment later. Each patientTry-th may take patientTime,
	// as its link may be full.
	manifestTry = 200 * time.Millisecond
	patientTime = time.Second
	patientTry  = 4
	// manifestHold is how long a neighbour that asks for digests waits for them.
	manifestHold = 250 * time.Millisecond
	// holdStep is how often it is looked whether they are there.
	holdStep = 10 * time.Millisecond
)

// within is the time that the tries-th try at the origin may take.
func within(tries int) time.Duration {
	if tries%patientTry == 0 {
		return patientTime
	}
	return manifestTry
}

// seek gets the digests of the wanted version as soon as it is named, also while
// an older one is finished: the origin may be away when they are needed.
func (a *Agent) seek(ctx context.Context) {
	tries := 0
	for {
		w, lacks := a.lacking()
		rest := keepTime
		if lacks {
			tries++
			rest = a.seekOnce(ctx, w, tries)
		} else {
			tries = 0
		}
		if !pause.For(ctx, rest) {
			return
		}
	}
}

// seekOnce tries for the digests and returns the pause before the next try.
func (a *Agent) seekOnce(ctx context.Context, w neighbour.Wanted, tries int) time.Duration {
	m, err := a.manifest(ctx, w, tries)
	if errors.Is(err, errNotYet) {
		return keepTime
	}
	if err != nil {
		if tries&(tries-1) == 0 { // the first, second, fourth and so on
			event.Fail(event.ManifestMissing, err, "Model", w.Engine.Model, "Version", w.Version, "Tries", tries)
		}
		return min(time.Duration(tries)*keepTime, manifestPause)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.coming = &m
	return keepTime
}

// lacking returns what is wanted, and whether its digests are not known yet.
func (a *Agent) lacking() (neighbour.Wanted, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.wanted
	if w.Version == 0 || w.Engine.Model == "" || !a.heard && !a.awaited {
		return w, false
	}
	known := a.bringing != nil && a.bringing.manifest.is(w.Engine.Model, w.Version) || a.coming != nil && a.coming.is(w.Engine.Model, w.Version)
	return w, !known
}

// comingOf returns the digests of the wanted version, if they are known.
func (a *Agent) comingOf(w neighbour.Wanted) (Manifest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.coming == nil || !a.coming.is(w.Engine.Model, w.Version) {
		return Manifest{}, false
	}
	return *a.coming, true
}

// awaitManifest returns the manifest for a neighbour, who waits a little for it:
// all agents hear of a version at about the same time.
func (a *Agent) awaitManifest(ctx context.Context, model string, number int64) (Manifest, bool) {
	until := time.Now().Add(manifestHold)
	for {
		m, ok := a.manifestOf(model, number)
		if ok || time.Now().After(until) || !pause.For(ctx, holdStep) {
			return m, ok
		}
	}
}

// manifest asks for a version's digests: those who draw pieces from the origin
// ask it; the others ask one of these, and the origin only now and then, so that
// its link carries pieces.
func (a *Agent) manifest(ctx context.Context, w neighbour.Wanted, tries int) (Manifest, error) {
	addresses, draws := a.manifestHolders(w)
	for _, address := range addresses {
		m, err := a.Peers.Manifest(ctx, address, w.Engine.Model, w.Version)
		if err == nil {
			return m, nil
		}
		counter.Add("ManifestFailures.Agent", 1)
	}
	if !draws && tries%originTries != 0 {
		return Manifest{}, errNotYet
	}
	ctx, cancel := context.WithTimeout(ctx, within(tries))
	defer cancel()
	return a.Origin.Manifest(ctx, w.Origin, w.Engine.Model, w.Version)
}

// originTries is how often an agent that does not draw from the origin tries to
// have the digests from one that does before it asks the origin itself.
const originTries = 4

// errNotYet says that a neighbour should have the manifest soon.
var errNotYet = errors.New("neighbours do not have it yet")

// manifestHolders returns the addresses of agents that have the digests or
// should have them soon, those of the own region first, and whether this agent
// draws from the origin. A drawer asks only those that have them.
func (a *Agent) manifestHolders(w neighbour.Wanted) (addresses []string, draws bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	needers := []string{a.Name}
	for _, m := range a.members {
		if m.Service != a.Service {
			continue
		}
		needers = append(needers, m.Name)
		if m.Pieces.Model == w.Engine.Model && m.Pieces.Version == w.Version && m.Region == a.Region {
			addresses = append(addresses, m.Address)
		}
	}
	drawers := draw.Drawers(needers)
	draws = slices.Contains(drawers, a.Name)
	if !draws && len(addresses) == 0 {
		addresses = a.someDrawer(drawers)
	}
	return addresses, draws
}

// someDrawer returns the address of one of the drawers by lot, one of the own
// region if there are any. Callers hold mu.
func (a *Agent) someDrawer(drawers []string) []string {
	var near, far []string
	for _, name := range drawers {
		if a.members[name].Region == a.Region {
			near = append(near, a.members[name].Address)
		} else {
			far = append(far, a.members[name].Address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return []string{near[rand.IntN(len(near))]}
}
