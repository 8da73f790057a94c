package replica_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/serving"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
)

// A load order must not reach an engine that runs a request: the answer would
// be cut, or its end would come from another version.
func TestOrderWaitsUntilRequestsHaveEnded(t *testing.T) {
	b := start(t, standinengine.Options{ChecksOrders: true}, 0)
	first, next := b.publish("1", 1), b.publish("2", 2)
	b.place(first, 5)
	b.awaitServing(first.Digest())

	b.board.Update(func(s *serving.Status) { s.Running++ })
	b.adopt(placement.Placement{Assignments: []placement.Assignment{{
		Class: "class", Kind: operator.Model, Model: next.Model, Version: next.Version, Digest: next.Digest(),
		Weighing: operator.Time, Instances: []string{b.agent.Settings.Name}, Previous: []manifest.Digest{first.Digest()},
	}}}, 6)
	require.Eventually(t, func() bool {
		s := b.board.Status()
		return s.Want == next.Digest() && s.Have == s.Chunks && s.Chunks > 0 && !s.Open
	}, 10*time.Second, 10*time.Millisecond, "the board closes once the version is held")
	require.Never(t, func() bool { return b.engine.State().FencingNumber > 5 }, time.Second, 10*time.Millisecond)
	require.Len(t, b.ordered(), 1)

	b.board.Update(func(s *serving.Status) { s.Running-- })
	b.awaitServing(next.Digest())
	require.Equal(t, uint64(6), b.engine.State().FencingNumber)
	b.assertOrders()
}
