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

// Backend is a backend server of the site and its agent.
type Backend struct {
	Service      Service
	Region       Region
	Instance     string // name of the instance and of its agent
	Address      string // of the backend server, IP:port
	AgentAddress string // IP:port
}

// Gateway is a gateway of the site.
type Gateway struct {
	Name           string
	Region         Region
	CallerAddress  string // for callers, IP:port
	ControlAddress string // for calls by almondreel's own processes, IP:port
}

// Platform holds the addresses (IP:port) of the stand-ins for the platform's services.
type Platform struct {
	KeyValue, Instances, Origin, Store string
}

// Fleet is an example site whose programs run as processes. Its methods are safe for
// concurrent use.
type Fleet struct {
	Site     Site
	Platform Platform
	Gateways []Gateway
	Backends []Backend

	bin   string
	dir   string
	ports *process.Ports

	mu         sync.Mutex
	unbalanced map[string]bool // gateways to which the simulated load balancer sends no callers
	processes  map[string]*process.Process
	daemons    []string
	standIns   []string
}

// New assigns addresses to the site's processes and writes their settings files to dir.
// bin is the directory of the programs. It starts nothing.
func New(site Site, bin, dir string) (*Fleet, error) {
	absolute, err := filepath.Abs(bin)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Site: site, bin: absolute, dir: dir, unbalanced: map[string]bool{}, processes: map[string]*process.Process{}}
	if err := f.assignAddresses(); err != nil {
		return nil, err
	}
	return f, f.writeSettings()
}

// assignAddresses reserves ports and fills in Platform, Gateways and Backends.
func (f *Fleet) assignAddresses() error {
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
	nextAddress := ports.Next
	f.Platform = Platform{KeyValue: nextAddress(), Instances: nextAddress(), Origin: nextAddress(), Store: nextAddress()}
	for _, r := range f.Site.Regions {
		for i := range r.Gateways {
			name := fmt.Sprintf("gateway-%s-%d", r.DataCentre, i+1)
			f.Gateways = append(f.Gateways, Gateway{Name: name, Region: r, CallerAddress: nextAddress(), ControlAddress: nextAddress()})
		}
	}
	for _, s := range f.Site.Services {
		shared := nextAddress()
		for i := range s.Instances {
			address := shared
			if !s.OneProcess {
				address = nextAddress()
			}
			r := f.Site.Regions[i%len(f.Site.Regions)]
			name := fmt.Sprintf("%s-%d", s.Name, i+1)
			f.Backends = append(f.Backends, Backend{Service: s, Region: r, Instance: name, Address: address, AgentAddress: nextAddress()})
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
		CallerListen:  g.CallerAddress,
		ControlListen: g.ControlAddress,
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
		Listen:   b.AgentAddress,
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

// operatorSettings returns the settings of the operators' command line.
func (f *Fleet) operatorSettings() map[string]any {
	var gateways []string
	for _, g := range f.Gateways {
		gateways = append(gateways, "http://"+g.ControlAddress)
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

// Process returns the process with this name, or nil before it is started. Names are
// "key-value", "instances", "origin", "store", the name of a gateway, the name of an
// instance for its agent, and "backend-" with an instance's name for its backend server.
func (f *Fleet) Process(name string) *process.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// Balanced returns the gateways to which the simulated load balancer sends callers.
func (f *Fleet) Balanced() []Gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Gateway
	for _, g := range f.Gateways {
		if !f.unbalanced[g.Name] {
			out = append(out, g)
		}
	}
	return out
}

// SetBalanced sets whether the simulated load balancer sends callers to a gateway.
func (f *Fleet) SetBalanced(name string, balanced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unbalanced[name] = !balanced
}

// Stop terminates all processes, the daemons before the stand-ins that they use. It
// returns an error that names the processes that had to be killed.
func (f *Fleet) Stop() error {
	f.mu.Lock()
	daemons, standIns := f.daemons, f.standIns
	f.mu.Unlock()
	errs := f.stopProcesses(daemons)
	errs = append(errs, f.stopProcesses(standIns)...)
	f.ports.Release()
	return errors.Join(errs...)
}

// stopProcesses terminates processes concurrently and returns an error for each that
// had to be killed.
func (f *Fleet) stopProcesses(names []string) []error {
	results := make(chan error, len(names))
	for _, name := range names {
		go func(p *process.Process) {
			var err error
			if !p.Terminate() {
				err = fmt.Errorf("%s did not exit within %v of SIGTERM", p.Name, process.StopTimeout)
			}
			results <- err
		}(f.Process(name))
	}
	var errs []error
	for range names {
		if err := <-results; err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// Operator runs the operators' command line with args against the site. It returns the
// combined output and the exit code; err is set only if the command could not run.
func (f *Fleet) Operator(args ...string) (string, int, error) {
	cmd := exec.Command(filepath.Join(f.bin, "almondreel"), append([]string{"--settings", f.settingsFile("operator")}, args...)...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode(), nil
	}
	return string(out), 0, err
}
