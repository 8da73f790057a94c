package planner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/rendezvous"
)

const (
	leaseKey           = "duty/planner"
	leaseTTL           = 5 * time.Second
	renewInterval      = 1500 * time.Millisecond
	acquireInterval    = 2 * time.Second
	maxAcquireInterval = 8 * time.Second
	// isolatedAfter is the time that a holder must have had the lease before it can
	// count as isolated.
	isolatedAfter = 6 * time.Second
	// yieldBackoff is the mean time that an isolated holder waits before it
	// competes for the lease again.
	yieldBackoff = 12 * time.Second
	// maxCandidates is the number of gateways that compete for the lease.
	maxCandidates = 3
)

// lease acquires and renews the planner lease, a key of the key-value service
// that is bound to a TTL. Only its holder plans.
type lease struct {
	self  string
	table *membership.Table
	kv    *kv.Client
	token string // value of the key; unique to this run of the process

	mu         sync.Mutex
	expiresAt  time.Time // zero: not held
	acquiredAt time.Time
	term       uint64 // incremented at each acquisition
	leaseID    string
	revision   uint64 // of the key
}

func newLease(self string, t *membership.Table, k *kv.Client) *lease {
	return &lease{self: self, table: t, kv: k, token: self + "/" + uuid.NewString()}
}

// held reports whether the lease is held at now and returns its term. It uses
// the local expiry time and does not ask the key-value service.
func (l *lease) held(now time.Time) (bool, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.expiresAt), l.term
}

func (l *lease) run(ctx context.Context) {
	interval := acquireInterval
	for ctx.Err() == nil {
		held, _ := l.held(time.Now())
		switch {
		case held && l.isolated(time.Now()):
			counter.Add("DutyYielded", 1)
			l.release()
			pause.For(ctx, pause.Jitter(yieldBackoff))
		case held:
			l.renew(ctx)
			pause.For(ctx, renewInterval)
		case !l.isCandidate(time.Now()):
			l.markLost()
			pause.For(ctx, pause.Jitter(acquireInterval))
		default:
			l.markLost()
			interval = l.tryAcquire(ctx, interval)
			pause.For(ctx, pause.Jitter(interval))
		}
	}
	l.release()
}

// isolated reports whether the holder reaches fewer than half of the gateways,
// so that another gateway would plan from better data. If no other gateway takes
// the lease, this one acquires it again after yieldBackoff, because planning from
// partial data is better than not planning.
func (l *lease) isolated(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.acquiredAt) > isolatedAfter && !l.table.Connected(l.self, now)
}

func (l *lease) isCandidate(now time.Time) bool {
	names := []string{l.self}
	for _, g := range l.table.LiveGateways(l.self, now) {
		names = append(names, g.Name)
	}
	return rendezvous.InTop(leaseKey, l.self, names, maxCandidates)
}

// tryAcquire acquires the lease if it is free. It returns the interval until the
// next attempt, which doubles up to maxAcquireInterval while the key-value
// service fails.
func (l *lease) tryAcquire(ctx context.Context, interval time.Duration) time.Duration {
	e, err := l.kv.Get(ctx, leaseKey)
	if err != nil {
		return min(2*interval, maxAcquireInterval)
	}
	if e.Revision > 0 {
		return acquireInterval
	}
	requestedAt := time.Now()
	granted, err := l.kv.Grant(ctx, int(leaseTTL.Milliseconds()))
	if err != nil {
		return min(2*interval, maxAcquireInterval)
	}
	e, err = l.kv.Swap(ctx, kv.Swap{Key: leaseKey, Value: []byte(l.token), Lease: granted.Lease})
	if err != nil {
		// If the response was lost, the key may hold this run's token. Nothing
		// renews that lease, so it expires after leaseTTL.
		return acquireInterval
	}
	l.mu.Lock()
	l.leaseID, l.revision = granted.Lease, e.Revision
	l.expiresAt = requestedAt.Add(leaseTTL)
	l.acquiredAt = requestedAt
	l.term++
	l.mu.Unlock()
	counter.Add("DutyAcquired", 1)
	event.Log(event.PlannerLeaseAcquired)
	return acquireInterval
}

func (l *lease) renew(ctx context.Context) {
	l.mu.Lock()
	id := l.leaseID
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	requestedAt := time.Now()
	_, err := l.kv.KeepAlive(ctx, id)
	var expired *kv.LeaseExpired
	switch {
	case errors.As(err, &expired):
		l.markLost()
	case err == nil:
		l.mu.Lock()
		l.expiresAt = requestedAt.Add(leaseTTL)
		l.mu.Unlock()
	default:
		counter.Add("DutyRenewalFailed", 1)
	}
}

func (l *lease) markLost() {
	l.mu.Lock()
	wasHeld := !l.expiresAt.IsZero()
	l.expiresAt = time.Time{}
	l.mu.Unlock()
	if wasHeld {
		counter.Add("DutyLost", 1)
		event.Log(event.PlannerLeaseLost)
	}
}

// release deletes the key at shutdown or when isolated, so that another gateway
// can acquire the lease without waiting for its expiry.
func (l *lease) release() {
	held, _ := l.held(time.Now())
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = l.kv.Swap(ctx, kv.Swap{Key: leaseKey, Revision: l.revision})
	l.markLost()
}
