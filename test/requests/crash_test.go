package requests_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

func countCrashes(s *testsite.Site) int {
	n := 0
	for _, r := range s.Replicas {
		if r.BackendDown() {
			n++
		}
	}
	return n
}

// sendWithCrashes sends one crashing request through all gateways while other,
// harmless requests run, and returns the answers to the harmless ones by prompt.
func sendWithCrashes(t *testing.T, s *testsite.Site, concurrent bool) map[string]client.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]client.Response{}
	for i := range 24 {
		group.Go(func() {
			prompt := fmt.Sprintf("innocent %d", i)
			a, err := newClient(s.Gateways[i%len(s.Gateways)]).Complete(ctx, client.Completion{Class: questions, Prompt: prompt, MaxTokens: 60})
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
			sendCrash := func() {
				_, _ = newClient(g).Complete(ctx, client.Completion{Class: questions, Prompt: "poison " + crashMarker, MaxTokens: 4})
			}
			if concurrent {
				group.Go(sendCrash)
				continue
			}
			sendCrash()
		}
	}
	group.Wait()
	return answers
}

func TestCrashingRequestCrashesAtMostTwoServers(t *testing.T) {
	requireTwoCrashes(t, 0)
}

// A process that ends may close its connections a while before it stops listening. Its
// death must count against the request all the same.
func TestCrashWithLateRefusalCountsAgainstRequest(t *testing.T) {
	requireTwoCrashes(t, 150)
}

func requireTwoCrashes(t *testing.T, lateRefusalMilliseconds int) {
	for _, concurrent := range []bool{false, true} {
		t.Run(fmt.Sprintf("concurrent %t", concurrent), func(t *testing.T) {
			o := options()
			o.Gateways, o.Engines, o.LateRefusalMilliseconds = 3, 6, lateRefusalMilliseconds
			s := startSite(t, o)
			answers := sendWithCrashes(t, s, concurrent)
			require.LessOrEqual(t, countCrashes(s), 2)
			for prompt, a := range answers {
				requireCompleteAnswer(t, a, prompt, 60)
			}
			for _, g := range s.Gateways {
				a := sendCompletion(t, g, "poison "+crashMarker, 4)
				require.Equal(t, "Refused", a.Record.Outcome)
				require.Equal(t, "Quarantined", a.Record.Reason)
				require.True(t, a.Record.NotRun)
			}
		})
	}
}

// Requests that share only the beginning of their prompts, which crashes every backend
// server, must not crash one server after the other. Requests that share less of it must be
// answered.
func TestSharedPromptBeginningCrashesFewServers(t *testing.T) {
	const (
		// maxSharedCrashes is the number of crashes after which the beginning is quarantined,
		// and maxLateCrashes how many may follow.
		maxSharedCrashes = 5
		maxLateCrashes   = 3
	)
	o := options()
	o.Gateways, o.Engines = 3, 12
	s := startSite(t, o)
	system := strings.Repeat("You answer questions on lots. ", 10)
	document := strings.Repeat("The lot has twelve head. ", 12) + crashMarker + strings.Repeat(" Prices are in dollars.", 12)
	for n := range 18 {
		g := s.Gateways[n%len(s.Gateways)]
		a := sendCompletion(t, g, fmt.Sprint(system, document, " Question ", n), 4)
		require.NotEqual(t, "Answered", a.Record.Outcome)
		prompt := fmt.Sprint(system, "Another lot. Question ", n)
		requireCompleteAnswer(t, sendCompletion(t, s.Gateways[(n+1)%len(s.Gateways)], prompt, 10), prompt, 10)
	}
	require.LessOrEqual(t, countCrashes(s), maxSharedCrashes+maxLateCrashes)
}
