package requests_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondreel.example/almondreel/internal/assembly"
	"almondreel.example/almondreel/pkg/client"
)

const burst = 900 // requests at once, about five seconds of the capacity

// BenchmarkBurst sends many requests at once, whose callers come back when they
// are told to, and measures how long it takes until all are answered.
func BenchmarkBurst(b *testing.B) {
	s := start(b, engines)
	b.ResetTimer()
	for range b.N {
		transport := &http.Transport{MaxIdleConnsPerHost: burst}
		var group sync.WaitGroup
		var sent, failed atomic.Int64
		began := time.Now()
		for i := range burst {
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
		ideal := burst / capacity
		b.ReportMetric(time.Since(began).Seconds()/ideal, "time-over-ideal")
		b.ReportMetric(float64(sent.Load())/burst, "sends-each")
		b.ReportMetric(float64(failed.Load()), "failed")
	}
}

func sendUntilAnswered(s *assembly.Site, transport *http.Transport, i int) (int, bool) {
	c := client.New(s.Gateways[i%len(s.Gateways)].URL, fmt.Sprintf("key-%d", i%8), &http.Client{Transport: transport})
	for n := 1; ; n++ {
		a, err := c.Complete(context.Background(), client.Completion{Class: class, Prompt: fmt.Sprintf("burst %d", i), MaxTokens: tokens})
		if err != nil || a.Record.Outcome != "Refused" {
			return n, err == nil && a.Record.Outcome == "Answered"
		}
		time.Sleep(time.Until(a.Record.RetryAt))
	}
}
