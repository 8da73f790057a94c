// Package assembly puts gateways, agents' doors and stand-ins together in one
// process, over loopback HTTP, for tests and benchmarks of the request path.
package assembly

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/caller"
	"almondreel.example/almondreel/internal/claims"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/door"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/ledger"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
	enginestandin "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/standin/faultproxy"
	kvstandin "almondreel.example/almondreel/internal/standin/kv"
	servicestandin "almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/internal/suspicion"
	"almondreel.example/almondreel/pkg/quarantine"
)

const heartbeatInterval = 100 * time.Millisecond

// Names of the services, and the version that engines serve.
const (
	EngineService = "assistant"
	PlainService  = "ledger"
	Digest        = manifest.Digest("sha256:1111111111111111111111111111111111111111111111111111111111111111")
)

// Options of a Site.
type Options struct {
	Gateways      int // 0 means 1
	Engines       int
	Services      int
	Engine        enginestandin.Options // of each engine; Digest and Crash are set
	Service       servicestandin.Options
	Classes       []operator.Class
	Organisations []settings.Organisation
	MaxBodyBytes  int64
}

// Gateway is a gateway's request path.
type Gateway struct {
	Name       string
	URL        string // of the listener for callers
	Front      *caller.Front
	Dispatcher *dispatch.Dispatcher
	Members    *membership.Table
	Ledger     *ledger.Ledger
	Claims     *claims.Keeper
	Quarantine *quarantine.Table
	control    string
	StopDuties context.CancelFunc // freezes claims and ledger
}

// Replica is an agent's door with its backend server.
type Replica struct {
	Member  gateway.Member
	Board   *serving.Board
	Door    *door.Door
	Engine  *enginestandin.Server
	Service *servicestandin.Server
	ToAgent *faultproxy.Route // between gateways and the agent
	ToBack  *faultproxy.Route // between the agent and the backend server
	backend *httptest.Server
	agent   *httptest.Server
}

// Site is an assembly.
type Site struct {
	KeyValue *kvstandin.Server
	Gateways []*Gateway
	Replicas []*Replica
	options  Options
	kvURL    string
	cancel   context.CancelFunc
	ctx      context.Context
	ended    []<-chan error
	closers  []func()
}

