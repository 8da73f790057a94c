// Package hosting_test runs the daemons as processes against stand-ins of the hosting
// platform: its store, engines, plain services and the origin of weights.
package hosting_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/process"
	"almondreel.example/almondreel/internal/standin/faultproxy"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const (
	programs = "../../bin"
	apiKey   = "key"
	// The daemons are in the first of the data centres.
	northernDataCentre = "north-a"
	southernDataCentre = "south-a"
	// versionMS is the VersionMS setting of the daemons: the time in which a newly named
	// version must be served.
	versionMS = 2000
	// restartDelay is the time from an engine's crash to its restart.
	restartDelay = 400 * time.Millisecond
	// exchangeTime is the time of several exchanges between gateways.
	exchangeTime = 600 * time.Millisecond
	// requestTimeout is the deadline that callers set.
	requestTimeout = 3 * time.Second
)

// log collects a program's output. It is safe for concurrent use.
type log struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// daemon is a gateway or an agent that can be restarted with the same settings.
type daemon struct {
	name, program, file string
	log                 *log
	command             *exec.Cmd
	startedAt           time.Time

	// Set for gateways only:
	callerAddress, readyAddress, controlAddress string
	storeEndpoint                               *standin.Endpoint
	storeRoute                                  *faultproxy.Route // proxy in front of storeEndpoint
}

func (p *daemon) start(t *testing.T) {
	t.Helper()
	p.startedAt = time.Now()
	p.command = exec.Command(filepath.Join(programs, p.program), "--settings", p.file)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	require.NoError(t, p.command.Start(), "build the programs first: make build")
}

// kill kills the process, if it still runs, and waits for its end.
func (p *daemon) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// engine is a stand-in engine behind a proxy, with its agent.
type engine struct {
	*standin.Engine
	route *faultproxy.Route
	agent *daemon
}

// options describe a site.
type options struct {
	gateways, engines int
	firstVersion      int64   // loaded by engines at the start; 0: none
	graceSeconds      int     // of gateways; 0: graceTime
	warmUpMS          int     // time that a load takes; 0: none
	southern          int     // the last of the engines, which are in the data centre south-a of the region south
	coldPerSecond     float64 // requests per second that a cold engine accepts; 0: any number
	coldStart         string  // ColdStart setting of gateways; empty: none
	evacuateMS        int     // of gateways; 0: no limit
}

// evacuateSetting returns the setting of gateways for evacuations, if there is one.
func (o options) evacuateSetting() string {
	if o.evacuateMS == 0 {
		return ""
	}
	return fmt.Sprintf("EvacuateMS: %d\n", o.evacuateMS)
}

// site is the daemons with the stand-ins around them.
type site struct {
	t                    *testing.T
	ports                *process.Ports
	store                *standin.Store
	origin               *standin.Origin
	originRoute          *faultproxy.Route
	originAddress        string
	ledger               *standin.Service
	gateways             []*daemon
	engines              []*engine
	configurationVersion int64
	warmUpMS             int
	northern             int // engines in north-a, before those in south-a
	coldPerSecond        float64
}

// newSite returns an empty site with reserved ports for its daemons.
func newSite(t *testing.T) *site {
	t.Helper()
	ports, err := process.Reserve(sitePorts)
	require.NoError(t, err)
	t.Cleanup(ports.Release)
	return &site{t: t, ports: ports}
}

// sitePorts is the number of reserved ports, enough for the daemons of one site.
const sitePorts = 250

func startSite(t *testing.T, o options) *site {
	t.Helper()
	s := newSite(t)
	s.warmUpMS, s.northern = o.warmUpMS, o.engines-o.southern
	s.coldPerSecond = o.coldPerSecond
	s.store, s.origin = standin.NewStore(), standin.NewOrigin()
	origin := httptest.NewServer(s.origin)
	t.Cleanup(origin.Close)
	s.originRoute = s.proxy(origin.Listener.Addr().String())
	s.originAddress = s.originRoute.Address()
	s.configure(apiKey)
	s.startLedger()
	var controlAddresses []string
	for n := range o.gateways {
		g := &daemon{name: fmt.Sprint("gateway-", n), program: "almondreel-gateway", log: &log{}}
		g.callerAddress, g.readyAddress, g.controlAddress = s.ports.Next(), s.ports.Next(), s.ports.Next()
		s.gateways = append(s.gateways, g)
		controlAddresses = append(controlAddresses, g.controlAddress)
	}
	for n := range o.engines {
		s.startEngine(n, o.firstVersion, controlAddresses)
	}
	for _, g := range s.gateways {
		g.storeEndpoint = s.store.NewEndpoint()
		g.storeRoute = s.proxy(s.listen(httptest.NewUnstartedServer(g.storeEndpoint)))
		own := gatewaySettings(g, o.graceSeconds) + o.evacuateSetting()
		if o.coldStart != "" {
			own += "ColdStart: " + o.coldStart + "\n"
		}
		s.startDaemon(g, g.storeRoute.Address(), controlAddresses, own)
	}
	return s
}

