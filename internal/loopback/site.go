// Package loopback runs the control parts of a site's gateways and agents in
// one process over 127.0.0.1, for tests and benchmarks. The platform is its
// stand-ins and an engine is a timer; everything between is the daemons' own code.
package loopback

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/instances"
	standinstances "almondreel.example/almondreel/internal/standin/instances"
	standkv "almondreel.example/almondreel/internal/standin/kv"
	standsource "almondreel.example/almondreel/internal/standin/source"
)

// Options lay a site out. Daemons are dealt to the data centres in turn; each
// data centre is a region of its own.
type Options struct {
	DataCentres     int
	Gateways        int
	Agents          int
	Service         string // of every agent; empty: "assistant"
	WritesPerSecond int    // of the key-value service; 0: no limit
	ReadsPerSecond  int
}

// Site is a running site.
type Site struct {
	KeyValue  *standkv.Server
	Instances *standinstances.Server
	Origin    *standsource.Server
	Gateways  []*Gateway
	Agents    []*Agent

	service      string
	keyValueURL  string
	instancesURL string
	originURL    string
	servers      []*http.Server
	traffic      Traffic

	mu   sync.Mutex
	cuts map[[2]string]bool // pairs of data centres that do not reach each other
	home map[string]string  // data centre by daemon
	down map[string]bool    // data centres that do not reach the key-value service
}

// Start starts a site.
func Start(o Options) (*Site, error) {
	s := &Site{
		KeyValue:  standkv.New(standkv.Options{WritesPerSecond: o.WritesPerSecond, ReadsPerSecond: o.ReadsPerSecond}),
		Instances: standinstances.New(standinstances.Options{}),
		Origin:    standsource.New(standsource.Options{}),
		service:   o.Service,
		cuts:      map[[2]string]bool{},
		home:      map[string]string{},
		down:      map[string]bool{},
	}
	if s.service == "" {
		s.service = "assistant"
	}
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	for i := range o.Gateways {
		if _, err := s.AddGateway(fmt.Sprintf("gateway-%d", i), dataCentre(i, o.DataCentres)); err != nil {
			return nil, err
		}
	}
	for i := range o.Agents {
		if _, err := s.AddAgent(fmt.Sprintf("instance-%d", i), dataCentre(i, o.DataCentres)); err != nil {
			return nil, err
		}
	}
	s.List()
	return s, nil
}

func dataCentre(i, n int) string { return fmt.Sprintf("centre-%d", i%max(1, n)) }

func (s *Site) startPlatform() error {
	var err error
	if s.keyValueURL, err = s.serve(s.KeyValue, new(atomic.Int64)); err != nil {
		return err
	}
	if s.instancesURL, err = s.serve(s.Instances, new(atomic.Int64)); err != nil {
		return err
	}
	s.originURL, err = s.serve(s.Origin, new(atomic.Int64))
	return err
}

func (s *Site) serve(h http.Handler, bytes *atomic.Int64) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(counted{listener, bytes})
	}()
	return "http://" + listener.Addr().String(), nil
}

// List has the platform list the daemons that run.
func (s *Site) List() {
	var l instances.List
	for _, g := range s.Gateways {
		if g.Running() {
			l.Instances = append(l.Instances, instances.Instance{Name: g.Name, Role: instances.RoleGateway,
				Region: g.DataCentre, DataCentre: g.DataCentre, Address: g.address, State: instances.Live})
		}
	}
	for _, a := range s.Agents {
		if a.Running() {
			l.Instances = append(l.Instances, instances.Instance{Name: a.Name, Role: instances.RoleAgent,
				Region: a.DataCentre, DataCentre: a.DataCentre, Address: a.address, State: instances.Live})
		}
	}
	s.Instances.Replace(l)
}

// Stop stops every daemon and the platform.
func (s *Site) Stop() {
	for _, a := range s.Agents {
		a.Stop()
	}
	for _, g := range s.Gateways {
		g.Stop()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// Cut makes two data centres unreachable for each other, or reachable again.
func (s *Site) Cut(a, b string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[[2]string{a, b}] = cut
	s.cuts[[2]string{b, a}] = cut
}

// CutOff makes a data centre unreachable for all others and the key-value
// service, or reachable again.
func (s *Site) CutOff(dataCentre string, cut bool) {
	s.mu.Lock()
	others := map[string]bool{}
	for _, d := range s.home {
		others[d] = d != dataCentre
	}
	s.down[dataCentre] = cut
	s.mu.Unlock()
	for other, is := range others {
		if is {
			s.Cut(dataCentre, other, cut)
		}
	}
}

func (s *Site) reaches(caller, callee string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cuts[[2]string{s.home[caller], s.home[callee]}]
}

func (s *Site) reachesKeyValue(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down[s.home[caller]]
}

func (s *Site) settle(name, dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home[name] = dataCentre
}

// daemon is what a gateway and an agent have in common.
type daemon struct {
	Name       string
	DataCentre string
	address    string
	site       *Site

	mu     sync.Mutex
	cancel context.CancelFunc
	done   []chan struct{}
	server *http.Server
}

// Running reports whether the daemon runs.
func (d *daemon) Running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cancel != nil
}

// Stop ends the daemon as a crash would: nobody is told.
func (d *daemon) Stop() {
	d.mu.Lock()
	cancel, done, server := d.cancel, d.done, d.server
	d.cancel, d.done, d.server = nil, nil, nil
	d.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	if server != nil {
		_ = server.Close()
	}
	for _, c := range done {
		<-c
	}
}

func (d *daemon) run(ctx context.Context, duty func(context.Context) error) {
	done := make(chan struct{})
	d.mu.Lock()
	d.done = append(d.done, done)
	d.mu.Unlock()
	go func() {
		defer close(done)
		_ = duty(ctx)
	}()
}

// KeyValueURL is the base URL of the key-value service.
func (s *Site) KeyValueURL() string { return s.keyValueURL }
