package transfer

import (
	"context"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/peer"
	"almondreel.example/almondreel/pkg/takeover"
)

const (
	manifestTurnDelay     = 300 * time.Millisecond // between the turns of members that ask the sources
	manifestRetryInterval = 100 * time.Millisecond
	manifestPeers         = 2 // agents asked in one round
)

// manifestTurn returns the time from which the agent may ask the sources.
func (t *Transfer) manifestTurn(now time.Time) time.Time {
	position := takeover.Position(string(t.plan.Digest), t.plan.Members, t.manager.options.Self.Name)
	return takeover.Turn(now, max(position, 0), manifestTurnDelay)
}

func (t *Transfer) manifestFromPeers(ctx context.Context) (manifest.Manifest, bool) {
	peers := t.placedPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), manifestPeers)] {
		client := peer.NewClient(p.Address, t.manager.options.Transport)
		if m, err := client.Manifest(ctx, t.plan.Digest); err == nil {
			return m, true
		}
	}
	return manifest.Manifest{}, false
}

func (t *Transfer) manifestFromSources(ctx context.Context) (manifest.Manifest, error) {
	var last error
	for _, s := range t.manager.sources {
		m, err := s.client.Manifest(ctx, t.plan.Model, t.plan.Version, t.plan.Digest)
		if err == nil {
			return m, nil
		}
		last = err
	}
	if last == nil {
		last = ErrNoSource
	}
	return manifest.Manifest{}, last
}
