// Package requests_test measures the request path: goodput under overload, fairness
// between organisations, added latency, retries, and the backend servers lost to a
// request that crashes them.
package requests_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

const (
	class                     = "questions"
	crashPrompt               = "!crash!"
	targetMilliseconds        = 540
	tokens                    = 8
	firstTokenMilliseconds    = 60
	betweenTokensMilliseconds = 10
	slots                     = 4
	engines                   = 6
	gateways                  = 2
	measureTime               = 8 * time.Second
	warmUp                    = 3 * time.Second
)

// capacity is the number of requests per second that the engines can complete: each
// request holds a slot for firstTokenMilliseconds and then betweenTokensMilliseconds for
// each further token.
const capacity = engines * slots * 1000.0 / (firstTokenMilliseconds + (tokens-1)*betweenTokensMilliseconds)

func startSite(b *testing.B, engineCount int) *testsite.Site {
	b.Helper()
	organisations := make([]settings.Organisation, 8)
	for i := range organisations {
		organisations[i] = settings.Organisation{Name: fmt.Sprintf("organisation-%d", i), Key: fmt.Sprintf("key-%d", i)}
	}
	s, err := testsite.Start(testsite.Options{
		Gateways: gateways, Engines: engineCount,
		Engine: standinengine.Options{FirstTokenMilliseconds: firstTokenMilliseconds, BetweenTokensMilliseconds: betweenTokensMilliseconds, Slots: slots, CrashMarker: crashPrompt},
		Classes: []operator.Class{{Name: class, Kind: operator.Model, Service: testsite.EngineService, Idempotent: true,
			Target: operator.Target{FirstTokenMilliseconds: targetMilliseconds, BetweenTokensMilliseconds: 52, AnswerMilliseconds: 10000}}},
		Organisations: organisations,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	return s
}

// result counts the outcomes of the requests sent during measureTime.
type result struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram // microseconds to the first token of answered requests
	answered   map[int]int             // answered requests by organisation
	sent       int
	refused    int
	failed     int
}

func newResult() *result {
	return &result{firstToken: hdrhistogram.New(1, 60_000_000, 3), answered: map[int]int{}}
}

func (r *result) add(organisation int, startTime time.Time, a client.Response, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	switch {
	case err == nil && a.Record.Outcome == "Answered":
		r.answered[organisation]++
		_ = r.firstToken.RecordValue(a.FirstTokenAt.Sub(startTime).Microseconds())
	case err == nil && a.Record.Outcome == "Refused":
		r.refused++
	default:
		r.failed++
	}
}

func (r *result) goodput() float64 {
	n := 0
	for _, k := range r.answered {
		n += k
	}
	return float64(n) / measureTime.Seconds()
}

// offerLoad sends rates[i] requests per second for organisation i at even intervals,
// without waiting for earlier responses (open loop), and measures after warmUp.
func offerLoad(s *testsite.Site, rates []float64) *result {
	r := newResult()
	transport := &http.Transport{MaxIdleConnsPerHost: 4096}
	defer transport.CloseIdleConnections()
	startTime := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), startTime.Add(warmUp+measureTime))
	defer cancel()
	var group sync.WaitGroup
	var sequence atomic.Int64
	for i, rate := range rates {
		if rate == 0 {
			continue
		}
		group.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case at := <-ticker.C:
					n := int(sequence.Add(1))
					group.Go(func() { sendOne(s, transport, i, n, at.Sub(startTime) > warmUp, r) })
				}
			}
		})
	}
	group.Wait()
	return r
}

func sendOne(s *testsite.Site, transport *http.Transport, organisation, n int, measured bool, r *result) {
	c := client.New(s.Gateways[n%len(s.Gateways)].URL, fmt.Sprintf("key-%d", organisation), &http.Client{Transport: transport})
	startTime := time.Now()
	a, err := c.Complete(context.Background(), client.Completion{Class: class, Prompt: fmt.Sprintf("lot %d of the sale", n), MaxTokens: tokens})
	if measured {
		r.add(organisation, startTime, a, err)
	}
}

func evenRates(total float64) []float64 {
	rates := make([]float64, 8)
	for i := range rates {
		rates[i] = total / 8
	}
	return rates
}

// BenchmarkOverload offers 0.5, 1, 2 and 4 times the engines' capacity and reports
// goodput, latency and the shares of refusals and retries.
func BenchmarkOverload(b *testing.B) {
	for _, factor := range []float64{0.5, 1, 2, 4} {
		b.Run(fmt.Sprintf("%gx", factor), func(b *testing.B) {
			s := startSite(b, engines)
			b.ResetTimer()
			for range b.N {
				r := offerLoad(s, evenRates(factor*capacity))
				b.ReportMetric(r.goodput(), "answers/s")
				b.ReportMetric(r.goodput()/capacity, "of-capacity")
				b.ReportMetric(float64(r.firstToken.ValueAtQuantile(95))/1000, "p95-first-token-ms")
				b.ReportMetric(float64(r.refused)/float64(r.sent), "refused-share")
				b.ReportMetric(float64(r.failed), "neither")
				b.ReportMetric(retryShare(s), "retry-share")
			}
		})
	}
}

func retryShare(s *testsite.Site) float64 {
	var requests, retries int64
	for _, g := range s.Gateways {
		a, b := g.Dispatcher.Retries(class)
		requests += a
		retries += b
	}
	return float64(retries) / float64(max(1, requests))
}

// BenchmarkGreedyOrganisation offers 0.9 of the capacity in equal shares from eight
// organisations, then again with one of them at ten times its share, and reports how
// much of their goodput the others keep.
func BenchmarkGreedyOrganisation(b *testing.B) {
	share := 0.9 * capacity / 8
	var baseline float64
	for _, greedy := range []bool{false, true} {
		b.Run(fmt.Sprintf("greedy=%t", greedy), func(b *testing.B) {
			s := startSite(b, engines)
			rates := evenRates(8 * share)
			if greedy {
				rates[0] = 10 * share
			}
			b.ResetTimer()
			for range b.N {
				r := offerLoad(s, rates)
				others := 0
				for i, n := range r.answered {
					if i != 0 {
						others += n
					}
				}
				othersRate := float64(others) / measureTime.Seconds()
				if !greedy {
					baseline = othersRate
				}
				b.ReportMetric(othersRate, "others-answers/s")
				b.ReportMetric(othersRate/baseline, "others-kept")
				b.ReportMetric(float64(r.answered[0])/measureTime.Seconds(), "greedy-answers/s")
				b.ReportMetric(float64(r.firstToken.ValueAtQuantile(95))/1000, "p95-first-token-ms")
			}
		})
	}
}
