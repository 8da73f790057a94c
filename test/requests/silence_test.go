package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/standin/faultproxy"
	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

// Begun completions were cut if their agent or its engine paused for over a second while
// no other one could go on with them: the gateway left it as soon as one had a free slot.
func TestBegunCompletionsSurviveSilenceWhileOthersFail(t *testing.T) {
	const (
		streams = 24
		tokens  = 30
		begun   = 150 * time.Millisecond
	)
	silentRoute := map[string]func(r *testsite.Replica) *faultproxy.Route{
		"agent":  func(r *testsite.Replica) *faultproxy.Route { return r.ToAgent },
		"engine": func(r *testsite.Replica) *faultproxy.Route { return r.ToBackend },
	}
	fail := map[string]func(r *testsite.Replica) error{
		"agents unreachable":  func(r *testsite.Replica) error { return r.ToAgent.Set(faultproxy.Faults{Refuse: true}) },
		"engines unreachable": func(r *testsite.Replica) error { return r.ToBackend.Set(faultproxy.Faults{Refuse: true}) },
		"engines cut": func(r *testsite.Replica) error {
			r.Engine.SetFaults(standinengine.Faults{CloseAfterReading: true})
			return nil
		},
		"engines of another version": func(r *testsite.Replica) error {
			r.Engine.SetFaults(standinengine.Faults{WrongDigest: true})
			return nil
		},
	}
	for silent, route := range silentRoute {
		for failure, set := range fail {
			for _, silence := range []time.Duration{1300 * time.Millisecond, 2600 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s silent for %s, other %s", silent, silence, failure), func(t *testing.T) {
					o := options()
					o.Engines, o.Engine.BetweenTokensMilliseconds = 6, 20
					o.Classes[0].Target.BetweenTokensMilliseconds = 30 // progress timeout 1.2 s
					s := startSite(t, o)
					answers := make(chan client.Response, streams)
					for n := range streams {
						go func() { answers <- sendCompletion(t, s.Gateways[0], fmt.Sprint("lot ", n), tokens) }()
					}
					time.Sleep(begun)
					require.NoError(t, route(s.Replicas[0]).Set(faultproxy.Faults{ToCaller: faultproxy.Stall{}}))
					for _, r := range s.Replicas[1:o.Engines] {
						require.NoError(t, set(r))
					}
					time.Sleep(silence)
					require.NoError(t, route(s.Replicas[0]).Set(faultproxy.Faults{}))
					cut := 0
					for range streams {
						a := <-answers
						if a.Record.Outcome != "Answered" || len(a.Tokens) != tokens {
							t.Logf("%d tokens, %+v", len(a.Tokens), a.Record)
							cut++
						}
					}
					require.Zero(t, cut, "completions cut of %d", streams)
				})
			}
		}
	}
}
