// Package daemon assembles the programs from their parts.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/caller"
	"almondreel.example/almondreel/internal/claims"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/ledger"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/planner"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/spread"
	"almondreel.example/almondreel/internal/status"
	"almondreel.example/almondreel/internal/suspicion"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	stopTimeout       = 2 * time.Second
	drainLimit        = 10 * time.Minute
	flushLimit        = 3 * time.Second
	handOverLimit     = 5 * time.Second
)

// gatewayParts is a gateway's state and duties.
type gatewayParts struct {
	settings   settings.Gateway
	desired    *desired.State
	members    *membership.Table
	quarantine *quarantine.Table
	front      *caller.Front
	spread     *spread.Spread
	planner    *planner.Planner
	suspicion  *suspicion.Share
	claims     *claims.Keeper
	ledger     *ledger.Ledger
	ready      *readiness
}

// RunGateway runs the gateway that s describes until SIGINT or SIGTERM. Then it
// refuses new requests, lets those in progress end, and stops.
func RunGateway(s settings.Gateway) error {
	callers, err := net.Listen("tcp", s.CallerListen)
	if err != nil {
		return errs.Wrap(err, "listen for callers", s.CallerListen)
	}
	controls, err := net.Listen("tcp", s.ControlListen)
	if err != nil {
		return errs.Wrap(err, "listen for control", s.ControlListen)
	}
	parts := newGateway(s)
	handler, err := parts.control()
	if err != nil {
		return err
	}
	tree := duty.NewTree(s.Name)
	tree.Add("callers", duty.Serve(callers, newServer(parts.front), shutDown))
	tree.Add("control", duty.Serve(controls, newServer(handler), shutDown))
	tree.Add("spread", parts.spread.Run)
	tree.Add("planner", parts.planner.Run)
	tree.Add("suspicion", parts.suspicion.Run)
	tree.Add("claims", parts.claims.Run)
	tree.Add("ledger", parts.ledger.Run)
	return duty.Main("almondreel-gateway", tree, parts.drain)
}

func newGateway(s settings.Gateway) *gatewayParts {
	p := &gatewayParts{
		settings:   s,
		desired:    desired.NewState(),
		members:    membership.NewTable(),
		quarantine: quarantine.NewTable(),
	}
	store := kv.NewClient(s.KeyValue)
	p.ready = &readiness{desired: p.desired}
	p.spread = spread.New(s, p.desired, p.members, store, p.convictions, p.adoptConvictions)
	p.planner = planner.New(s, p.desired, p.members, store)
	p.suspicion = suspicion.New(s.Name, p.quarantine, p.peers, store)
	p.claims = claims.New(s.Name, func() int { return len(p.gateways()) }, store)
	p.ledger = ledger.New(s.Name, store)
	dispatcher := dispatch.New(dispatch.Options{
		Gateway:    s.Name,
		Desired:    p.desired,
		Members:    p.members,
		Gateways:   p.gateways,
		Quarantine: p.quarantine,
		Suspected:  p.suspicion.Tell,
		Claims:     p.claims,
	})
	p.front = caller.NewFront(caller.Options{
		Settings:   s,
		Desired:    p.desired,
		Dispatcher: dispatcher,
		Record:     p.ledger.Add,
		Outcomes:   p.claims,
	})
	return p
}

// peers returns the other gateways, heard or listed.
func (p *gatewayParts) peers() []gateway.Peer {
	return p.members.Gateways(p.settings.Name, time.Now())
}

// gateways returns the names of all live gateways.
func (p *gatewayParts) gateways() []string {
	names := []string{p.settings.Name}
	for _, g := range p.members.LiveGateways(p.settings.Name, time.Now()) {
		names = append(names, g.Name)
	}
	return names
}

// control serves what other processes ask of the gateway.
func (p *gatewayParts) control() (http.Handler, error) {
	calls, err := control.Handle(map[string]any{"Gateway": p.spread, suspicion.Name: p.suspicion.Receiver(), ledger.Name: p.ledger.Receiver()})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(control.Path, calls)
	p.ready.handle(mux)
	mux.Handle("GET /metrics", counter.Handler())
	mux.Handle("GET "+status.Path, status.Handler(p.desired, p.members))
	return mux, nil
}

// drain lets the requests in progress end.
func (p *gatewayParts) drain(ctx context.Context) {
	event.Log(event.DrainStarted, "Running", p.front.Running())
	p.ready.leave()
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	select {
	case <-p.front.Close():
		event.Log(event.DrainEnded)
	case <-ctx.Done():
		event.Fail(event.DrainEnded, ctx.Err(), "Running", p.front.Running())
	}
	p.closeLedger(context.WithoutCancel(ctx))
}

// closeLedger writes the outcome records that wait, or hands them to another
// gateway when the key-value service does not take them.
func (p *gatewayParts) closeLedger(ctx context.Context) {
	flush, stop := context.WithTimeout(ctx, flushLimit)
	defer stop()
	p.ledger.Flush(flush)
	handOver, stopHandOver := context.WithTimeout(ctx, handOverLimit)
	defer stopHandOver()
	_ = p.ledger.HandOver(handOver, p.peers())
}

func (p *gatewayParts) convictions() []gateway.Conviction {
	var out []gateway.Conviction
	for _, e := range p.quarantine.Convictions(time.Now()) {
		out = append(out, gateway.Conviction{Fingerprint: e.Fingerprint, ExpiresAt: e.ExpiresAt.UnixNano()})
	}
	return out
}

func (p *gatewayParts) adoptConvictions(all []gateway.Conviction) {
	entries := make([]quarantine.Entry, 0, len(all))
	for _, c := range all {
		entries = append(entries, quarantine.Entry{Fingerprint: c.Fingerprint, Convicted: true, ExpiresAt: time.Unix(0, c.ExpiresAt)})
	}
	p.quarantine.Adopt(entries)
}
