package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/callerapi"
	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/claims"
	"almondreel.example/almondreel/internal/connlimit"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/ledger"
	"almondreel.example/almondreel/internal/logsink"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/planner"
	"almondreel.example/almondreel/internal/quarantinesync"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/signals"
	"almondreel.example/almondreel/internal/statesync"
	"almondreel.example/almondreel/internal/status"
	"almondreel.example/almondreel/internal/supervisor"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	stopTimeout       = 2 * time.Second
	drainTimeout      = 10 * time.Minute
	flushTimeout      = 3 * time.Second
	handOverTimeout   = 5 * time.Second
)

// gatewayDaemon holds a gateway's components.
type gatewayDaemon struct {
	settings       settings.Gateway
	desired        *desired.State
	members        *membership.Table
	quarantine     *quarantine.Table
	dispatcher     *dispatch.Dispatcher
	callerHandler  *callerapi.Handler
	stateSync      *statesync.Syncer
	planner        *planner.Planner
	quarantineSync *quarantinesync.Syncer
	claims         *claims.Store
	ledger         *ledger.Ledger
	ready          *readiness
	stopTimes      atomic.Pointer[stopTimes] // nil before the drain
}

// RunGateway runs the gateway with settings s until a signal to stop is received. Then it
// refuses new requests, completes those in progress and stops.
func RunGateway(s settings.Gateway, received *signals.Signals) error {
	limitMemory(s.MemoryMB)
	g := newGateway(s)
	sink := logsink.Start(os.Stderr)
	defer func() { sink.StopBy(g.flushBy()) }()
	callerListener, err := net.Listen("tcp", s.CallerListen)
	if err != nil {
		return errs.Wrap(err, "listen for callers", s.CallerListen)
	}
	controlListener, err := net.Listen("tcp", s.ControlListen)
	if err != nil {
		return errs.Wrap(err, "listen for control", s.ControlListen)
	}
	handler, err := g.controlHandler()
	if err != nil {
		return err
	}
	callerServer, controlServer := newCallerServer(g.callerHandler), newServer(callerconn.WithoutBodies(handler, shortResponseTimeout))
	callerListener = limitCallers(callerListener, callerServer, g.callerHandler.Memory())
	controlListener = limitPeers(controlListener, controlServer, connlimit.NewControl(openFiles()))
	tree := supervisor.NewTree(s.Name)
	// Task names appear in the log. The task "spread" distributes state to other
	// gateways and agents, and "suspicion" replicates the quarantine table.
	tree.Add("callers", supervisor.Serve(callerListener, callerServer, g.shutDownCallers))
	tree.Add("control", supervisor.Serve(controlListener, controlServer, shutDown))
	tree.Add("spread", g.stateSync.Run)
	tree.Add("planner", g.planner.Run)
	tree.Add("suspicion", g.quarantineSync.Run)
	tree.Add("claims", g.claims.Run)
	tree.Add("ledger", g.ledger.Run)
	return supervisor.Main("almondreel-gateway", received, tree, g.drain)
}

func newGateway(s settings.Gateway) *gatewayDaemon {
	d := &gatewayDaemon{
		settings:   s,
		desired:    desired.NewState(),
		members:    membership.NewTable(),
		quarantine: quarantine.NewTable(),
	}
	store := kv.NewClient(s.KeyValue)
	parts := quarantine.NewParts(d.quarantine)
	d.ready = &readiness{desired: d.desired}
	d.stateSync = statesync.New(s, d.desired, d.members, store, d.listQuarantined, d.mergeQuarantined)
	d.planner = planner.New(s, d.desired, d.members, store)
	d.quarantineSync = quarantinesync.New(s.Name, d.quarantine, parts, d.otherGateways, store)
	d.claims = claims.New(s.Name, func() int { return len(d.liveGateways()) }, store)
	d.ledger = ledger.New(s.Name, store)
	d.dispatcher = dispatch.New(dispatch.Options{
		Gateway:       s.Name,
		Desired:       d.desired,
		Members:       d.members,
		Gateways:      d.liveGateways,
		Quarantine:    d.quarantine,
		Parts:         parts,
		ReportSuspect: d.quarantineSync.Broadcast,
		ReportCrash:   d.quarantineSync.BroadcastCrash,
		Claims:        d.claims,
	})
	d.callerHandler = callerapi.NewHandler(callerapi.Options{
		Settings:   s,
		Desired:    d.desired,
		Dispatcher: d.dispatcher,
		Record:     d.ledger.Add,
		Outcomes:   d.claims,
	})
	return d
}

