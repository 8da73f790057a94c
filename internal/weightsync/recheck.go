package weightsync

import (
	"context"
	"crypto/sha256"
	"errors"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
)

// A manifest carries no digest of its own, so one that arrives corrupt can pass for intact.
// Its digests then reject intact pieces. Bytes that turn corrupt on the way differ each
// time, so a piece that arrives twice with the same digest, and not with the manifest's,
// contradicts the manifest. It is read again then, and replaced by one that has the digests
// of all such pieces. A manifest that is only different replaces nothing, since it may be
// the corrupt one.

const (
	// minRecheckInterval and maxRecheckInterval bound the time between two reads of a
	// manifest that pieces contradict; it doubles with each. A holder may have a piece
	// wrong for good, and the origin's link is needed for pieces.
	minRecheckInterval = 250 * time.Millisecond
	maxRecheckInterval = 4 * time.Second
	// contradictedPause is the time until a piece that contradicts the manifest is fetched
	// from the origin again, unless the manifest is replaced before. The origin may send it
	// intact by then. Without it the piece was fetched every 80 to 150 ms.
	contradictedPause = 500 * time.Millisecond
)

// evidence holds the digests of pieces that the manifest rejected.
type evidence struct {
	last         map[int]Digest // of the last arrival of a piece
	contradicted map[int]Digest // of pieces that arrived alike twice in a row
	recheckAt    time.Time      // the manifest is not read again before
	rechecks     int            // reads since it was first contradicted
}

func newEvidence() evidence {
	return evidence{last: map[int]Digest{}, contradicted: map[int]Digest{}}
}

// record adds a piece that the manifest rejected. It reports whether the piece arrived as it
// did before, and so contradicts the manifest.
func (e *evidence) record(piece int, data []byte) bool {
	d := Digest(sha256.Sum256(data))
	known, ok := e.last[piece]
	e.last[piece] = d
	if !ok || known != d {
		return false
	}
	e.contradicted[piece] = d
	return true
}

// supports reports whether m has the digests of all pieces that arrived alike twice.
func (e *evidence) supports(m Manifest) bool {
	for piece, d := range e.contradicted {
		if piece >= len(m.Digests) || m.Digests[piece] != d {
			return false
		}
	}
	return true
}

// recordRejected records that a piece arrived with another digest than the manifest has. If
// the origin sent it as it arrived before, its next fetch from there is deferred: each rejected
// piece delays the others from the origin by its backoff.
func (a *Agent) recordRejected(v *version, piece int, data []byte, fromOrigin bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v.evidence.record(piece, data) && fromOrigin {
		v.scheduler.DeferAtOrigin(piece, time.Now().Add(contradictedPause))
	}
}

// recheckManifests reads the manifest again of each version that is being fetched, if
// pieces contradict it.
func (a *Agent) recheckManifests(ctx context.Context) {
	a.mu.Lock()
	now := time.Now()
	var due []*version
	for _, v := range []*version{a.fetching, a.prefetched} {
		if v == nil || len(v.evidence.contradicted) == 0 || now.Before(v.evidence.recheckAt) {
			continue
		}
		v.evidence.recheckAt = now.Add(min(minRecheckInterval<<min(v.evidence.rechecks, 8), maxRecheckInterval))
		v.evidence.rechecks++
		due = append(due, v)
	}
	a.mu.Unlock()
	for _, v := range due {
		a.recheckManifest(ctx, v)
	}
}

// recheckManifest reads a version's manifest from the origin, or else from another agent,
// and replaces the version's manifest if the one that was read has the digests of the
// pieces that contradict it.
func (a *Agent) recheckManifest(ctx context.Context, v *version) {
	m, from, err := a.rereadManifest(ctx, v)
	if err != nil {
		counter.Add("ManifestRechecks.Failed", 1)
		event.Fail(event.ManifestContradicted, err, "Model", v.manifest.Model, "Version", v.manifest.Version)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	fresh := a.withManifest(v, m)
	switch v {
	case a.fetching:
		a.fetching = fresh
	case a.prefetched:
		a.prefetched = fresh
	default: // it was given up while the manifest was read
		return
	}
	if a.latestManifest != nil && a.latestManifest.isVersion(m.Model, m.Version) {
		a.latestManifest = &m
	}
	a.markReadyIfComplete(fresh)
	counter.Add("ManifestRechecks.Replaced", 1)
	event.Log(event.ManifestReplaced, "Model", m.Model, "Version", m.Version, "From", from, "Pieces", len(v.evidence.contradicted))
}

// errContradicted reports a manifest that lacks the digest of a piece which arrived twice
// with that digest.
var errContradicted = errors.New("pieces contradict the manifest")

// rereadManifest returns a manifest that the evidence against v's supports, and the address
// that it came from. The origin is asked first: other agents may have the manifest from the
// same read.
func (a *Agent) rereadManifest(ctx context.Context, v *version) (m Manifest, from string, err error) {
	w := a.Wanted()
	originCtx, cancel := context.WithTimeout(ctx, longManifestTimeout)
	defer cancel()
	m, err = a.Origin.Manifest(originCtx, w.Origin, v.manifest.Model, v.manifest.Version)
	if err == nil && a.supports(v, m) {
		return m, w.Origin, nil
	}
	addresses := a.holders(v.manifest)
	if len(addresses) == 0 {
		return Manifest{}, "", errors.Join(errContradicted, err)
	}
	from = addresses[rand.IntN(len(addresses))]
	m, err = a.Peers.Manifest(ctx, from, v.manifest.Model, v.manifest.Version)
	if err == nil && !a.supports(v, m) {
		err = errContradicted
	}
	return m, from, err
}

func (a *Agent) supports(v *version, m Manifest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return v.evidence.supports(m)
}

// holders returns the addresses of the other agents that have the manifest.
func (a *Agent) holders(m Manifest) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var addresses []string
	for _, other := range a.members {
		if other.Service == a.Service && m.isVersion(other.Pieces.Model, other.Pieces.Version) {
			addresses = append(addresses, other.Address)
		}
	}
	return addresses
}

// withManifest returns a version with another manifest and those pieces of v that it has,
// too. Callers hold mu.
func (a *Agent) withManifest(v *version, m Manifest) *version {
	fresh := a.newVersion(m)
	fresh.sources, fresh.engineStart, fresh.stagedUnread = v.sources, v.engineStart, v.stagedUnread
	for n := range min(len(m.Digests), len(v.data)) {
		if v.data[n] == nil || m.Digests[n] != v.manifest.Digests[n] {
			continue
		}
		fresh.data[n], fresh.staged[n] = v.data[n], v.staged[n]
		fresh.scheduler.MarkHeld(n)
	}
	return fresh
}
