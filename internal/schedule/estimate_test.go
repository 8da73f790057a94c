package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/enginemodel"
	"almondreel.example/almondreel/internal/schedule"
)

var withEstimates = schedule.Options{Estimates: true}

// newEstimatingPool returns a pool of engines "e0", "e1" and so on that work in passes.
func newEstimatingPool(engines int) *schedule.Pool {
	p := schedule.NewPool(withEstimates)
	p.SetServers(startTime, passServers(engines))
	return p
}

func passServers(engines int) []schedule.Server {
	var list []schedule.Server
	for n := range engines {
		list = append(list, schedule.Server{ID: fmt.Sprint("e", n), Slots: passFigures.Slots, Ready: true})
	}
	return list
}

func promptRequest(tokens int) schedule.Request {
	return schedule.Request{
		PromptMS: promptMS(tokens), BaseLatencyMS: 110, ArrivedAt: startTime, AnswerBy: startTime.Add(target), Deadline: startTime.Add(6 * time.Second),
		Prompt: enginemodel.Prompt{Tokens: tokens}, Figures: passFigures,
	}
}

func promptMS(tokens int) float64 { return float64(tokens) / passFigures.ReadPerMS }

// startOn submits a request with a prompt and returns the ID of the server that gets it.
func startOn(t *testing.T, p *schedule.Pool, tokens int) string {
	start, ok := decisionOf(p.Submit(startTime, promptRequest(tokens))).(schedule.Start)
	require.True(t, ok)
	require.Positive(t, start.ExpectedMS)
	return start.Server.ID
}

// Guards against short requests that wait behind a long prompt while another engine has
// room, although more requests run there.
func TestShortRequestsAreNotPlacedBehindLongPrompt(t *testing.T) {
	p := newEstimatingPool(3)
	p.SetOtherLoad(startTime, map[string]int{"e0": 2, "e1": 4, "e2": 4})
	long := startOn(t, p, longPrompt)
	require.Equal(t, "e0", long, "the one with the fewest requests to delay")
	for range 4 {
		require.NotEqual(t, long, startOn(t, p, 500))
	}
}

// Guards against a burst of long prompts that are read one after the other at one engine.
func TestLongPromptsAreSpread(t *testing.T) {
	p := newEstimatingPool(8)
	for range 20 {
		startOn(t, p, 500)
	}
	counts := map[string]int{}
	for range 8 {
		counts[startOn(t, p, longPrompt)]++
	}
	require.Len(t, counts, 8)
}

// newMeasuredPool returns a pool of two engines that took so many milliseconds for each of
// their last requests, beside four of another gateway.
func newMeasuredPool(t *testing.T, tookMS ...float64) *schedule.Pool {
	p, servers := newEstimatingPool(0), passServers(2)
	for n, s := range servers {
		p.SetServers(startTime, servers[n:n+1])
		p.SetOtherLoad(startTime, map[string]int{s.ID: 4})
		for range 5 {
			require.Equal(t, s.ID, startOn(t, p, 500))
			p.ResponseStarted(startTime, s.ID, tookMS[n], promptMS(500))
			p.Ended(startTime, s.ID, schedule.Finished, 0)
		}
	}
	p.SetServers(startTime, servers)
	return p
}

// Guards against a long prompt that goes where it is answered first although it delays many
// requests there: it must leave the faster engine at fewer running requests than a short
// one does.
func TestLongPromptGoesWhereItDelaysFew(t *testing.T) {
	leavesAt := func(tokens int) int {
		for running := range passFigures.Slots {
			p := newMeasuredPool(t, 105, 255)
			p.SetOtherLoad(startTime, map[string]int{"e0": running, "e1": 1})
			if startOn(t, p, tokens) == "e1" {
				return running
			}
		}
		return passFigures.Slots
	}
	long, short := leavesAt(longPrompt), leavesAt(500)
	t.Logf("left at %d running requests by long prompts, at %d by short ones", long, short)
	require.Less(t, long, short)
	require.Greater(t, long, 1, "the engine is faster")
}