// Start starts a site. Close stops it.
func Start(o Options) (*Site, error) {
	s := &Site{options: o, KeyValue: kvstandin.New(kvstandin.Options{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	server := httptest.NewServer(s.KeyValue)
	s.closers = append(s.closers, server.Close)
	s.kvURL = server.URL
	for i := range o.Engines {
		if err := s.addReplica(fmt.Sprintf("engine-%d", i), settings.KindEngine); err != nil {
			return nil, err
		}
	}
	for i := range o.Services {
		if err := s.addReplica(fmt.Sprintf("service-%d", i), settings.KindPlain); err != nil {
			return nil, err
		}
	}
	for i := range max(1, o.Gateways) {
		if err := s.addGateway(fmt.Sprintf("gateway-%d", i)); err != nil {
			return nil, err
		}
	}
	s.beat()
	s.run(s.ctx, s.heartbeats)
	return s, nil
}

// Close stops everything.
func (s *Site) Close() {
	s.cancel()
	for _, e := range s.ended {
		<-e
	}
	for _, r := range s.Replicas {
		r.agent.CloseClientConnections()
		r.agent.Close()
		r.ToAgent.Close()
		r.ToBack.Close()
		r.backend.CloseClientConnections()
		r.backend.Close()
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

func (s *Site) run(ctx context.Context, f func(context.Context) error) {
	ended := make(chan error, 1)
	go func() {
		ended <- f(ctx)
	}()
	s.ended = append(s.ended, ended)
}

func (s *Site) addReplica(name, kind string) error {
	r := &Replica{Board: serving.NewBoard()}
	var err error
	service := PlainService
	if kind == settings.KindEngine {
		service = EngineService
		o := s.options.Engine
		o.Digest = Digest
		o.Crash = func() { r.kill() }
		r.Engine = enginestandin.New(o)
		r.backend = httptest.NewServer(r.Engine)
	} else {
		r.Service = servicestandin.New(s.options.Service)
		r.backend = httptest.NewServer(r.Service)
	}
	if r.ToBack, err = faultproxy.Start("127.0.0.1:0", r.backend.Listener.Addr().String()); err != nil {
		return err
	}
	backend := settings.Backend{Kind: kind, Service: service, Address: r.ToBack.Address()}
	r.Door = door.New(settings.Agent{Identity: settings.Identity{Name: name}, Backend: backend}, r.Board)
	s.run(s.ctx, r.Door.Run)
	mux := http.NewServeMux()
	mux.Handle(agent.DispatchPath, r.Door)
	r.agent = httptest.NewServer(mux)
	if r.ToAgent, err = faultproxy.Start("127.0.0.1:0", r.agent.Listener.Addr().String()); err != nil {
		return err
	}
	slots := s.options.Engine.Slots
	if kind == settings.KindPlain || slots == 0 {
		slots = 64
	}
	r.Board.Update(func(b *serving.Status) {
		b.Open, b.Slots = true, slots
		if kind == settings.KindEngine {
			b.Digest = Digest
		}
	})
	r.Member = gateway.Member{Name: name, Region: "r", DataCentre: "d", Address: r.ToAgent.Address(), Service: service, Kind: kind, Started: 1}
	s.Replicas = append(s.Replicas, r)
	return nil
}

// kill ends the backend server as a crash of its process does.
func (r *Replica) kill() {
	_ = r.ToBack.Set(faultproxy.Faults{Refuse: true, ToTarget: faultproxy.Cut{}, ToCaller: faultproxy.Cut{}})
}

// Dead reports whether the replica's backend server was killed.
func (r *Replica) Dead() bool { return r.ToBack.Faults().Refuse }

func (s *Site) addGateway(name string) error {
	o := s.options
	g := &Gateway{Name: name, Members: membership.NewTable(), Quarantine: quarantine.NewTable()}
	d, err := desiredState(o)
	if err != nil {
		return err
	}
	store := kv.NewClient(s.kvURL)
	share := suspicion.New(name, g.Quarantine, func() []gateway.Peer { return s.peers(name) }, store)
	g.Claims = claims.New(name, func() int { return max(1, o.Gateways) }, store)
	g.Ledger = ledger.New(name, store)
	g.Dispatcher = dispatch.New(dispatch.Options{
		Gateway: name, Desired: d, Members: g.Members, Gateways: s.gatewayNames,
		Quarantine: g.Quarantine, Suspected: share.Tell, Claims: g.Claims,
	})
	g.Front = caller.NewFront(caller.Options{
		Settings: settings.Gateway{Organisations: o.Organisations, MaxBodyBytes: o.MaxBodyBytes},
		Desired:  d, Dispatcher: g.Dispatcher, Record: g.Ledger.Add, Outcomes: g.Claims,
	})
	calls, err := control.Handle(map[string]any{suspicion.Name: share.Receiver()})
	if err != nil {
		return err
	}
	front := httptest.NewServer(g.Front)
	controls := httptest.NewServer(calls)
	s.closers = append(s.closers, front.Close, controls.Close)
	g.URL, g.control = front.URL, controls.Listener.Addr().String()
	ctx, stop := context.WithCancel(s.ctx)
	g.StopDuties = stop
	s.run(ctx, g.Claims.Run)
	s.run(ctx, g.Ledger.Run)
	s.run(ctx, share.Run)
	s.Gateways = append(s.Gateways, g)
	return nil
}

func (s *Site) gatewayNames() []string {
	var names []string
	for _, g := range s.Gateways {
		names = append(names, g.Name)
	}
	return names
}

func (s *Site) peers(self string) []gateway.Peer {
	var out []gateway.Peer
	for _, g := range s.Gateways {
		if g.Name != self {
			out = append(out, gateway.Peer{Name: g.Name, Address: g.control})
		}
	}
	return out
}

// desiredState has the classes in force, each placed with Digest.
func desiredState(o Options) (*desired.State, error) {
	d := desired.NewState()
	var p placement.Placement
	for _, c := range o.Classes {
		a := placement.Assignment{Class: c.Name, Kind: c.Kind, Service: c.Service}
		if c.Kind == operator.Model {
			a.Digest = Digest
		}
		p.Assignments = append(p.Assignments, a)
	}
	configuration, err := json.Marshal(operator.Document{Classes: o.Classes})
	if err != nil {
		return nil, err
	}
	placed, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	if err := d.AdoptConfiguration(gateway.Versioned{Value: configuration, Revision: 1}, "assembly"); err != nil {
		return nil, err
	}
	return d, d.AdoptPlacement(gateway.Versioned{Value: placed, Revision: 2}, "assembly")
}

// heartbeats tells every gateway of every replica until ctx ends.
func (s *Site) heartbeats(ctx context.Context) error {
	return pause.Each(ctx, heartbeatInterval, s.beat)
}

func (s *Site) beat() {
	now := time.Now()
	for _, r := range s.Replicas {
		status := r.Board.Status()
		m := r.Member
		m.Sequence = uint64(now.UnixNano())
		m.Digest, m.Leaving, m.Running, m.Slots = status.Digest, status.Leaving, status.Running, status.Slots
		for _, g := range s.Gateways {
			g.Members.Hear(m, now)
		}
	}
}

// Backend returns the base URL of the backend server, past all proxies.
func (r *Replica) Backend() string { return r.backend.URL }
