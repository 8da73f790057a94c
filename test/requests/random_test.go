package requests_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/serving"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/standin/faultproxy"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
	standinservice "almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

func soakSeed(t *testing.T) uint64 {
	t.Helper()
	n := uint64(time.Now().UnixNano())
	if text := os.Getenv("SEED"); text != "" {
		var err error
		n, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	t.Logf("SEED=%d", n)
	return n
}

// postingRecords holds the outcome records that callers got, by idempotency key.
type postingRecords struct {
	mu    sync.Mutex
	byKey map[string][]client.Record
}

func (p *postingRecords) add(key string, r client.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byKey[key] = append(p.byKey[key], r)
}

// TestSoakOfRandomFaults injects random faults between all processes under random
// requests. A violated invariant panics in tests. At the end the outcomes that
// callers got are compared with the services' journals. SOAK=1 runs two minutes
// instead of six seconds; SEED=n repeats a run.
func TestSoakOfRandomFaults(t *testing.T) {
	length := 6 * time.Second
	if os.Getenv("SOAK") != "" {
		length = 2 * time.Minute
	}
	rng := rand.New(rand.NewPCG(soakSeed(t), 1))
	o := options()
	o.Gateways, o.Engines, o.Services = 3, 5, 3
	s := startSite(t, o)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var group sync.WaitGroup
	reported := &postingRecords{byKey: map[string][]client.Record{}}
	for i := range 12 {
		completionRand, postingSeed := rand.New(rand.NewPCG(rng.Uint64(), uint64(i))), rng.Uint64()
		group.Go(func() { sendCompletions(ctx, t, s, completionRand) })
		group.Go(func() { sendPostings(ctx, t, s, postingSeed, reported) })
	}
	for ctx.Err() == nil {
		injectFault(s, rng)
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
	clearFaults(s)
	group.Wait()
	checkPostings(t, s, reported)
}

func sendCompletions(ctx context.Context, t *testing.T, s *testsite.Site, r *rand.Rand) {
	for ctx.Err() == nil {
		prompt := fmt.Sprintf("lot %d", r.IntN(1000))
		tokens := 1 + r.IntN(30)
		a, err := newClient(s.Gateways[r.IntN(len(s.Gateways))]).Complete(context.Background(), client.Completion{Class: questions, Prompt: prompt, MaxTokens: tokens})
		if err != nil {
			t.Errorf("%s: %v", prompt, err)
			return
		}
		if a.Record.Outcome == "Answered" && !isCompleteAnswer(a, prompt, tokens) {
			t.Errorf("%s: outcome is Answered, but got %d of %d tokens or wrong ones", prompt, len(a.Tokens), tokens)
		}
		if a.Record.NotRun && len(a.Tokens) > 0 {
			t.Errorf("%s: outcome says not run, but got %d tokens", prompt, len(a.Tokens))
		}
	}
}

func isCompleteAnswer(a client.Response, prompt string, tokens int) bool {
	text := ""
	for i, k := range a.Tokens {
		if k.Index != i || k.Digest != string(testsite.Digest) {
			return false
		}
		text += k.Text
	}
	return text == standinengine.CompletionText(testsite.Digest, prompt, tokens)
}

func sendPostings(ctx context.Context, t *testing.T, s *testsite.Site, seed uint64, reported *postingRecords) {
	r := rand.New(rand.NewPCG(seed, 2))
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("%d-%d", seed, n)
		for range 1 + r.IntN(3) {
			a, err := newClient(s.Gateways[r.IntN(len(s.Gateways))]).Call(context.Background(), postings, key, []byte(fmt.Sprintf(`{"posting":%q}`, key)))
			if err != nil {
				t.Errorf("%s: %v", key, err)
				return
			}
			reported.add(key, a.Record)
		}
	}
}

// injectFault sets or clears one random fault.
func injectFault(s *testsite.Site, r *rand.Rand) {
	replica := s.Replicas[r.IntN(len(s.Replicas))]
	route := replica.ToAgent
	if r.IntN(2) == 0 {
		route = replica.ToBackend
	}
	switch r.IntN(9) {
	case 0:
		_ = route.Set(faultproxy.Faults{ToTarget: faultproxy.CutAfter{Bytes: int64(r.IntN(1500))}})
	case 1:
		_ = route.Set(faultproxy.Faults{ToCaller: faultproxy.CutAfter{Bytes: int64(r.IntN(1500))}})
	case 2:
		_ = route.Set(faultproxy.Faults{Refuse: true})
	case 3:
		_ = route.Set(faultproxy.Faults{ToCaller: faultproxy.Delay{Milliseconds: r.IntN(100)}})
	case 4:
		s.KeyValue.SetFaults(standinkv.Faults{Down: r.IntN(4) == 0, LoseAnswersOneIn: r.IntN(4), LateWriteMilliseconds: 20 * r.IntN(3), StaleReads: r.IntN(3) == 0})
	case 5:
		replica.Status.Update(func(st *serving.Status) { st.Leaving = !st.Leaving })
	case 6:
		if replica.Service != nil {
			replica.Service.SetFaults(standinservice.Faults{CloseAfterReading: r.IntN(2) == 0, AnswerLost: r.IntN(2) == 0, DelayMilliseconds: r.IntN(30)})
		} else {
			replica.Engine.SetFaults(standinengine.Faults{CutAfterTokens: r.IntN(20), CloseAfterReading: r.IntN(3) == 0, WrongDigest: r.IntN(4) == 0})
		}
	default:
		_ = route.Set(faultproxy.Faults{})
		s.KeyValue.SetFaults(standinkv.Faults{})
	}
}

func clearFaults(s *testsite.Site) {
	s.KeyValue.SetFaults(standinkv.Faults{})
	for _, r := range s.Replicas {
		_ = r.ToAgent.Set(faultproxy.Faults{})
		_ = r.ToBackend.Set(faultproxy.Faults{})
		r.Status.Update(func(st *serving.Status) { st.Leaving = false })
		if r.Service != nil {
			r.Service.SetFaults(standinservice.Faults{})
		} else {
			r.Engine.SetFaults(standinengine.Faults{})
		}
	}
}

// checkPostings compares the journals with the outcomes that callers got by key.
func checkPostings(t *testing.T, s *testsite.Site, reported *postingRecords) {
	t.Helper()
	runCounts := map[string]int{}
	for _, body := range servedBodies(s) {
		runCounts[body]++
	}
	outcomeCounts := map[string]int{}
	for key, records := range reported.byKey {
		body := fmt.Sprintf(`{"posting":%q}`, key)
		require.LessOrEqual(t, runCounts[body], 1, "%s ran twice", key)
		notRun := true
		for _, r := range records {
			outcomeCounts[r.Outcome+" "+r.Reason]++
			notRun = notRun && r.NotRun
			if r.Outcome == "Answered" {
				require.Equal(t, 1, runCounts[body], "%s was answered but did not run exactly once", key)
			}
		}
		if notRun {
			require.Zero(t, runCounts[body], "%s ran but was reported as not run", key)
		}
	}
	require.NotEmpty(t, reported.byKey)
	t.Log(len(reported.byKey), "keys:", outcomeCounts)
}
