package requests_test

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/standin"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/pkg/client"
)

// A gateway that had paused took the tokens that it had not read yet for the silence of
// all its agents, and left them.
func TestPausedGatewayDoesNotLeaveItsAgents(t *testing.T) {
	const (
		streams = 8
		tokens  = 40
		begun   = 250 * time.Millisecond
		pause   = 1700 * time.Millisecond
	)
	f, ctx := startProcesses(t, 3)
	for _, b := range f.Backends {
		if b.Service.Name == "assistant" {
			require.NoError(t, fleet.Put(ctx, "http://"+b.Address+standin.FaultsPath, standinengine.Faults{StallMilliseconds: 500}))
		}
	}
	answers := make(chan client.Response, streams)
	for n := range streams {
		go func() {
			a, err := clientOf(f, f.Gateways[0]).Complete(ctx, client.Completion{Class: "auction-questions", Prompt: fmt.Sprint("lot ", n), MaxTokens: tokens})
			if err != nil {
				t.Errorf("completion: %v", err)
			}
			answers <- a
		}()
	}
	time.Sleep(begun)
	f.Process(f.Gateways[0].Name).Signal(syscall.SIGSTOP)
	time.Sleep(pause)
	f.Process(f.Gateways[0].Name).Signal(syscall.SIGCONT)
	for range streams {
		a := <-answers
		require.Equal(t, "Answered", a.Record.Outcome, "%+v", a.Record)
		require.Len(t, a.Tokens, tokens)
	}
	response, err := http.Get("http://" + f.Gateways[0].ControlAddress + "/metrics")
	require.NoError(t, err)
	metrics, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Contains(t, string(metrics), "StallChecksLate")
	require.NotContains(t, string(metrics), "SuccessorsStarted")
	require.NotContains(t, string(metrics), "Retried")
}
