package enginemodel_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/enginemodel"
)

// deployments are the published figures of two deployments.
var deployments = map[string]enginemodel.Figures{
	"fast": {
		StepMS: 7.4, RequestMS: 0.0387, ContextMSPerThousand: 0.0203, ReadPerMS: 31.9, PairsMSPerMillion: 0.733,
		Chunk: 2048, Stride: 7, Slots: 12, UsualPrompt: 973, UsualAnswer: 106,
	},
	"slow": {
		StepMS: 9.27, RequestMS: 0.0232, ContextMSPerThousand: 0.0322, ReadPerMS: 20.7, PairsMSPerMillion: 1.18,
		Chunk: 2048, Stride: 5, Slots: 12, UsualPrompt: 1290, UsualAnswer: 140,
	},
}

var (
	short = enginemodel.Prompt{Tokens: 600, AnswerTokens: 100}
	long  = enginemodel.Prompt{Tokens: 3880, AnswerTokens: 100}
)

func forEach(t *testing.T, test func(t *testing.T, f enginemodel.Figures)) {
	for name, f := range deployments {
		t.Run(name, func(t *testing.T) { test(t, f) })
	}
}

// The expected values are worked out by hand from the description of an engine, to guard
// against an estimate in other units or with a term left out.
func TestIdleEngineTakesStepsAndReading(t *testing.T) {
	f := deployments["fast"]
	require.True(t, f.Known())
	e := f.Estimate(1, enginemodel.Load{}, short)
	require.InDelta(t, 7.4+600/31.9+0.18*0.733, e.FirstAnswerMS, 1e-9, "one step")
	require.Zero(t, e.AddedDelayMS, "there is nobody to delay")
	e = f.Estimate(2, enginemodel.Load{}, long)
	require.InDelta(t, 2*(2*7.4+3880/31.9+3.88*3.88/2*0.733), e.FirstAnswerMS, 1e-9, "two chunks at half the speed")
}

// Load: ten requests run, nothing is pending. Guards against a short request whose wait
// for the current pass is left out.
func TestRunningRequestsCostPasses(t *testing.T) {
	f := deployments["fast"]
	load := enginemodel.Load{Running: 10, ContextTokens: 10_000}
	pass := 7 * (7.4 + 10*0.0387 + 10*0.0203)
	require.InDelta(t, pass, f.PassMS(load), 1e-9)
	e := f.Estimate(1, load, short)
	require.InDelta(t, 1.5*pass+f.ReadMS(short), e.FirstAnswerMS, 1e-9)
	require.InDelta(t, pass+f.ReadMS(short), e.PauseMS, 1e-9)
	require.Greater(t, e.RunningDelayMS, 10*f.ReadMS(short))
	require.InDelta(t, e.RunningDelayMS, e.AddedDelayMS, 1e-9, "nothing is pending")
}

// Load: few long prompts among many short ones. Guards against a short request that is
// expected to start as early behind a long prompt as behind a short one, and a long prompt
// that is expected to delay others no more than a short one does.
func TestFewLongPromptsAmongManyShort(t *testing.T) {
	forEach(t, func(t *testing.T, f enginemodel.Figures) {
		running := enginemodel.Load{}.WithRunning(f, short, 8)
		behindShort, behindLong := running.WithPending(f, short, 1), running.WithPending(f, long, 1)
		difference := f.Estimate(1, behindLong, short).FirstAnswerMS - f.Estimate(1, behindShort, short).FirstAnswerMS
		require.InDelta(t, f.ReadMS(long)-f.ReadMS(short), difference, 1e-6)
		added := f.Estimate(1, behindShort, long).AddedDelayMS / f.Estimate(1, behindShort, short).AddedDelayMS
		require.Greater(t, added, 3.0)
	})
}

// Load: many long prompts on one engine. Guards against chunks that are not counted: the
// engine needs more than one pass for them, and pauses stay bounded by a pass's chunks.
func TestManyLongPromptsTakeSeveralPasses(t *testing.T) {
	forEach(t, func(t *testing.T, f enginemodel.Figures) {
		load, previous := enginemodel.Load{}.WithRunning(f, long, 2), 0.0
		for range 10 {
			e := f.Estimate(1, load, long)
			require.Greater(t, e.FirstAnswerMS, previous+f.ReadMS(long)-1e-6)
			previous = e.FirstAnswerMS
			require.LessOrEqual(t, e.PauseMS, f.PassMS(load)+float64(f.Stride*f.Chunk)/f.ReadPerMS+1e-6)
			load = load.WithPending(f, long, 1)
		}
		reading := 10 * f.ReadMS(long)
		passes := math.Ceil(10 * 3880 / float64(f.Stride*f.Chunk))
		require.GreaterOrEqual(t, previous, reading+passes*f.PassMS(load)-1e-6)
	})
}

