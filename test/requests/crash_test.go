package requests_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/assembly"
	"almondreel.example/almondreel/pkg/client"
)

func deaths(s *assembly.Site) int {
	n := 0
	for _, r := range s.Replicas {
		if r.Dead() {
			n++
		}
	}
	return n
}

// sendAll sends one crashing request through all gateways, with innocents
// beside it, and returns the innocents' answers by prompt.
func sendAll(t *testing.T, s *assembly.Site, atOnce bool) map[string]client.Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]client.Answer{}
	for i := range 24 {
		group.Go(func() {
			prompt := fmt.Sprintf("innocent %d", i)
			a, err := caller(s.Gateways[i%len(s.Gateways)]).Complete(ctx, client.Completion{Class: questions, Prompt: prompt, MaxTokens: 60})
			if err != nil {
				t.Errorf("%s: %v", prompt, err)
			}
			mu.Lock()
			answers[prompt] = a
			mu.Unlock()
		})
	}
	time.Sleep(30 * time.Millisecond)
	for range 3 {
		for _, g := range s.Gateways {
			send := func() {
				_, _ = caller(g).Complete(ctx, client.Completion{Class: questions, Prompt: "poison " + crash, MaxTokens: 4})
			}
			if atOnce {
				group.Go(send)
				continue
			}
			send()
		}
	}
	group.Wait()
	return answers
}

func TestCrashingRequestCostsAtMostTwoServers(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		t.Run(fmt.Sprintf("at once %t", atOnce), func(t *testing.T) {
			o := options()
			o.Gateways, o.Engines = 3, 6
			s := start(t, o)
			answers := sendAll(t, s, atOnce)
			require.LessOrEqual(t, deaths(s), 2)
			for prompt, a := range answers {
				requireWhole(t, a, prompt, 60)
			}
			for _, g := range s.Gateways {
				a := complete(t, g, "poison "+crash, 4)
				require.Equal(t, "Refused", a.Record.Outcome)
				require.Equal(t, "Quarantined", a.Record.Reason)
				require.True(t, a.Record.NotRun)
			}
		})
	}
}
