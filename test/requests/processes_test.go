package requests_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/standin"
	"almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/pkg/client"
)

const programs = "../../bin"

// processes starts a small Hollister as real processes and waits until it serves.
func processes(t *testing.T, engines int) (*fleet.Fleet, context.Context) {
	t.Helper()
	s, err := fleet.LoadSite("../../examples/hollister.yaml")
	require.NoError(t, err)
	s.Services[0].Instances = engines
	for i := range s.Classes {
		s.Classes[i].Replicas = min(s.Classes[i].Replicas, engines)
	}
	s.Model.First.Bytes, s.Model.Next.Bytes = 1<<20, 1<<20
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	f, err := fleet.New(s, programs, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
	require.NoError(t, f.Start(ctx))
	require.NoError(t, f.CreateClasses(ctx))
	require.NoError(t, f.Ready(ctx))
	_, err = f.AwaitServing(ctx, "1", engines)
	require.NoError(t, err)
	for _, g := range f.Gateways {
		require.Eventually(t, func() bool {
			a, err := through(f, g).Complete(ctx, client.Completion{Class: "auction-questions", Prompt: "ready?", MaxTokens: 1})
			return err == nil && a.Record.Outcome == "Answered"
		}, 10*time.Second, 50*time.Millisecond)
	}
	return f, ctx
}

func through(f *fleet.Fleet, g fleet.Gateway) *client.Client {
	return client.New("http://"+g.Caller, f.Site.Organisations[0].Key, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
}

// services sets the faults of all ledger services.
func services(t *testing.T, f *fleet.Fleet, faults service.Faults) {
	t.Helper()
	for _, b := range f.Backends {
		if b.Service.Name == "ledger" {
			require.NoError(t, fleet.Put(context.Background(), "http://"+b.Address+standin.FaultsPath, faults))
		}
	}
}

// postingRuns counts how often the services ran a body.
func postingRuns(t *testing.T, f *fleet.Fleet, body string) int {
	t.Helper()
	count := 0
	for _, b := range f.Backends {
		if b.Service.Name != "ledger" {
			continue
		}
		var j service.Journal
		require.NoError(t, fleet.GetJSON(context.Background(), "http://"+b.Address+service.JournalPath, &j))
		for _, e := range j.Entries {
			if e.Body == body {
				count++
			}
		}
	}
	return count
}

func TestPostingRunsOnceThoughItsGatewayFreezesOrDies(t *testing.T) {
	f, ctx := processes(t, 2)
	services(t, f, service.Faults{DelayMilliseconds: 700})
	const frozen, killed = `{"posting":"frozen"}`, `{"posting":"killed"}`

	first := make(chan client.Answer, 1)
	go func() {
		a, err := through(f, f.Gateways[0]).Call(ctx, "settlement-postings", "frozen", []byte(frozen))
		if err != nil {
			t.Errorf("frozen: %v", err)
		}
		first <- a
	}()
	time.Sleep(300 * time.Millisecond)
	f.Process(f.Gateways[0].Name).Signal(syscall.SIGSTOP)
	a, err := through(f, f.Gateways[1]).Call(ctx, "settlement-postings", "frozen", []byte(frozen))
	require.NoError(t, err)
	require.Equal(t, "Unknown", a.Record.Outcome)
	require.Equal(t, "ClaimPending", a.Record.Reason)
	time.Sleep(time.Second)
	f.Process(f.Gateways[0].Name).Signal(syscall.SIGCONT)
	answered := <-first
	require.Equal(t, "Answered", answered.Record.Outcome, "%+v", answered.Record)
	a, err = through(f, f.Gateways[2]).Call(ctx, "settlement-postings", "frozen", []byte(frozen))
	require.NoError(t, err)
	require.Equal(t, "Answered", a.Record.Outcome, "%+v", a.Record)
	require.Equal(t, answered.Body, a.Body)
	require.Equal(t, 1, postingRuns(t, f, frozen))

	go func() {
		_, err := through(f, f.Gateways[0]).Call(ctx, "settlement-postings", "killed", []byte(killed))
		if err == nil {
			t.Error("the killed gateway answered")
		}
		first <- client.Answer{}
	}()
	time.Sleep(300 * time.Millisecond)
	f.Process(f.Gateways[0].Name).Kill()
	<-first
	require.Eventually(t, func() bool {
		a, err = through(f, f.Gateways[1]).Call(ctx, "settlement-postings", "killed", []byte(killed))
		return err == nil && a.Record.Reason == "ClaimHolderLost"
	}, 15*time.Second, 500*time.Millisecond)
	require.Equal(t, "Unknown", a.Record.Outcome)
	require.False(t, a.Record.NotRun)
	require.LessOrEqual(t, postingRuns(t, f, killed), 1)
}

// keepBusy sends completions through gateways until stop is called, and
// returns the records told and the errors of requests that got no answer.
func keepBusy(f *fleet.Fleet, gateways []fleet.Gateway, callers int) (stop func() ([]client.Record, []error)) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	var records []client.Record
	var failures []error
	for i := range callers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("caller %d asks %d", i, n)
				a, err := through(f, gateways[i%len(gateways)]).Complete(context.Background(), client.Completion{Class: "auction-questions", Prompt: prompt, MaxTokens: 20})
				mu.Lock()
				if err != nil {
					failures = append(failures, err)
					time.Sleep(20 * time.Millisecond)
				} else {
					records = append(records, a.Record)
				}
				mu.Unlock()
			}
		})
	}
	return func() ([]client.Record, []error) {
		cancel()
		group.Wait()
		return records, failures
	}
}

