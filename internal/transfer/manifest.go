package transfer

import (
	"context"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/peer"
	"almondreel.example/almondreel/pkg/stripe"
)

const (
	manifestStep  = 300 * time.Millisecond // between members that ask the sources
	manifestRetry = 100 * time.Millisecond
	manifestPeers = 2 // agents asked in one round
)

// manifestTurn returns when the agent itself may ask the sources.
func (t *Transfer) manifestTurn(now time.Time) time.Time {
	position := stripe.Position(string(t.plan.Digest), t.plan.Members, t.exchange.options.Self.Name)
	return stripe.Turn(now, max(position, 0), manifestStep)
}

func (t *Transfer) manifestOfPeers(ctx context.Context) (manifest.Manifest, bool) {
	peers := t.others()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), manifestPeers)] {
		client := peer.NewClient(p.Address, t.exchange.options.Transport)
		if m, err := client.Manifest(ctx, t.plan.Digest); err == nil {
			return m, true
		}
	}
	return manifest.Manifest{}, false
}

func (t *Transfer) manifestOfSources(ctx context.Context) (manifest.Manifest, error) {
	var last error
	for _, s := range t.exchange.sources {
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
