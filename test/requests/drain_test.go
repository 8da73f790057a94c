package requests_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

// startLoad has callers send completions one after another until stop is called,
// which returns their answers.
func startLoad(t *testing.T, s *testsite.Site, callers int) (stop func() []client.Response) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []client.Response
	for i := range callers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("caller %d asks %d", i, n)
				a, err := newClient(s.Gateways[i%len(s.Gateways)]).Complete(context.Background(), client.Completion{Class: questions, Prompt: prompt, MaxTokens: 30})
				if err != nil {
					t.Errorf("%s: %v", prompt, err)
				}
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	return func() []client.Response {
		cancel()
		group.Wait()
		return answers
	}
}

func TestAgentDrainInterruptsNoRequest(t *testing.T) {
	o := options()
	o.Gateways = 2
	s := startSite(t, o)
	stop := startLoad(t, s, 12)
	time.Sleep(200 * time.Millisecond)
	leaving := s.Replicas[0]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	leaving.BackendProxy.Drain(ctx)
	require.NoError(t, ctx.Err())
	for range 20 {
		require.Zero(t, leaving.Status.Status().Running, "a drained agent must run no new request")
		time.Sleep(10 * time.Millisecond)
	}
	answers := stop()
	require.NotEmpty(t, answers)
	for _, a := range answers {
		require.Equal(t, "Answered", a.Record.Outcome, "%+v", a.Record)
	}
}

func TestGatewayDrainInterruptsNoRequest(t *testing.T) {
	o := options()
	o.Gateways = 2
	s := startSite(t, o)
	stop := startLoad(t, s, 12)
	time.Sleep(200 * time.Millisecond)
	select {
	case <-s.Gateways[0].CallerHandler.Drain():
	case <-time.After(5 * time.Second):
		require.Fail(t, "requests in progress did not end within 5 s of the drain's start")
	}
	time.Sleep(100 * time.Millisecond)
	refused := 0
	for _, a := range stop() {
		if a.Record.Outcome == "Answered" {
			continue
		}
		require.Equal(t, "Refused", a.Record.Outcome, "%+v", a.Record)
		require.Equal(t, "ShuttingDown", a.Record.Reason)
		require.True(t, a.Record.NotRun)
		require.False(t, a.Record.RetryAt.IsZero())
		refused++
	}
	require.NotZero(t, refused)
	require.Zero(t, s.Gateways[0].CallerHandler.Running())
}

func TestCancelReachesEngine(t *testing.T) {
	o := options()
	o.Engines = 1
	o.Engine.BetweenTokensMilliseconds = 20
	s := startSite(t, o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := newClient(s.Gateways[0]).Complete(ctx, client.Completion{Class: questions, Prompt: "long", MaxTokens: 5000})
		done <- err
	}()
	tracker := s.Replicas[0].Status
	require.Eventually(t, func() bool { return tracker.Status().Running == 1 }, 2*time.Second, 5*time.Millisecond)
	cancel()
	require.Error(t, <-done)
	require.Eventually(t, func() bool { return tracker.Status().Running == 0 }, 2*time.Second, 5*time.Millisecond)
}
