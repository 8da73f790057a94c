package requests_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

const burstSize = 900 // requests sent at once, about five seconds of the engines' capacity

// BenchmarkBurst sends many requests at once and measures the time until all are
// answered. Callers of refused requests retry at the time that the gateway gave them.
func BenchmarkBurst(b *testing.B) {
	s := startSite(b, engines)
	b.ResetTimer()
	for range b.N {
		transport := &http.Transport{MaxIdleConnsPerHost: burstSize}
		var group sync.WaitGroup
		var sent, failed atomic.Int64
		startTime := time.Now()
		for i := range burstSize {
			group.Go(func() {
				n, ok := sendUntilAnswered(s, transport, i)
				sent.Add(int64(n))
				if !ok {
					failed.Add(1)
				}
			})
		}
		group.Wait()
		transport.CloseIdleConnections()
		idealSeconds := burstSize / capacity
		b.ReportMetric(time.Since(startTime).Seconds()/idealSeconds, "time-over-ideal")
		b.ReportMetric(float64(sent.Load())/burstSize, "sends-each")
		b.ReportMetric(float64(failed.Load()), "failed")
	}
}

func sendUntilAnswered(s *testsite.Site, transport *http.Transport, i int) (int, bool) {
	c := client.New(s.Gateways[i%len(s.Gateways)].URL, fmt.Sprintf("key-%d", i%8), &http.Client{Transport: transport})
	for n := 1; ; n++ {
		a, err := c.Complete(context.Background(), client.Completion{Class: class, Prompt: fmt.Sprintf("burst %d", i), MaxTokens: tokens})
		if err != nil || a.Record.Outcome != "Refused" {
			return n, err == nil && a.Record.Outcome == "Answered"
		}
		time.Sleep(time.Until(a.Record.RetryAt))
	}
}
