package requests_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

const sampleCount = 2000

// BenchmarkAddedLatency compares the time to the first token through gateway and agent
// with that of requests sent directly to the engine, alternating between the two. The
// engine responds without delay, so both times are pure overhead.
func BenchmarkAddedLatency(b *testing.B) {
	s, err := testsite.Start(testsite.Options{
		Engines: 1,
		Engine:  standinengine.Options{Slots: 8},
		Classes: []operator.Class{{Name: class, Kind: operator.Model, Service: testsite.EngineService, Idempotent: true,
			Target: operator.Target{FirstTokenMilliseconds: targetMilliseconds, AnswerMilliseconds: 10000}}},
		Organisations: []settings.Organisation{{Name: "north", Key: "key"}},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	b.ResetTimer()
	for range b.N {
		direct, viaGateway := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
		for i := range sampleCount {
			record(b, direct, func() error { return requestOneToken(s.Replicas[0].Backend()+engine.CompletionsPath, i) })
			record(b, viaGateway, func() error { return requestOneToken(s.Gateways[0].URL+"/v1/completions", i) })
		}
		for _, q := range []float64{50, 99} {
			added := float64(viaGateway.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1000
			b.ReportMetric(added, fmt.Sprintf("added-p%g-ms", q))
			b.ReportMetric(float64(viaGateway.ValueAtQuantile(q))/1000, fmt.Sprintf("through-p%g-ms", q))
		}
	}
}

func record(b *testing.B, h *hdrhistogram.Histogram, request func() error) {
	b.Helper()
	startTime := time.Now()
	if err := request(); err != nil {
		b.Fatal(err)
	}
	_ = h.RecordValue(time.Since(startTime).Microseconds())
}

// requestOneToken sends a request for one token and returns when the response has been
// read. As the response is a single token, this is the time to the first token.
func requestOneToken(url string, n int) error {
	body, err := json.Marshal(map[string]any{"model": class, "prompt": fmt.Sprintf("lot %d", n), "max_tokens": 1, "stream": true})
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer key")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// BenchmarkCrashingRequest sends a request that crashes backend servers repeatedly
// through every gateway and reports the maximum number of servers that it crashes.
func BenchmarkCrashingRequest(b *testing.B) {
	for _, atOnce := range []bool{false, true} {
		b.Run(fmt.Sprintf("at-once=%t", atOnce), func(b *testing.B) {
			maxCrashed := 0
			for range b.N {
				for range 5 {
					maxCrashed = max(maxCrashed, countCrashedServers(b, atOnce))
				}
			}
			b.ReportMetric(float64(maxCrashed), "servers-lost-at-most")
		})
	}
}

func countCrashedServers(b *testing.B, atOnce bool) int {
	b.Helper()
	s := startSite(b, engines)
	var group sync.WaitGroup
	for range 4 {
		for _, g := range s.Gateways {
			send := func() {
				_, _ = client.New(g.URL, "key-0", nil).Complete(context.Background(), client.Completion{Class: class, Prompt: crashPrompt, MaxTokens: 2})
			}
			if atOnce {
				group.Go(send)
				continue
			}
			send()
		}
	}
	group.Wait()
	crashed := 0
	for _, r := range s.Replicas {
		if r.BackendDown() {
			crashed++
		}
	}
	return crashed
}
