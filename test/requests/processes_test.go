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
	standinservice "almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/pkg/client"
)

const programs = "../../bin"

// startProcesses starts a small copy of the example site hollister as processes and
// waits until it serves through every gateway.
func startProcesses(t *testing.T, engines int) (*fleet.Fleet, context.Context) {
	t.Helper()
	return startSizedProcesses(t, 1, engines, time.Minute)
}

// startSizedProcesses is startProcesses with a number of gateways in each region. The
// context ends after limit.
func startSizedProcesses(t *testing.T, gateways, engines int, limit time.Duration) (*fleet.Fleet, context.Context) {
	t.Helper()
	s, err := fleet.LoadSite("../../examples/hollister.yaml")
	require.NoError(t, err)
	s.Services[0].Instances = engines
	for i := range s.Regions {
		s.Regions[i].Gateways = gateways
	}
	for i := range s.Classes {
		s.Classes[i].Replicas = min(s.Classes[i].Replicas, engines)
	}
	s.Model.First.Bytes, s.Model.Next.Bytes = 1<<20, 1<<20
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
			a, err := clientOf(f, g).Complete(ctx, client.Completion{Class: "auction-questions", Prompt: "ready?", MaxTokens: 1})
			return err == nil && a.Record.Outcome == "Answered"
		}, 10*time.Second, 50*time.Millisecond)
	}
	return f, ctx
}

