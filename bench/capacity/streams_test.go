package capacity_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/pkg/client"
)

const (
	slowTokenMilliseconds = 500 // milliseconds between tokens
	streamTokens          = 40
	streamsSettleTime     = 8 * time.Second
)

// BenchmarkStreams prints the memory of a gateway and of an agent with different numbers
// of open streams.
func BenchmarkStreams(b *testing.B) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "streams\tgateway RSS MB\tgateway anon MB\tagent RSS MB\tagent anon MB\t")
	for _, n := range []int{0, 200, 600} {
		f := startServing(b, requestSite(slowTokenMilliseconds, 512))
		ctx, cancel := context.WithCancel(context.Background())
		group := openStreams(ctx, f, n)
		time.Sleep(streamsSettleTime)
		roles := daemonsByRole(f)
		var columns []any
		for _, roleDaemons := range roles {
			resident, _ := memory(b, roleDaemons, "VmRSS")
			anonymous, _ := memory(b, roleDaemons, "RssAnon")
			columns = append(columns, resident, anonymous)
		}
		fmt.Fprintf(w, "%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", append([]any{runningRequests(f)}, columns...)...)
		cancel()
		group.Wait()
		_ = f.Stop()
	}
	_ = w.Flush()
}

func openStreams(ctx context.Context, f *fleet.Fleet, n int) *sync.WaitGroup {
	c := client.New("http://"+f.Gateways[0].CallerAddress, organisations()[0].Key, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}})
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			prompt := fmt.Sprintf("caller %d: lot and last sale?", i)
			for ctx.Err() == nil {
				if _, err := c.Complete(ctx, client.Completion{Class: modelClass, Prompt: prompt, MaxTokens: streamTokens}); err == nil {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	return &group
}

// runningRequests returns the sum of the requests in progress that the agents report.
func runningRequests(f *fleet.Fleet) int {
	sum := 0
	for _, a := range f.Backends {
		var s serving.Status
		if fleet.GetJSON(context.Background(), "http://"+a.AgentAddress+serving.Path, &s) == nil {
			sum += s.Running
		}
	}
	return sum
}
