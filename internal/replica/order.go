package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/charts"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/manifest"
)

// Orders.
//
// An engine has at most one order without an answer. An order that ended
// without an answer is settled by reading the engine's state: it took effect
// when the engine states its version, and came to nothing when the engine has
// been idle with another version for settleReads readings. An order that is
// still under way after that is found by the same readings: the board follows
// what the engine states, and the placed version is ordered again.

const (
	orderTimeout  = 10 * time.Minute
	settleReads   = 5
	orderRetry    = 500 * time.Millisecond
	orderRetryMax = 10 * time.Second
	statusTooOld  = 409 // an older fencing number, or replaced by a newer order
)

// order is a load order on its way.
type order struct {
	digest manifest.Digest
	cancel context.CancelFunc
	done   chan struct{}
	err    error // set before done closes
}

// settling counts readings since an order ended without an answer.
type settling struct {
	idle int // readings in a row of an idle engine with another version
}

// maybeOrder gives the load order for a version that is held whole and that
// the engine neither states nor loads.
func (r *Replica) maybeOrder(ctx context.Context, revision uint64) {
	if !r.mayLoad || r.order != nil || r.machine.State() != "Held" || r.silence > 0 || time.Now().Before(r.retryAt) {
		return
	}
	if r.state.Loading != "" && r.state.Loading == r.plan.Digest {
		return
	}
	m, ok := r.weights.Store.Manifest(r.plan.Digest)
	held := ok && r.weights.Store.Verified(r.plan.Digest)
	invariant.Assert(held, invariant.VerifiedBeforeLoad, "version %s", r.plan.Digest)
	if !held || !r.drained() {
		return
	}
	charts.Fire(r.machine, "Order")
	event.Log(event.LoadOrdered, "Digest", r.plan.Digest, "FencingNumber", revision)
	r.send(ctx, engine.LoadModel{
		Digest:        r.plan.Digest,
		Whole:         m.Whole,
		Source:        r.source(r.plan.Digest),
		FencingNumber: revision,
	})
}

// drained closes the board and reports whether the requests that were let in
// before have ended. An engine may change its version in the middle of them.
// Every dispatch has a deadline, so the wait ends.
func (r *Replica) drained() bool {
	if !r.closed {
		r.closed = true
		return false // show closes the board before the next look
	}
	return r.board.Status().Running == 0
}

func (r *Replica) send(ctx context.Context, l engine.LoadModel) {
	invariant.Assert(r.order == nil, invariant.OneOrderAtATime, "order for %s", l.Digest)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	o := &order{digest: l.Digest, cancel: cancel, done: make(chan struct{})}
	r.order = o
	go func() {
		defer close(o.done)
		defer cancel()
		_, o.err = r.engine.LoadModel(ctx, l)
	}()
}

// conclude follows the order and what the engine states.
func (r *Replica) conclude() {
	r.concludeOrder()
	if r.silence > 0 {
		return
	}
	stated := r.plan.Digest != "" && r.state.Digest == r.plan.Digest
	switch r.machine.State() {
	case "Held", "Ordering", "Unsettled":
		if stated {
			r.confirm()
			return
		}
		r.settleOrder()
	case "Serving":
		if !stated {
			charts.Fire(r.machine, "Lose")
			counter.Add("VersionsLost", 1)
		}
	}
}

func (r *Replica) confirm() {
	charts.Fire(r.machine, "Confirm")
	r.closed = false
	r.failures = 0
	event.Log(event.LoadConfirmed, "Digest", r.plan.Digest)
}

// concludeOrder takes in the end of the order. An order for a version that is
// no longer placed is given up: the newer one follows it.
func (r *Replica) concludeOrder() {
	o := r.order
	if o == nil {
		return
	}
	if o.digest != r.plan.Digest {
		o.cancel()
	}
	select {
	case <-o.done:
	default:
		return
	}
	r.order = nil
	if o.digest != r.plan.Digest || r.machine.State() != "Ordering" {
		return
	}
	r.settle = settling{}
	if o.err == nil {
		charts.Fire(r.machine, "Answer")
		return
	}
	r.orderFailed(o.err)
}

func (r *Replica) orderFailed(err error) {
	var status *engine.StatusError
	if !errors.As(err, &status) {
		charts.Fire(r.machine, "NoAnswer")
		counter.Add("OrderRetries.NoAnswer", 1)
		event.Fail(event.LoadUnsettled, err, "Digest", r.plan.Digest)
		return
	}
	charts.Fire(r.machine, "Refuse")
	reason := "Failed"
	if status.Code == statusTooOld {
		reason = "Refused"
		event.Fail(event.OrderRefused, err, "Digest", r.plan.Digest)
	}
	counter.Add("OrderRetries."+reason, 1)
	r.backOff()
}

// settleOrder decides that an unanswered order came to nothing.
func (r *Replica) settleOrder() {
	if r.machine.State() != "Unsettled" {
		return
	}
	if r.state.Loading != "" {
		r.settle.idle = 0
		return
	}
	r.settle.idle++
	if r.settle.idle < settleReads {
		return
	}
	charts.Fire(r.machine, "Settle")
	r.backOff()
}

func (r *Replica) backOff() {
	r.closed = false
	wait := min(orderRetry<<min(r.failures, 8), orderRetryMax)
	r.failures++
	r.retryAt = time.Now().Add(wait/2 + rand.N(wait))
}
