// Package swarm runs the weight transfers of many agents in one process, for
// benchmarks and tests. The agents communicate over the loopback interface only.
package swarm

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/settings"
	standinsource "almondreel.example/almondreel/internal/standin/source"
	"almondreel.example/almondreel/internal/transfer"
	"almondreel.example/almondreel/internal/weights"
)

// listingTimeout is the time for which a dead agent remains in the list of peers.
const listingTimeout = 3 * time.Second

// Options of a swarm. Agents are assigned to the regions in rotation.
type Options struct {
	Agents      int
	Regions     int   // 0 means 1
	OriginBytes int64 // per second, sent by the origin over all connections
	StoreBytes  int64 // the same for the store; 0: no store
	Link        settings.Link
}

// Swarm is an origin, a store and agents.
type Swarm struct {
	Origin *standinsource.Server
	Store  *standinsource.Server // nil without StoreBytes

	options   Options
	originURL string
	storeURL  string
	closers   []func()

	mu     sync.Mutex
	agents []*Agent
}

// Start starts the sources and the agents.
func Start(o Options) (*Swarm, error) {
	if o.Regions == 0 {
		o.Regions = 1
	}
	s := &Swarm{options: o, Origin: standinsource.New(standinsource.Options{RateBytes: o.OriginBytes})}
	var err error
	if s.originURL, err = s.serve(s.Origin); err != nil {
		return nil, err
	}
	if o.StoreBytes > 0 {
		s.Store = standinsource.New(standinsource.Options{RateBytes: o.StoreBytes})
		if s.storeURL, err = s.serve(s.Store); err != nil {
			return nil, err
		}
	}
	for range o.Agents {
		if _, err := s.Add(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Swarm) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(listener)
	}()
	s.closers = append(s.closers, func() {
		_ = server.Close()
		<-ended
	})
	return "http://" + listener.Addr().String(), nil
}

// Add starts another agent.
func (s *Swarm) Add() (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.agents)
	region := fmt.Sprintf("region-%d", i%s.options.Regions)
	a := &Agent{
		Settings: settings.Agent{
			Identity: settings.Identity{Name: fmt.Sprintf("agent-%03d", i), Region: region, DataCentre: region + "-1"},
			Listen:   listener.Addr().String(),
			Origin:   s.originURL,
			Store:    s.storeURL,
			Link:     s.options.Link,
		},
		ended: make(chan struct{}),
	}
	a.Weights = weights.New(a.Settings, func() []gateway.Peer { return s.peers(a.Settings.Name) })
	if err := a.start(listener); err != nil {
		return nil, err
	}
	s.agents = append(s.agents, a)
	return a, nil
}

// Agents returns all agents, including killed ones.
func (s *Swarm) Agents() []*Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Agent(nil), s.agents...)
}

// Names returns the agents' names in order.
func (s *Swarm) Names() []string {
	var out []string
	for _, a := range s.Agents() {
		out = append(out, a.Settings.Name)
	}
	return out
}

func (s *Swarm) peers(self string) []gateway.Peer {
	var out []gateway.Peer
	for _, a := range s.Agents() {
		if a.Settings.Name != self && a.listed() {
			out = append(out, gateway.Peer{
				Name:       a.Settings.Name,
				Region:     a.Settings.Region,
				DataCentre: a.Settings.DataCentre,
				Address:    a.Settings.Listen,
			})
		}
	}
	return out
}

// Close stops all agents and sources.
func (s *Swarm) Close() {
	for _, a := range s.Agents() {
		a.Kill()
	}
	for _, c := range s.closers {
		c()
	}
}

// Agent is an agent's weight transfers with their HTTP server.
type Agent struct {
	Settings settings.Agent
	Weights  *weights.Weights

	server *http.Server
	ended  chan struct{}

	mu       sync.Mutex
	killedAt time.Time
	faults   Faults
	requests int
	stop     context.CancelFunc
	transfer *transfer.Transfer
}

func (a *Agent) start(listener net.Listener) error {
	rpc, err := control.Handle(map[string]any{weights.ReceiverName: a.Weights.Transfers.Receiver()})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	a.Weights.Register(mux)
	mux.Handle(control.Path, rpc)
	a.server = &http.Server{Handler: a.withFaults(mux)}
	go func() {
		defer close(a.ended)
		_ = a.server.Serve(listener)
	}()
	return nil
}

// Fetch starts a transfer of the version that p names, after stopping the
// agent's previous one.
func (a *Agent) Fetch(p transfer.Plan) *transfer.Transfer {
	a.Stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	a.stop = stop
	a.transfer = a.Weights.Transfers.Start(ctx, p)
	return a.transfer
}

// Transfer returns the agent's current transfer, or nil.
func (a *Agent) Transfer() *transfer.Transfer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.transfer
}

// Stop stops the agent's transfer, if any, and waits until it has ended.
func (a *Agent) Stop() {
	a.mu.Lock()
	stop, t := a.stop, a.transfer
	a.stop, a.transfer = nil, nil
	a.mu.Unlock()
	if t != nil {
		stop()
		<-t.Ended()
	}
}

// Kill stops the agent at once, as if its process had crashed.
func (a *Agent) Kill() {
	a.mu.Lock()
	if a.killedAt.IsZero() {
		a.killedAt = time.Now()
	}
	a.mu.Unlock()
	_ = a.server.Close()
	<-a.ended
	a.Stop()
}

// Alive reports whether the agent was not killed.
func (a *Agent) Alive() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.killedAt.IsZero()
}

// listed reports whether the agent is in the list of peers.
func (a *Agent) listed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.killedAt.IsZero() || time.Since(a.killedAt) < listingTimeout
}

// PlanOf returns the plan of a published version for all agents.
func (s *Swarm) PlanOf(m manifest.Manifest) transfer.Plan {
	return transfer.Plan{Digest: m.Digest(), Model: m.Model, Version: m.Version, Members: s.Names()}
}
