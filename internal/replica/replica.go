// Package replica reconciles an agent's backend server with the placement. For an
// engine it fetches and verifies the placed version, sends the order to load it,
// and publishes in the agent's status whether the server may receive requests.
package replica

import (
	"context"
	"errors"
	"net"
	"time"

	"almondreel.example/almondreel/charts"
	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/transfer"
	"almondreel.example/almondreel/internal/weights"
	"almondreel.example/almondreel/pkg/statechart"
)

const (
	pollInterval     = 100 * time.Millisecond
	pollsPerLoadRead = 10 // the engine's load is read once in this many polls
	maxFailedReads   = 3  // consecutive failed state reads after which the status is closed
)

var replicaChart = charts.Load("replica")

// Reconciler reconciles an engine with the placement. Only Run's goroutine uses its
// fields.
type Reconciler struct {
	settings settings.Agent
	desired  *desired.State
	status   *serving.Tracker
	weights  *weights.Weights
	engine   *engine.Client
	machine  *statechart.Machine

	plan           transfer.Plan            // empty Digest: not placed
	mayLoad        bool                     // the placement lets this instance load the plan's version now
	servable       map[manifest.Digest]bool // versions that the placement lets this instance serve
	transfer       *transfer.Transfer
	cancelTransfer context.CancelFunc       // cancels transfer
	verified       map[manifest.Digest]bool // versions verified in full since the agent started
	order          *loadOrder               // the load order in flight; nil: none
	unsettled      unsettledOrder
	engineState    engine.State
	served         manifest.Digest // version that requests are admitted for; empty: none
	draining       bool            // new requests are refused: a load order is in flight or about to be sent
	failedReads    int
	polls          int
	retryAt        time.Time // no load order is sent before this time
	failedOrders   int       // consecutive load orders that failed
}

// New returns a reconciler for the engine of the agent with settings s.
func New(s settings.Agent, d *desired.State, t *serving.Tracker, w *weights.Weights) *Reconciler {
	return &Reconciler{
		settings: s,
		desired:  d,
		status:   t,
		weights:  w,
		engine:   engine.NewClient(s.Backend.Address),
		machine:  charts.Start(replicaChart),
		verified: map[manifest.Digest]bool{},
	}
}

