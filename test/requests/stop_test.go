package requests_test

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/pkg/client"
)

// longCompletion takes about a second.
var longCompletion = client.Completion{Class: "auction-questions", Prompt: "long", MaxTokens: 60}

type completionResult struct {
	response client.Response
	err      error
}

// startCompletions sends n long completions through a gateway and returns their results
// on a channel once they are in progress.
func startCompletions(ctx context.Context, f *fleet.Fleet, g fleet.Gateway, n int) <-chan completionResult {
	results := make(chan completionResult, n)
	for range n {
		go func() {
			response, err := clientOf(f, g).Complete(ctx, longCompletion)
			results <- completionResult{response, err}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	return results
}

func requireAnswered(t *testing.T, results <-chan completionResult, n int) {
	t.Helper()
	for range n {
		r := <-results
		require.NoError(t, r.err)
		require.Equal(t, "Answered", r.response.Record.Outcome, "%+v", r.response.Record)
		require.Len(t, r.response.Tokens, longCompletion.MaxTokens)
	}
}

// A hangup or a second stop signal ended a gateway or an agent at once, in the middle of
// its completions.
func TestRepeatedSignalsInterruptNoCompletion(t *testing.T) {
	f, ctx := startProcesses(t, 1)
	signals := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}
	for _, name := range []string{f.Gateways[0].Name, "assistant-1"} {
		results := startCompletions(ctx, f, f.Gateways[0], 3)
		stopped := f.Process(name)
		for _, s := range signals {
			stopped.Signal(s)
			time.Sleep(50 * time.Millisecond)
		}
		requireAnswered(t, results, 3)
		select {
		case <-stopped.Ended():
		case <-time.After(10 * time.Second):
			require.Fail(t, "not ended within 10 s of the first stop signal", name)
		}
		require.NoError(t, stopped.Start())
		waitUntilServing(ctx, t, f)
	}
}

// waitUntilServing waits until the first gateway answers completions.
func waitUntilServing(ctx context.Context, t *testing.T, f *fleet.Fleet) {
	t.Helper()
	require.Eventually(t, func() bool {
		r, err := clientOf(f, f.Gateways[0]).Complete(ctx, client.Completion{Class: "auction-questions", Prompt: "ready?", MaxTokens: 1})
		return err == nil && r.Record.Outcome == "Answered"
	}, 20*time.Second, 50*time.Millisecond)
}

// startWithPipe starts a process that has ended again, with its output in a pipe, and
// returns the end to read it from. The process is killed when the test ends.
func startWithPipe(t *testing.T, f *fleet.Fleet, name string) (*exec.Cmd, *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _ = reader.Close() }) // a test may have closed it
	command := f.Process(name).Command()
	command.Stdout, command.Stderr = writer, writer
	require.NoError(t, command.Start())
	require.NoError(t, writer.Close())
	t.Cleanup(func() { _ = command.Process.Kill() }) // it may have ended
	return command, reader
}

// A gateway whose log nobody read any more ended at its next log line, in the middle of
// its completions.
func TestGatewayOutlivesReaderOfItsLog(t *testing.T) {
	f, ctx := startProcesses(t, 1)
	f.Process(f.Gateways[0].Name).Terminate()
	gateway, reader := startWithPipe(t, f, f.Gateways[0].Name)
	waitUntilServing(ctx, t, f)
	results := startCompletions(ctx, f, f.Gateways[0], 3)
	require.NoError(t, reader.Close())
	require.NoError(t, gateway.Process.Signal(syscall.SIGTERM)) // its drain writes log lines
	requireAnswered(t, results, 3)
	require.NoError(t, gateway.Wait())
}

// A gateway whose log reader stalled stopped answering, and did not end when it was
// stopped.
func TestGatewayWithStalledLogReaderAnswersAndStops(t *testing.T) {
	f, ctx := startProcesses(t, 1)
	f.Process(f.Gateways[0].Name).Terminate()
	gateway, _ := startWithPipe(t, f, f.Gateways[0].Name)
	waitUntilServing(ctx, t, f)
	unknown := client.Completion{Class: "no-such-class", Prompt: "x", MaxTokens: 1}
	const refusals = 800 // each writes a log line; together they exceed a pipe's buffer
	for range refusals {
		refusalCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		_, err := clientOf(f, f.Gateways[0]).Complete(refusalCtx, unknown)
		cancel()
		require.NoError(t, err)
	}
	results := startCompletions(ctx, f, f.Gateways[0], 3)
	require.NoError(t, gateway.Process.Signal(syscall.SIGTERM))
	requireAnswered(t, results, 3)
	ended := make(chan error, 1)
	go func() { ended <- gateway.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(15 * time.Second):
		require.Fail(t, "the gateway did not end")
	}
}
