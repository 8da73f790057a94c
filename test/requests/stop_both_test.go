package requests_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standinservice "almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/pkg/client"
)

// Requests that run or wait for a place, at the gateway or at an agent, must each get an
// outcome when the gateway, an agent or both are stopped; a posting one that agrees with
// what ran.
func TestStopOfGatewayAndAgentsGivesQueuedRequestsOutcomes(t *testing.T) {
	const callers, postingMS = 40, 200
	for name, stopped := range map[string][]string{
		"gateway then its agents": {"gateway", "assistant-1", "ledger-1"},
		"agents then the gateway": {"assistant-1", "ledger-1", "gateway"},
	} {
		t.Run(name, func(t *testing.T) {
			f, ctx := startProcesses(t, 2)
			setServiceFaults(t, f, standinservice.Faults{DelayMilliseconds: postingMS})
			type result struct {
				response client.Response
				err      error
				posting  string // empty: a completion
			}
			results := make(chan result, 2*callers)
			for n := range callers {
				time.Sleep(5 * time.Millisecond)
				go func() {
					posting := fmt.Sprintf(`{"posting":"%d"}`, n)
					r, err := clientOf(f, f.Gateways[0]).Call(ctx, "settlement-postings", fmt.Sprint("key-", n), []byte(posting))
					results <- result{r, err, posting}
				}()
				go func() {
					r, err := clientOf(f, f.Gateways[0]).Complete(ctx, client.Completion{Class: "auction-questions", Prompt: fmt.Sprint("long ", n), MaxTokens: 40})
					results <- result{r, err, ""}
				}()
			}
			for _, program := range stopped {
				if program == "gateway" {
					program = f.Gateways[0].Name
				}
				f.Process(program).Signal(syscall.SIGTERM)
				time.Sleep(20 * time.Millisecond)
			}
			outcomes := map[string]int{}
			for range 2 * callers {
				r := <-results
				require.NoError(t, r.err, "%s", r.posting)
				record := r.response.Record
				outcomes[record.Outcome+" "+string(record.Reason)]++
				if r.posting == "" {
					require.Contains(t, []string{"Answered", "Refused"}, record.Outcome, "%+v", record)
					continue
				}
				switch ran := countPostingRuns(t, f, r.posting); record.Outcome {
				case "Answered":
					require.Equal(t, 1, ran, r.posting)
				case "Refused":
					require.Zero(t, ran, r.posting)
				default:
					require.Fail(t, "unexpected outcome", "%s: %+v", r.posting, record)
				}
			}
			t.Log(outcomes)
			require.Greater(t, outcomes["Answered "], callers/2)
		})
	}
}