// Run reconciles the engine with the placement until ctx ends, and returns ctx's error.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	defer r.close()
	for {
		snapshot, changed := r.desired.Current()
		r.applyPlacement(ctx, snapshot)
		r.checkTransfer(ctx)
		r.readEngine(ctx)
		r.checkEngineState()
		r.maybeOrderLoad(ctx, snapshot.Placement.Revision)
		r.publishStatus()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (r *Reconciler) close() {
	r.stopTransfer()
	if r.order != nil {
		r.order.cancel()
		<-r.order.done
	}
}

func (r *Reconciler) stopTransfer() {
	if r.transfer == nil {
		return
	}
	r.cancelTransfer()
	<-r.transfer.Ended()
	r.transfer = nil
}

// applyPlacement reads the instance's plan from the snapshot. If the plan has another
// version, its transfer replaces the running one.
func (r *Reconciler) applyPlacement(ctx context.Context, snapshot desired.Snapshot) {
	if snapshot.Placement.Revision == 0 {
		return
	}
	plan := planFor(snapshot.Placement, r.settings.Name)
	r.mayLoad = mayLoad(snapshot.Placement, r.settings.Name, plan.Digest)
	r.servable = servableVersions(snapshot.Placement, r.settings.Name)
	if plan.Digest == r.plan.Digest {
		r.updatePlan(plan)
		return
	}
	r.stopTransfer()
	r.plan = plan
	r.draining = false
	r.failedOrders, r.retryAt = 0, time.Time{}
	if plan.Digest == "" {
		charts.Fire(r.machine, "Remove")
		return
	}
	charts.Fire(r.machine, "Place")
	r.startTransfer(ctx)
}

func (r *Reconciler) startTransfer(ctx context.Context) {
	ctx, r.cancelTransfer = context.WithCancel(ctx)
	r.transfer = r.weights.Transfers.Start(ctx, r.plan)
}

// updatePlan passes changed members, deadline or weighing to the running transfer.
func (r *Reconciler) updatePlan(plan transfer.Plan) {
	r.plan = plan
	if r.transfer != nil {
		r.transfer.Update(plan)
	}
}

// fetchAgain replaces the transfer of the plan's version, of which a stored chunk turned
// corrupt and was dropped.
func (r *Reconciler) fetchAgain(ctx context.Context) {
	event.Log(event.StoredChunkCorrupt, r.engineFields("Digest", r.plan.Digest)...)
	r.stopTransfer()
	r.startTransfer(ctx)
}

// checkTransfer handles the end of a transfer, and drops the stored versions that are
// no longer needed.
func (r *Reconciler) checkTransfer(ctx context.Context) {
	if r.transfer == nil {
		r.weights.Store.Retain(nil)
		return
	}
	if _, chunks := r.transfer.Progress(); chunks > 0 {
		r.weights.Store.Retain(map[manifest.Digest]bool{r.plan.Digest: true, r.engineState.Digest: true})
	}
	if r.machine.State() != "Fetching" {
		return
	}
	select {
	case <-r.transfer.Done():
	default:
		return
	}
	err := r.transfer.Err()
	if errors.Is(err, chunkstore.ErrCorrupt) {
		r.fetchAgain(ctx)
		return
	}
	if err != nil {
		charts.Fire(r.machine, "Mismatch")
		return
	}
	r.verified[r.plan.Digest] = true
	charts.Fire(r.machine, "Verified")
}

// readEngine reads the engine's state, and every pollsPerLoadRead polls its load.
func (r *Reconciler) readEngine(ctx context.Context) {
	state, err := r.engine.State(ctx)
	if err != nil {
		r.failedReads++
		counter.Add("EngineReads.Failed", 1)
		return
	}
	if r.engineState.Started != "" && r.engineState.Started != state.Started {
		counter.Add("EngineRestarts", 1)
		r.cancelOrder()
	}
	r.failedReads = 0
	changed := r.engineState != state
	r.engineState = state
	if changed {
		event.Log(event.EngineWeightsChanged, r.engineFields("Digest", state.Digest, "Loading", state.Loading)...)
	}
	r.polls++
	if r.polls%pollsPerLoadRead != 1 {
		return
	}
	if load, err := r.engine.Load(ctx); err == nil {
		r.status.Update(func(s *serving.Status) { s.Slots = load.Slots })
	}
}

// publishStatus updates the agent's status. It is open only if the engine reports a
// version that was verified in full and that the placement lets this instance serve,
// and loads no other: an order that was refused, or that another agent sent, may have
// been accepted, and the version changes when its load ends.
func (r *Reconciler) publishStatus() {
	have, chunks := 0, 0
	if r.transfer != nil {
		have, chunks = r.transfer.Progress()
	}
	digest, loading := r.engineState.Digest, r.engineState.Loading
	stays := loading == "" || loading == digest
	open := !r.draining && stays && r.failedReads < maxFailedReads && r.servable[digest] && r.verified[digest]
	r.logServed(open)
	r.status.Update(func(s *serving.Status) {
		s.Open = open
		s.Digest = digest
		s.Want = r.plan.Digest
		s.Have = have
		s.Chunks = chunks
	})
}

// logServed logs which version requests are admitted for, when that changes; empty: none.
func (r *Reconciler) logServed(open bool) {
	var served manifest.Digest
	if open {
		served = r.engineState.Digest
	}
	if served != r.served {
		r.served = served
		event.Log(event.ServerWeightsChanged, r.engineFields("Digest", served)...)
	}
}

// engineFields returns the fields that name the engine, its run and the last order that
// it is known to have accepted, followed by pairs.
func (r *Reconciler) engineFields(pairs ...any) []any {
	return append([]any{
		"Server", r.settings.Name,
		"Engine", r.settings.Backend.Address,
		"Started", r.engineState.Started,
		"Accepted", r.engineState.FencingNumber,
	}, pairs...)
}

// weightsURL returns the URL from which the engine reads the weights of version d.
func (r *Reconciler) weightsURL(d manifest.Digest) string {
	address := r.settings.Listen
	host, port, err := net.SplitHostPort(address)
	if err == nil && net.ParseIP(host).IsUnspecified() {
		address = net.JoinHostPort("127.0.0.1", port)
	}
	return "http://" + address + agent.WeightsPath + string(d)
}
