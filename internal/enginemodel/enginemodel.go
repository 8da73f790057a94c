// Package enginemodel estimates from a model engine's published figures how long a
// request takes there until its first answer, and how much it delays the requests that
// the engine already has. The package is pure: the current time is an argument.
package enginemodel

import "math"

// Figures describe how an engine spends its time. Times are in milliseconds at pace 1.
//
// An engine works in passes. While requests generate output, a pass runs Stride token
// steps; otherwise it runs one. Prompts are read within the steps, in order of arrival.
// The model assumes that a request joins at the end of a pass, and that answers leave at
// the end of a pass.
type Figures struct {
	StepMS               float64 // of a token step
	RequestMS            float64 // added to a step by each request that generates output
	ContextMSPerThousand float64 // added to a step by each 1,000 tokens of such a request's context
	ReadPerMS            float64 // prompt tokens read per millisecond
	PairsMSPerMillion    float64 // added per million pairs of a prompt's token and an earlier one
	Chunk                int     // prompt tokens that are read in a step, at most
	Stride               int     // token steps of a pass while requests generate output
	Slots                int     // requests that run concurrently; further ones wait
	UsualPrompt          float64 // mean tokens of a prompt; 0: unknown
	UsualAnswer          float64 // mean tokens of an answer; 0: unknown
}

// Bounds of plausible figures, far beyond those of any engine. They keep the estimates
// finite.
const (
	maxMS         = 10_000
	maxReadPerMS  = 1e6
	maxTokens     = 1 << 20
	maxStride     = 1 << 10
	maxSlots      = 1 << 16
	defaultAnswer = 100 // tokens, of an engine that publishes no usual answer
)

// Known reports whether the figures are complete and plausible, so that estimates can be
// made from them.
func (f Figures) Known() bool {
	return within(f.StepMS, 1e-6, maxMS) && within(f.RequestMS, 0, maxMS) && within(f.ContextMSPerThousand, 0, maxMS) &&
		within(f.ReadPerMS, 1e-3, maxReadPerMS) && within(f.PairsMSPerMillion, 0, maxMS) &&
		f.Chunk >= 1 && f.Chunk <= maxTokens && f.Stride >= 1 && f.Stride <= maxStride && f.Slots >= 1 && f.Slots <= maxSlots &&
		within(f.UsualPrompt, 0, maxTokens) && within(f.UsualAnswer, 0, maxTokens)
}

// within is false if v is not a number.
func within(v, lowest, highest float64) bool { return v >= lowest && v <= highest }

// Prompt is what is known of a request before it runs.
type Prompt struct {
	Tokens          int // 0: unknown
	AnswerTokens    int // as the caller expects; 0: unknown
	MaxAnswerTokens int // 0: unknown
}

// tokens returns the tokens of the prompt. Callers may state any number; one above
// maxChunks chunks counts as that many, so that a wrong number has a bounded effect on
// the choice of an engine.
func (f Figures) tokens(p Prompt) float64 {
	if p.Tokens <= 0 {
		return f.UsualPrompt
	}
	return min(float64(p.Tokens), float64(maxChunks*f.Chunk))
}

// maxChunks times the usual chunk of 2,048 tokens is eight times the longest known prompt.
const maxChunks = 16

func (f Figures) usualAnswer() float64 {
	if f.UsualAnswer <= 0 {
		return defaultAnswer
	}
	return f.UsualAnswer
}

// answer returns the expected tokens of the answer. Estimates of callers are often far
// off, so one that is above the usual counts as the mean of both. The maximum is no
// estimate, but bounds the answer.
func (f Figures) answer(p Prompt) float64 {
	expected, usual := float64(p.AnswerTokens), f.usualAnswer()
	switch {
	case expected <= 0:
		expected = usual
	case expected > usual:
		expected = min((expected+usual)/2, maxAnswers*usual)
	}
	if p.MaxAnswerTokens > 0 {
		expected = min(expected, float64(p.MaxAnswerTokens))
	}
	return expected
}

// maxAnswers bounds an expected answer, as a multiple of the usual one.
const maxAnswers = 8

// Load is what an engine has to do. The numbers are estimates, which need not be whole.
type Load struct {
	Running       float64 // requests that generate output
	ContextTokens float64 // of the running requests together
	Pending       float64 // requests whose first answer has not left
	PendingTokens float64 // prompt tokens of the pending requests together
	PendingPairs  float64 // million pairs of a token and an earlier one in these prompts
}