// otherGateways returns the other gateways that were heard from or are listed.
func (d *gatewayDaemon) otherGateways() []gateway.Peer {
	return d.members.Gateways(d.settings.Name, time.Now())
}

// liveGateways returns the names of all live gateways, including this one.
func (d *gatewayDaemon) liveGateways() []string {
	names := []string{d.settings.Name}
	for _, g := range d.members.LiveGateways(d.settings.Name, time.Now()) {
		names = append(names, g.Name)
	}
	return names
}

// controlHandler returns the handler for calls by almondreel's own processes, probes,
// metrics and status.
func (d *gatewayDaemon) controlHandler() (http.Handler, error) {
	rpcHandler, err := control.Handle(map[string]any{"Gateway": d.stateSync, quarantinesync.Name: d.quarantineSync.Receiver(), ledger.Name: d.ledger.Receiver()})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(control.Path, rpcHandler)
	d.ready.handle(mux)
	mux.Handle("GET /metrics", counter.Handler())
	mux.Handle("GET "+status.Path, status.Handler(d.desired, d.members))
	return mux, nil
}

// drain refuses new requests, waits for those in progress and writes the outcome records
// to the ledger. Requests that run for longer than drainTimeout, or nearly until the end
// of the grace period, get a final answer.
func (d *gatewayDaemon) drain(ctx context.Context) {
	times := newStopTimes(time.Now(), time.Duration(d.settings.GraceSeconds*float64(time.Second)))
	d.stopTimes.Store(&times)
	event.Log(event.DrainStarted, "Running", d.callerHandler.Running())
	d.ready.leave()
	drained := d.callerHandler.Drain()
	cut := 0
	if !waitUntil(ctx, drained, times.answer) {
		cut = d.callerHandler.Running()
		d.dispatcher.End()
		waitUntil(ctx, drained, times.write)
	}
	event.Log(event.DrainEnded, "Cut", cut, "Running", d.callerHandler.Running())
	ledgerCtx, cancel := withBound(ctx, times.ledger)
	defer cancel()
	d.closeLedger(ledgerCtx)
}

// waitUntil waits until done is closed, at the latest until a time. It reports whether
// done is closed.
func waitUntil(ctx context.Context, done <-chan struct{}, at time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, at)
	defer cancel()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// shutDownCallers shuts down the server for callers within the stop's times.
func (d *gatewayDaemon) shutDownCallers(ctx context.Context, s *http.Server) {
	var by time.Time
	if times := d.stopTimes.Load(); times != nil {
		by = times.close
	}
	ctx, cancel := withBound(ctx, by)
	defer cancel()
	shutDownCallers(ctx, s)
}

// flushBy returns when the log has to be written.
func (d *gatewayDaemon) flushBy() time.Time {
	by := time.Now().Add(logsink.FlushTimeout)
	if times := d.stopTimes.Load(); times != nil && !times.flush.IsZero() && times.flush.Before(by) {
		return times.flush
	}
	return by
}

// closeLedger writes the pending outcome records to the key-value service, or hands
// them to another gateway if the service does not accept them.
func (d *gatewayDaemon) closeLedger(ctx context.Context) {
	flushCtx, cancelFlush := context.WithTimeout(ctx, flushTimeout)
	defer cancelFlush()
	d.ledger.Flush(flushCtx)
	handOverCtx, cancelHandOver := context.WithTimeout(ctx, handOverTimeout)
	defer cancelHandOver()
	_ = d.ledger.HandOver(handOverCtx, d.otherGateways())
}

func (d *gatewayDaemon) listQuarantined() []gateway.QuarantineEntry {
	var out []gateway.QuarantineEntry
	for _, e := range d.quarantine.Quarantined(time.Now()) {
		out = append(out, gateway.QuarantineEntry{Fingerprint: e.Fingerprint, ExpiresAt: e.ExpiresAt.UnixNano()})
	}
	return out
}

func (d *gatewayDaemon) mergeQuarantined(all []gateway.QuarantineEntry) {
	entries := make([]quarantine.Entry, 0, len(all))
	for _, e := range all {
		entries = append(entries, quarantine.Entry{Fingerprint: e.Fingerprint, Convicted: true, ExpiresAt: time.Unix(0, e.ExpiresAt)})
	}
	d.quarantine.Merge(entries)
}
