// Package requests_test measures the request path: goodput under overload,
// fairness, the gateway's added latency, retries and the cost of a crash.
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

	"almondreel.example/almondreel/internal/assembly"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	enginestandin "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/pkg/client"
)

const (
	class        = "questions"
	crash        = "!crash!"
	targetMillis = 540
	tokens       = 8
	firstMillis  = 60
	nextMillis   = 10
	slots        = 4
	engines      = 6
	gateways     = 2
	measured     = 8 * time.Second
	warmUp       = 3 * time.Second
)

// capacity is the requests a second that the engines can answer: each takes
// firstMillis and then nextMillis for each further token.
const capacity = engines * slots * 1000.0 / (firstMillis + (tokens-1)*nextMillis)

func start(b *testing.B, engineCount int) *assembly.Site {
	b.Helper()
	organisations := make([]settings.Organisation, 8)
	for i := range organisations {
		organisations[i] = settings.Organisation{Name: fmt.Sprintf("organisation-%d", i), Key: fmt.Sprintf("key-%d", i)}
	}
	s, err := assembly.Start(assembly.Options{
		Gateways: gateways, Engines: engineCount,
		Engine: enginestandin.Options{FirstTokenMilliseconds: firstMillis, BetweenTokensMilliseconds: nextMillis, Slots: slots, CrashMarker: crash},
		Classes: []operator.Class{{Name: class, Kind: operator.Model, Service: assembly.EngineService, Idempotent: true,
			Target: operator.Target{FirstTokenMilliseconds: targetMillis, BetweenTokensMilliseconds: 52, AnswerMilliseconds: 10000}}},
		Organisations: organisations,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	return s
}

// result counts what callers saw in the measured time.
type result struct {
	mu        sync.Mutex
	first     *hdrhistogram.Histogram // microseconds to the first token of answered requests
	answered  map[int]int             // by organisation
	sent      int
	refused   int
	otherwise int
}

func newResult() *result {
	return &result{first: hdrhistogram.New(1, 60_000_000, 3), answered: map[int]int{}}
}

func (r *result) add(organisation int, began time.Time, a client.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	switch {
	case err == nil && a.Record.Outcome == "Answered":
		r.answered[organisation]++
		_ = r.first.RecordValue(a.FirstTokenAt.Sub(began).Microseconds())
	case err == nil && a.Record.Outcome == "Refused":
		r.refused++
	default:
		r.otherwise++
	}
}

func (r *result) goodput() float64 {
	n := 0
	for _, k := range r.answered {
		n += k
	}
	return float64(n) / measured.Seconds()
}

// offer sends rates[i] requests a second of organisation i, at even distances,
// whether or not earlier ones were answered, and measures after a warm-up.
func offer(s *assembly.Site, rates []float64) *result {
	r := newResult()
	transport := &http.Transport{MaxIdleConnsPerHost: 4096}
	defer transport.CloseIdleConnections()
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(warmUp+measured))
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
					group.Go(func() { sendOne(s, transport, i, n, at.Sub(began) > warmUp, r) })
				}
			}
		})
	}
	group.Wait()
	return r
}

func sendOne(s *assembly.Site, transport *http.Transport, organisation, n int, counts bool, r *result) {
	c := client.New(s.Gateways[n%len(s.Gateways)].URL, fmt.Sprintf("key-%d", organisation), &http.Client{Transport: transport})
	began := time.Now()
	a, err := c.Complete(context.Background(), client.Completion{Class: class, Prompt: fmt.Sprintf("lot %d of the sale", n), MaxTokens: tokens})
	if counts {
		r.add(organisation, began, a, err)
	}
}

func even(total float64) []float64 {
	rates := make([]float64, 8)
	for i := range rates {
		rates[i] = total / 8
	}
	return rates
}

// BenchmarkOverload offers 0.5, 1, 2 and 4 times the engines' capacity.
func BenchmarkOverload(b *testing.B) {
	for _, times := range []float64{0.5, 1, 2, 4} {
		b.Run(fmt.Sprintf("%gx", times), func(b *testing.B) {
			s := start(b, engines)
			b.ResetTimer()
			for range b.N {
				r := offer(s, even(times*capacity))
				b.ReportMetric(r.goodput(), "answers/s")
				b.ReportMetric(r.goodput()/capacity, "of-capacity")
				b.ReportMetric(float64(r.first.ValueAtQuantile(95))/1000, "p95-first-token-ms")
				b.ReportMetric(float64(r.refused)/float64(r.sent), "refused-share")
				b.ReportMetric(float64(r.otherwise), "neither")
				b.ReportMetric(retryShare(s), "retry-share")
			}
		})
	}
}

func retryShare(s *assembly.Site) float64 {
	var requests, retries int64
	for _, g := range s.Gateways {
		a, b := g.Dispatcher.Retries(class)
		requests += a
		retries += b
	}
	return float64(retries) / float64(max(1, requests))
}

// BenchmarkGreedyOrganisation lets each of eight organisations offer its share
// of 0.9 of the capacity, and then one of them ten times that.
func BenchmarkGreedyOrganisation(b *testing.B) {
	share := 0.9 * capacity / 8
	var alone float64
	for _, greedy := range []bool{false, true} {
		b.Run(fmt.Sprintf("greedy=%t", greedy), func(b *testing.B) {
			s := start(b, engines)
			rates := even(8 * share)
			if greedy {
				rates[0] = 10 * share
			}
			b.ResetTimer()
			for range b.N {
				r := offer(s, rates)
				others := 0
				for i, n := range r.answered {
					if i != 0 {
						others += n
					}
				}
				kept := float64(others) / measured.Seconds()
				if !greedy {
					alone = kept
				}
				b.ReportMetric(kept, "others-answers/s")
				b.ReportMetric(kept/alone, "others-kept")
				b.ReportMetric(float64(r.answered[0])/measured.Seconds(), "greedy-answers/s")
				b.ReportMetric(float64(r.first.ValueAtQuantile(95))/1000, "p95-first-token-ms")
			}
		})
	}
}
