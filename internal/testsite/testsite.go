// Package testsite runs a site in one process, over loopback HTTP, for tests
// and benchmarks of the request path: gateways, the request handlers of agents,
// simulated backend servers and a simulated key-value service.
package testsite

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/backendproxy"
	"almondreel.example/almondreel/internal/callerapi"
	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/claims"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/ledger"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/quarantinesync"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/standin/faultproxy"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
	standinservice "almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/pkg/quarantine"
)

const heartbeatInterval = 100 * time.Millisecond

// Names of the services, and the digest of the version that engines serve.
const (
	EngineService = "assistant"
	PlainService  = "ledger"
	Digest        = manifest.Digest("sha256:1111111111111111111111111111111111111111111111111111111111111111")
)

// Options configure a Site.
type Options struct {
	Gateways int // 0: one gateway
	Engines  int
	Services int
	Engine   standinengine.Options // of each engine; Digest and Crash are overwritten
	// LateRefusalMilliseconds is how long a crashed engine accepts connections after
	// it has cut those in progress.
	LateRefusalMilliseconds int
	Service                 standinservice.Options
	Classes                 []operator.Class
	Organisations           []settings.Organisation
	MaxBodyBytes            int64
}

// Gateway is the part of a gateway that handles requests.
type Gateway struct {
	Name           string
	URL            string // base URL of the listener for callers
	CallerHandler  *callerapi.Handler
	Dispatcher     *dispatch.Dispatcher
	Desired        *desired.State
	Members        *membership.Table
	Ledger         *ledger.Ledger
	Claims         *claims.Store
	Quarantine     *quarantine.Table
	control        string
	StopBackground context.CancelFunc // stops its claims, ledger and quarantine sync
}

// Replica is an agent's request handler with its backend server.
type Replica struct {
	Member       gateway.Member
	Status       *serving.Tracker
	BackendProxy *backendproxy.Proxy
	Engine       *standinengine.Server
	Service      *standinservice.Server
	ToAgent      *faultproxy.Route // proxy between gateways and the agent
	ToBackend    *faultproxy.Route // proxy between the agent and the backend server
	backend      *httptest.Server
	agent        *httptest.Server
	crashed      atomic.Bool
}

// Site is a set of gateways and replicas that share a key-value service.
type Site struct {
	KeyValue *standinkv.Server
	Gateways []*Gateway
	Replicas []*Replica
	options  Options
	kvURL    string
	cancel   context.CancelFunc
	ctx      context.Context
	done     []<-chan error
	closers  []func()
}

// Start starts a site. Close stops it.
func Start(o Options) (*Site, error) {
	s := &Site{options: o, KeyValue: standinkv.New(standinkv.Options{})}
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
	s.sendHeartbeats()
	s.runBackground(s.ctx, s.heartbeatLoop)
	return s, nil
}

