// Package claims stores the claims on idempotency keys, and the results of the
// requests that hold them, in the platform's key-value service. Gateways use it to
// run a non-idempotent request only once and to replay its result to repeats.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/pkg/claim"
	"almondreel.example/almondreel/pkg/condwrite"
	"almondreel.example/almondreel/pkg/limit"
)

// Prefix is the prefix of the keys under which the claim table's shards are
// stored.
const Prefix = "claims/"

const (
	claimTimeout       = 1500 * time.Millisecond
	settleTimeout      = 1500 * time.Millisecond
	findTimeout        = 1500 * time.Millisecond
	holderGrace        = 5 * time.Second        // after a request's deadline, before its gateway counts as lost
	retryDelay         = 500 * time.Millisecond // before jitter, for callers that have to retry
	writeShareInterval = 5 * time.Second        // between updates of this gateway's share of the writes
	// writesPerSecond bounds the writes of all gateways together.
	writesPerSecond = 150
	maxResultBytes  = 16 << 10 // of an answer that is stored for repeats
)

// Store implements dispatch.Claims and looks up the outcomes of earlier requests
// for the caller API.
type Store struct {
	gateway  string
	table    *claim.Table
	gateways func() int
}

// New returns the store of the named gateway. gateways returns the number of
// gateways, which share writesPerSecond equally.
func New(gateway string, gateways func() int, kvClient *kv.Client) *Store {
	client := kvClient.WithPurpose("Claims")
	open := func(key string) condwrite.Store { return kv.Key{Client: client, Name: key} }
	return &Store{gateway: gateway, gateways: gateways, table: claim.New(claim.Options{Open: open, Prefix: Prefix})}
}

// Run writes claims and results to the key-value service until ctx ends, and
// returns ctx's error.
func (s *Store) Run(ctx context.Context) error {
	committed := make(chan error, 1)
	go func() {
		committed <- s.table.Run(ctx)
	}()
	ticker := time.NewTicker(writeShareInterval)
	defer ticker.Stop()
	for {
		s.table.SetWriteRate(writesPerSecond / float64(max(1, s.gateways())))
		select {
		case err := <-committed:
			return err
		case <-ticker.C:
		}
	}
}

// result is the stored result of a claimed request.
type result struct {
	Record      outcome.Record `json:"Record"`
	Status      int            `json:"Status,omitempty"`
	ContentType string         `json:"ContentType,omitempty"`
	Body        []byte         `json:"Body,omitempty"`
}

// Claim claims the request's idempotency key. If the key is claimed already it
// returns the result of that request, or a refusal if that request differs.
func (s *Store) Claim(ctx context.Context, r attempt.Request) (dispatch.Claim, *dispatch.Resolved) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	now := time.Now()
	e := claim.Entry{
		Token:       r.ID,
		Holder:      s.gateway,
		Fingerprint: r.Fingerprint,
		ClaimedAt:   now.UnixMilli(),
		EndsBy:      r.Deadline.Add(holderGrace).UnixMilli(),
	}
	key := scopedKey(r.Organisation, r.IdempotencyKey)
	held, won, err := s.table.Claim(ctx, key, e)
	switch {
	case err != nil:
		counter.Add("ClaimsFailed", 1)
		return nil, refusedResult(outcome.KeyValueUnavailable, limit.Jittered(now, retryDelay))
	case won:
		counter.Add("ClaimsWon", 1)
		return &heldClaim{store: s, key: key, request: r}, nil
	case held.Fingerprint != r.Fingerprint:
		return nil, refusedResult(outcome.IdempotencyKeyReused, time.Time{})
	}
	counter.Add("ClaimsRecalled", 1)
	return nil, resolve(held, now)
}

func refusedResult(reason outcome.Reason, retryAt time.Time) *dispatch.Resolved {
	return &dispatch.Resolved{Outcome: outcome.Refused{Reason: reason, RetryAt: retryAt}}
}

// scopedKey returns the key in the claim table, which differs between
// organisations that use the same idempotency key.
func scopedKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// resolve returns what is known at now of the request that holds a claim. If it
// is not settled by EndsBy its outcome remains unknown.
func resolve(e claim.Entry, now time.Time) *dispatch.Resolved {
	if !e.Settled {
		if now.UnixMilli() < e.EndsBy {
			return &dispatch.Resolved{Outcome: outcome.Unknown{Reason: outcome.ClaimPending, RetryAt: limit.Jittered(now, retryDelay)}}
		}
		return &dispatch.Resolved{Outcome: outcome.Unknown{Reason: outcome.ClaimHolderLost}}
	}
	var r result
	if err := json.Unmarshal(e.Result, &r); err != nil {
		return &dispatch.Resolved{Outcome: outcome.Unknown{Reason: outcome.ClaimHolderLost}}
	}
	return &dispatch.Resolved{
		Answer:  attempt.Answer{Status: r.Status, ContentType: r.ContentType, Body: r.Body},
		Outcome: outcome.FromRecord(r.Record),
	}
}

// heldClaim is a claim that this gateway holds.
type heldClaim struct {
	store   *Store
	key     string
	request attempt.Request
}

// Settle records the outcome. It returns after settleTimeout at the latest; the
// claim table then records the outcome in the background. An answer of more than
// maxResultBytes is not stored.
func (h *heldClaim) Settle(ctx context.Context, a attempt.Answer, o outcome.Outcome) {
	r := result{Record: outcome.NewRecord(o)}
	if len(a.Body) <= maxResultBytes {
		r.Status, r.ContentType, r.Body = a.Status, a.ContentType, a.Body
	}
	text, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	h.write(ctx, "Settle", func(ctx context.Context) error {
		return h.store.table.Settle(ctx, h.key, h.request.ID, text)
	})
}

// Release gives up the claim, so that the key can be claimed again. It returns
// after settleTimeout at the latest.
func (h *heldClaim) Release(ctx context.Context) {
	h.write(ctx, "Release", func(ctx context.Context) error {
		return h.store.table.Release(ctx, h.key, h.request.ID)
	})
}

// write runs one step of ending the claim and reports its failure.
func (h *heldClaim) write(ctx context.Context, step string, do func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	err := do(ctx)
	if err == nil {
		return
	}
	counter.Add("ClaimsLate."+step, 1)
	if !errors.Is(err, context.DeadlineExceeded) {
		event.Fail(event.ClaimUpdateFailed, err, "Request", h.request.ID, "Step", step)
	}
}

// Outcome returns what is known of the organisation's earlier request with the
// idempotency key. It reports false if there is none.
func (s *Store) Outcome(r *http.Request, organisation, key string) (outcome.Outcome, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), findTimeout)
	defer cancel()
	e, ok, err := s.table.Find(ctx, scopedKey(organisation, key))
	if err != nil {
		return outcome.Refused{Reason: outcome.KeyValueUnavailable, RetryAt: limit.Jittered(time.Now(), retryDelay)}, true
	}
	if !ok {
		return nil, false
	}
	return resolve(e, time.Now()).Outcome, true
}