// listen starts a server until the test ends and returns its address.
func (s *site) listen(server *httptest.Server) string {
	server.Start()
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// proxy starts a fault-injecting proxy in front of an address.
func (s *site) proxy(address string) *faultproxy.Route {
	route, err := faultproxy.Start("127.0.0.1:0", address)
	require.NoError(s.t, err)
	s.t.Cleanup(route.Close)
	return route
}

func (s *site) startLedger() {
	server := httptest.NewUnstartedServer(nil)
	s.ledger = standin.NewService("ledger-1", server.Listener.Addr().String(), "north-a")
	server.Config.Handler = s.ledger
	s.listen(server)
	s.ledger.Register(s.store)
}

func (s *site) startEngine(n int, version int64, controlAddresses []string) {
	server := httptest.NewUnstartedServer(nil)
	e := &engine{route: s.proxy(server.Listener.Addr().String())}
	dataCentre := northernDataCentre
	if n >= s.northern {
		dataCentre = southernDataCentre
	}
	e.Engine = standin.NewEngine(standin.EngineOptions{
		ID: fmt.Sprint("i-", n), Address: e.route.Address(), DataCentre: dataCentre, EventMS: 5, FirstVersion: version, WarmUpMS: s.warmUpMS,
		OnCrash: func() { s.restartAfterCrash(e) },
	})
	server.Config.Handler = e.Engine
	s.listen(server)
	e.Register(s.store, false)
	e.agent = &daemon{name: fmt.Sprint("agent-", n), program: "almondreel-agent", log: &log{}}
	s.engines = append(s.engines, e)
	e.agent.storeRoute = s.proxy(s.listen(httptest.NewUnstartedServer(s.store.NewEndpoint())))
	s.startDaemon(e.agent, e.agent.storeRoute.Address(), controlAddresses, agentSettings(s.ports.Next(), e.route.Address()))
}

// restartAfterCrash simulates a crash of the engine: it refuses connections for
// restartDelay, then restarts and registers again.
func (s *site) restartAfterCrash(e *engine) {
	_ = e.route.Set(faultproxy.Faults{Refuse: true}) // no error expected: the proxy listened on the address a moment ago
	e.Crash(false)
	time.Sleep(restartDelay)
	e.Restart()
	_ = e.route.Set(faultproxy.Faults{})
	e.Register(s.store, false)
}

// startDaemon writes a daemon's settings file, with ownSettings before the settings that
// gateways and agents share, and runs the daemon until the test ends.
func (s *site) startDaemon(p *daemon, store string, controlAddresses []string, ownSettings string) {
	s.t.Helper()
	text := fmt.Sprintf("Name: %s\nRegion: north\nDataCentre: north-a\nHosting:\n  Program: %s\n  Store: %q\n  MemoryMB: 64\n  VersionMS: %d\n  Gateways: [\"%s\"]\n  Places:\n    - {DataCentre: north-a, Region: north}\n    - {DataCentre: south-a, Region: south}\n",
		p.name, p.program, store, versionMS, strings.Join(controlAddresses, "\", \""))
	p.file = filepath.Join(s.t.TempDir(), p.name+".yaml")
	require.NoError(s.t, os.WriteFile(p.file, []byte(ownSettings+text), 0o600))
	p.start(s.t)
	s.t.Cleanup(func() {
		p.kill()
		if s.t.Failed() {
			s.t.Logf("%s wrote:\n%s", p.name, p.log)
		}
	})
}

// configure writes the next configuration, with these API keys, to the store.
func (s *site) configure(keys ...string) {
	s.configurationVersion++
	s.store.Configure(standin.Configuration{Version: s.configurationVersion, Keys: keys, Origin: s.originAddress, WarmUpMS: s.warmUpMS, ColdPerSecond: s.coldPerSecond})
}

// send sends one stream request to a gateway and returns its outcome.
func (s *site) send(gateway int, key string) caller.Outcome {
	c := caller.New(s.gateways[gateway].callerAddress)
	defer c.Close()
	return c.Send(context.Background(), standin.StreamPath+"x", "id-1", key, time.Now().Add(requestTimeout))
}

// eventually waits until the condition holds. It calls condition in the test's own
// goroutine, so that no call is still running when it returns.
func (s *site) eventually(timeout time.Duration, what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(20 * time.Millisecond) {
		require.True(s.t, time.Now().Before(deadline), "%s: not within %s", what, timeout)
	}
}

// waitForStatus waits until a gateway answers with an HTTP status.
func (s *site) waitForStatus(gateway, status int, timeout time.Duration) {
	s.t.Helper()
	s.eventually(timeout, fmt.Sprintf("gateway %d answers %d", gateway, status), func() bool { return s.send(gateway, apiKey).Status == status })
}

// waitForVersion waits until a gateway serves a version, and requires that no engine
// was ordered to load pieces of another version.
func (s *site) waitForVersion(gateway int, version int64, timeout time.Duration) {
	s.t.Helper()
	s.eventually(timeout, fmt.Sprintf("gateway %d serves version %d", gateway, version), func() bool {
		o := s.send(gateway, apiKey)
		return o.Status == 200 && o.Version == version && o.CheckStream() == nil
	})
	for _, e := range s.engines {
		require.Empty(s.t, e.WrongPieceLoads())
	}
}

// ran reports whether the plain service ran an attempt.
func (s *site) ran(attempt string) bool {
	return slices.ContainsFunc(s.ledger.Runs(), func(r standin.Run) bool { return r.Attempt == attempt })
}

// logged reports whether the first gateway's log contains text.
func (s *site) logged(text string) bool { return strings.Contains(s.gateways[0].log.String(), text) }