// Close stops all servers and background work.
func (s *Site) Close() {
	s.cancel()
	for _, ended := range s.done {
		<-ended
	}
	for _, r := range s.Replicas {
		r.agent.CloseClientConnections()
		r.agent.Close()
		r.ToAgent.Close()
		r.ToBackend.Close()
		r.backend.CloseClientConnections()
		r.backend.Close()
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

func (s *Site) runBackground(ctx context.Context, f func(context.Context) error) {
	ended := make(chan error, 1)
	go func() {
		ended <- f(ctx)
	}()
	s.done = append(s.done, ended)
}

func (s *Site) addReplica(name, kind string) error {
	r := &Replica{Status: serving.NewTracker()}
	var err error
	service := PlainService
	if kind == settings.KindEngine {
		service = EngineService
		o := s.options.Engine
		o.Digest = Digest
		o.Crash = func() { r.crashBackend(time.Duration(s.options.LateRefusalMilliseconds) * time.Millisecond) }
		r.Engine = standinengine.New(o)
		r.backend = httptest.NewServer(r.Engine)
	} else {
		r.Service = standinservice.New(s.options.Service)
		r.backend = httptest.NewServer(r.Service)
	}
	if r.ToBackend, err = faultproxy.Start("127.0.0.1:0", r.backend.Listener.Addr().String()); err != nil {
		return err
	}
	backend := settings.Backend{Kind: kind, Service: service, Address: r.ToBackend.Address()}
	r.BackendProxy = backendproxy.New(settings.Agent{Identity: settings.Identity{Name: name}, Backend: backend}, r.Status)
	s.runBackground(s.ctx, r.BackendProxy.Run)
	mux := http.NewServeMux()
	mux.Handle(agent.DispatchPath, r.BackendProxy)
	r.agent = httptest.NewServer(mux)
	if r.ToAgent, err = faultproxy.Start("127.0.0.1:0", r.agent.Listener.Addr().String()); err != nil {
		return err
	}
	slots := s.options.Engine.Slots
	if kind == settings.KindPlain || slots == 0 {
		slots = 64
	}
	r.Status.Update(func(status *serving.Status) {
		status.Open, status.Slots = true, slots
		if kind == settings.KindEngine {
			status.Digest = Digest
		}
	})
	r.Member = gateway.Member{Name: name, Region: "r", DataCentre: "d", Address: r.ToAgent.Address(), Service: service, Kind: kind, Started: 1}
	s.Replicas = append(s.Replicas, r)
	return nil
}

// crashBackend cuts the backend server's connections and makes it refuse new ones
// lateRefusal later, as a crash of its process does.
func (r *Replica) crashBackend(lateRefusal time.Duration) {
	r.crashed.Store(true)
	cut := faultproxy.Faults{ToTarget: faultproxy.Cut{}, ToCaller: faultproxy.Cut{}}
	if lateRefusal > 0 {
		_ = r.ToBackend.Set(cut)
		time.Sleep(lateRefusal)
	}
	cut.Refuse = true
	_ = r.ToBackend.Set(cut)
}

// BackendDown reports whether the backend server crashed.
func (r *Replica) BackendDown() bool { return r.crashed.Load() }

func (s *Site) addGateway(name string) error {
	o := s.options
	g := &Gateway{Name: name, Members: membership.NewTable(), Quarantine: quarantine.NewTable()}
	d, err := newDesiredState(o)
	if err != nil {
		return err
	}
	g.Desired = d
	store := kv.NewClient(s.kvURL)
	parts := quarantine.NewParts(g.Quarantine)
	syncer := quarantinesync.New(name, g.Quarantine, parts, func() []gateway.Peer { return s.peers(name) }, store)
	g.Claims = claims.New(name, func() int { return max(1, o.Gateways) }, store)
	g.Ledger = ledger.New(name, store)
	g.Dispatcher = dispatch.New(dispatch.Options{
		Gateway: name, Desired: d, Members: g.Members, Gateways: s.gatewayNames,
		Quarantine: g.Quarantine, Parts: parts, ReportSuspect: syncer.Broadcast, ReportCrash: syncer.BroadcastCrash, Claims: g.Claims,
	})
	g.CallerHandler = callerapi.NewHandler(callerapi.Options{
		Settings: settings.Gateway{Organisations: o.Organisations, MaxBodyBytes: o.MaxBodyBytes},
		Desired:  d, Dispatcher: g.Dispatcher, Record: g.Ledger.Add, Outcomes: g.Claims,
	})
	controlHandler, err := control.Handle(map[string]any{quarantinesync.Name: syncer.Receiver()})
	if err != nil {
		return err
	}
	callerServer := httptest.NewUnstartedServer(g.CallerHandler)
	callerServer.Listener = callerconn.Listener{Listener: callerServer.Listener}
	callerServer.Config.ConnContext = callerconn.Context
	callerServer.Start()
	controlServer := httptest.NewServer(controlHandler)
	s.closers = append(s.closers, callerServer.Close, controlServer.Close)
	g.URL, g.control = callerServer.URL, controlServer.Listener.Addr().String()
	ctx, stop := context.WithCancel(s.ctx)
	g.StopBackground = stop
	s.runBackground(ctx, g.Claims.Run)
	s.runBackground(ctx, g.Ledger.Run)
	s.runBackground(ctx, syncer.Run)
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

// newDesiredState returns a state in which all classes are in force, and those
// of models are placed with Digest.
func newDesiredState(o Options) (*desired.State, error) {
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

// heartbeatLoop sends heartbeats of all replicas to all gateways until ctx
// ends.
func (s *Site) heartbeatLoop(ctx context.Context) error {
	return pause.Every(ctx, heartbeatInterval, s.sendHeartbeats)
}

func (s *Site) sendHeartbeats() {
	now := time.Now()
	for _, r := range s.Replicas {
		status := r.Status.Status()
		m := r.Member
		m.Sequence = uint64(now.UnixNano())
		m.Digest, m.Leaving, m.Running, m.Slots = status.Digest, status.Leaving, status.Running, status.Slots
		for _, g := range s.Gateways {
			g.Members.RecordHeartbeat(m, now)
		}
	}
}

// Backend returns the base URL of the backend server, without any proxy in
// between.
func (r *Replica) Backend() string { return r.backend.URL }
