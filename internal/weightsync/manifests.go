package weightsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/piecesched"
)

const (
	// maxManifestPause bounds the pause between attempts to read a manifest.
	maxManifestPause = 120 * time.Millisecond
	// manifestTimeout bounds an attempt at the origin. An origin without power
	// drops packets silently, and may be back a moment later. Every
	// longManifestTry-th attempt may take longManifestTimeout, as the origin's
	// link may be saturated.
	manifestTimeout     = 200 * time.Millisecond
	longManifestTimeout = time.Second
	longManifestTry     = 4
	// manifestWait is how long a manifest request of another agent waits until
	// the manifest is known.
	manifestWait = 250 * time.Millisecond
	// manifestPoll is how often that is checked.
	manifestPoll = 10 * time.Millisecond
)

// tryTimeout returns the timeout of the given attempt at the origin, counted
// from 1.
func tryTimeout(tries int) time.Duration {
	if tries%longManifestTry == 0 {
		return longManifestTimeout
	}
	return manifestTimeout
}

// manifestLoop reads the manifest of the wanted version as soon as the version
// is announced, also while an older one is completed: the origin may be down
// when the manifest is needed. It reads manifests again that pieces contradict.
func (a *Agent) manifestLoop(ctx context.Context) {
	tries := 0
	for {
		w, needed := a.manifestNeeded()
		delay := reconcileInterval
		if needed {
			tries++
			delay = a.fetchManifest(ctx, w, tries)
		} else {
			tries = 0
		}
		a.recheckManifests(ctx)
		if !pause.For(ctx, delay) {
			return
		}
	}
}

// fetchManifest makes one attempt to read the manifest and returns the pause
// before the next.
func (a *Agent) fetchManifest(ctx context.Context, w hostedrpc.Wanted, tries int) time.Duration {
	m, err := a.requestManifest(ctx, w, tries)
	if errors.Is(err, errNotYet) {
		return reconcileInterval
	}
	if err != nil {
		if tries&(tries-1) == 0 { // log only attempts 1, 2, 4, 8 and so on
			event.Fail(event.ManifestFetchFailed, err, "Model", w.Engine.Model, "Version", w.Version, "Tries", tries)
		}
		return min(time.Duration(tries)*reconcileInterval, maxManifestPause)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latestManifest = &m
	return reconcileInterval
}

// manifestNeeded returns the wanted state, and whether its manifest is still
// unknown.
func (a *Agent) manifestNeeded() (hostedrpc.Wanted, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.wanted
	if w.Version == 0 || w.Engine.Model == "" || !a.engineUp && !a.engineAwaited {
		return w, false
	}
	known := a.fetching != nil && a.fetching.manifest.isVersion(w.Engine.Model, w.Version) || a.latestManifest != nil && a.latestManifest.isVersion(w.Engine.Model, w.Version)
	return w, !known
}

// manifestFor returns the manifest of the wanted version, if it is known.
func (a *Agent) manifestFor(w hostedrpc.Wanted) (Manifest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.latestManifest == nil || !a.latestManifest.isVersion(w.Engine.Model, w.Version) {
		return Manifest{}, false
	}
	return *a.latestManifest, true
}

// awaitManifest returns a manifest for another agent. It waits up to
// manifestWait for it, since all agents learn of a version at about the same
// time.
func (a *Agent) awaitManifest(ctx context.Context, model string, number int64) (Manifest, bool) {
	until := time.Now().Add(manifestWait)
	for {
		m, ok := a.knownManifest(model, number)
		if ok || time.Now().After(until) || !pause.For(ctx, manifestPoll) {
			return m, ok
		}
	}
}

// requestManifest reads a version's manifest from another agent that has it. If
// there is none, agents that fetch pieces from the origin read it there. All
// others request it from one of those, and only sometimes from the origin, whose
// link is needed for pieces.
func (a *Agent) requestManifest(ctx context.Context, w hostedrpc.Wanted, tries int) (Manifest, error) {
	addresses, usesOrigin := a.manifestHolders(w)
	for _, address := range addresses {
		m, err := a.Peers.Manifest(ctx, address, w.Engine.Model, w.Version)
		if err == nil {
			return m, nil
		}
		counter.Add("ManifestFailures.Agent", 1)
	}
	if !usesOrigin && tries%manifestOriginTry != 0 {
		return Manifest{}, errNotYet
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout(tries))
	defer cancel()
	return a.Origin.Manifest(ctx, w.Origin, w.Engine.Model, w.Version)
}

// Every manifestOriginTry-th attempt of an agent that does not fetch from the
// origin goes to the origin, if no other agent has sent the manifest.
const manifestOriginTry = 4

// errNotYet reports that no other agent has sent the manifest, and that one
// should have it soon.
var errNotYet = errors.New("no other agent has the manifest yet")

// manifestHolders returns the addresses of agents to request the manifest from,
// and whether this agent fetches from the origin. Agents of the region that
// have the manifest are used if there are any. Otherwise an agent that does not
// fetch from the origin uses one that does, which should have it soon.
func (a *Agent) manifestHolders(w hostedrpc.Wanted) (addresses []string, usesOrigin bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	incomplete := []string{a.Name}
	for _, m := range a.members {
		if m.Service != a.Service {
			continue
		}
		incomplete = append(incomplete, m.Name)
		if m.Pieces.Model == w.Engine.Model && m.Pieces.Version == w.Version && m.Region == a.Region {
			addresses = append(addresses, m.Address)
		}
	}
	fetchers := piecesched.OriginFetchers(incomplete)
	usesOrigin = slices.Contains(fetchers, a.Name)
	if !usesOrigin && len(addresses) == 0 {
		addresses = a.randomOriginFetcher(fetchers)
	}
	return addresses, usesOrigin
}

// randomOriginFetcher returns the address of a random agent among those that
// fetch from the origin, one of the same region if there is any. Callers hold
// mu.
func (a *Agent) randomOriginFetcher(fetchers []string) []string {
	var sameRegion, otherRegions []string
	for _, name := range fetchers {
		if a.members[name].Region == a.Region {
			sameRegion = append(sameRegion, a.members[name].Address)
		} else {
			otherRegions = append(otherRegions, a.members[name].Address)
		}
	}
	if len(sameRegion) == 0 {
		sameRegion = otherRegions
	}
	return []string{sameRegion[rand.IntN(len(sameRegion))]}
}
