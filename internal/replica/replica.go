// Package replica keeps the backend server beside an agent at what the
// placement says: it fetches the placed version, verifies the whole, orders the
// engine to load it, and opens the board for the version that the engine states.
package replica

import (
	"context"
	"net"
	"time"

	"almondreel.example/almondreel/charts"
	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/transfer"
	"almondreel.example/almondreel/internal/weights"
	"almondreel.example/almondreel/pkg/chart"
)

const (
	pollInterval = 100 * time.Millisecond
	loadReads    = 10 // polls between two readings of the engine's load
	maxSilence   = 3  // state readings in a row without an answer, before the board closes
)

var replicaChart = charts.Load("replica")

// Replica is the duty for an engine. Its fields belong to Run's goroutine.
type Replica struct {
	settings settings.Agent
	desired  *desired.State
	board    *serving.Board
	weights  *weights.Weights
	engine   *engine.Client
	machine  *chart.Machine

	plan     transfer.Plan            // empty Digest: not placed
	mayLoad  bool                     // it is this instance's turn to load the plan's version
	answers  map[manifest.Digest]bool // versions that may answer here
	transfer *transfer.Transfer
	stop     context.CancelFunc       // of the transfer
	verified map[manifest.Digest]bool // versions that were verified whole in this run
	order    *order                   // without an answer; nil: none
	settle   settling
	state    engine.State
	closed   bool // no request is let in: an order is given or about to be
	silence  int
	polls    int
	retryAt  time.Time // no order is given before
	failures int       // orders in a row that came to nothing
}

// New returns the duty of the agent that s describes.
func New(s settings.Agent, d *desired.State, b *serving.Board, w *weights.Weights) *Replica {
	return &Replica{
		settings: s,
		desired:  d,
		board:    b,
		weights:  w,
		engine:   engine.NewClient(s.Backend.Address),
		machine:  charts.Start(replicaChart),
		verified: map[manifest.Digest]bool{},
	}
}

// Run follows the placement until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	defer r.close()
	for {
		snapshot, changed := r.desired.Current()
		r.follow(ctx, snapshot)
		r.fetched()
		r.read(ctx)
		r.conclude()
		r.maybeOrder(ctx, snapshot.Placement.Revision)
		r.show()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (r *Replica) close() {
	r.stopTransfer()
	if r.order != nil {
		r.order.cancel()
		<-r.order.done
	}
}

func (r *Replica) stopTransfer() {
	if r.transfer == nil {
		return
	}
	r.stop()
	<-r.transfer.Ended()
	r.transfer = nil
}

// follow starts the transfer of a newly placed version in place of the former one.
func (r *Replica) follow(ctx context.Context, snapshot desired.Snapshot) {
	if snapshot.Placement.Revision == 0 {
		return
	}
	plan := planOf(snapshot.Placement, r.settings.Name)
	r.mayLoad = mayLoad(snapshot.Placement, r.settings.Name, plan.Digest)
	r.answers = answers(snapshot.Placement, r.settings.Name)
	if plan.Digest == r.plan.Digest {
		r.refresh(plan)
		return
	}
	r.stopTransfer()
	r.plan = plan
	r.closed = false
	r.failures, r.retryAt = 0, time.Time{}
	if plan.Digest == "" {
		charts.Fire(r.machine, "Remove")
		return
	}
	charts.Fire(r.machine, "Place")
	r.startTransfer(ctx)
}

func (r *Replica) startTransfer(ctx context.Context) {
	ctx, r.stop = context.WithCancel(ctx)
	r.transfer = r.weights.Exchange.Start(ctx, r.plan)
}

// refresh passes a change of members or deadline on to the running transfer.
func (r *Replica) refresh(plan transfer.Plan) {
	r.plan = plan
	if r.transfer != nil {
		r.transfer.Update(plan)
	}
}

// fetched notes the end of a transfer, and drops versions that are no longer wanted.
func (r *Replica) fetched() {
	if r.transfer == nil {
		r.weights.Store.Retain(nil)
		return
	}
	if _, chunks := r.transfer.Progress(); chunks > 0 {
		r.weights.Store.Retain(map[manifest.Digest]bool{r.plan.Digest: true, r.state.Digest: true})
	}
	if r.machine.State() != "Fetching" {
		return
	}
	select {
	case <-r.transfer.Done():
	default:
		return
	}
	if r.transfer.Err() != nil {
		charts.Fire(r.machine, "Mismatch")
		return
	}
	r.verified[r.plan.Digest] = true
	charts.Fire(r.machine, "Verified")
}

// read reads the engine's state, and its load now and then.
func (r *Replica) read(ctx context.Context) {
	state, err := r.engine.State(ctx)
	if err != nil {
		r.silence++
		counter.Add("EngineReads.Failed", 1)
		return
	}
	if r.state.Started != "" && r.state.Started != state.Started {
		counter.Add("EngineRestarts", 1)
	}
	r.silence = 0
	r.state = state
	r.polls++
	if r.polls%loadReads != 1 {
		return
	}
	if load, err := r.engine.Load(ctx); err == nil {
		r.board.Update(func(s *serving.Status) { s.Slots = load.Slots })
	}
}

// show writes the state on the board. It is open only for a version that the
// engine states, that was verified whole and that the placement lets answer.
func (r *Replica) show() {
	have, chunks := 0, 0
	if r.transfer != nil {
		have, chunks = r.transfer.Progress()
	}
	digest := r.state.Digest
	open := !r.closed && r.silence < maxSilence && r.answers[digest] && r.verified[digest]
	r.board.Update(func(s *serving.Status) {
		s.Open = open
		s.Digest = digest
		s.Want = r.plan.Digest
		s.Have = have
		s.Chunks = chunks
	})
}

// source returns the URL at which the engine reads a version.
func (r *Replica) source(d manifest.Digest) string {
	address := r.settings.Listen
	host, port, err := net.SplitHostPort(address)
	if err == nil && net.ParseIP(host).IsUnspecified() {
		address = net.JoinHostPort("127.0.0.1", port)
	}
	return "http://" + address + agent.WeightsPath + string(d)
}
