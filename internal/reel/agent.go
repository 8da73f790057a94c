package reel

import (
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/belief"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/draw"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/site"
)

const (
	// reportTime is how often the engine's state is read: reports are free on
	// the engine's own machine and as old as 200 ms.
	reportTime = 100 * time.Millisecond
	// fetchers is the number of pieces in flight to an agent.
	fetchers = 4
	// idleTime is the pause of a fetcher that has nothing to do.
	idleTime = 25 * time.Millisecond
	// memberTime is how long an agent that says nothing counts as alive.
	memberTime = 2 * time.Second
	// loadTime is how long a load order may take beyond what the engine runs.
	loadTime = 5 * time.Second
	// upload bounds the pieces that are sent at once.
	uploads = 4
)

// Options of an agent.
type Options struct {
	Name          string
	Address       string // IP:port where pieces are served
	Region        string
	Service       string
	EngineAddress string
	VersionMS     int // milliseconds from the naming of a version until it must serve everywhere
	Engine        Engine
	Origin        Origin
	Peers         *Peers
	// Wanted decodes what the platform's store says: the service's engine, the
	// origin's address and the version that is named.
	Wanted func([]belief.Item) Wanted
}

// Wanted is what the platform's store says of the agent's model.
type Wanted struct {
	Engine  site.Engine
	Origin  string // address
	Version int64  // 1 while none is named
}

// Agent keeps one engine's weights. It is safe for concurrent use.
type Agent struct {
	Options
	Beliefs *belief.Beliefs

	mu       sync.Mutex
	wanted   Wanted
	state    site.State
	heard    bool // the engine answered the last report
	members  map[string]member
	named    map[int64]time.Time // when a version was named
	current  *version
	switches bool // a load order is on its way or in progress
}

type member struct {
	neighbour.Agent
	at time.Time // when it said so
}

// version is the version that the agent brings or has brought.
type version struct {
	manifest Manifest
	plan     *draw.Plan
	data     [][]byte
}

// NewAgent returns an agent that knows nothing yet.
func NewAgent(o Options) *Agent {
	return &Agent{Options: o, Beliefs: belief.New(), members: map[string]member{}, named: map[int64]time.Time{}}
}

// Run keeps the engine's weights until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	parts := []func(context.Context){a.watchEngine, a.keep}
	for range fetchers {
		parts = append(parts, a.fetch)
	}
	return duty.Together(ctx, parts...)
}

// watchEngine reads the engine's state.
func (a *Agent) watchEngine(ctx context.Context) {
	for {
		state, err := a.Engine.Report(ctx)
		a.noteState(state, err)
		if !pause.For(ctx, reportTime) {
			return
		}
	}
}

func (a *Agent) noteState(state site.State, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if heard := err == nil; heard != a.heard {
		if heard {
			event.Log(event.EngineUp, "Engine", a.EngineAddress, "Born", state.Born)
		} else {
			event.Fail(event.EngineDown, err, "Engine", a.EngineAddress)
		}
		a.heard = heard
	}
	if err == nil {
		a.state = state
	}
}

// Adopt takes what a gateway or the store said.
func (a *Agent) Adopt(u belief.Update, agents []neighbour.Agent, named []neighbour.Named) {
	a.Beliefs.Adopt(u)
	wanted := a.Wanted(a.Beliefs.Items())
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wanted = wanted
	for _, m := range agents {
		a.members[m.Name] = member{m, now.Add(-time.Duration(m.AgeMilliseconds) * time.Millisecond)}
	}
	for name, m := range a.members {
		if now.Sub(m.at) > memberTime {
			delete(a.members, name)
		}
	}
	for _, n := range named {
		at := now.Add(-time.Duration(n.AgeMilliseconds) * time.Millisecond)
		if held, ok := a.named[n.Version]; n.Model == wanted.Engine.Model && (!ok || at.Before(held)) {
			a.named[n.Version] = at
		}
	}
	if _, ok := a.named[wanted.Version]; !ok {
		a.named[wanted.Version] = now
	}
}

