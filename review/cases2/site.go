//go:build review

package main

import (
	"context"
	"fmt"
	"io"
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

	"almondreel.example/almondreel/internal/process"
)

const (
	dataCentre = "delta-a"
	region     = "delta"
	host       = "door.example"
)

// Bounds of the site, as in the settings of DEPLOY.md.
const (
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
	outerBound   = 5 * time.Second
	drainTimeout = 2 * time.Second
)

// site is a small deployment: gateways as processes, and the platform around them.
type site struct {
	trouble  bool
	folder   string // temporary
	ports    *process.Ports
	record   *record
	store    *store
	storeAt  string // address that the gateways call
	gateways []*gateway
	agents   []*gateway
	servers  []*server
	closers  []func()
	version  int // of the configuration
	nextID   atomic.Int64
	traffic  sync.WaitGroup
}

// gateway is a process of the system, a gateway or an agent.
type gateway struct {
	name, callers, ready, neighbours, file string
	program                                string // empty: the gateway
	command                                *exec.Cmd
	log                                    *os.File
}

func newSite(trouble bool) (*site, error) {
	folder, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	ports, err := process.Reserve(60)
	if err != nil {
		return nil, err
	}
	s := &site{trouble: trouble, folder: folder, ports: ports, record: &record{began: time.Now()}, store: newStore(), version: 10}
	return s, nil
}

// listen serves a handler on a free loopback address.
func (s *site) listen(address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	must(err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // ends with close
	s.closers = append(s.closers, func() { _ = server.Close() })
}

// startStore serves the store.
func (s *site) startStore() {
	address := s.ports.Next()
	s.listen(address, s.store)
	s.storeAt = address
}

// addServer starts a backend server and writes its entry.
func (s *site) addServer(id, service string) *server {
	b := &server{id: id, service: service, address: s.ports.Next(), born: time.Now().UnixMilli(), record: s.record}
	s.listen(b.address, b)
	s.servers = append(s.servers, b)
	s.store.put("servers/"+id, b.entry("ready"))
	return b
}

// settings is the template of the deploy file, filled in.
const settings = `Name: %q
Region: %q
DataCentre: %q
CallerListen: %q
ReadyListen: %q
NeighbourListen: %q
Files: 4100
GraceSeconds: 8
Retries:
  Share: 0.2
  Besides: 102
  SpanSeconds: 10
Hosting:
  Program: almondreel-gateway
  Store: %q
  MemoryMB: 284
  VersionMS: 8000
  Gateways:
%s  Places:
    - DataCentre: "delta-a"
      Region: "delta"
`

// startGateways starts the command of the deploy file's role gateway n times.
func (s *site) startGateways(n int) {
	var seeds strings.Builder
	for i := range n {
		g := &gateway{name: fmt.Sprintf("edge-%s-%d", dataCentre, i+1), callers: s.ports.Next(), ready: s.ports.Next(), neighbours: s.ports.Next()}
		fmt.Fprintf(&seeds, "    - %q\n", g.neighbours)
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		g.file = filepath.Join(s.folder, g.name+".yaml")
		text := fmt.Sprintf(settings, g.name, region, dataCentre, g.callers, g.ready, g.neighbours, s.storeAt, seeds.String())
		must(os.WriteFile(g.file, []byte(text), 0o644))
		s.start(g)
	}
	for _, g := range s.gateways {
		s.awaitReady(g)
	}
}

func (s *site) start(g *gateway) {
	if g.log == nil {
		var err error
		g.log, err = os.Create(filepath.Join(s.folder, g.name+".log"))
		must(err)
	}
	program := g.program
	if program == "" {
		program = "target/almondreel-gateway"
	}
	g.command = exec.Command(program, "--settings", g.file)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	must(g.command.Start())
}

func (s *site) awaitReady(g *gateway) {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if response, err := http.Get("http://" + g.ready + "/almondreel/readyz"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	panic(g.name + " does not become ready")
}

// close ends all processes and servers that the case started.
func (s *site) close() {
	for _, g := range append(s.gateways, s.agents...) {
		if g.command == nil || g.command.Process == nil {
			continue
		}
		_ = g.command.Process.Signal(syscall.SIGCONT)
		_ = g.command.Process.Kill()
		_ = g.command.Wait()
		_ = g.log.Close()
	}
	for _, c := range s.closers {
		c()
	}
	s.ports.Release()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
}

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
}

// configure writes a configuration; the return of put is its confirmation.
func (s *site) configure(routes []route, keys map[string]string) (version int, confirmedAt time.Time, revision int64) {
	s.version += 3
	document := s.configuration(routes, keys)
	revision = s.store.put("op/config", document)
	return s.version, time.Now(), revision
}

func (s *site) configuration(routes []route, keys map[string]string) map[string]any {
	var rows, tenants, services []any
	named := map[string]bool{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.name, "hostname": host, "prefix": r.prefix, "route_type": r.kind, "timeout_ms": 2500,
			"target_latency_ms": 150, "priority": 1, "service": r.service, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		})
		if !named[r.service] {
			named[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health_path": "/healthz", "max_connections": 100})
		}
	}
	for tenant, key := range keys {
		tenants = append(tenants, map[string]any{"name": tenant, "api_keys": []string{key}})
	}
	return map[string]any{
		"version": s.version, "routes": rows, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	}
}

// sent is a request of a client and its answer.
type sent struct {
	attempt, tenant, path, gateway string
	at                             time.Time
	status                         int // 0: no answer
}

// send sends one request and waits for its answer.
func (s *site) send(client *http.Client, g *gateway, tenant, key, method, path string) sent {
	out := sent{attempt: fmt.Sprintf("%016x", s.nextID.Add(1)+0x1c41d07b00000000), tenant: tenant, path: path, gateway: g.name, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("{\"n\":1}")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers+path, body)
	must(err)
	r.Host = host
	r.Header.Set("X-Attempt-Id", out.attempt)
	r.Header.Set("X-Deadline-Ms", "2500")
	r.Header.Set("Authorization", "Token "+key)
	s.record.add(out.at, "sent", "%s tenant %s %s %s to %s", out.attempt, tenant, method, path, g.name)
	response, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			out.status = response.StatusCode
		}
	}
	s.record.add(time.Now(), "answer", "%s status %d", out.attempt, out.status)
	return out
}
