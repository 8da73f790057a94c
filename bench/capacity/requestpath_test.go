package capacity_test

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"almondreel.example/almondreel/internal/operator"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

const (
	pathCallers = 32
	pathTokens  = 400
)

// BenchmarkRequestPath runs gateway, agents and engines in one process for profiling
// with -cpuprofile and -memprofile. The profile includes the callers and the stand-ins.
func BenchmarkRequestPath(b *testing.B) {
	klog.LogToStderr(false)
	target := operator.Target{Replicas: engines, FirstTokenMilliseconds: 2000, AnswerMilliseconds: 30_000}
	site, err := testsite.Start(testsite.Options{
		Engines:       engines,
		Engine:        standinengine.Options{FirstTokenMilliseconds: 1, BetweenTokensMilliseconds: tokenMilliseconds, Slots: pathCallers},
		Classes:       []operator.Class{{Name: modelClass, Kind: operator.Model, Service: testsite.EngineService, Idempotent: true, Target: target}},
		Organisations: organisations(),
	})
	require.NoError(b, err)
	defer site.Close()
	c := client.New(site.Gateways[0].URL, organisations()[0].Key, nil)
	b.ReportAllocs()
	tokens := 0
	for b.Loop() {
		tokens += completeAll(b, c)
	}
	b.ReportMetric(float64(tokens)/b.Elapsed().Seconds(), "tokens/s")
}

// completeAll sends one request from each caller concurrently and returns the number of
// tokens received.
func completeAll(b *testing.B, c *client.Client) int {
	tokenCounts := make([]int, pathCallers)
	var group sync.WaitGroup
	for i := range pathCallers {
		group.Go(func() {
			a, err := c.Complete(context.Background(), client.Completion{Class: modelClass, Prompt: "lot", MaxTokens: pathTokens})
			if err == nil && a.Record.Outcome == "Answered" {
				tokenCounts[i] = len(a.Tokens)
			}
		})
	}
	group.Wait()
	sum := 0
	for _, n := range tokenCounts {
		require.Equal(b, pathTokens, n)
		sum += n
	}
	return sum
}
