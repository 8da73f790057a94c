package requests_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/assembly"
	"almondreel.example/almondreel/pkg/client"
)

// load keeps callers busy until stop is called, and returns their answers then.
func load(t *testing.T, s *assembly.Site, callers int) (stop func() []client.Answer) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []client.Answer
	for i := range callers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("caller %d asks %d", i, n)
				a, err := caller(s.Gateways[i%len(s.Gateways)]).Complete(context.Background(), client.Completion{Class: questions, Prompt: prompt, MaxTokens: 30})
				if err != nil {
					t.Errorf("%s: %v", prompt, err)
				}
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	return func() []client.Answer {
		cancel()
		group.Wait()
		return answers
	}
}

func TestDrainOfAnAgentCutsNothing(t *testing.T) {
	o := options()
	o.Gateways = 2
	s := start(t, o)
	stop := load(t, s, 12)
	time.Sleep(200 * time.Millisecond)
	leaving := s.Replicas[0]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	leaving.Door.Drain(ctx)
	require.NoError(t, ctx.Err())
	for range 20 {
		require.Zero(t, leaving.Board.Status().Running, "a leaving agent runs nothing new")
		time.Sleep(10 * time.Millisecond)
	}
	answers := stop()
	require.NotEmpty(t, answers)
	for _, a := range answers {
		require.Equal(t, "Answered", a.Record.Outcome, "%+v", a.Record)
	}
}

func TestShutdownOfAGatewayCutsNothing(t *testing.T) {
	o := options()
	o.Gateways = 2
	s := start(t, o)
	stop := load(t, s, 12)
	time.Sleep(200 * time.Millisecond)
	select {
	case <-s.Gateways[0].Front.Close():
	case <-time.After(5 * time.Second):
		require.Fail(t, "requests in progress did not end")
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
	require.Zero(t, s.Gateways[0].Front.Running())
}

func TestCancelReachesTheEngine(t *testing.T) {
	o := options()
	o.Engines = 1
	o.Engine.BetweenTokensMilliseconds = 20
	s := start(t, o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := caller(s.Gateways[0]).Complete(ctx, client.Completion{Class: questions, Prompt: "long", MaxTokens: 5000})
		done <- err
	}()
	board := s.Replicas[0].Board
	require.Eventually(t, func() bool { return board.Status().Running == 1 }, 2*time.Second, 5*time.Millisecond)
	cancel()
	require.Error(t, <-done)
	require.Eventually(t, func() bool { return board.Status().Running == 0 }, 2*time.Second, 5*time.Millisecond)
}