// WithPending returns the load with count more pending requests, each with prompt p.
func (l Load) WithPending(f Figures, p Prompt, count float64) Load {
	tokens := f.tokens(p)
	l.Pending += count
	l.PendingTokens += count * tokens
	l.PendingPairs += count * millionPairs(tokens)
	return l
}

// WithRunning returns the load with count more running requests, each with prompt p and
// half of its answer.
func (l Load) WithRunning(f Figures, p Prompt, count float64) Load {
	l.Running += count
	l.ContextTokens += count * (f.tokens(p) + f.answer(p)/2)
	return l
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{
		Running: l.Running + o.Running, ContextTokens: l.ContextTokens + o.ContextTokens,
		Pending: l.Pending + o.Pending, PendingTokens: l.PendingTokens + o.PendingTokens, PendingPairs: l.PendingPairs + o.PendingPairs,
	}
}

// Minus returns the load without the part o of it.
func (l Load) Minus(o Load) Load {
	return Load{
		Running: max(0, l.Running-o.Running), ContextTokens: max(0, l.ContextTokens-o.ContextTokens),
		Pending: max(0, l.Pending-o.Pending), PendingTokens: max(0, l.PendingTokens-o.PendingTokens), PendingPairs: max(0, l.PendingPairs-o.PendingPairs),
	}
}

func millionPairs(tokens float64) float64 { return tokens * tokens / 2 / 1e6 }

// Estimate is the expected effect of sending a request to an engine. Times are in
// milliseconds.
type Estimate struct {
	FirstAnswerMS  float64 // until the request's first answer, without the network
	AddedDelayMS   float64 // by which it delays the other requests there, summed over them
	RunningDelayMS float64 // part of AddedDelayMS that falls on running requests, in their pauses
	PauseMS        float64 // longest pass until the first answer, which is a pause of the running requests
}

// ReadMS returns the time to read a prompt.
func (f Figures) ReadMS(p Prompt) float64 {
	tokens := f.tokens(p)
	return f.readMS(tokens, millionPairs(tokens))
}

func (f Figures) readMS(tokens, pairs float64) float64 {
	return tokens/f.ReadPerMS + pairs*f.PairsMSPerMillion
}

// stepMS returns the time of a token step, without prompts.
func (f Figures) stepMS(l Load) float64 {
	return f.StepMS + l.Running*f.RequestMS + l.ContextTokens/1000*f.ContextMSPerThousand
}

// PassMS returns the time of a pass without prompts.
func (f Figures) PassMS(l Load) float64 { return f.stepMS(l) * f.stepsPerPass(l) }

// stepsPerPass lies between 1 and Stride if it is uncertain whether a request is running.
func (f Figures) stepsPerPass(l Load) float64 {
	return 1 + min(1, l.Running)*float64(f.Stride-1)
}

// Estimate returns the expected effect of sending a request to an engine that works at
// pace (2: it takes twice as long) and has load l. The figures must be Known.
func (f Figures) Estimate(pace float64, l Load, p Prompt) Estimate {
	tokens := f.tokens(p)
	step, perPass := f.stepMS(l), f.stepsPerPass(l)
	own := f.ReadMS(p)
	reading := f.readMS(l.PendingTokens, l.PendingPairs) + own
	steps := math.Ceil((l.PendingTokens + tokens) / float64(f.Chunk))
	passes := max(1, math.Ceil(steps/perPass))

	first := passes*perPass*step + reading
	if l.Running > 0 {
		first += perPass * step / 2 // rest of the current pass, on average
	}
	if waiting := l.Running + l.Pending + 1 - float64(f.Slots); waiting > 0 {
		first += waiting * f.slotMS(l)
	}
	// Answers of a pass leave together at its end, so all pending requests wait for it.
	pending := l.Pending * own
	longerSteps := min(f.answer(p), f.usualAnswer()) * (f.RequestMS + (tokens+f.answer(p)/2)/1000*f.ContextMSPerThousand)
	running := l.Running * (own + longerSteps)
	pause := perPass*step + min(reading, perPass*float64(f.Chunk)/f.ReadPerMS)
	return Estimate{
		FirstAnswerMS: first * pace, AddedDelayMS: (pending + running) * pace,
		RunningDelayMS: running * pace, PauseMS: pause * pace,
	}
}

// slotMS returns the mean time between two slots of a full engine that become free.
func (f Figures) slotMS(l Load) float64 {
	return f.usualAnswer()*f.stepMS(l)/float64(f.Slots) + f.ReadMS(Prompt{})
}