// Guards against a choice by the delay of others where all prompts are of one size, so that
// each request goes where it is answered later to spare others a wait that all impose alike.
func TestPromptsOfOneSizeGoWhereTheyAreAnsweredFirst(t *testing.T) {
	p := newMeasuredPool(t, 105, 255)
	p.SetServers(startTime, passServers(2)[:1])
	for range 200 { // makes long prompts the usual ones
		startOn(t, p, longPrompt)
		p.Ended(startTime, "e0", schedule.Finished, promptMS(longPrompt))
	}
	p.SetServers(startTime, passServers(2))
	p.SetOtherLoad(startTime, map[string]int{"e0": 8, "e1": 2})
	require.Equal(t, "e0", startOn(t, p, longPrompt))
}

// Guards against requests that go on to an engine that has become slow while one with as
// many requests has room, and against a slow engine that stays unused when others are full.
func TestSlowEngineIsUsedOnlyWhenNoOtherHasRoom(t *testing.T) {
	p := newMeasuredPool(t, 105, 255) // e1 takes 2.5 times as long
	p.SetOtherLoad(startTime, map[string]int{"e0": 4, "e1": 4})
	for range passFigures.Slots - 4 {
		require.Equal(t, "e0", startOn(t, p, 500))
		p.ResponseStarted(startTime, "e0", 105, promptMS(500))
	}
	require.Equal(t, "e1", startOn(t, p, 500), "the other one is full")
}

// Guards against a choice by what this gateway sent alone, while another gateway has as
// many requests running.
func TestLoadOfOtherGatewaysCounts(t *testing.T) {
	p := newEstimatingPool(3)
	p.SetOtherLoad(startTime, map[string]int{"e0": 6, "e1": 1, "e2": 6})
	for range 3 {
		id := startOn(t, p, 500)
		require.Equal(t, "e1", id)
		p.ResponseStarted(startTime, id, 60, promptMS(500))
	}
}

// Load with room for all: 60 requests per second on ten engines. One gateway knows the
// whole load; of several, each knows only the number of the others' requests, as it was up
// to 150 ms ago. Guards against requests of either size that miss their target, and
// against pauses of running responses beyond theirs.
func TestBothSizesMeetTargetWhileThereIsRoom(t *testing.T) {
	for _, gateways := range []int{1, 2, 4} {
		for _, longShare := range []float64{0, 0.1, 0.2} {
			sim := newPassSimulation(1, gateways, 10, withEstimates)
			sim.load(20, 60, sim.mixed(longShare))
			sim.advance(3)
			for _, sized := range []tally{sim.tally(0, longPrompt), sim.tally(longPrompt, longPrompt+1)} {
				t.Logf("%d gateways, long %.1f: %v", gateways, longShare, sized)
				if sized.count > 0 {
					require.GreaterOrEqual(t, sized.inTimeShare(), 0.95)
					require.Zero(t, sized.latePauses)
				}
			}
		}
	}
}

// Guards against a choice by estimates that serves either size later than the choice by
// counts does, while there is room. The gateways are 16, of which each sends a sixteenth.
func TestEstimatesServeNoSizeLaterThanCounts(t *testing.T) {
	results := map[bool][2]tally{}
	for _, estimates := range []bool{false, true} {
		var sims []*passSimulation
		for seed := range uint64(6) {
			sim := newPassSimulation(seed, 16, 10, schedule.Options{Estimates: estimates})
			sim.load(20, 60, sim.mixed(0.2))
			sim.advance(3)
			sims = append(sims, sim)
		}
		results[estimates] = [2]tally{tallyAll(sims, 0, longPrompt), tallyAll(sims, longPrompt, longPrompt+1)}
		t.Logf("estimates %v: short %v, long %v", estimates, results[estimates][0], results[estimates][1])
	}
	for size := range 2 {
		require.GreaterOrEqual(t, results[true][size].inTimeShare(), results[false][size].inTimeShare())
		require.GreaterOrEqual(t, results[true][size].servedShare(), results[false][size].servedShare())
	}
}

