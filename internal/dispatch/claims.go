package dispatch

import (
	"context"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/outcome"
)

// Claims ensures that of all requests with one idempotency key only one runs,
// also when they reach different gateways.
type Claims interface {
	// Claim claims the idempotency key for r. If the returned Resolved is not
	// nil, r must not be dispatched and Resolved is its result.
	Claim(ctx context.Context, r attempt.Request) (Claim, *Resolved)
}

// Claim is an idempotency key claimed for one request.
type Claim interface {
	// Settle records the outcome, in the background if the key-value service
	// is slow.
	Settle(ctx context.Context, a attempt.Answer, o outcome.Outcome)
	// Release gives up the key of a request that was not run.
	Release(ctx context.Context)
}

// Resolved is the result of a request that is not dispatched. Unless its outcome
// is Refused, it is the result of the first request with the same key.
type Resolved struct {
	Answer  attempt.Answer
	Outcome outcome.Outcome
}

// runClaimed runs a non-idempotent request under a claim on its idempotency key.
func (f *inflight) runClaimed(ctx context.Context) outcome.Outcome {
	if f.request.IdempotencyKey == "" {
		return outcome.Refused{Reason: outcome.IdempotencyKeyMissing}
	}
	if f.dispatcher.options.Claims == nil {
		return outcome.Refused{Reason: outcome.KeyValueUnavailable, RetryAt: f.retryAt()}
	}
	claim, resolved := f.dispatcher.options.Claims.Claim(ctx, f.request)
	if resolved != nil {
		return f.replay(resolved)
	}
	o := f.runOnce(ctx)
	if _, notRun := o.(outcome.Refused); notRun {
		claim.Release(ctx)
		return o
	}
	claim.Settle(ctx, f.progress.Answer, o)
	return o
}

// replay ends the request with the result of the first request with its key, or
// with a refusal.
func (f *inflight) replay(r *Resolved) outcome.Outcome {
	if _, refused := r.Outcome.(outcome.Refused); !refused {
		f.lifecycle.fire("Recall")
		f.progress.Answer = r.Answer
		f.progress.Answer.Repeat = true
	}
	return r.Outcome
}

// runOnce retries a non-idempotent request until an attempt may have run.
func (f *inflight) runOnce(ctx context.Context) outcome.Outcome {
	for {
		if ctx.Err() != nil {
			return f.giveUp(ctx, outcome.DeadlinePassed)
		}
		r, ok := f.tryAgent(ctx)
		if !ok {
			return f.giveUp(ctx, f.lastReason)
		}
		switch r := r.(type) {
		case attempt.Completed:
			return outcome.Answered{Digest: string(f.progress.Digest), Tokens: f.progress.Tokens}
		case attempt.CallerGone:
			return outcome.Unknown{Reason: callerconn.EndReason(ctx)}
		case attempt.Interrupted:
			return outcome.Unknown{Reason: r.Reason}
		}
		if reason := f.checkRetry(ctx, r); reason != "" {
			return f.giveUp(ctx, reason)
		}
	}
}
