package hosting_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// takesEffect is the time within which a change in the store is in force at every gateway.
const takesEffect = 2 * time.Second

// restrict writes the next configuration, with these regions of the routes and of the
// organisation.
func (s *site) restrict(route, tenant []string) {
	s.configurationVersion++
	s.store.Configure(standin.Configuration{
		Version: s.configurationVersion, Keys: []string{apiKey}, Origin: s.originAddress, WarmUpMS: s.warmUpMS,
		Regions: route, TenantRegions: tenant,
	})
}

// load sends stream requests from several callers of each gateway until stop is called,
// which returns their outcomes.
func (s *site) load(callers int) (stop func() []caller.Outcome) {
	var mu sync.Mutex
	var outcomes []caller.Outcome
	var running sync.WaitGroup
	ended := make(chan bool)
	for gateway := range s.gateways {
		for n := range callers {
			running.Go(func() {
				c := caller.New(s.gateways[gateway].callerAddress)
				defer c.Close()
				for k := 0; ; k++ {
					select {
					case <-ended:
						return
					default:
					}
					o := c.Send(s.t.Context(), standin.StreamPath+"x", fmt.Sprintf("load-%d-%d-%d", gateway, n, k), apiKey, time.Now().Add(requestTimeout))
					mu.Lock()
					outcomes = append(outcomes, o)
					mu.Unlock()
					if o.Status != http.StatusOK {
						time.Sleep(50 * time.Millisecond)
					}
				}
			})
		}
	}
	return func() []caller.Outcome {
		close(ended)
		running.Wait()
		return outcomes
	}
}

// southernRuns returns the runs of the engines in the southern data centre, northernRuns
// those of the others.
func (s *site) southernRuns() []standin.Run { return runsOf(s.engines[s.northern:]) }
func (s *site) northernRuns() []standin.Run { return runsOf(s.engines[:s.northern]) }

func runsOf(engines []*engine) []standin.Run {
	var runs []standin.Run
	for _, e := range engines {
		runs = append(runs, e.Runs()...)
	}
	return runs
}

// requireNoRunsSince requires that no request began to run after a time.
func requireNoRunsSince(t *testing.T, runs []standin.Run, since time.Time) {
	t.Helper()
	for _, r := range runs {
		require.False(t, r.At.After(since), "%s ran %s too late", r.Attempt, r.At.Sub(since))
	}
}

// requireServedOrRefused requires a whole stream or a refusal with one of the reasons.
func requireServedOrRefused(t *testing.T, outcomes []caller.Outcome, reasons ...string) {
	t.Helper()
	for _, o := range outcomes {
		require.NoError(t, o.Err, o.Attempt)
		if o.Status == http.StatusOK {
			require.NoError(t, o.CheckStream(), o.Attempt)
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, o.Status, "%s: %s", o.Attempt, o.Body)
		require.Contains(t, reasons, strings.TrimSpace(o.Body), o.Attempt)
	}
}

// Guards against requests that reach a region after a change has taken it away, while
// requests wait, run and stream: the streams that run there are completed, those that wait
// go to the other region or are refused at once.
func TestRegionsChangeWhileRequestsWaitAndRun(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 4, southern: 2, firstVersion: 1})
	for gateway := range s.gateways {
		s.waitForVersion(gateway, 1, 10*time.Second)
	}
	time.Sleep(exchangeTime) // the agents have reported
	for _, e := range s.engines {
		e.SetEventMS(30)
	}
	stop := s.load(24) // more than the slots: requests wait
	s.eventually(5*time.Second, "requests run in the south", func() bool { return len(s.southernRuns()) > 10 })
	s.restrict(nil, []string{"north"})
	inForce := time.Now().Add(takesEffect)
	time.Sleep(takesEffect)
	before := len(s.northernRuns())
	time.Sleep(takesEffect)
	requireNoRunsSince(t, s.southernRuns(), inForce)
	s.restrict([]string{"south"}, []string{"north"})
	inForce = time.Now().Add(takesEffect)
	time.Sleep(2 * takesEffect)
	require.Greater(t, len(s.northernRuns()), before, "the north served until the second change")
	requireNoRunsSince(t, append(s.southernRuns(), s.northernRuns()...), inForce)
	s.restrict(nil, nil)
	s.eventually(5*time.Second, "the south serves again", func() bool {
		return slices.ContainsFunc(s.southernRuns(), func(r standin.Run) bool { return r.At.After(inForce) })
	})
	outcomes := stop()
	requireServedOrRefused(t, outcomes, "NoAllowedRegion", "ProjectedWaitTooLong", "QueueFull", "NoReplicaServing")
	s.requireRefusedDidNotRun(outcomes)
	require.Positive(t, refusals(outcomes, "NoAllowedRegion"))
}

// refusals returns the number of refusals with a reason.
func refusals(outcomes []caller.Outcome, reason string) int {
	n := 0
	for _, o := range outcomes {
		if strings.TrimSpace(o.Body) == reason {
			n++
		}
	}
	return n
}

// requireRefusedDidNotRun requires that no refused request ran at an engine.
func (s *site) requireRefusedDidNotRun(outcomes []caller.Outcome) {
	s.t.Helper()
	ran := map[string]bool{}
	for _, r := range s.runs() {
		ran[r.Attempt] = true
	}
	for _, o := range outcomes {
		require.Equal(s.t, o.Status == http.StatusOK, ran[o.Attempt], "%s: %d %s", o.Attempt, o.Status, o.Body)
	}
}