// Load: engines take 2.5 times as long for 1.5 s, one after the other. Guards against
// requests that wait at slow engines while others have room.
func TestSlowEnginesDelayFewerRequests(t *testing.T) {
	inTime := map[bool]float64{}
	for _, estimates := range []bool{false, true} {
		var sims []*passSimulation
		for seed := range uint64(6) {
			sim := newPassSimulation(seed, 4, 10, schedule.Options{Estimates: estimates})
			var slowDown func()
			slowDown = func() {
				e := sim.engines[sim.random.IntN(len(sim.engines))]
				e.speed, e.slowUntil = 2.5, sim.now.Add(1500*time.Millisecond)
				sim.after(1000, slowDown)
			}
			slowDown()
			sim.load(20, 60, sim.mixed(0.1))
			sim.advance(3)
			sims = append(sims, sim)
		}
		all := tallyAll(sims, 0, longPrompt+1)
		t.Logf("estimates %v: %v", estimates, all)
		inTime[estimates] = all.inTimeShare()
	}
	require.Greater(t, inTime[true], inTime[false])
}

// Load: twice what the engines can run. Guards against a size that is starved: each must
// be served at least a quarter as often as all requests together, also if nearly all are of
// the other size. Each case sums up several runs, so that there are some hundred requests of
// the rare size.
func TestNoSizeIsStarvedWhenAllIsFull(t *testing.T) {
	for name, figures := range map[string]enginemodel.Figures{"FastReading": passFigures, "SlowReading": slowPassFigures} {
		for _, gateways := range []int{1, 2, 4, 16} {
			for _, longShare := range []float64{0.02, 0.1, 0.5, 0.98} {
				t.Run(fmt.Sprintf("%s/%d gateways/%.2f long", name, gateways, longShare), func(t *testing.T) {
					var sims []*passSimulation
					for seed := range uint64(5) {
						sim := newPassSimulation(seed, gateways, 6, withEstimates).withFigures(figures)
						sim.load(30, 120, sim.mixed(longShare))
						sim.advance(3)
						sims = append(sims, sim)
					}
					all := tallyAll(sims, 0, longPrompt+1)
					for _, sized := range []tally{tallyAll(sims, 0, longPrompt), tallyAll(sims, longPrompt, longPrompt+1)} {
						t.Log(sized)
						require.GreaterOrEqual(t, sized.servedShare(), all.servedShare()/4)
					}
				})
			}
		}
	}
}

// Guards against a choice that changes although estimates are switched off, or the
// figures are unknown.
func TestWithoutEstimatesChoiceIsAsBefore(t *testing.T) {
	run := func(options schedule.Options, figures enginemodel.Figures) (ids []string) {
		sim := newPassSimulation(5, 3, 6, options)
		sim.requestFigures = figures
		sim.load(10, 100, sim.mixed(0.2))
		for _, r := range sim.submitted {
			if r.engine == nil {
				ids = append(ids, "")
				continue
			}
			ids = append(ids, r.engine.id)
		}
		return ids
	}
	before := run(schedule.Options{}, enginemodel.Figures{})
	require.Equal(t, before, run(schedule.Options{}, passFigures))
	require.Equal(t, before, run(withEstimates, enginemodel.Figures{}))
	require.NotEqual(t, before, run(withEstimates, passFigures))
}

