// Package loopback runs the control plane of a site's gateways and agents in one process
// over 127.0.0.1, for tests and benchmarks. Stand-ins replace the platform and timers the
// engines; all other code is that of the daemons. Network partitions can be simulated.
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
	standininstances "almondreel.example/almondreel/internal/standin/instances"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
	standinsource "almondreel.example/almondreel/internal/standin/source"
)

// Options describe a site. Daemons are distributed round-robin over the data centres.
// Each data centre is a region of its own.
type Options struct {
	DataCentres     int
	Gateways        int
	Agents          int
	Service         string // service of all agents; empty: "assistant"
	WritesPerSecond int    // limit of the key-value service; 0: none
	ReadsPerSecond  int    // limit of the key-value service; 0: none
}

// Site is a running site.
type Site struct {
	KeyValue  *standinkv.Server
	Instances *standininstances.Server
	Origin    *standinsource.Server
	Gateways  []*Gateway
	Agents    []*Agent

	service      string
	keyValueURL  string
	instancesURL string
	originURL    string
	servers      []*http.Server
	traffic      Traffic

	mu                  sync.Mutex
	partitions          map[[2]string]bool // pairs of data centres that cannot reach each other
	dataCentreOf        map[string]string  // data centre by daemon's name
	keyValueUnreachable map[string]bool    // data centres that cannot reach the key-value service
}

// Start starts a site and publishes its instances.
func Start(o Options) (*Site, error) {
	s := &Site{
		KeyValue:            standinkv.New(standinkv.Options{WritesPerSecond: o.WritesPerSecond, ReadsPerSecond: o.ReadsPerSecond}),
		Instances:           standininstances.New(standininstances.Options{}),
		Origin:              standinsource.New(standinsource.Options{}),
		service:             o.Service,
		partitions:          map[[2]string]bool{},
		dataCentreOf:        map[string]string{},
		keyValueUnreachable: map[string]bool{},
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
	s.PublishInstances()
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

func (s *Site) serve(h http.Handler, byteCount *atomic.Int64) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(countingListener{listener, byteCount})
	}()
	return "http://" + listener.Addr().String(), nil
}

// PublishInstances sets the platform's instance list to the running daemons.
func (s *Site) PublishInstances() {
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

// Stop stops all daemons and stand-ins.
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

// SetPartitioned makes two data centres unreachable from each other, or reachable again.
func (s *Site) SetPartitioned(a, b string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions[[2]string{a, b}] = partitioned
	s.partitions[[2]string{b, a}] = partitioned
}

// SetIsolated partitions a data centre from all others and from the key-value service,
// or ends that.
func (s *Site) SetIsolated(dataCentre string, isolated bool) {
	s.mu.Lock()
	others := map[string]bool{}
	for _, d := range s.dataCentreOf {
		others[d] = d != dataCentre
	}
	s.keyValueUnreachable[dataCentre] = isolated
	s.mu.Unlock()
	for other, isOther := range others {
		if isOther {
			s.SetPartitioned(dataCentre, other, isolated)
		}
	}
}

func (s *Site) canReach(caller, callee string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.partitions[[2]string{s.dataCentreOf[caller], s.dataCentreOf[callee]}]
}

func (s *Site) canReachKeyValue(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.keyValueUnreachable[s.dataCentreOf[caller]]
}

func (s *Site) setDataCentre(name, dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dataCentreOf[name] = dataCentre
}

// daemon is the common part of a gateway and an agent.
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

// Running reports whether the daemon has been started and not stopped.
func (d *daemon) Running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cancel != nil
}

// Stop stops the daemon as a crash would: it notifies no peer.
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

// start runs a task of the daemon in a goroutine, for which Stop waits.
func (d *daemon) start(ctx context.Context, task func(context.Context) error) {
	done := make(chan struct{})
	d.mu.Lock()
	d.done = append(d.done, done)
	d.mu.Unlock()
	go func() {
		defer close(done)
		_ = task(ctx)
	}()
}

// KeyValueURL returns the base URL of the key-value service.
func (s *Site) KeyValueURL() string { return s.keyValueURL }