// Load: a burst of long prompts that are chosen for one after the other on four equal
// engines. Guards against a burst that is piled up on one of them.
func TestBurstOfLongPromptsIsSpread(t *testing.T) {
	forEach(t, func(t *testing.T, f enginemodel.Figures) {
		var engines [4]enginemodel.Load
		for range 8 {
			best, lowest := 0, math.Inf(1)
			for i, load := range engines {
				e := f.Estimate(1, load, long)
				if cost := e.FirstAnswerMS + e.AddedDelayMS; cost < lowest {
					best, lowest = i, cost
				}
			}
			engines[best] = engines[best].WithPending(f, long, 1)
		}
		for _, load := range engines {
			require.EqualValues(t, 2, load.Pending)
		}
	})
}

// Load: one engine of several takes 2.5 times as long for a second. Guards against a pace
// that is not noticed within a few requests, or is kept after the engine has got none.
func TestOneSlowEngine(t *testing.T) {
	f, now := deployments["fast"], time.Unix(1000, 0)
	load := enginemodel.Load{}.WithRunning(f, short, 6)
	expected := f.Estimate(1, load, short).FirstAnswerMS
	var paces enginemodel.Paces
	require.InDelta(t, 1, paces.Pace(now, "slow"), 0)
	for range 3 {
		paces.Measure(now, "slow", expected, 2.5*expected)
		paces.Measure(now, "usual", expected, expected)
		now = now.Add(20 * time.Millisecond)
	}
	require.Greater(t, paces.Pace(now, "slow"), 1.5)
	require.InDelta(t, 1, paces.Pace(now, "usual"), 1e-9)
	require.Greater(t, f.Estimate(paces.Pace(now, "slow"), load, short).FirstAnswerMS, 1.5*expected)
	require.InDelta(t, 1, paces.Pace(now.Add(16*time.Second), "slow"), 0, "it is tried again")
	for range 10 {
		paces.Measure(now, "slow", expected, expected)
	}
	require.Less(t, paces.Pace(now, "slow"), 1.1, "it has recovered")
}

// Guards against a measurement that is wrong by any factor and makes an engine unusable,
// or attracts all requests.
func TestPaceIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var paces enginemodel.Paces
	for _, measured := range []float64{0, -1, 1e300, math.Inf(1), math.NaN()} {
		for _, expected := range []float64{0, -1, 1, 1e300, math.Inf(1), math.NaN()} {
			for range 20 {
				paces.Measure(now, "a", expected, measured)
				pace := paces.Pace(now, "a")
				require.True(t, pace >= 0.5 && pace <= 4, "%v of %v: pace %v", measured, expected, pace)
			}
		}
	}
	for i := range 20_000 {
		paces.Measure(now, fmt.Sprint(i), 100, 200)
	}
	require.InDelta(t, 1, paces.Pace(now, "0"), 0, "the number of engines is bounded")
}

// Load: a gateway that knows only half of an engine's load. Guards against an error of the
// estimate that a few measurements do not make up for.
func TestGatewayThatKnowsHalfOfTheLoad(t *testing.T) {
	forEach(t, func(t *testing.T, f enginemodel.Figures) {
		now := time.Unix(1000, 0)
		known := enginemodel.Load{}.WithRunning(f, short, 4).WithPending(f, short, 1)
		actual := known.WithRunning(f, short, 4).WithPending(f, short, 1)
		measured := f.Estimate(1, actual, short).FirstAnswerMS
		expected := f.Estimate(1, known, short).FirstAnswerMS
		require.Less(t, expected, measured)
		require.Greater(t, expected, measured/2, "the gateway expects half of the wait at least")
		var paces enginemodel.Paces
		for range 8 {
			paces.Measure(now, "a", expected, measured)
		}
		corrected := f.Estimate(paces.Pace(now, "a"), known, short).FirstAnswerMS
		require.InEpsilon(t, measured, corrected, 0.15)
	})
}