func clientOf(f *fleet.Fleet, g fleet.Gateway) *client.Client {
	return client.New("http://"+g.CallerAddress, f.Site.Organisations[0].Key, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
}

// setServiceFaults sets the faults of all backend servers of the service "ledger".
func setServiceFaults(t *testing.T, f *fleet.Fleet, faults standinservice.Faults) {
	t.Helper()
	for _, b := range f.Backends {
		if b.Service.Name == "ledger" {
			require.NoError(t, fleet.Put(context.Background(), "http://"+b.Address+standin.FaultsPath, faults))
		}
	}
}

// postingRuns returns the body of each call that the backend servers of "ledger" ran.
func postingRuns(t *testing.T, f *fleet.Fleet) []string {
	t.Helper()
	var bodies []string
	for _, b := range f.Backends {
		if b.Service.Name != "ledger" {
			continue
		}
		var j standinservice.Journal
		require.NoError(t, fleet.GetJSON(context.Background(), "http://"+b.Address+standinservice.JournalPath, &j))
		for _, e := range j.Entries {
			bodies = append(bodies, e.Body)
		}
	}
	return bodies
}

// countPostingRuns returns how often the backend servers of "ledger" ran a call with
// this body.
func countPostingRuns(t *testing.T, f *fleet.Fleet, body string) int {
	t.Helper()
	count := 0
	for _, b := range postingRuns(t, f) {
		if b == body {
			count++
		}
	}
	return count
}

func TestPostingRunsOnceWhenGatewayIsSuspendedOrKilled(t *testing.T) {
	f, ctx := startProcesses(t, 2)
	setServiceFaults(t, f, standinservice.Faults{DelayMilliseconds: 700})
	const suspended, killed = `{"posting":"frozen"}`, `{"posting":"killed"}`

	first := make(chan client.Response, 1)
	go func() {
		a, err := clientOf(f, f.Gateways[0]).Call(ctx, "settlement-postings", "frozen", []byte(suspended))
		if err != nil {
			t.Errorf("posting through the suspended gateway: %v", err)
		}
		first <- a
	}()
	time.Sleep(300 * time.Millisecond)
	f.Process(f.Gateways[0].Name).Signal(syscall.SIGSTOP)
	a, err := clientOf(f, f.Gateways[1]).Call(ctx, "settlement-postings", "frozen", []byte(suspended))
	require.NoError(t, err)
	require.Equal(t, "Unknown", a.Record.Outcome)
	require.Equal(t, "ClaimPending", a.Record.Reason)
	time.Sleep(time.Second)
	f.Process(f.Gateways[0].Name).Signal(syscall.SIGCONT)
	answered := <-first
	require.Equal(t, "Answered", answered.Record.Outcome, "%+v", answered.Record)
	a, err = clientOf(f, f.Gateways[2]).Call(ctx, "settlement-postings", "frozen", []byte(suspended))
	require.NoError(t, err)
	require.Equal(t, "Answered", a.Record.Outcome, "%+v", a.Record)
	require.Equal(t, answered.Body, a.Body)
	require.Equal(t, 1, countPostingRuns(t, f, suspended))

	go func() {
		_, err := clientOf(f, f.Gateways[0]).Call(ctx, "settlement-postings", "killed", []byte(killed))
		if err == nil {
			t.Error("the killed gateway answered the posting")
		}
		first <- client.Response{}
	}()
	time.Sleep(300 * time.Millisecond)
	f.Process(f.Gateways[0].Name).Kill()
	<-first
	require.Eventually(t, func() bool {
		a, err = clientOf(f, f.Gateways[1]).Call(ctx, "settlement-postings", "killed", []byte(killed))
		return err == nil && a.Record.Reason == "ClaimHolderLost"
	}, 15*time.Second, 500*time.Millisecond)
	require.Equal(t, "Unknown", a.Record.Outcome)
	require.False(t, a.Record.NotRun)
	require.LessOrEqual(t, countPostingRuns(t, f, killed), 1)
}

// startProcessLoad sends completions through gateways until stop is called, which
// returns the outcome records and the errors of requests without an answer.
func startProcessLoad(f *fleet.Fleet, gateways []fleet.Gateway, callers int) (stop func() ([]client.Record, []error)) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	var records []client.Record
	var failures []error
	for i := range callers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("caller %d asks %d", i, n)
				a, err := clientOf(f, gateways[i%len(gateways)]).Complete(context.Background(), client.Completion{Class: "auction-questions", Prompt: prompt, MaxTokens: 20})
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

func TestShutdownsUnderLoadInterruptNoRequest(t *testing.T) {
	f, _ := startProcesses(t, 3)
	agent := f.Process("assistant-1")
	stop := startProcessLoad(f, f.Gateways[1:], 8)
	time.Sleep(300 * time.Millisecond)
	agent.Signal(syscall.SIGTERM)
	select {
	case <-agent.Ended():
	case <-time.After(10 * time.Second):
		require.Fail(t, "the agent did not exit within 10 s of SIGTERM")
	}
	time.Sleep(300 * time.Millisecond)
	records, failures := stop()
	require.Empty(t, failures)
	require.NotEmpty(t, records)
	for _, r := range records {
		require.Equal(t, "Answered", r.Outcome, "%+v", r)
	}

	stop = startProcessLoad(f, f.Gateways[:1], 8)
	time.Sleep(300 * time.Millisecond)
	gateway := f.Process(f.Gateways[0].Name)
	gateway.Signal(syscall.SIGTERM)
	select {
	case <-gateway.Ended():
	case <-time.After(10 * time.Second):
		require.Fail(t, "the gateway did not exit within 10 s of SIGTERM")
	}
	records, failures = stop()
	for _, err := range failures {
		var connectErr *url.Error
		require.True(t, errors.As(err, &connectErr), "request in progress interrupted: %v", err)
	}
	for _, r := range records {
		if r.Outcome != "Answered" {
			require.Equal(t, "ShuttingDown", r.Reason, "%+v", r)
			require.True(t, r.NotRun)
		}
	}
}

func TestCrashingRequestThroughGatewayProcesses(t *testing.T) {
	f, ctx := startProcesses(t, 5)
	stop := startProcessLoad(f, f.Gateways, 9)
	time.Sleep(200 * time.Millisecond)
	for range 2 {
		for _, g := range f.Gateways {
			_, err := clientOf(f, g).Complete(ctx, client.Completion{Class: "auction-questions", Prompt: fleet.CrashMarker, MaxTokens: 2})
			require.NoError(t, err)
		}
	}
	records, failures := stop()
	require.Empty(t, failures)
	for _, r := range records {
		require.Equal(t, "Answered", r.Outcome, "%+v", r)
	}
	crashed := 0
	for _, b := range f.Backends {
		select {
		case <-f.Process("backend-" + b.Instance).Ended():
			crashed++
		default:
		}
	}
	require.LessOrEqual(t, crashed, 2)
	for _, g := range f.Gateways {
		a, err := clientOf(f, g).Complete(ctx, client.Completion{Class: "auction-questions", Prompt: fleet.CrashMarker, MaxTokens: 2})
		require.NoError(t, err)
		require.Equal(t, "Quarantined", a.Record.Reason, "%+v", a.Record)
		require.True(t, a.Record.NotRun)
	}
	require.Eventually(t, func() bool {
		out, code, err := f.Operator("invoice")
		return err == nil && code == 0 && strings.Contains(out, f.Site.Organisations[0].Name)
	}, 10*time.Second, 200*time.Millisecond)
}