// Say returns what the agent tells gateways.
func (a *Agent) Say() neighbour.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := neighbour.Agent{
		Name: a.Name, Address: a.Address, Region: a.Region, Service: a.Service,
		EngineAddress: a.EngineAddress, Switching: a.switches || a.state.Loading,
	}
	if a.heard {
		out.Born, out.Running, out.Queued = a.state.Born, a.state.Running, a.state.Queued
		out.Holding = a.state.Holding(a.wanted.Engine.Layers)
	}
	if v := a.current; v != nil {
		out.Pieces = neighbour.Pieces{Model: v.manifest.Model, Version: v.manifest.Version, Have: v.plan.Have()}
	}
	return out
}

// Urgent reports whether the agent is bringing or loading a version, so that
// it should hear from its neighbours often.
func (a *Agent) Urgent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wanted.Version == 0 || a.current == nil || !a.current.plan.Complete() || a.behind()
}

// behind reports whether the engine lacks the wanted version.
func (a *Agent) behind() bool {
	held := a.state.Holding(a.wanted.Engine.Layers)
	return a.heard && (held.Version != a.wanted.Version || !held.Whole)
}

// piece returns a piece for a neighbour.
func (a *Agent) piece(model string, number int64, n int) ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.current
	if v == nil || v.manifest.Model != model || v.manifest.Version != number || n < 0 || n >= len(v.data) || v.data[n] == nil {
		return nil, false
	}
	return v.data[n], true
}

// manifest returns the manifest for a neighbour.
func (a *Agent) manifestOf(model string, number int64) (Manifest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || a.current.manifest.Model != model || a.current.manifest.Version != number {
		return Manifest{}, false
	}
	return a.current.manifest, true
}

// fetch brings pieces, one after the other.
func (a *Agent) fetch(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.fetchOne(ctx) && !pause.For(ctx, idleTime) {
			return
		}
	}
}

// fetchOne brings one piece and reports whether there was one to bring.
func (a *Agent) fetchOne(ctx context.Context) bool {
	a.mu.Lock()
	v, origin := a.current, a.wanted.Origin
	if v == nil || !a.heard {
		a.mu.Unlock()
		return false
	}
	f, ok := v.plan.Next(time.Now(), a.drawMembers(v.manifest))
	var address string
	if m, found := a.members[f.Source.Holder]; found {
		address = m.Address
	}
	a.mu.Unlock()
	if !ok {
		return false
	}
	data, err := a.bring(ctx, v.manifest, f, origin, address)
	if err == nil {
		err = a.Engine.Stage(ctx, v.manifest.Model, f.Piece, data)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	v.plan.Ended(time.Now(), f, err == nil)
	if err != nil {
		counter.Add("PieceFailures", 1)
		event.Fail(event.PieceFailed, err, "Piece", f.Piece, "Version", v.manifest.Version, "From", f.Source.Holder)
		return true
	}
	v.data[f.Piece] = data
	v.plan.Got(f.Piece)
	if v.plan.Complete() {
		event.Log(event.TransferVerified, "Model", v.manifest.Model, "Version", v.manifest.Version)
	}
	return true
}

func (a *Agent) bring(ctx context.Context, m Manifest, f draw.Fetch, origin, address string) ([]byte, error) {
	var data []byte
	var err error
	if f.Source.Holder == "" {
		data, err = a.Origin.Piece(ctx, origin, m.Model, m.Version, f.Piece)
		counter.Add("PiecesDrawn.Origin", 1)
	} else {
		data, err = a.Peers.Piece(ctx, address, m.Model, m.Version, f.Piece)
		counter.Add("PiecesDrawn.Agent", 1)
	}
	if err != nil {
		return nil, err
	}
	return data, m.Verify(f.Piece, data)
}

// drawMembers returns the other agents as the plan sees them.
func (a *Agent) drawMembers(m Manifest) []draw.Member {
	var out []draw.Member
	for _, o := range a.members {
		if o.Service != a.Service {
			continue
		}
		d := draw.Member{Name: o.Name, Region: o.Region, Needs: true}
		if o.Pieces.Model == m.Model && o.Pieces.Version == m.Version {
			d.Have = o.Pieces.Have
			d.Needs = !full(o.Pieces.Have, len(m.Digests))
		}
		out = append(out, d)
	}
	return out
}

func full(set []uint64, n int) bool {
	for i := range n {
		if !draw.Has(set, i) {
			return false
		}
	}
	return true
}
