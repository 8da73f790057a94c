package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"gopkg.in/yaml.v3"

	"almondreel.example/almondreel/internal/process"
	"almondreel.example/almondreel/internal/settings"
)

// Backend is a backend server of the site with its agent.
type Backend struct {
	Service  Service
	Region   Region
	Instance string // name of the instance and of its agent
	Address  string // of the backend server
	Agent    string // address of the agent
}

// Gateway is a gateway of the site.
type Gateway struct {
	Name    string
	Region  Region
	Caller  string // address for callers
	Control string // address for almondreel's own processes
}

// Platform holds the addresses of the platform's stand-ins.
type Platform struct {
	KeyValue, Instances, Origin, Store string
}

// Fleet is a running site. Its methods are safe for concurrent use.
type Fleet struct {
	Site     Site
	Platform Platform
	Gateways []Gateway
	Backends []Backend

	bin   string
	dir   string
	ports *process.Ports

	mu        sync.Mutex
	away      map[string]bool // gateways that the platform's balancer passes over
	processes map[string]*process.Process
	daemons   []string
	standIns  []string
}

// New lays the site out in dir and writes its settings files; bin holds the programs.
func New(site Site, bin, dir string) (*Fleet, error) {
	absolute, err := filepath.Abs(bin)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Site: site, bin: absolute, dir: dir, away: map[string]bool{}, processes: map[string]*process.Process{}}
	if err := f.layOut(); err != nil {
		return nil, err
	}
	return f, f.writeSettings()
}

func (f *Fleet) layOut() error {
	gateways, backends := 0, 0
	for _, r := range f.Site.Regions {
		gateways += r.Gateways
	}
	for _, s := range f.Site.Services {
		backends += s.Instances
	}
	ports, err := process.Reserve(4 + 2*gateways + 2*backends + len(f.Site.Services))
	if err != nil {
		return err
	}
	f.ports = ports
	take := ports.Take
	f.Platform = Platform{KeyValue: take(), Instances: take(), Origin: take(), Store: take()}
	for _, r := range f.Site.Regions {
		for i := range r.Gateways {
			name := fmt.Sprintf("gateway-%s-%d", r.DataCentre, i+1)
			f.Gateways = append(f.Gateways, Gateway{Name: name, Region: r, Caller: take(), Control: take()})
		}
	}
	for _, s := range f.Site.Services {
		shared := take()
		for i := range s.Instances {
			address := shared
			if !s.OneProcess {
				address = take()
			}
			r := f.Site.Regions[i%len(f.Site.Regions)]
			name := fmt.Sprintf("%s-%d", s.Name, i+1)
			f.Backends = append(f.Backends, Backend{Service: s, Region: r, Instance: name, Address: address, Agent: take()})
		}
	}
	return nil
}

func (f *Fleet) writeSettings() error {
	for _, g := range f.Gateways {
		if err := f.write(g.Name, f.gatewaySettings(g)); err != nil {
			return err
		}
	}
	for _, b := range f.Backends {
		if err := f.write(b.Instance, f.agentSettings(b)); err != nil {
			return err
		}
	}
	return f.write("operator", f.operatorSettings())
}

func (f *Fleet) gatewaySettings(g Gateway) settings.Gateway {
	return settings.Gateway{
		Identity:      identity(g.Name, g.Region),
		CallerListen:  g.Caller,
		ControlListen: g.Control,
		KeyValue:      "http://" + f.Platform.KeyValue,
		Instances:     "http://" + f.Platform.Instances,
		Origin:        "http://" + f.Platform.Origin,
		Store:         "http://" + f.Platform.Store,
		Organisations: f.Site.Organisations,
	}
}

func (f *Fleet) agentSettings(b Backend) settings.Agent {
	links := f.Site.Links
	return settings.Agent{
		Identity: identity(b.Instance, b.Region),
		Listen:   b.Agent,
		Backend: settings.Backend{
			Kind:         b.Service.Kind,
			Service:      b.Service.Name,
			Address:      b.Address,
			ChecksOrders: b.Service.ChecksOrders,
		},
		Instances: "http://" + f.Platform.Instances,
		Origin:    "http://" + f.Platform.Origin,
		Store:     "http://" + f.Platform.Store,
		Link: settings.Link{
			DownBytesPerSecond:   links.InstanceDownBytesPerSecond,
			UpBytesPerSecond:     links.InstanceUpBytesPerSecond,
			RegionBytesPerSecond: links.RegionBytesPerSecond / f.Site.enginesPerRegion(),
		},
	}
}

// operatorSettings is the settings file of the operators' command line.
func (f *Fleet) operatorSettings() map[string]any {
	var gateways []string
	for _, g := range f.Gateways {
		gateways = append(gateways, "http://"+g.Control)
	}
	return map[string]any{
		"KeyValue": "http://" + f.Platform.KeyValue,
		"Operator": "demo",
		"Gateways": gateways,
	}
}

func identity(name string, r Region) settings.Identity {
	return settings.Identity{Name: name, Region: r.Name, DataCentre: r.DataCentre}
}

func (f *Fleet) write(name string, value any) error {
	text, err := yaml.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(f.settingsFile(name), text, 0o600)
}

func (f *Fleet) settingsFile(name string) string {
	return filepath.Join(f.dir, name+".yaml")
}

// Process returns the process called name: "key-value", "instances", "origin",
// "store", a gateway's or instance's name, or "backend-" and an instance's name.
func (f *Fleet) Process(name string) *process.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// Balanced returns the gateways that the platform's balancer sends callers to.
func (f *Fleet) Balanced() []Gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Gateway
	for _, g := range f.Gateways {
		if !f.away[g.Name] {
			out = append(out, g)
		}
	}
	return out
}

// SetBalanced says whether the balancer sends callers to a gateway.
func (f *Fleet) SetBalanced(name string, balanced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away[name] = !balanced
}

// Stop ends all processes, the daemons before the stand-ins that they need. It
// returns an error that names the processes that did not end by themselves.
func (f *Fleet) Stop() error {
	f.mu.Lock()
	daemons, standIns := f.daemons, f.standIns
	f.mu.Unlock()
	stuck := f.stopGroup(daemons)
	stuck = append(stuck, f.stopGroup(standIns)...)
	f.ports.Release()
	return errors.Join(stuck...)
}

func (f *Fleet) stopGroup(names []string) []error {
	results := make(chan error, len(names))
	for _, name := range names {
		go func(p *process.Process) {
			var err error
			if !p.Terminate() {
				err = fmt.Errorf("%s did not end within %v of SIGTERM", p.Name, process.StopWithin)
			}
			results <- err
		}(f.Process(name))
	}
	var stuck []error
	for range names {
		if err := <-results; err != nil {
			stuck = append(stuck, err)
		}
	}
	return stuck
}

// Operator runs the operators' command line against the site and returns its
// output and exit code.
func (f *Fleet) Operator(args ...string) (string, int, error) {
	cmd := exec.Command(filepath.Join(f.bin, "almondreel"), append([]string{"--settings", f.settingsFile("operator")}, args...)...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode(), nil
	}
	return string(out), 0, err
}
