// Package claims keeps the claims and results of calls that may not be repeated
// in the platform's key-value service.
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
	"almondreel.example/almondreel/pkg/limit"
	"almondreel.example/almondreel/pkg/settle"
)

// Prefix of the shards' keys.
const Prefix = "claims/"

const (
	claimTimeout  = 1500 * time.Millisecond
	settleTimeout = 1500 * time.Millisecond
	findTimeout   = 1500 * time.Millisecond
	holderGrace   = 5 * time.Second // after a request's deadline until its holder counts as lost
	comeBackAfter = 500 * time.Millisecond
	shareInterval = 5 * time.Second
	// writesPerSecond of all gateways together.
	writesPerSecond = 150
	maxResultBytes  = 16 << 10 // of an answer that is kept for repeats
)

// Keeper implements dispatch.Claims and caller.Outcomes.
type Keeper struct {
	gateway  string
	table    *claim.Table
	gateways func() int
}

// New returns a keeper for the gateway. gateways returns the number of
// gateways, which share the writes.
func New(gateway string, gateways func() int, k *kv.Client) *Keeper {
	client := k.For("Claims")
	open := func(key string) settle.Store { return kv.Key{Client: client, Name: key} }
	return &Keeper{gateway: gateway, gateways: gateways, table: claim.New(claim.Options{Open: open, Prefix: Prefix})}
}

// Run commits claims and results until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	committed := make(chan error, 1)
	go func() {
		committed <- k.table.Run(ctx)
	}()
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		k.table.SetWrites(writesPerSecond / float64(max(1, k.gateways())))
		select {
		case err := <-committed:
			return err
		case <-ticker.C:
		}
	}
}

// result is what a claim keeps of its request.
type result struct {
	Record      outcome.Record `json:"Record"`
	Status      int            `json:"Status,omitempty"`
	ContentType string         `json:"ContentType,omitempty"`
	Body        []byte         `json:"Body,omitempty"`
}

// Claim takes the request's key, or says how its earlier use ended.
func (k *Keeper) Claim(ctx context.Context, r attempt.Request) (dispatch.Claim, *dispatch.Recalled) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	now := time.Now()
	e := claim.Entry{
		Token:       r.ID,
		Holder:      k.gateway,
		Fingerprint: r.Fingerprint,
		ClaimedAt:   now.UnixMilli(),
		EndsBy:      r.Deadline.Add(holderGrace).UnixMilli(),
	}
	key := scoped(r.Organisation, r.Key)
	held, won, err := k.table.Claim(ctx, key, e)
	switch {
	case err != nil:
		counter.Add("ClaimsFailed", 1)
		return nil, refused(outcome.KeyValueUnavailable, limit.Jittered(now, comeBackAfter))
	case won:
		counter.Add("ClaimsWon", 1)
		return &wonClaim{keeper: k, key: key, request: r}, nil
	case held.Fingerprint != r.Fingerprint:
		return nil, refused(outcome.KeyReused, time.Time{})
	}
	counter.Add("ClaimsRecalled", 1)
	return nil, recall(held, now)
}

func refused(reason outcome.Reason, retryAt time.Time) *dispatch.Recalled {
	return &dispatch.Recalled{Outcome: outcome.Refused{Reason: reason, RetryAt: retryAt}}
}

// scoped keeps organisations' keys apart.
func scoped(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// recall says what is known of a claimed request at now.
func recall(e claim.Entry, now time.Time) *dispatch.Recalled {
	if !e.Settled {
		if now.UnixMilli() < e.EndsBy {
			return &dispatch.Recalled{Outcome: outcome.Unknown{Reason: outcome.ClaimPending, RetryAt: limit.Jittered(now, comeBackAfter)}}
		}
		return &dispatch.Recalled{Outcome: outcome.Unknown{Reason: outcome.ClaimHolderLost}}
	}
	var r result
	if err := json.Unmarshal(e.Result, &r); err != nil {
		return &dispatch.Recalled{Outcome: outcome.Unknown{Reason: outcome.ClaimHolderLost}}
	}
	return &dispatch.Recalled{
		Answer:  attempt.Answer{Status: r.Status, ContentType: r.ContentType, Body: r.Body},
		Outcome: outcome.FromRecord(r.Record),
	}
}

// wonClaim is a claim that was won.
type wonClaim struct {
	keeper  *Keeper
	key     string
	request attempt.Request
}

// Settle records the outcome. When the service is slow the caller is answered
// before it is recorded.
func (h *wonClaim) Settle(ctx context.Context, a attempt.Answer, o outcome.Outcome) {
	r := result{Record: outcome.NewRecord(o)}
	if len(a.Body) <= maxResultBytes {
		r.Status, r.ContentType, r.Body = a.Status, a.ContentType, a.Body
	}
	text, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	h.finish(ctx, "Settle", func(ctx context.Context) error {
		return h.keeper.table.Settle(ctx, h.key, h.request.ID, text)
	})
}

// Release gives the key back.
func (h *wonClaim) Release(ctx context.Context) {
	h.finish(ctx, "Release", func(ctx context.Context) error {
		return h.keeper.table.Release(ctx, h.key, h.request.ID)
	})
}

func (h *wonClaim) finish(ctx context.Context, step string, do func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	err := do(ctx)
	if err == nil {
		return
	}
	counter.Add("ClaimsLate."+step, 1)
	if !errors.Is(err, context.DeadlineExceeded) {
		event.Fail(event.ClaimUnsettled, err, "Request", h.request.ID, "Step", step)
	}
}

// Outcome returns what is known of the organisation's earlier request with key.
func (k *Keeper) Outcome(r *http.Request, organisation, key string) (outcome.Outcome, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), findTimeout)
	defer cancel()
	e, ok, err := k.table.Find(ctx, scoped(organisation, key))
	if err != nil {
		return outcome.Refused{Reason: outcome.KeyValueUnavailable, RetryAt: limit.Jittered(time.Now(), comeBackAfter)}, true
	}
	if !ok {
		return nil, false
	}
	return recall(e, time.Now()).Outcome, true
}
