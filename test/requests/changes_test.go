package requests_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

const (
	changesTime = 5 * time.Second
	// maxChangePause is the longest time between two changes.
	maxChangePause = 60 * time.Millisecond
	otherDigest    = manifest.Digest("sha256:2222222222222222222222222222222222222222222222222222222222222222")
)

// changer gives a gateway new configurations and placements.
type changer struct {
	gateway  *testsite.Gateway
	classes  []operator.Class
	revision uint64
}

// change leaves out random classes of the configuration and of the placement, changes
// targets, and names another version, as a new or as the only one.
func (c *changer) change(t *testing.T, r *rand.Rand) {
	t.Helper()
	var document operator.Document
	var placed placement.Placement
	for _, class := range c.classes {
		if r.IntN(4) > 0 {
			class.Target.AnswerMilliseconds += 1000 * r.IntN(3)
			class.Priority = r.IntN(3)
			document.Classes = append(document.Classes, class)
		}
		a := placement.Assignment{Class: class.Name, Kind: class.Kind, Service: class.Service}
		if class.Kind == operator.Model {
			a.Digest = testsite.Digest
			switch r.IntN(4) {
			case 0:
				a.Digest = otherDigest
			case 1:
				a.Digest, a.Previous = otherDigest, []manifest.Digest{testsite.Digest}
			}
		}
		if r.IntN(4) > 0 {
			placed.Assignments = append(placed.Assignments, a)
		}
	}
	c.adopt(t, document, placed)
}

func (c *changer) adopt(t *testing.T, d operator.Document, p placement.Placement) {
	t.Helper()
	configuration, err := json.Marshal(d)
	require.NoError(t, err)
	placed, err := json.Marshal(p)
	require.NoError(t, err)
	c.revision += 2
	require.NoError(t, c.gateway.Desired.AdoptConfiguration(gateway.Versioned{Value: configuration, Revision: c.revision}, "test"))
	require.NoError(t, c.gateway.Desired.AdoptPlacement(gateway.Versioned{Value: placed, Revision: c.revision + 1}, "test"))
}

// Classes are removed and brought back, their targets and versions change, while requests
// wait, run and stream on kept connections. Each must be answered whole or refused
// truthfully. SEED=n repeats a run.
func TestChangesOfClassesLoseNoRequest(t *testing.T) {
	rng := rand.New(rand.NewPCG(soakSeed(t), 17))
	o := options()
	o.Engine.Slots = 2 // some requests wait
	s := startSite(t, o)
	c := &changer{s.Gateways[0], o.Classes, 10}
	outcomes := map[string]int{}
	var mu sync.Mutex
	count := func(r client.Record) {
		mu.Lock()
		defer mu.Unlock()
		outcomes[r.Outcome+" "+r.Reason]++
	}
	end := time.Now().Add(changesTime)
	var group sync.WaitGroup
	for n := range 12 {
		kept := client.New(s.Gateways[0].URL, "key-north", &http.Client{Transport: &http.Transport{}})
		group.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				prompt := fmt.Sprintf("lot %d-%d", n, k)
				a, err := kept.Complete(context.Background(), client.Completion{Class: questions, Prompt: prompt, MaxTokens: 20})
				if err != nil {
					t.Errorf("%s: %v", prompt, err)
					return
				}
				count(a.Record)
				if !a.Record.NotRun && !isCompleteAnswer(a, prompt, 20) || a.Record.NotRun && len(a.Tokens) > 0 {
					t.Errorf("%s: %+v with %d tokens", prompt, a.Record, len(a.Tokens))
				}
				pauseAfter(a.Record)
			}
		})
		group.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				key := fmt.Sprintf("%d-%d", n, k)
				a, err := kept.Call(context.Background(), postings, key, []byte(fmt.Sprintf(`{"posting":%q}`, key)))
				if err != nil {
					t.Errorf("%s: %v", key, err)
					return
				}
				count(a.Record)
				if !a.Record.NotRun && a.Record.Outcome != "Answered" {
					t.Errorf("%s: %+v", key, a.Record)
				}
				pauseAfter(a.Record)
			}
		})
	}
	for time.Now().Before(end) {
		c.change(t, rng)
		time.Sleep(time.Duration(rng.Int64N(int64(maxChangePause))))
	}
	group.Wait()
	t.Log(c.revision, outcomes)
	require.Positive(t, outcomes["Answered "])
}

// pauseAfter waits before the next request of a caller that was refused.
func pauseAfter(r client.Record) {
	if r.NotRun {
		time.Sleep(10 * time.Millisecond)
	}
}
