//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	ports "almondreel.example/almondreel/internal/process"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const (
	dataCentre = "delta-a"
	modelKey   = "k0ndwhuirzo2pc8gy1tq"
)

// stableWindow is stable_window_ms of vcl-almondreel-grown.
const stableWindow = 4 * time.Second

// site is a small deployment: gateways and agents as processes, and the platform around them.
type site struct {
	trouble  bool
	folder   string // temporary
	ports    *ports.Ports
	record   *record
	store    *standin.Store
	storeAt  string
	gateways []*process
	agents   []*process
	engines  []*engineHost
	closers  []func()
	attempts atomic.Int64
	mu       sync.Mutex
	started  []*exec.Cmd // all processes, also those that have ended
	traffic  sync.WaitGroup
}

// process is a gateway or an agent.
type process struct {
	name, program, file        string
	callers, ready, neighbours string // addresses of a gateway
	command                    *exec.Cmd
	log                        *os.File
}

func newSite(trouble bool) (*site, error) {
	folder, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	reserved, err := ports.Reserve(60)
	if err != nil {
		return nil, err
	}
	return &site{trouble: trouble, folder: folder, ports: reserved, record: &record{began: time.Now()}, store: standin.NewStore()}, nil
}

// listen serves a handler on a loopback address until the case ends.
func (s *site) listen(address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	must(err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // ends with Close
	s.closers = append(s.closers, func() { _ = server.Close() })
}

func (s *site) startStore() {
	s.storeAt = s.ports.Next()
	s.listen(s.storeAt, s.store.NewEndpoint())
}

// gatewaySettings and agentSettings are the templates of the deploy file, filled in.
const (
	gatewaySettings = `Name: %q
Region: "delta"
DataCentre: "delta-a"
CallerListen: %q
ReadyListen: %q
NeighbourListen: %q
Files: 10250
GraceSeconds: 8
Retries:
  Share: 0.2
  Besides: 134
  SpanSeconds: 10
Hosting:
  Program: almondreel-gateway
  Store: %q
  MemoryMB: 424
  VersionMS: 8000
  Gateways:
%s  Places:
    - DataCentre: "delta-a"
      Region: "delta"
`
	agentSettings = `Name: %q
Region: "delta"
DataCentre: "delta-a"
PieceListen: %q
LinkMegabits: 7.6
Backend:
  Kind: Engine
  Service: %q
  Address: %q
Hosting:
  Program: almondreel-agent
  Store: %q
  MemoryMB: 152
  VersionMS: 8000
  Gateways:
%s  Places:
    - DataCentre: "delta-a"
      Region: "delta"
`
)

// seeds returns the lines of the settings that name at most three gateways.
func (s *site) seeds() string {
	var lines strings.Builder
	for _, g := range s.gateways[:min(len(s.gateways), 3)] {
		fmt.Fprintf(&lines, "    - %q\n", g.neighbours)
	}
	return lines.String()
}

// startGateways starts the command of the role gateway n times.
func (s *site) startGateways(n int) {
	for i := range n {
		g := &process{name: fmt.Sprintf("edge-%s-%d", dataCentre, i+1), program: "target/almondreel-gateway", callers: s.ports.Next(), ready: s.ports.Next(), neighbours: s.ports.Next()}
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		s.start(g, fmt.Sprintf(gatewaySettings, g.name, g.callers, g.ready, g.neighbours, s.storeAt, s.seeds()))
	}
	for _, g := range s.gateways {
		s.await(10*time.Second, g.name+" is ready", func() bool { return caller.Ready(g.ready) })
	}
}

// startAgent starts the command of the role agent beside an engine.
func (s *site) startAgent(h *engineHost) {
	a := &process{name: fmt.Sprintf("side-%s-%d", dataCentre, len(s.agents)+1), program: "target/almondreel-agent"}
	s.agents = append(s.agents, a)
	s.start(a, fmt.Sprintf(agentSettings, a.name, s.ports.Next(), standin.EngineService, h.address, s.storeAt, s.seeds()))
}

// start writes a process's settings file and starts it.
func (s *site) start(p *process, settings string) {
	p.file = filepath.Join(s.folder, p.name+".yaml")
	must(os.WriteFile(p.file, []byte(settings), 0o644))
	var err error
	p.log, err = os.Create(filepath.Join(s.folder, p.name+".log"))
	must(err)
	s.startAgain(p)
}

func (s *site) startAgain(p *process) {
	p.command = exec.Command(p.program, "--settings", p.file)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	s.mu.Lock()
	defer s.mu.Unlock()
	must(p.command.Start())
	s.started = append(s.started, p.command)
	s.record.add(time.Now(), "start", "%s, process %d", p.name, p.command.Process.Pid)
}

func (s *site) kill(p *process) {
	s.record.add(time.Now(), "kill", "%s", p.name)
	p.end()
}

func (p *process) end() {
	_ = p.command.Process.Kill() // fails if it has ended
	_ = p.command.Wait()
}

// interrupt ends all processes that the case started, for a case that is stopped from outside.
func (s *site) interrupt() {
	s.mu.Lock() // is kept: no other process starts
	for _, c := range s.started {
		_ = c.Process.Kill() // fails if it has ended
	}
}

// running asks for each process that the case started by its ID, and returns how many run.
func (s *site) running() (running, started int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.started {
		if syscall.Kill(c.Process.Pid, 0) == nil {
			running++
		}
	}
	return running, len(s.started)
}

// await waits until done holds. It panics if that takes too long.
func (s *site) await(within time.Duration, what string, done func() bool) {
	for until := time.Now().Add(within); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			panic("not in time: " + what)
		}
	}
}

// newAttempt returns an identifier that no request had before.
func (s *site) newAttempt() string {
	return fmt.Sprintf("%016x", s.attempts.Add(1)+0x1c41d07b00000000)
}

// close ends all processes and servers that the case started.
func (s *site) close() {
	for _, p := range append(s.gateways, s.agents...) {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		p.end()
		_ = p.log.Close()
	}
	for _, c := range s.closers {
		c()
	}
	for _, h := range s.engines {
		h.close()
	}
	s.ports.Release()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
}
