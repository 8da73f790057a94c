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

// Load orders.
//
// A load order is a request to an engine to load a version. An engine has at most
// one load order in flight. The outcome of an order that ended without an answer is
// determined from the engine's state: the order took effect if the engine reports its
// version, and failed if the engine has been idle with another version for
// settleIdleReads consecutive reads. An order that takes effect later is detected by
// the same reads: the status follows the version that the engine reports, and the
// placed version is ordered again.

const (
	orderTimeout       = 10 * time.Minute
	settleIdleReads    = 5
	orderRetryDelay    = 500 * time.Millisecond
	maxOrderRetryDelay = 10 * time.Second
	statusSuperseded   = 409 // the fencing number is older, or a newer order replaced this one
)

// loadOrder is a load order in flight.
type loadOrder struct {
	digest manifest.Digest
	cancel context.CancelFunc
	done   chan struct{}
	err    error // set before done closes
}

// unsettledOrder counts the state reads since a load order ended without an answer.
type unsettledOrder struct {
	idleReads int // consecutive reads of an idle engine with another version
}

// maybeOrderLoad sends the load order for the placed version if it was fetched and
// verified in full, and the engine neither serves nor loads it.
func (r *Reconciler) maybeOrderLoad(ctx context.Context, revision uint64) {
	if !r.mayLoad || r.order != nil || r.machine.State() != "Held" || r.failedReads > 0 || time.Now().Before(r.retryAt) {
		return
	}
	if r.engineState.Loading != "" && r.engineState.Loading == r.plan.Digest {
		return
	}
	m, ok := r.weights.Store.Manifest(r.plan.Digest)
	verified := ok && r.weights.Store.Verified(r.plan.Digest)
	if !verified && r.weights.Store.Corrupt(r.plan.Digest) {
		charts.Fire(r.machine, "Corrupt")
		r.draining = false
		r.fetchAgain(ctx)
		return
	}
	invariant.Assert(verified, invariant.VerifiedBeforeLoad, "version %s", r.plan.Digest)
	if !verified || !r.drained() {
		return
	}
	charts.Fire(r.machine, "Order")
	event.Log(event.LoadOrdered, r.engineFields("Digest", r.plan.Digest, "FencingNumber", revision)...)
	r.sendOrder(ctx, engine.LoadModel{
		Digest:        r.plan.Digest,
		Whole:         m.Whole,
		Source:        r.weightsURL(r.plan.Digest),
		FencingNumber: revision,
	})
}

// drained stops new requests and reports whether the running ones have ended, because
// an engine may change its version in the middle of a request. The wait is bounded,
// since every dispatch has a deadline.
func (r *Reconciler) drained() bool {
	if !r.draining {
		r.draining = true
		return false // publishStatus closes the status before the next call
	}
	return r.status.Status().Running == 0
}

func (r *Reconciler) sendOrder(ctx context.Context, l engine.LoadModel) {
	invariant.Assert(r.order == nil, invariant.OneOrderAtATime, "load order for %s", l.Digest)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	o := &loadOrder{digest: l.Digest, cancel: cancel, done: make(chan struct{})}
	r.order = o
	go func() {
		defer close(o.done)
		defer cancel()
		_, o.err = r.engine.LoadModel(ctx, l)
	}()
}

// checkEngineState advances the state machine by the outcome of the load order and
// the version that the engine reports.
func (r *Reconciler) checkEngineState() {
	r.finishOrder()
	if r.failedReads > 0 {
		return
	}
	loaded := r.plan.Digest != "" && r.engineState.Digest == r.plan.Digest
	switch r.machine.State() {
	case "Held", "Ordering", "Unsettled":
		if loaded {
			r.confirmLoad()
			return
		}
		r.settleOrder()
	case "Serving":
		if !loaded {
			charts.Fire(r.machine, "Lose")
			counter.Add("VersionsLost", 1)
		}
	}
}

func (r *Reconciler) confirmLoad() {
	charts.Fire(r.machine, "Confirm")
	r.draining = false
	r.failedOrders = 0
	event.Log(event.LoadConfirmed, r.engineFields("Digest", r.plan.Digest)...)
}

// cancelOrder cancels the order in flight when the engine has restarted: its connection
// may outlast the run of the engine that it was sent to. The engine's state settles it.
func (r *Reconciler) cancelOrder() {
	if r.order != nil {
		r.order.cancel()
	}
}

// finishOrder handles the end of the load order in flight. It cancels an order for a
// version that is no longer placed, so that the order for the new one can be sent.
func (r *Reconciler) finishOrder() {
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
	r.logOrderError(o)
	if o.digest != r.plan.Digest || r.machine.State() != "Ordering" {
		return
	}
	r.unsettled = unsettledOrder{}
	if o.err == nil {
		charts.Fire(r.machine, "Answer")
		return
	}
	r.handleOrderError(o.err)
}

// logOrderError logs that order o got no answer or was refused, also if its version is no
// longer placed: the engine may have accepted it.
func (r *Reconciler) logOrderError(o *loadOrder) {
	if o.err == nil {
		return
	}
	fields := r.engineFields("Digest", o.digest)
	var status *engine.StatusError
	if errors.As(o.err, &status) {
		event.Fail(event.OrderRefused, o.err, fields...)
	} else {
		event.Fail(event.LoadUnanswered, o.err, fields...)
	}
}

func (r *Reconciler) handleOrderError(err error) {
	var status *engine.StatusError
	if !errors.As(err, &status) {
		charts.Fire(r.machine, "NoAnswer")
		counter.Add("OrderRetries.NoAnswer", 1)
		return
	}
	charts.Fire(r.machine, "Refuse")
	reason := "Failed"
	if status.Code == statusSuperseded {
		reason = "Refused"
	}
	counter.Add("OrderRetries."+reason, 1)
	r.backOff()
}

// settleOrder counts the state reads after an unanswered load order and treats it as
// failed after settleIdleReads of them.
func (r *Reconciler) settleOrder() {
	if r.machine.State() != "Unsettled" {
		return
	}
	if r.engineState.Loading != "" {
		r.unsettled.idleReads = 0
		return
	}
	r.unsettled.idleReads++
	if r.unsettled.idleReads < settleIdleReads {
		return
	}
	charts.Fire(r.machine, "Settle")
	r.backOff()
}

func (r *Reconciler) backOff() {
	r.draining = false
	wait := min(orderRetryDelay<<min(r.failedOrders, 8), maxOrderRetryDelay)
	r.failedOrders++
	r.retryAt = time.Now().Add(wait/2 + rand.N(wait))
}