// Load: answers of unknown length, or for which callers state any number. Guards against
// an estimate that is infinite, or that depends on a wrong number without bound.
func TestAnswersOfUnknownLength(t *testing.T) {
	forEach(t, func(t *testing.T, f enginemodel.Figures) {
		load := enginemodel.Load{}.WithRunning(f, short, 8)
		usual := f.Estimate(1, load, enginemodel.Prompt{Tokens: 600, AnswerTokens: int(f.UsualAnswer)})
		for _, answer := range []int{math.MinInt, -1, 0, 1, 1 << 20, math.MaxInt} {
			e := f.Estimate(1, load, enginemodel.Prompt{Tokens: 600, AnswerTokens: answer})
			require.InDelta(t, usual.FirstAnswerMS, e.FirstAnswerMS, 1e-9, "%d answer tokens", answer)
			require.InEpsilon(t, usual.AddedDelayMS, e.AddedDelayMS, 0.5, "%d answer tokens", answer)
		}
		for _, p := range []enginemodel.Prompt{{Tokens: 600, MaxAnswerTokens: 20}, {Tokens: 600, AnswerTokens: 5000, MaxAnswerTokens: 20}} {
			require.Equal(t, f.Estimate(1, load, enginemodel.Prompt{Tokens: 600, AnswerTokens: 20}), f.Estimate(1, load, p), "the maximum bounds the answer")
		}
		f.UsualAnswer = 0
		require.True(t, f.Known())
		e := f.Estimate(1, load, enginemodel.Prompt{Tokens: 600})
		require.InEpsilon(t, usual.AddedDelayMS, e.AddedDelayMS, 0.5, "no usual answer")
	})
}

// Load: all slots are taken. Guards against an engine that looks free because its requests
// cost little time each.
func TestFullEngineMakesRequestsWaitForSlot(t *testing.T) {
	forEach(t, func(t *testing.T, f enginemodel.Figures) {
		below := enginemodel.Load{}.WithRunning(f, short, 11)
		at, above := below.WithRunning(f, short, 1), below.WithRunning(f, short, 5)
		wait := f.Estimate(1, at, short).FirstAnswerMS - f.Estimate(1, below, short).FirstAnswerMS
		require.Greater(t, wait, f.UsualAnswer*f.StepMS/float64(f.Slots))
		require.Greater(t, f.Estimate(1, above, short).FirstAnswerMS, f.Estimate(1, at, short).FirstAnswerMS+4*wait*0.9)
	})
}

// Guards against a prompt of implausible length, as a caller states it, that makes an
// estimate infinite or negative.
func TestPromptOfImplausibleLengthHasBoundedEffect(t *testing.T) {
	forEach(t, func(t *testing.T, f enginemodel.Figures) {
		for _, tokens := range []int{math.MinInt, -1, 0, 1 << 20, math.MaxInt} {
			p := enginemodel.Prompt{Tokens: tokens}
			load := enginemodel.Load{}.WithPending(f, p, 1)
			e := f.Estimate(1, load, p)
			require.True(t, e.FirstAnswerMS > 0 && e.FirstAnswerMS < 10_000, "%d tokens: %v ms", tokens, e.FirstAnswerMS)
			require.True(t, e.AddedDelayMS >= 0 && e.AddedDelayMS < 10_000, "%d tokens: %v ms", tokens, e.AddedDelayMS)
		}
	})
}

// Guards against estimates from figures that are incomplete or impossible.
func TestImplausibleFiguresAreUnknown(t *testing.T) {
	require.False(t, enginemodel.Figures{}.Known())
	for name, change := range map[string]func(*enginemodel.Figures){
		"NoStep":          func(f *enginemodel.Figures) { f.StepMS = 0 },
		"StepNotANumber":  func(f *enginemodel.Figures) { f.StepMS = math.NaN() },
		"InfiniteStep":    func(f *enginemodel.Figures) { f.StepMS = math.Inf(1) },
		"NegativeRequest": func(f *enginemodel.Figures) { f.RequestMS = -1 },
		"NegativeContext": func(f *enginemodel.Figures) { f.ContextMSPerThousand = -1 },
		"NoReading":       func(f *enginemodel.Figures) { f.ReadPerMS = 0 },
		"InfiniteReading": func(f *enginemodel.Figures) { f.ReadPerMS = math.Inf(1) },
		"NegativePairs":   func(f *enginemodel.Figures) { f.PairsMSPerMillion = -1 },
		"NoChunk":         func(f *enginemodel.Figures) { f.Chunk = 0 },
		"HugeChunk":       func(f *enginemodel.Figures) { f.Chunk = math.MaxInt },
		"NoStride":        func(f *enginemodel.Figures) { f.Stride = 0 },
		"HugeStride":      func(f *enginemodel.Figures) { f.Stride = math.MaxInt },
		"NoSlots":         func(f *enginemodel.Figures) { f.Slots = 0 },
		"NegativeUsual":   func(f *enginemodel.Figures) { f.UsualAnswer = -1 },
	} {
		f := deployments["fast"]
		change(&f)
		require.False(t, f.Known(), name)
	}
}
