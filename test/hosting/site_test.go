// Package hosting_test runs the real programs on stand-ins of the hosting
// platform: its store, engines, plain services and the origin of weights.
package hosting_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
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
	key      = "key"
	// versionMS is what the programs are told a version may take.
	versionMS = 2000
	// crashTime is how long an engine is away that crashed.
	crashTime = 400 * time.Millisecond
	// exchangeTime is some rounds of what gateways tell each other.
	exchangeTime = 600 * time.Millisecond
	// askTime is how long callers wait.
	askTime = 3 * time.Second
)

// log keeps what a program writes. It is safe for concurrent use.
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

// program is a daemon that may be started again with the same settings.
type program struct {
	name, program, file string
	log                 *log
	command             *exec.Cmd
	startedAt           time.Time

	// Of a gateway:
	callers, ready, control string
	door                    *standin.Door
	store                   *faultproxy.Route // on the way to the door
}

func (p *program) start(t *testing.T) {
	t.Helper()
	p.startedAt = time.Now()
	p.command = exec.Command(filepath.Join(programs, p.program), "--settings", p.file)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	require.NoError(t, p.command.Start(), "build the programs first: make build")
}

// kill ends the process, which may have ended.
func (p *program) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// engine is an engine behind a proxy, with its agent.
type engine struct {
	*standin.Engine
	route *faultproxy.Route
	agent *program
}

// options of a site.
type options struct {
	gateways, engines int
	firstVersion      int64 // that engines hold at the start; 0: they are empty
}

// site is the programs and what they stand among.
type site struct {
	t        *testing.T
	ports    *process.Ports
	store    *standin.Store
	origin   *standin.Origin
	originAt string
	ledger   *standin.Service
	gateways []*program
	engines  []*engine
	version  int64 // of the configuration
}

// newSite returns a site without anything, with ports for its programs.
func newSite(t *testing.T) *site {
	t.Helper()
	ports, err := process.Reserve(portsOfSite)
	require.NoError(t, err)
	t.Cleanup(ports.Release)
	return &site{t: t, ports: ports}
}

// portsOfSite is enough for the programs of one site.
const portsOfSite = 80

func startSite(t *testing.T, o options) *site {
	t.Helper()
	s := newSite(t)
	s.store, s.origin = standin.NewStore(), standin.NewOrigin()
	origin := httptest.NewServer(s.origin)
	t.Cleanup(origin.Close)
	s.originAt = origin.Listener.Addr().String()
	s.configure(key)
	s.startLedger()
	var controls []string
	for n := range o.gateways {
		g := &program{name: fmt.Sprint("gateway-", n), program: "almondreel-gateway", log: &log{}}
		g.callers, g.ready, g.control = s.ports.Take(), s.ports.Take(), s.ports.Take()
		s.gateways = append(s.gateways, g)
		controls = append(controls, g.control)
	}
	for n := range o.engines {
		s.startEngine(n, o.firstVersion, controls)
	}
	for _, g := range s.gateways {
		g.door = s.store.NewDoor()
		g.store = s.proxy(s.listen(httptest.NewUnstartedServer(g.door)))
		s.settings(g, g.store.Address(), controls, gatewaySettings(g))
	}
	return s
}

// listen starts a server and returns its address.
func (s *site) listen(server *httptest.Server) string {
	server.Start()
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// proxy returns a route to an address, to inject faults into.
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
	s.ledger.List(s.store)
}

func (s *site) startEngine(n int, version int64, controls []string) {
	server := httptest.NewUnstartedServer(nil)
	e := &engine{route: s.proxy(server.Listener.Addr().String())}
	e.Engine = standin.NewEngine(standin.EngineOptions{
		ID: fmt.Sprint("i-", n), Address: e.route.Address(), DataCentre: "north-a", EventMS: 5, FirstVersion: version,
		Crashed: func() { s.crashed(e) },
	})
	server.Config.Handler = e.Engine
	s.listen(server)
	e.List(s.store, false)
	e.agent = &program{name: fmt.Sprint("agent-", n), program: "almondreel-agent", log: &log{}}
	s.engines = append(s.engines, e)
	s.settings(e.agent, s.listen(httptest.NewUnstartedServer(s.store.NewDoor())), controls, agentSettings(s.ports.Take(), e.route.Address()))
}

// crashed plays an engine that ends at once, refuses connections and is back
// after a while.
func (s *site) crashed(e *engine) {
	_ = e.route.Set(faultproxy.Faults{Refuse: true}) // its address was listened on a moment ago
	e.Crash(false)
	time.Sleep(crashTime)
	e.Restart()
	_ = e.route.Set(faultproxy.Faults{})
	e.List(s.store, false)
}

// settings writes a program's settings and starts it. It runs until the test ends.
func (s *site) settings(p *program, store string, controls []string, own string) {
	s.t.Helper()
	text := fmt.Sprintf("Name: %s\nRegion: north\nDataCentre: north-a\nHosting:\n  Program: %s\n  Store: %q\n  MemoryMB: 64\n  VersionMS: %d\n  Gateways: [\"%s\"]\n  Places:\n    - {DataCentre: north-a, Region: north}\n",
		p.name, p.program, store, versionMS, strings.Join(controls, "\", \""))
	p.file = filepath.Join(s.t.TempDir(), p.name+".yaml")
	require.NoError(s.t, os.WriteFile(p.file, []byte(own+text), 0o600))
	p.start(s.t)
	s.t.Cleanup(func() {
		p.kill()
		if s.t.Failed() {
			s.t.Logf("%s wrote:\n%s", p.name, p.log)
		}
	})
}

// configure writes the next configuration.
func (s *site) configure(keys ...string) {
	s.version++
	s.store.Configure(standin.Configuration{Version: s.version, Keys: keys, Origin: s.originAt})
}

// ask sends one stream to a gateway.
func (s *site) ask(gateway int, key string) caller.Outcome {
	c := caller.New(s.gateways[gateway].callers)
	defer c.Close()
	return c.Ask(context.Background(), standin.StreamPath+"x", "id-1", key, time.Now().Add(askTime))
}

// soon waits until the condition holds. Conditions run one after the other and
// none outlives the wait.
func (s *site) soon(within time.Duration, what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(within); !condition(); time.Sleep(20 * time.Millisecond) {
		require.True(s.t, time.Now().Before(deadline), "%s: not within %s", what, within)
	}
}

// answers waits until a gateway answers with a status.
func (s *site) answers(gateway, status int, within time.Duration) {
	s.t.Helper()
	s.soon(within, fmt.Sprintf("gateway %d answers %d", gateway, status), func() bool { return s.ask(gateway, key).Status == status })
}

// serves waits until a gateway serves a version, and checks that no engine
// loaded anything else than whole versions.
func (s *site) serves(gateway int, version int64, within time.Duration) {
	s.t.Helper()
	s.soon(within, fmt.Sprintf("gateway %d serves version %d", gateway, version), func() bool {
		o := s.ask(gateway, key)
		return o.Status == 200 && o.Version == version && o.WholeStream() == nil
	})
	for _, e := range s.engines {
		require.Empty(s.t, e.Mixed())
	}
}
