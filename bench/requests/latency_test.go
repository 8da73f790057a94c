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

	"almondreel.example/almondreel/internal/assembly"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	enginestandin "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/pkg/client"
)

const samples = 2000

// BenchmarkAddedLatency compares the time to the first token through gateway
// and agent with that of the engine asked directly, in turns. The engine
// answers at once, so both are all overhead.
func BenchmarkAddedLatency(b *testing.B) {
	s, err := assembly.Start(assembly.Options{
		Engines: 1,
		Engine:  enginestandin.Options{Slots: 8},
		Classes: []operator.Class{{Name: class, Kind: operator.Model, Service: assembly.EngineService, Idempotent: true,
			Target: operator.Target{FirstTokenMilliseconds: targetMillis, AnswerMilliseconds: 10000}}},
		Organisations: []settings.Organisation{{Name: "north", Key: "key"}},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	b.ResetTimer()
	for range b.N {
		direct, through := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
		for i := range samples {
			record(b, direct, func() error { return firstToken(s.Replicas[0].Backend()+engine.CompletionsPath, i) })
			record(b, through, func() error { return firstToken(s.Gateways[0].URL+"/v1/completions", i) })
		}
		for _, q := range []float64{50, 99} {
			added := float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1000
			b.ReportMetric(added, fmt.Sprintf("added-p%g-ms", q))
			b.ReportMetric(float64(through.ValueAtQuantile(q))/1000, fmt.Sprintf("through-p%g-ms", q))
		}
	}
}

func record(b *testing.B, h *hdrhistogram.Histogram, do func() error) {
	b.Helper()
	began := time.Now()
	if err := do(); err != nil {
		b.Fatal(err)
	}
	_ = h.RecordValue(time.Since(began).Microseconds())
}

// firstToken returns when the first bytes of the answer's body are there. The
// rest is read outside of the time that matters: it is one token.
func firstToken(url string, n int) error {
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

// BenchmarkCrashingRequest sends one crashing request through every gateway,
// again and again, and counts the backend servers that it costs.
func BenchmarkCrashingRequest(b *testing.B) {
	for _, atOnce := range []bool{false, true} {
		b.Run(fmt.Sprintf("at-once=%t", atOnce), func(b *testing.B) {
			worst := 0
			for range b.N {
				for range 5 {
					worst = max(worst, crashOnce(b, atOnce))
				}
			}
			b.ReportMetric(float64(worst), "servers-lost-at-most")
		})
	}
}

func crashOnce(b *testing.B, atOnce bool) int {
	b.Helper()
	s := start(b, engines)
	var group sync.WaitGroup
	for range 4 {
		for _, g := range s.Gateways {
			send := func() {
				_, _ = client.New(g.URL, "key-0", nil).Complete(context.Background(), client.Completion{Class: class, Prompt: crash, MaxTokens: 2})
			}
			if atOnce {
				group.Go(send)
				continue
			}
			send()
		}
	}
	group.Wait()
	lost := 0
	for _, r := range s.Replicas {
		if r.Dead() {
			lost++
		}
	}
	return lost
}
