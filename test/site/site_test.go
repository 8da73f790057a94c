// Package site_test runs whole sites of real programs under live load while
// their instances are replaced, killed and cut off from the platform.
package site_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/liveload"
)

const (
	programs = "../../bin"
	engines  = 6
	within   = 3 * time.Minute
)

// start brings Hollister's site up with six engines and a small model.
func start(t *testing.T) (*fleet.Fleet, context.Context) {
	t.Helper()
	s, err := fleet.LoadSite("../../examples/hollister.yaml")
	require.NoError(t, err)
	s.Services[0].Instances = engines
	for i := range s.Classes {
		s.Classes[i].Replicas = min(s.Classes[i].Replicas, engines)
	}
	s.Model.First.Bytes = 2 << 20
	s.Model.Next.Bytes = 4 << 20
	f, err := fleet.New(s, programs, t.TempDir())
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	t.Cleanup(cancel)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
	require.NoError(t, f.Start(ctx))
	require.NoError(t, f.CreateClasses(ctx))
	require.NoError(t, f.Ready(ctx))
	_, err = f.AwaitServing(ctx, "1", engines)
	require.NoError(t, err)
	return f, ctx
}

// tally counts answers by class, outcome and reason.
func tally(answers []liveload.Answer) map[string]int {
	out := map[string]int{}
	for _, a := range answers {
		out[strings.TrimSpace(fmt.Sprintf("%s %s %s", a.Class, a.Outcome, a.Reason))]++
	}
	return out
}

// requireTrue checks what holds under every failure: each caller got the whole
// of its own answer or was told plainly that it did not, and no daemon found a
// broken invariant.
func requireTrue(t *testing.T, f *fleet.Fleet, answers []liveload.Answer) {
	t.Helper()
	t.Log(tally(answers))
	require.NotEmpty(t, answers)
	for _, a := range answers {
		require.Empty(t, a.Wrong, "%+v", a)
	}
	requireInvariants(t, f)
}

// requireInvariants reads the daemons' counters of broken invariants.
func requireInvariants(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	var addresses []string
	for _, g := range f.Gateways {
		addresses = append(addresses, g.Control)
	}
	for _, b := range f.Backends {
		addresses = append(addresses, b.Agent)
	}
	for _, address := range addresses {
		response, err := http.Get("http://" + address + "/metrics")
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.NotContains(t, string(text), "InvariantsBroken", address)
		require.NotContains(t, string(text), "IllegalTransitions", address)
	}
}

func requireNone(t *testing.T, answers []liveload.Answer, outcomes ...string) {
	t.Helper()
	for _, a := range answers {
		require.NotContains(t, outcomes, a.Outcome, "%+v", a)
	}
}

// Every instance is replaced one after another under load. Each is asked to end
// and started anew. No request in progress is cut.
func TestEveryInstanceIsReplacedUnderLoad(t *testing.T) {
	f, ctx := start(t)
	load := liveload.Start(ctx, f)
	for _, b := range f.Backends {
		require.NoError(t, f.ListInstances(ctx, map[string]instances.State{b.Instance: instances.Leaving}))
		require.True(t, f.Process(b.Instance).Terminate(), b.Instance)
		require.True(t, f.Process("backend-"+b.Instance).Terminate(), b.Instance)
		require.NoError(t, f.Process("backend-"+b.Instance).Start())
		require.NoError(t, f.Process(b.Instance).Start())
		require.NoError(t, f.ListInstances(ctx, nil))
		require.NoError(t, f.AwaitOpen(ctx, b))
	}
	for _, g := range f.Gateways {
		f.SetBalanced(g.Name, false)
		require.True(t, f.Process(g.Name).Terminate(), g.Name)
		require.NoError(t, f.Process(g.Name).Start())
		require.NoError(t, f.Ready(ctx))
		f.SetBalanced(g.Name, true)
	}
	answers := load.Stop()
	requireTrue(t, f, answers)
	requireNone(t, answers, "none", "Failed", "Unknown", "Cancelled")
}

// Instances are killed with their backend servers, one after another. A request
// that ran there is resumed elsewhere or told plainly.
func TestInstancesAreKilledUnderLoad(t *testing.T) {
	f, ctx := start(t)
	load := liveload.Start(ctx, f)
	for _, b := range f.Backends[:3] {
		f.Process(b.Instance).Kill()
		f.Process("backend-" + b.Instance).Kill()
		time.Sleep(2 * time.Second)
		require.NoError(t, f.Process("backend-"+b.Instance).Start())
		require.NoError(t, f.Process(b.Instance).Start())
		require.NoError(t, f.AwaitOpen(ctx, b))
	}
	answers := load.Stop()
	requireTrue(t, f, answers)
	requireNone(t, answers, "none", "Cancelled")
}

// The key-value service is down while requests go on, an instance and a gateway
// are replaced, and an operator's change waits until it is back.
func TestSiteServesWhileKeyValueServiceIsDown(t *testing.T) {
	f, ctx := start(t)
	faults := "http://" + f.Platform.KeyValue + "/faults"
	require.NoError(t, fleet.Put(ctx, faults, map[string]any{"Down": true}))
	load := liveload.Start(ctx, f)
	b, g := f.Backends[0], f.Gateways[0]
	require.True(t, f.Process(b.Instance).Terminate())
	require.NoError(t, f.Process(b.Instance).Start())
	f.SetBalanced(g.Name, false)
	require.True(t, f.Process(g.Name).Terminate())
	require.NoError(t, f.Process(g.Name).Start())
	require.NoError(t, f.Ready(ctx), "a gateway that starts in an outage is ready once its peers told it")
	f.SetBalanced(g.Name, true)
	require.NoError(t, f.AwaitOpen(ctx, b))
	out, code, err := f.Operator("target", "auction-questions", "--replicas", "5")
	require.NoError(t, err)
	require.NotEqual(t, 0, code, out)
	answers := load.Stop()
	requireTrue(t, f, answers)
	requireNone(t, answers, "none", "Failed", "Unknown", "Cancelled")
	counts := tally(answers)
	require.NotZero(t, counts["auction-questions Answered"])
	require.Zero(t, counts["settlement-postings Answered"], "no claim can be made")
	require.NotZero(t, counts["settlement-postings Refused KeyValueUnavailable"])

	require.NoError(t, fleet.Put(ctx, faults, map[string]any{}))
	require.NoError(t, f.Release(ctx, "2"))
	_, err = f.AwaitServing(ctx, "2", engines)
	require.NoError(t, err)
	load = liveload.Start(ctx, f)
	time.Sleep(time.Second)
	answers = load.Stop()
	requireTrue(t, f, answers)
	require.NotZero(t, tally(answers)["settlement-postings Answered"])
}
