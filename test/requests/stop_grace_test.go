package requests_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/fleet"
	standinservice "almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/pkg/client"
)

// restartWithGrace restarts the first gateway with a grace period in its settings.
func restartWithGrace(ctx context.Context, t *testing.T, f *fleet.Fleet, grace time.Duration) {
	t.Helper()
	gateway := f.Process(f.Gateways[0].Name)
	arguments := gateway.Command().Args
	file := arguments[len(arguments)-1]
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	const setting = "GraceSeconds: "
	require.Contains(t, string(text), setting+"0\n")
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(text), setting+"0", setting+fmt.Sprint(grace.Seconds()), 1)), 0o600))
	gateway.Terminate()
	require.NoError(t, gateway.Start())
	waitUntilServing(ctx, t, f)
}

// A platform that kills a gateway after its grace period cut the requests that were in
// progress, without an answer.
func TestRequestsThatOutlastGatewayGetFinalOutcome(t *testing.T) {
	const calls = 4
	for _, grace := range []time.Duration{time.Second, 4 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			f, ctx := startProcesses(t, 1)
			restartWithGrace(ctx, t, f, grace)
			setServiceFaults(t, f, standinservice.Faults{DelayMilliseconds: 2 * int(grace.Milliseconds())})
			type result struct {
				response client.Response
				err      error
				stream   bool
			}
			results := make(chan result, 2*calls)
			for n := range calls {
				go func() {
					r, err := clientOf(f, f.Gateways[0]).Call(ctx, "settlement-postings", fmt.Sprint("key-", n), []byte(fmt.Sprintf(`{"posting":"%d"}`, n)))
					results <- result{r, err, false}
				}()
				go func() {
					r, err := clientOf(f, f.Gateways[0]).Complete(ctx, client.Completion{Class: "auction-questions", Prompt: fmt.Sprint("long ", n), MaxTokens: 5000})
					results <- result{r, err, true}
				}()
			}
			time.Sleep(300 * time.Millisecond)
			gateway := f.Process(f.Gateways[0].Name)
			gateway.Signal(syscall.SIGTERM)
			killed := false
			select {
			case <-gateway.Ended():
			case <-time.After(grace):
				killed = true
				gateway.Kill()
			}
			for range 2 * calls {
				r := <-results
				require.NoError(t, r.err)
				require.Equal(t, "ShuttingDown", r.response.Record.Reason, "%+v", r.response.Record)
				switch {
				case r.response.Record.NotRun:
					require.Equal(t, "Refused", r.response.Record.Outcome)
				case r.stream:
					require.Contains(t, []string{"Failed", "Unknown"}, r.response.Record.Outcome)
				default:
					require.Equal(t, "Unknown", r.response.Record.Outcome)
				}
			}
			require.False(t, killed, "the gateway did not end within its grace period")
		})
	}
}
