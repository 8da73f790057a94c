package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"time"

	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/peerconn"
	"almondreel.example/almondreel/internal/process"
	"almondreel.example/almondreel/internal/settings"
)

// standInProgram replaces the platform's services and the backend servers.
const standInProgram = "almondreel-standin"

const (
	kvWritesPerSecond = 400
	kvReadsPerSecond  = 2000
	pollInterval      = 50 * time.Millisecond
	// Agents start in batches, so that a large site does not overload the computer.
	startBatch = 20
	startPause = 400 * time.Millisecond
)

// Start starts the platform's stand-ins, the backend servers and the daemons.
// It does not wait until they are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.awaitPlatform(ctx); err != nil {
		return err
	}
	if err := f.ListInstances(ctx, nil); err != nil {
		return err
	}
	if err := f.startBackends(); err != nil {
		return err
	}
	for _, g := range f.Gateways {
		if err := f.startProcess(g.Name, "almondreel-gateway", "--settings", f.settingsFile(g.Name)); err != nil {
			return err
		}
	}
	for i, b := range f.Backends {
		if i%startBatch == startBatch-1 {
			time.Sleep(startPause)
		}
		if err := f.startProcess(b.Instance, "almondreel-agent", "--settings", f.settingsFile(b.Instance)); err != nil {
			return err
		}
	}
	return nil
}

// startBackends starts each backend server once, also if several instances share it.
func (f *Fleet) startBackends() error {
	started := map[string]bool{}
	for _, b := range f.Backends {
		if started[b.Address] {
			continue
		}
		started[b.Address] = true
		if err := f.startBackend(b); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform() error {
	p, m, l := f.Platform, f.Site.Model, f.Site.Links
	published := []string{
		"--publish", publishFlag(m.Name, m.First),
		"--publish", publishFlag(m.Name, m.Next),
	}
	origin := append([]string{"origin", "--listen", p.Origin, "--rate-bytes", strconv.FormatInt(l.OriginBytesPerSecond, 10)}, published...)
	steps := []struct {
		name string
		args []string
	}{
		{"key-value", []string{"kv", "--listen", p.KeyValue,
			"--writes-per-second", strconv.Itoa(kvWritesPerSecond), "--reads-per-second", strconv.Itoa(kvReadsPerSecond)}},
		{"instances", []string{"instances", "--listen", p.Instances, "--lag-ms", "2000"}},
		{"origin", origin},
		{"store", []string{"store", "--listen", p.Store, "--rate-bytes", strconv.FormatInt(l.StoreBytesPerSecond, 10)}},
	}
	for _, s := range steps {
		if err := f.startProcess(s.name, standInProgram, s.args...); err != nil {
			return err
		}
	}
	return nil
}

func publishFlag(model string, v Version) string {
	return fmt.Sprintf("%s:%s:%d:%d:%d", model, v.Version, v.Bytes, v.Seed, v.ChunkBytes)
}

func (f *Fleet) startBackend(b Backend) error {
	s := b.Service
	name := "backend-" + b.Instance
	if s.Kind == settings.KindPlain {
		return f.startProcess(name, standInProgram, "service", "--listen", b.Address, "--answer-ms", strconv.Itoa(s.AnswerMilliseconds))
	}
	args := []string{"engine", "--listen", b.Address,
		"--first-token-ms", strconv.Itoa(s.FirstTokenMilliseconds),
		"--between-tokens-ms", strconv.Itoa(s.BetweenTokensMilliseconds),
		"--slots", strconv.Itoa(s.Slots),
		"--crash-marker", CrashMarker,
	}
	if s.ChecksOrders {
		args = append(args, "--checks-orders")
	}
	return f.startProcess(name, standInProgram, args...)
}

// CrashMarker in a prompt makes the stand-in engine that runs it exit.
const CrashMarker = "!crash!"

func (f *Fleet) startProcess(name, program string, args ...string) error {
	p := process.New(name, filepath.Join(f.bin, program), f.dir, args...)
	f.mu.Lock()
	f.processes[name] = p
	if program == standInProgram {
		f.standIns = append(f.standIns, name)
	} else {
		f.daemons = append(f.daemons, name)
	}
	f.mu.Unlock()
	return p.Start()
}

func (f *Fleet) awaitPlatform(ctx context.Context) error {
	p := f.Platform
	for _, address := range []string{p.KeyValue, p.Instances, p.Origin, p.Store} {
		if err := waitUntil(ctx, address, func() bool { return respondsOK("http://" + address + "/faults") }); err != nil {
			return err
		}
	}
	return nil
}

// Ready waits until every daemon reports that it is ready.
func (f *Fleet) Ready(ctx context.Context) error {
	var addresses []string
	for _, g := range f.Gateways {
		addresses = append(addresses, g.ControlAddress)
	}
	for _, b := range f.Backends {
		addresses = append(addresses, b.AgentAddress)
	}
	for _, address := range addresses {
		if err := waitUntil(ctx, address, func() bool { return respondsOK("http://" + address + "/ready") }); err != nil {
			return fmt.Errorf("daemon not ready: %w", err)
		}
	}
	return nil
}

// ListInstances sets the platform's instance list to all gateways and agents, and to
// encoded entries of other writers. Their state is Live unless states has another one for
// the name.
func (f *Fleet) ListInstances(ctx context.Context, states map[string]instances.State, others ...json.RawMessage) error {
	var list struct{ Instances []any }
	for _, entry := range others {
		list.Instances = append(list.Instances, entry)
	}
	add := func(name string, role instances.Role, r Region, address string) {
		state := instances.Live
		if s, ok := states[name]; ok {
			state = s
		}
		list.Instances = append(list.Instances, instances.Instance{
			Name: name, Role: role, Region: r.Name, DataCentre: r.DataCentre, Address: address, State: state,
		})
	}
	for _, g := range f.Gateways {
		add(g.Name, instances.RoleGateway, g.Region, g.ControlAddress)
	}
	for _, b := range f.Backends {
		add(b.Instance, instances.RoleAgent, b.Region, b.AgentAddress)
	}
	return Put(ctx, "http://"+f.Platform.Instances+instances.ListPath, list)
}

// Put sends value as JSON in a PUT request, by which stand-ins get faults and lists.
func Put(ctx context.Context, url string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := peerconn.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("PUT %s: %s", url, response.Status)
	}
	return nil
}

// GetJSON decodes the JSON answer of a GET request into value.
func GetJSON(ctx context.Context, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := peerconn.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(value)
}

// respondsOK reports whether a GET request is answered with status 200.
func respondsOK(url string) bool {
	response, err := peerconn.DefaultClient.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitUntil polls done until it returns true or ctx ends. what prefixes the error.
func waitUntil(ctx context.Context, what string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}
