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

	"almondreel.example/almondreel/internal/assembly"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/standin/faultproxy"
	"almondreel.example/almondreel/internal/standin/kv"
	"almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/pkg/client"
)

func seed(t *testing.T) uint64 {
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

// posted is what callers were told of one key.
type posted struct {
	mu       sync.Mutex
	outcomes map[string][]client.Record
}

func (p *posted) add(key string, r client.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes[key] = append(p.outcomes[key], r)
}

// Random faults on every hop under random requests. The program's own
// invariants panic when broken; the journal is compared with what callers were
// told in the end.
func TestSoakOfRandomFaults(t *testing.T) {
	length := 6 * time.Second
	if os.Getenv("SOAK") != "" {
		length = 2 * time.Minute
	}
	random := rand.New(rand.NewPCG(seed(t), 1))
	o := options()
	o.Gateways, o.Engines, o.Services = 3, 5, 3
	s := start(t, o)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var group sync.WaitGroup
	told := &posted{outcomes: map[string][]client.Record{}}
	for i := range 12 {
		asks, posts := rand.New(rand.NewPCG(random.Uint64(), uint64(i))), random.Uint64()
		group.Go(func() { ask(ctx, t, s, asks) })
		group.Go(func() { postSome(ctx, t, s, posts, told) })
	}
	for ctx.Err() == nil {
		disturb(s, random)
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	calm(s)
	group.Wait()
	judge(t, s, told)
}

func ask(ctx context.Context, t *testing.T, s *assembly.Site, r *rand.Rand) {
	for ctx.Err() == nil {
		prompt := fmt.Sprintf("lot %d", r.IntN(1000))
		tokens := 1 + r.IntN(30)
		a, err := caller(s.Gateways[r.IntN(len(s.Gateways))]).Complete(context.Background(), client.Completion{Class: questions, Prompt: prompt, MaxTokens: tokens})
		if err != nil {
			t.Errorf("%s: %v", prompt, err)
			return
		}
		if a.Record.Outcome == "Answered" && !isWhole(a, prompt, tokens) {
			t.Errorf("%s: said to be whole, got %d of %d tokens", prompt, len(a.Tokens), tokens)
		}
		if a.Record.NotRun && len(a.Tokens) > 0 {
			t.Errorf("%s: said not to be run, got %d tokens", prompt, len(a.Tokens))
		}
	}
}

func isWhole(a client.Answer, prompt string, tokens int) bool {
	text := ""
	for i, k := range a.Tokens {
		if k.Index != i || k.Digest != string(assembly.Digest) {
			return false
		}
		text += k.Text
	}
	return text == engine.Answer(assembly.Digest, prompt, tokens)
}

func postSome(ctx context.Context, t *testing.T, s *assembly.Site, source uint64, told *posted) {
	r := rand.New(rand.NewPCG(source, 2))
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("%d-%d", source, n)
		for range 1 + r.IntN(3) {
			a, err := caller(s.Gateways[r.IntN(len(s.Gateways))]).Call(context.Background(), postings, key, []byte(fmt.Sprintf(`{"posting":%q}`, key)))
			if err != nil {
				t.Errorf("%s: %v", key, err)
				return
			}
			told.add(key, a.Record)
		}
	}
}

// disturb changes one fault at random.
func disturb(s *assembly.Site, r *rand.Rand) {
	replica := s.Replicas[r.IntN(len(s.Replicas))]
	route := replica.ToAgent
	if r.IntN(2) == 0 {
		route = replica.ToBack
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
		s.KeyValue.SetFaults(kv.Faults{Down: r.IntN(4) == 0, LoseAnswersOneIn: r.IntN(4), LateWriteMilliseconds: 20 * r.IntN(3), StaleReads: r.IntN(3) == 0})
	case 5:
		replica.Board.Update(func(b *serving.Status) { b.Leaving = !b.Leaving })
	case 6:
		if replica.Service != nil {
			replica.Service.SetFaults(service.Faults{CloseAfterReading: r.IntN(2) == 0, AnswerLost: r.IntN(2) == 0, DelayMilliseconds: r.IntN(30)})
		} else {
			replica.Engine.SetFaults(engine.Faults{CutAfterTokens: r.IntN(20), CloseAfterReading: r.IntN(3) == 0, WrongDigest: r.IntN(4) == 0})
		}
	default:
		_ = route.Set(faultproxy.Faults{})
		s.KeyValue.SetFaults(kv.Faults{})
	}
}

func calm(s *assembly.Site) {
	s.KeyValue.SetFaults(kv.Faults{})
	for _, r := range s.Replicas {
		_ = r.ToAgent.Set(faultproxy.Faults{})
		_ = r.ToBack.Set(faultproxy.Faults{})
		r.Board.Update(func(b *serving.Status) { b.Leaving = false })
		if r.Service != nil {
			r.Service.SetFaults(service.Faults{})
		} else {
			r.Engine.SetFaults(engine.Faults{})
		}
	}
}

// judge compares the journal with what callers were told of each key.
func judge(t *testing.T, s *assembly.Site, told *posted) {
	t.Helper()
	ran := map[string]int{}
	for _, body := range runs(s) {
		ran[body]++
	}
	counts := map[string]int{}
	for key, records := range told.outcomes {
		body := fmt.Sprintf(`{"posting":%q}`, key)
		require.LessOrEqual(t, ran[body], 1, "%s ran twice", key)
		notRun := true
		for _, r := range records {
			counts[r.Outcome+" "+r.Reason]++
			notRun = notRun && r.NotRun
			if r.Outcome == "Answered" {
				require.Equal(t, 1, ran[body], "%s was said to be answered", key)
			}
		}
		if notRun {
			require.Zero(t, ran[body], "%s was said not to be run", key)
		}
	}
	require.NotEmpty(t, told.outcomes)
	t.Log(len(told.outcomes), "keys:", counts)
}
