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
	"almondreel.example/almondreel/internal/rank"
)

const (
	dutyKey         = "duty/planner"
	leaseTime       = 5 * time.Second
	renewInterval   = 1500 * time.Millisecond
	seekInterval    = 2 * time.Second
	maxSeekInterval = 8 * time.Second
	cutOffAfter     = 6 * time.Second
	yieldPause      = 12 * time.Second
	// candidates is the number of gateways that seek the duty.
	candidates = 3
)

// lease seeks and keeps the duty.
type lease struct {
	self  string
	table *membership.Table
	kv    *kv.Client
	token string // distinguishes this run's value of the key

	mu       sync.Mutex
	until    time.Time // zero: not held
	since    time.Time // when it was acquired
	term     uint64    // rises each time the duty is acquired
	id       string
	revision uint64 // of the key
}

func newLease(self string, t *membership.Table, k *kv.Client) *lease {
	return &lease{self: self, table: t, kv: k, token: self + "/" + uuid.NewString()}
}

// held reports whether the duty is believed held at now, and for which term.
func (l *lease) held(now time.Time) (bool, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until), l.term
}

func (l *lease) run(ctx context.Context) {
	gap := seekInterval
	for ctx.Err() == nil {
		held, _ := l.held(time.Now())
		switch {
		case held && l.cutOff(time.Now()):
			counter.Add("DutyYielded", 1)
			l.release()
			pause.For(ctx, pause.Jitter(yieldPause))
		case held:
			l.renew(ctx)
			pause.For(ctx, renewInterval)
		case !l.candidate(time.Now()):
			l.lose()
			pause.For(ctx, pause.Jitter(seekInterval))
		default:
			l.lose()
			gap = l.seek(ctx, gap)
			pause.For(ctx, pause.Jitter(gap))
		}
	}
	l.release()
}

// cutOff reports whether the holder has not heard half of the gateways for so
// long that another would plan better. Alone it takes the duty again after a
// pause, since some planning is better than none.
func (l *lease) cutOff(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.since) > cutOffAfter && !l.table.Connected(l.self, now)
}

func (l *lease) candidate(now time.Time) bool {
	names := []string{l.self}
	for _, g := range l.table.LiveGateways(l.self, now) {
		names = append(names, g.Name)
	}
	return rank.Among(dutyKey, l.self, names, candidates)
}

// seek takes the duty if nobody holds it. It returns the gap until the next
// try, which grows while the service does not answer.
func (l *lease) seek(ctx context.Context, gap time.Duration) time.Duration {
	e, err := l.kv.Get(ctx, dutyKey)
	if err != nil {
		return min(2*gap, maxSeekInterval)
	}
	if e.Revision > 0 {
		return seekInterval
	}
	asked := time.Now()
	granted, err := l.kv.Grant(ctx, int(leaseTime.Milliseconds()))
	if err != nil {
		return min(2*gap, maxSeekInterval)
	}
	e, err = l.kv.Swap(ctx, kv.Swap{Key: dutyKey, Value: []byte(l.token), Lease: granted.Lease})
	if err != nil {
		// After a lost answer the key may hold this run's token: the lease then
		// lapses by itself, since nothing renews it.
		return seekInterval
	}
	l.mu.Lock()
	l.id, l.revision = granted.Lease, e.Revision
	l.until = asked.Add(leaseTime)
	l.since = asked
	l.term++
	l.mu.Unlock()
	counter.Add("DutyAcquired", 1)
	event.Log(event.DutyAcquired)
	return seekInterval
}

func (l *lease) renew(ctx context.Context) {
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	asked := time.Now()
	_, err := l.kv.KeepAlive(ctx, id)
	var lapsed *kv.Lapsed
	switch {
	case errors.As(err, &lapsed):
		l.lose()
	case err == nil:
		l.mu.Lock()
		l.until = asked.Add(leaseTime)
		l.mu.Unlock()
	default:
		counter.Add("DutyRenewalFailed", 1)
	}
}

func (l *lease) lose() {
	l.mu.Lock()
	had := !l.until.IsZero()
	l.until = time.Time{}
	l.mu.Unlock()
	if had {
		counter.Add("DutyLost", 1)
		event.Log(event.DutyLost)
	}
}

// release gives the duty up at shutdown, so that another takes it at once.
func (l *lease) release() {
	held, _ := l.held(time.Now())
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = l.kv.Swap(ctx, kv.Swap{Key: dutyKey, Revision: l.revision})
	l.lose()
}
