//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"almondreel.example/almondreel/internal/process"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// Sizes and bounds of the deployment. They are those of the small deployments.
const (
	ledgerCount    = 3
	heartbeat      = 1200 * time.Millisecond
	configApply    = 2 * time.Second
	stableWindow   = 3 * time.Second
	recovery       = 12 * time.Second
	versionMS      = 8000
	gatewayMemory  = 284 // megabytes
	agentMemory    = 152
	maxBodyBytes   = 4 << 20
	requestTimeout = 6 * time.Second
	readyTimeout   = 20 * time.Second
)

// engine is a stand-in engine with the agent beside it.
type engine struct {
	*standin.Engine
	server *http.Server
	agent  *process.Process
	// onCall, if set, is called after each call of the agent was answered.
	onCall atomic.Pointer[func(r *http.Request)]
	down   atomic.Bool
}

// site is a deployment in one region: the daemons and the stand-ins around them.
type site struct {
	*record
	dir           string
	ports         *process.Ports
	store         *store
	storeAddress  string
	origin        http.Handler
	originAddress string
	gateways      []*process.Process
	callerAt      []string // addresses for callers, by gateway
	readyAt       []string
	controlAt     []string
	engines       []*engine
	ledger        []*standin.Service
	configVersion int64
	attempts      atomic.Int64
	stopped       chan struct{}
}

// size is the number of a deployment's gateways and engines, at most one of each in a data
// centre.
type size struct{ gateways, engines int }

// startSite starts the daemons with the commands of deploy/system.toml. origin serves
// the weights.
func startSite(r *record, n size, origin http.Handler) (_ *site, err error) {
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	ports, err := process.Reserve(40)
	if err != nil {
		return nil, err
	}
	s := &site{record: r, dir: dir, ports: ports, store: newStore(), origin: origin, configVersion: 1, stopped: make(chan struct{})}
	defer func() {
		if err != nil {
			s.stop()
		}
	}()
	if s.storeAddress, err = s.listen(s.store); err != nil {
		return nil, err
	}
	if s.originAddress, err = s.listen(origin); err != nil {
		return nil, err
	}
	s.configure("kept", "withdrawn")
	for i := range ledgerCount {
		if err := s.startLedger(i); err != nil {
			return nil, err
		}
	}
	for range n.gateways {
		s.callerAt, s.readyAt, s.controlAt = append(s.callerAt, ports.Next()), append(s.readyAt, ports.Next()), append(s.controlAt, ports.Next())
	}
	for i := range n.engines {
		if err := s.startEngine(i); err != nil {
			return nil, err
		}
	}
	go s.heartbeats()
	for i := range n.gateways {
		own := fmt.Sprintf("CallerListen: %q\nReadyListen: %q\nNeighbourListen: %q\nFiles: 4100\nGraceSeconds: 8\nRetries:\n  Share: 0.2\n  Besides: 102\n  SpanSeconds: 10\n", s.callerAt[i], s.readyAt[i], s.controlAt[i])
		g, err := s.daemon("almondreel-gateway", gatewayName(i), i, gatewayMemory, own)
		if err != nil {
			return nil, err
		}
		s.gateways = append(s.gateways, g)
		if err := g.Start(); err != nil {
			return nil, err
		}
	}
	return s, s.awaitService(readyTimeout)
}

// listen serves a handler on a free loopback port and returns the address.
func (s *site) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }() // until the program ends
	return l.Addr().String(), nil
}

var zones = []string{"north-a", "north-b", "north-c"}

// daemon writes a daemon's settings, as the templates in deploy/ have them, and returns
// its process.
func (s *site) daemon(program, name string, n, memory int, own string) (*process.Process, error) {
	text := fmt.Sprintf("Name: %s\nRegion: north\nDataCentre: %s\n%sHosting:\n  Program: %s\n  Store: %q\n  MemoryMB: %d\n  VersionMS: %d\n  Gateways: [\"%s\"]\n  Places:\n",
		name, zones[n%len(zones)], own, program, s.storeAddress, memory, versionMS, strings.Join(s.controlAt, "\", \""))
	for _, zone := range zones {
		text += fmt.Sprintf("    - {DataCentre: %s, Region: north}\n", zone)
	}
	file := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return process.New(name, filepath.Join("target", program), s.dir, "--settings", file), nil
}

func (s *site) startLedger(n int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ledger := standin.NewService(fmt.Sprint("l-", n), l.Addr().String(), zones[n%len(zones)])
	ledger.SetDelayMS(30)
	go func() { _ = (&http.Server{Handler: ledger}).Serve(l) }() // until the program ends
	s.ledger = append(s.ledger, ledger)
	s.register(n, ledger)
	return nil
}

// register writes the entry of a server of the plain service.
func (s *site) register(n int, ledger *standin.Service) {
	s.store.write(wire.Server+fmt.Sprint("l-", n), fill(entryTemplate, entryValues{
		Service: standin.PlainService, Address: ledger.Address(), Zone: zones[n%len(zones)], Sequence: time.Since(s.startedAt).Milliseconds(),
	}))
}

