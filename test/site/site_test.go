// Package site_test runs an example site as processes under load while instances are
// replaced or killed and while the key-value service is down.
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
	"almondreel.example/almondreel/internal/loadgen"
)

const (
	programs    = "../../bin"
	engines     = 6
	testTimeout = 3 * time.Minute
)

// start starts the example site hollister with six engines and a small model, and
// waits until version 1 is served.
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
	require.NoError(t, f.Start(ctx))
	require.NoError(t, f.CreateClasses(ctx))
	require.NoError(t, f.Ready(ctx))
	_, err = f.AwaitServing(ctx, "1", engines)
	require.NoError(t, err)
	return f, ctx
}

// countAnswers counts answers by class, outcome and reason.
func countAnswers(answers []loadgen.Answer) map[string]int {
	out := map[string]int{}
	for _, a := range answers {
		out[strings.TrimSpace(fmt.Sprintf("%s %s %s", a.Class, a.Outcome, a.Reason))]++
	}
	return out
}

// requireCorrect requires what must hold under every failure: each caller got its
// complete answer or an outcome that says otherwise, and no daemon counted a violated
// invariant.
func requireCorrect(t *testing.T, f *fleet.Fleet, answers []loadgen.Answer) {
	t.Helper()
	t.Log(countAnswers(answers))
	require.NotEmpty(t, answers)
	for _, a := range answers {
		require.Empty(t, a.Problem, "%+v", a)
	}
	requireInvariants(t, f)
}

// requireInvariants requires that no daemon's metrics count a violated invariant or an
// illegal state transition.
func requireInvariants(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	var addresses []string
	for _, g := range f.Gateways {
		addresses = append(addresses, g.ControlAddress)
	}
	for _, b := range f.Backends {
		addresses = append(addresses, b.AgentAddress)
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

func requireNoOutcome(t *testing.T, answers []loadgen.Answer, outcomes ...string) {
	t.Helper()
	for _, a := range answers {
		require.NotContains(t, outcomes, a.Outcome, "%+v", a)
	}
}

// Under load, every instance is terminated and restarted, one after another. No request
// in progress may be interrupted.
func TestReplacingEveryInstanceInterruptsNoRequest(t *testing.T) {
	f, ctx := start(t)
	load := loadgen.Start(ctx, f)
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
	requireCorrect(t, f, answers)
	requireNoOutcome(t, answers, "none", "Failed", "Unknown", "Cancelled")
}

// Under load, instances are killed together with their backend servers, one after
// another. Requests that ran there must be resumed on another instance or end with an
// outcome that says so.
func TestKilledInstancesLoseNoOutcome(t *testing.T) {
	f, ctx := start(t)
	load := loadgen.Start(ctx, f)
	for _, b := range f.Backends[:3] {
		f.Process(b.Instance).Kill()
		f.Process("backend-" + b.Instance).Kill()
		time.Sleep(2 * time.Second)
		require.NoError(t, f.Process("backend-"+b.Instance).Start())
		require.NoError(t, f.Process(b.Instance).Start())
		require.NoError(t, f.AwaitOpen(ctx, b))
	}
	answers := load.Stop()
	requireCorrect(t, f, answers)
	requireNoOutcome(t, answers, "none", "Cancelled")
}

// While the key-value service is down, requests are served and an instance and a
// gateway are replaced. An operator's change fails until the service is back.
func TestSiteServesDuringKeyValueOutage(t *testing.T) {
	f, ctx := start(t)
	faults := "http://" + f.Platform.KeyValue + "/faults"
	require.NoError(t, fleet.Put(ctx, faults, map[string]any{"Down": true}))
	load := loadgen.Start(ctx, f)
	b, g := f.Backends[0], f.Gateways[0]
	require.True(t, f.Process(b.Instance).Terminate())
	require.NoError(t, f.Process(b.Instance).Start())
	f.SetBalanced(g.Name, false)
	require.True(t, f.Process(g.Name).Terminate())
	require.NoError(t, f.Process(g.Name).Start())
	require.NoError(t, f.Ready(ctx), "a gateway that starts during the outage gets its state from its peers")
	f.SetBalanced(g.Name, true)
	require.NoError(t, f.AwaitOpen(ctx, b))
	out, code, err := f.Operator("target", "auction-questions", "--replicas", "5")
	require.NoError(t, err)
	require.NotEqual(t, 0, code, out)
	answers := load.Stop()
	requireCorrect(t, f, answers)
	requireNoOutcome(t, answers, "none", "Failed", "Unknown", "Cancelled")
	counts := countAnswers(answers)
	require.NotZero(t, counts["auction-questions Answered"])
	require.Zero(t, counts["settlement-postings Answered"], "postings need a claim in the key-value service")
	require.NotZero(t, counts["settlement-postings Refused KeyValueUnavailable"])

	require.NoError(t, fleet.Put(ctx, faults, map[string]any{}))
	require.NoError(t, f.Release(ctx, "2"))
	_, err = f.AwaitServing(ctx, "2", engines)
	require.NoError(t, err)
	load = loadgen.Start(ctx, f)
	time.Sleep(time.Second)
	answers = load.Stop()
	requireCorrect(t, f, answers)
	require.NotZero(t, countAnswers(answers)["settlement-postings Answered"])
}
