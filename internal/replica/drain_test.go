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

// A load order that reaches an engine with a running request cuts the answer off, or
// makes another version produce the rest of it.
func TestLoadOrderWaitsForRunningRequests(t *testing.T) {
	f := newFixture(t, standinengine.Options{ChecksOrders: true}, 0)
	first, next := f.publish("1", 1), f.publish("2", 2)
	f.place(first, 5)
	f.awaitServing(first.Digest())

	f.status.Update(func(s *serving.Status) { s.Running++ })
	f.setPlacement(placement.Placement{Assignments: []placement.Assignment{{
		Class: "class", Kind: operator.Model, Model: next.Model, Version: next.Version, Digest: next.Digest(),
		Weighing: operator.Time, Instances: []string{f.agent.Settings.Name}, Previous: []manifest.Digest{first.Digest()},
	}}}, 6)
	require.Eventually(t, func() bool {
		s := f.status.Status()
		return s.Want == next.Digest() && s.Have == s.Chunks && s.Chunks > 0 && !s.Open
	}, 10*time.Second, 10*time.Millisecond, "the status closes once the version is stored")
	require.Never(t, func() bool { return f.engine.State().FencingNumber > 5 }, time.Second, 10*time.Millisecond)
	require.Len(t, f.receivedOrders(), 1)

	f.status.Update(func(s *serving.Status) { s.Running-- })
	f.awaitServing(next.Digest())
	require.Equal(t, uint64(6), f.engine.State().FencingNumber)
	f.assertOrders()
}
