package dispatch

import (
	"context"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/outcome"
)

// Claims lets one request with a key run, whichever gateways its repeats reach.
type Claims interface {
	// Claim takes the key for r. Recalled is not nil when r must not be
	// dispatched, and says how it ends.
	Claim(ctx context.Context, r attempt.Request) (Claim, *Recalled)
}

// Claim is a key taken for one dispatch.
type Claim interface {
	// Settle records the outcome, in the background if the service is slow.
	Settle(ctx context.Context, a attempt.Answer, o outcome.Outcome)
	// Release gives the key back: the request was not run.
	Release(ctx context.Context)
}

// Recalled is the end of a request that is not dispatched. Its outcome is that
// of the first request with the key, unless it is Refused.
type Recalled struct {
	Answer  attempt.Answer
	Outcome outcome.Outcome
}

// claimed runs a request that may not be repeated.
func (f *flight) claimed(ctx context.Context) outcome.Outcome {
	if f.request.Key == "" {
		return outcome.Refused{Reason: outcome.KeyMissing}
	}
	if f.dispatcher.options.Claims == nil {
		return outcome.Refused{Reason: outcome.KeyValueUnavailable, RetryAt: f.comeBack()}
	}
	claim, recalled := f.dispatcher.options.Claims.Claim(ctx, f.request)
	if recalled != nil {
		return f.recall(recalled)
	}
	o := f.once(ctx)
	if _, notRun := o.(outcome.Refused); notRun {
		claim.Release(ctx)
		return o
	}
	claim.Settle(ctx, f.progress.Answer, o)
	return o
}

func (f *flight) recall(r *Recalled) outcome.Outcome {
	if _, refused := r.Outcome.(outcome.Refused); !refused {
		f.life.fire("Recall")
		f.progress.Answer = r.Answer
		f.progress.Answer.Repeat = true
	}
	return r.Outcome
}

// once dispatches until one attempt is accepted.
func (f *flight) once(ctx context.Context) outcome.Outcome {
	for {
		if ctx.Err() != nil {
			return f.giveUp(ctx, outcome.DeadlinePassed)
		}
		r, ok := f.try(ctx)
		if !ok {
			return f.giveUp(ctx, f.last)
		}
		switch r := r.(type) {
		case attempt.Whole:
			return outcome.Answered{Digest: string(f.progress.Digest), Tokens: f.progress.Tokens}
		case attempt.Gone:
			return outcome.Unknown{Reason: outcome.CallerGone}
		case attempt.Broken:
			f.convicted(ctx, r)
			return outcome.Unknown{Reason: r.Reason}
		}
		if reason := f.next(ctx, r); reason != "" {
			return f.giveUp(ctx, reason)
		}
	}
}