func (s *site) startEngine(n int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{}
	e.Engine = standin.NewEngine(standin.EngineOptions{
		ID: fmt.Sprint("i-", n), Address: l.Addr().String(), DataCentre: zones[n%len(zones)], EventMS: 10, FirstVersion: 1,
	})
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.ServeHTTP(w, r)
		if call := e.onCall.Load(); call != nil {
			(*call)(r)
		}
	})}
	go func() { _ = e.server.Serve(l) }() // until the program ends
	s.engines = append(s.engines, e)
	if err := e.RegisterAt(s.storeAddress); err != nil {
		return err
	}
	own := fmt.Sprintf("PieceListen: %q\nLinkMegabits: 7.6\nBackend:\n  Kind: Engine\n  Service: %s\n  Address: %q\n", s.ports.Next(), standin.EngineService, l.Addr().String())
	if e.agent, err = s.daemon("almondreel-agent", fmt.Sprint("agent-", n), n, agentMemory, own); err != nil {
		return err
	}
	return e.agent.Start()
}

// heartbeats writes the servers' entries again, as the servers do, until the site stops.
func (s *site) heartbeats() {
	for {
		for _, e := range s.engines {
			if !e.down.Load() {
				_ = e.RegisterAt(s.storeAddress) // the store may be away
			}
		}
		for n, ledger := range s.ledger {
			s.register(n, ledger)
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// configure writes the next version of the configuration, in which these are the API keys
// of the organisation "north". It returns the revision.
func (s *site) configure(keys ...string) int64 {
	s.configVersion++
	return s.store.write(wire.Configuration, configurationOf(s.configVersion, s.originAddress, keys))
}

// nameVersion names the version of the weights that engines must serve.
func (s *site) nameVersion(version int64) {
	s.store.put(wire.NamedVersion+standin.Model, map[string]any{"model": standin.Model, "version": version})
}

// awaitService waits until every gateway serves both routes.
func (s *site) awaitService(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for n := range s.gateways {
		for _, path := range []string{standin.StreamPath, standin.OncePath} {
			for s.send(n, path, "kept").Status != http.StatusOK {
				if time.Now().After(until) {
					return fmt.Errorf("gateway %d does not serve %s", n, path)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	s.say("all gateways serve")
	return nil
}

// stop ends all processes and records what the servers ran.
func (s *site) stop() {
	close(s.stopped)
	for _, g := range s.gateways {
		g.Signal(syscall.SIGCONT)
		g.Kill()
	}
	for _, e := range s.engines {
		if e.agent != nil {
			e.agent.Signal(syscall.SIGCONT)
			e.agent.Kill()
		}
	}
	s.checkEnded()
	s.ports.Release()
	_ = os.RemoveAll(s.dir)
	for n, e := range s.engines {
		s.recordRuns(fmt.Sprint("i-", n), e.Runs())
	}
	for n, ledger := range s.ledger {
		s.recordRuns(fmt.Sprint("l-", n), ledger.Runs())
	}
}

// checkEnded records, by process ID, whether each daemon has ended. Kill has waited for each
// run of it.
func (s *site) checkEnded() {
	daemons := slices.Clone(s.gateways)
	for _, e := range s.engines {
		if e.agent != nil {
			daemons = append(daemons, e.agent)
		}
	}
	running := 0
	for _, d := range daemons {
		id := d.ID()
		ended := id == 0 || errors.Is(syscall.Kill(id, 0), syscall.ESRCH)
		if !ended {
			running++
		}
		s.add("process %d, the last run of %s, has ended: %v", id, d.Name, ended)
	}
	s.say("%d of %d daemons are still running", running, len(daemons))
}

// recordRuns records the requests that a server ran.
func (s *site) recordRuns(server string, runs []standin.Run) {
	for _, run := range runs {
		s.addAt(run.At, "server %s ran request %s for %.3f s", server, run.Attempt, run.Ended.Sub(run.At).Seconds())
	}
}

func gatewayName(n int) string { return fmt.Sprint("gateway-", n) }

// sent is a request and its answer.
type sent struct {
	caller.Outcome
	gateway int
	path    string
	key     string
	at      time.Time // when it was sent
}

// send sends one request on a connection of its own and records the answer.
func (s *site) send(gateway int, path, key string) sent {
	c := caller.New(s.callerAt[gateway])
	defer c.Close()
	return s.sendOn(c, gateway, path, key)
}

// sendOn sends one request with a caller and records the answer.
func (s *site) sendOn(c *caller.Caller, gateway int, path, key string) sent {
	out := sent{gateway: gateway, path: path, key: key, at: time.Now()}
	attempt := fmt.Sprintf("%08x", s.attempts.Add(1))
	out.Outcome = c.Send(background, path+"x", attempt, key, out.at.Add(requestTimeout))
	s.addAt(out.at, "request %s %s key %s to %s: status %d, version %d, %d bytes, error %v, after %.3f s",
		attempt, path, key, gatewayName(gateway), out.Status, out.Version, len(out.Body), out.Err, time.Since(out.at).Seconds())
	return out
}