// Guards against load that an engine keeps in the estimates after its requests have ended
// in any way, also if the configuration has changed the figures in between.
func TestEndedRequestsLeaveNoLoad(t *testing.T) {
	sim := newPassSimulation(4, 1, 2, withEstimates)
	p := sim.pools[0]
	type sent struct {
		server   string
		promptMS float64
	}
	var running []sent
	for i := range 2000 {
		if len(running) < 10 {
			tokens := 100 + sim.random.IntN(1000)
			r := promptRequest(tokens)
			if i%7 == 0 {
				r.Figures, r.PromptMS = enginemodel.Figures{}, 0
			}
			if s, ok := decisionOf(p.Submit(startTime, r)).(schedule.Start); ok {
				running = append(running, sent{s.Server.ID, r.PromptMS})
				continue
			}
			p.Withdraw(0)
		}
		n := sim.random.IntN(len(running))
		ended := running[n]
		running = append(running[:n], running[n+1:]...)
		if i%5 == 0 {
			ended.promptMS *= 1.5 // the figures have changed since
		}
		if i%3 == 0 {
			p.ResponseStarted(startTime, ended.server, 60, ended.promptMS)
			ended.promptMS = 0
		}
		p.Ended(startTime, ended.server, schedule.Finished, ended.promptMS)
	}
	for _, r := range running {
		p.Ended(startTime, r.server, schedule.Abandoned, r.promptMS)
	}
	// With nothing running, the requests alternate as in a new pool.
	later := startTime.Add(time.Minute)
	var ids []string
	for range 6 {
		r := promptRequest(500)
		r.ArrivedAt, r.AnswerBy, r.Deadline = later, later.Add(target), later.Add(6*time.Second)
		start, ok := decisionOf(p.Submit(later, r)).(schedule.Start)
		require.True(t, ok)
		ids = append(ids, start.Server.ID)
	}
	require.Equal(t, []string{"e0", "e1", "e0", "e1", "e0", "e1"}, ids)
}

// Guards against long prompts that keep going to the engine that had the least to do and
// has died, leaves, or is in backoff.
func TestEngineThatIsGoneGetsNoLongPrompt(t *testing.T) {
	for name, leave := range map[string]func(p *schedule.Pool){
		"Dead":     func(p *schedule.Pool) { p.Ended(startTime, "e0", schedule.Unreachable, promptMS(longPrompt)) },
		"Silent":   func(p *schedule.Pool) { p.MarkSilent(startTime, "e0") },
		"Unlisted": func(p *schedule.Pool) { p.SetServers(startTime, passServers(2)[1:]) },
		"Busy":     func(p *schedule.Pool) { p.MarkBusy(startTime, "e0", startTime.Add(time.Second)) },
		"NotReady": func(p *schedule.Pool) {
			servers := passServers(2)
			servers[0].Ready = false
			p.SetServers(startTime, servers)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newEstimatingPool(2)
			p.SetOtherLoad(startTime, map[string]int{"e1": 8})
			require.Equal(t, "e0", startOn(t, p, longPrompt))
			leave(p)
			require.Equal(t, "e1", startOn(t, p, longPrompt))
		})
	}
}

// Guards against callers that get ahead in the queue by stating any length of their prompt.
func TestOverstatedPromptGoesLittleEarlier(t *testing.T) {
	p := schedule.NewPool(withEstimates)
	server := []schedule.Server{{ID: "e0", Slots: 1, Ready: true}}
	p.SetServers(startTime, server)
	startOn(t, p, 100)
	for i, promptMS := range []float64{1e16, 30} {
		r := longWaitRequest(int64(i+1), startTime)
		r.PromptMS, r.Figures = promptMS, passFigures
		if i == 1 {
			r.AnswerBy = r.AnswerBy.Add(-200 * time.Millisecond)
		}
		require.IsType(t, schedule.Wait{}, decisionOf(p.Submit(startTime, r)))
	}
	resolved := p.Ended(startTime, "e0", schedule.Finished, promptMS(100))
	require.Len(t, resolved, 1)
	require.EqualValues(t, 2, resolved[0].ID, "its target is 200 ms earlier")
}