func TestShutdownsUnderLoadCutNothing(t *testing.T) {
	f, _ := processes(t, 3)
	agent := f.Process("assistant-1")
	stop := keepBusy(f, f.Gateways[1:], 8)
	time.Sleep(300 * time.Millisecond)
	agent.Signal(syscall.SIGTERM)
	select {
	case <-agent.Ended():
	case <-time.After(10 * time.Second):
		require.Fail(t, "the agent did not drain")
	}
	time.Sleep(300 * time.Millisecond)
	records, failures := stop()
	require.Empty(t, failures)
	require.NotEmpty(t, records)
	for _, r := range records {
		require.Equal(t, "Answered", r.Outcome, "%+v", r)
	}

	stop = keepBusy(f, f.Gateways[:1], 8)
	time.Sleep(300 * time.Millisecond)
	gateway := f.Process(f.Gateways[0].Name)
	gateway.Signal(syscall.SIGTERM)
	select {
	case <-gateway.Ended():
	case <-time.After(10 * time.Second):
		require.Fail(t, "the gateway did not drain")
	}
	records, failures = stop()
	for _, err := range failures {
		var unsent *url.Error
		require.True(t, errors.As(err, &unsent), "cut: %v", err)
	}
	for _, r := range records {
		if r.Outcome != "Answered" {
			require.Equal(t, "ShuttingDown", r.Reason, "%+v", r)
			require.True(t, r.NotRun)
		}
	}
}

func TestCrashingRequestThroughRealGateways(t *testing.T) {
	f, ctx := processes(t, 5)
	stop := keepBusy(f, f.Gateways, 9)
	time.Sleep(200 * time.Millisecond)
	for range 2 {
		for _, g := range f.Gateways {
			_, err := through(f, g).Complete(ctx, client.Completion{Class: "auction-questions", Prompt: fleet.CrashMarker, MaxTokens: 2})
			require.NoError(t, err)
		}
	}
	records, failures := stop()
	require.Empty(t, failures)
	for _, r := range records {
		require.Equal(t, "Answered", r.Outcome, "%+v", r)
	}
	lost := 0
	for _, b := range f.Backends {
		select {
		case <-f.Process("backend-" + b.Instance).Ended():
			lost++
		default:
		}
	}
	require.LessOrEqual(t, lost, 2)
	for _, g := range f.Gateways {
		a, err := through(f, g).Complete(ctx, client.Completion{Class: "auction-questions", Prompt: fleet.CrashMarker, MaxTokens: 2})
		require.NoError(t, err)
		require.Equal(t, "Quarantined", a.Record.Reason, "%+v", a.Record)
		require.True(t, a.Record.NotRun)
	}
	require.Eventually(t, func() bool {
		out, code, err := f.Operator("invoice")
		return err == nil && code == 0 && strings.Contains(out, f.Site.Organisations[0].Name)
	}, 10*time.Second, 200*time.Millisecond)
}
