package reel

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/draw"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/naming"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/site"
)

const (
	// reportTime is how often the engine's state is read: reports are free on
	// the engine's own instance and as old as 200 ms.
	reportTime = 100 * time.Millisecond
	// fetchers is the number of pieces in flight to an agent; only servingFetchers
	// of them while its engine answers callers over the same link.
	fetchers        = 4
	servingFetchers = 2
	// idleTime is the pause of a fetcher that has nothing to do.
	idleTime = 25 * time.Millisecond
	// memberTime is how long an agent counts as alive that a gateway does not know.
	memberTime = 2 * time.Second
	// loadTime is how long a load order may take beyond what the engine runs.
	loadTime = 5 * time.Second
	// uploadsWaiting neighbours may wait for their pieces, which go out one at a
	// time; others are sent away at once.
	uploadsWaiting = 2
	// uploadShare of the link is for pieces; the rest is for answers.
	// While the engine answers nobody, idleShare is.
	uploadShare = 0.78
	idleShare   = 0.95
	// restTime is the pause of a fetcher while the version is whole.
	restTime = 150 * time.Millisecond
)

// Options of an agent.
type Options struct {
	Name          string
	Address       string // IP:port where pieces are served
	Region        string
	Service       string
	EngineAddress string
	LinkMegabits  float64 // a second, of the instance's link
	VersionMS     int     // milliseconds from the naming of a version until it must serve everywhere
	Engine        Engine
	Origin        Origin
	Peers         *Peers
}

// Agent keeps one engine's weights. It is safe for concurrent use.
type Agent struct {
	Options

	// staging is held while what lies at the engine is changed, or must not be.
	staging sync.Mutex

	mu       sync.Mutex
	wanted   neighbour.Wanted
	state    site.State
	heard    bool // the engine answered the last report
	awaited  bool // the engine has not answered since the start of this agent
	members  map[string]member
	named    *naming.Ages
	bringing *version // the version that is wanted, from the first piece on
	upcoming *version // wanted, and not begun while an older one is finished
	former   *version // was being brought before it, kept for those who finish it
	ready    *version // the newest version of which every piece is here
	switches bool     // a load order is on its way or in progress
	change   change   // that the gateways are told of
	// stageFrom is when pieces may be staged again after an order without an answer.
	stageFrom time.Time
	coming    *Manifest // the newest that was read; its version may not be begun yet
}

// change is a change-over that the gateways know of beforehand, so that they
// leave out the engine for just as long as it takes no requests.
type change struct {
	version  int64 // 0: none
	from, to time.Time
}

func (c change) word(now time.Time) neighbour.Change {
	if c.version == 0 {
		return neighbour.Change{}
	}
	return neighbour.Change{Version: c.version, StartMilliseconds: c.from.Sub(now).Milliseconds(), EndMilliseconds: c.to.Sub(now).Milliseconds()}
}

type member struct {
	neighbour.Agent
	until time.Time // it counts as gone from then on; zero: a gateway will say so
}

// version is the version that the agent brings or has brought.
type version struct {
	manifest Manifest
	plan     *draw.Plan
	data     [][]byte
	staged   []bool // pieces that lie at the engine
	from     origins
	stagedAt int64 // start of that engine, Unix milliseconds
	unread   bool  // what lies at the engine is still to be read, as it did not answer
	// readAt is when reading began that found every piece at the engine; zero: none did.
	readAt time.Time
}

// origins counts where a version's pieces came from.
type origins struct{ origin, region, elsewhere int }

// NewAgent returns an agent that knows nothing yet.
func NewAgent(o Options) *Agent {
	return &Agent{Options: o, members: map[string]member{}, named: naming.NewAges(o.VersionMS), awaited: true}
}

// Run keeps the engine's weights until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	parts := []func(context.Context){a.watchEngine, a.keep, a.seek, a.stage}
	for n := range fetchers {
		parts = append(parts, func(ctx context.Context) { a.fetch(ctx, n >= servingFetchers) })
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
		a.state, a.awaited = state, false
	}
}

// Wanted returns what the agent believes is wanted.
func (a *Agent) Wanted() neighbour.Wanted {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wanted
}

// Adopt takes what a gateway or the store said. What was read at an older
// revision of the store changes nothing.
func (a *Agent) Adopt(wanted neighbour.Wanted, named []neighbour.Named) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if wanted.Revision < a.wanted.Revision {
		wanted = a.wanted
	}
	a.wanted = wanted
	for _, n := range named {
		at := now.Add(-time.Duration(n.AgeMilliseconds) * time.Millisecond)
		a.named.Note(site.Version{Model: n.Model, Number: n.Version}, naming.Naming{At: at, Found: n.Found})
	}
	if _, ok := a.named.NamedAt(wanted.Engine.Model, wanted.Version); !ok {
		a.named.Note(site.Version{Model: wanted.Engine.Model, Number: wanted.Version}, naming.Naming{At: now})
	}
}

// Meet takes what a gateway says of other agents. Those that a gateway does not
// know which tells everything, as it has just started, are kept for a while.
func (a *Agent) Meet(o neighbour.Others) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Whole {
		for name, m := range a.members {
			if m.until.IsZero() {
				m.until = now.Add(memberTime)
				a.members[name] = m
			}
		}
	}
	for _, m := range o.Agents {
		a.meet(member{Agent: m})
	}
	for _, h := range o.Pieces {
		if m, ok := a.members[h.Name]; ok {
			m.Pieces, m.until = h.Pieces, time.Time{}
			a.meet(m)
		}
	}
	for _, name := range o.Gone {
		delete(a.members, name)
	}
	for name, m := range a.members {
		if !m.until.IsZero() && now.After(m.until) {
			delete(a.members, name)
		}
	}
}

// meet takes what another agent said. Pieces that it holds are not forgotten
// for an older word.
func (a *Agent) meet(m member) {
	held, ok := a.members[m.Name]
	if ok && held.Pieces.Model == m.Pieces.Model && held.Pieces.Version == m.Pieces.Version && held.Born == m.Born {
		m.Pieces.Have = union(held.Pieces.Have, m.Pieces.Have)
	}
	a.members[m.Name] = m
}

// union returns y if the sets differ in size.
func union(x, y []uint64) []uint64 {
	if len(x) != len(y) {
		return y
	}
	out := make([]uint64, len(x))
	for i := range x {
		out[i] = x[i] | y[i]
	}
	return out
}

// Say returns what the agent tells gateways.
func (a *Agent) Say() neighbour.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := neighbour.Agent{
		Name: a.Name, Address: a.Address, Region: a.Region, Service: a.Service,
		EngineAddress: a.EngineAddress, Switching: a.switches || a.state.Loading,
		Change: a.change.word(time.Now()),
	}
	if a.heard {
		out.Born = a.state.Born
		out.Holding = a.state.Holding(a.wanted.Engine.Layers)
	}
	if a.ready != nil {
		out.Ready = a.ready.manifest.Version
	}
	if v := a.bringing; v != nil {
		out.Pieces = neighbour.Pieces{Model: v.manifest.Model, Version: v.manifest.Version, Have: v.plan.Have()}
	}
	return out
}

// Urgent reports whether the agent is bringing or loading a version, so that
// it should hear from its neighbours often.
func (a *Agent) Urgent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wanted.Version == 0 || a.bringing == nil || !a.bringing.plan.Complete() || a.behind(a.bringing)
}

// behind reports whether the engine lacks a version.
func (a *Agent) behind(v *version) bool {
	held := a.state.Holding(a.wanted.Engine.Layers)
	return a.heard && (held.Version < v.manifest.Version || !held.Whole)
}

// find returns a version that the agent holds pieces of, or nil.
func (a *Agent) find(model string, number int64) *version {
	for _, v := range []*version{a.bringing, a.ready, a.former, a.upcoming} {
		if v != nil && v.manifest.is(model, number) {
			return v
		}
	}
	return nil
}

// piece returns a piece for a neighbour, and which pieces it could ask for.
func (a *Agent) piece(model string, number int64, n int) (data []byte, have []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.find(model, number)
	if v == nil || n < 0 || n >= len(v.data) {
		return nil, nil
	}
	return v.data[n], v.plan.Have()
}

// manifestOf returns the manifest for a neighbour.
func (a *Agent) manifestOf(model string, number int64) (Manifest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v := a.find(model, number); v != nil {
		return v.manifest, true
	}
	if c := a.coming; c != nil && c.is(model, number) {
		return *c, true
	}
	return Manifest{}, false
}

// fetch brings pieces, one after the other.
// Spare fetchers rest while the engine serves.
func (a *Agent) fetch(ctx context.Context, spare bool) {
	for ctx.Err() == nil {
		if !(spare && a.serving()) && a.fetchOne(ctx) {
			continue
		}
		rest := idleTime
		if a.whole() {
			rest = restTime
		}
		pause.For(ctx, rest)
	}
}

// serving reports whether the engine answers callers, so that pieces must leave
// it room on the link: not once its weights are out of date, and less and less
// as their time runs out.
func (a *Agent) serving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.state.Holding(a.wanted.Engine.Layers)
	ends, ok := a.named.EndsAt(a.wanted.Engine.Model, held.Version)
	if !held.Whole || !ok {
		return held.Whole
	}
	hurry := time.Duration(hurryShare * float64(a.versionTime()))
	return time.Now().Before(ends.Add(-hurry))
}

// hurryShare of a version's time is left when bringing it goes before answers:
// without it there are none soon.
const hurryShare = 0.35

// whole reports whether there is nothing to bring.
func (a *Agent) whole() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bringing != nil && a.bringing.plan.Complete()
}

// fetchOne brings one piece and reports whether there was one to bring.
func (a *Agent) fetchOne(ctx context.Context) bool {
	v, f, address, ok := a.next()
	if !ok {
		return false
	}
	data, err := a.bring(ctx, v.manifest, f, address)
	a.mu.Lock()
	defer a.mu.Unlock()
	v.plan.Ended(time.Now(), f, endOf(err))
	if err != nil {
		counter.Add("PieceFailures", 1)
		if !errors.Is(err, errBusy) && v.plan.Failures(f.Source) == 1 {
			event.Fail(event.PieceFailed, err, "Piece", f.Piece, "Version", v.manifest.Version, "From", f.Source.Holder)
		}
		return true
	}
	v.data[f.Piece] = data
	v.plan.Got(f.Piece)
	switch holder := f.Source.Holder; {
	case holder == "":
		v.from.origin++
	case a.members[holder].Region == a.Region:
		v.from.region++
	default:
		v.from.elsewhere++
	}
	a.noteComplete(v)
	return true
}

// errBusy says that a holder has enough to send.
var errBusy = errors.New("holder is busy")

func endOf(err error) draw.End {
	switch {
	case err == nil:
		return draw.Brought
	case errors.Is(err, errBusy):
		return draw.Busy
	}
	return draw.Failed
}

// next chooses a piece, and the address to fetch it from.
func (a *Agent) next() (v *version, f draw.Fetch, address string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v = a.bringing
	if v == nil {
		return nil, draw.Fetch{}, "", false
	}
	if a.awaited || v.unread {
		f, ok = v.plan.Nearby(time.Now(), a.drawMembers(v.manifest))
		return v, f, a.members[f.Source.Holder].Address, ok
	}
	if !a.heard {
		return nil, draw.Fetch{}, "", false
	}
	if u, f, ok := a.nextAhead(); ok {
		return u, f, a.wanted.Origin, true
	}
	f, ok = v.plan.Next(time.Now(), a.drawMembers(v.manifest))
	address = a.wanted.Origin
	if f.Source.Holder != "" {
		address = a.members[f.Source.Holder].Address
	}
	return v, f, address, ok
}

// nextAhead chooses a piece of the wanted version that is to be drawn from the
// origin although an older one is still being finished, once this agent has drawn
// its part of that. Callers hold mu.
func (a *Agent) nextAhead() (*version, draw.Fetch, bool) {
	v, c := a.bringing, a.coming
	if c == nil || !c.is(a.wanted.Engine.Model, a.wanted.Version) || c.Version <= v.manifest.Version || v.plan.Complete() {
		return nil, draw.Fetch{}, false
	}
	now := time.Now()
	if !v.plan.Drawn(now, a.drawMembers(v.manifest)) {
		return nil, draw.Fetch{}, false
	}
	if a.upcoming == nil || !a.upcoming.manifest.is(c.Model, c.Version) {
		a.upcoming = a.newVersion(*c)
	}
	f, ok := a.upcoming.plan.Ahead(now, a.drawMembers(*c))
	return a.upcoming, f, ok
}

// noteComplete makes a version ready to load once all its pieces are here.
func (a *Agent) noteComplete(v *version) {
	if !v.plan.Complete() || a.ready != nil && a.ready.manifest.Version >= v.manifest.Version {
		return
	}
	a.ready = v
	event.Log(event.TransferVerified, "Model", v.manifest.Model, "Version", v.manifest.Version,
		"FromOrigin", v.from.origin, "FromRegion", v.from.region, "FromElsewhere", v.from.elsewhere)
}

// bring fetches a piece and checks it.
func (a *Agent) bring(ctx context.Context, m Manifest, f draw.Fetch, address string) ([]byte, error) {
	var data []byte
	var err error
	if f.Source.Holder == "" {
		data, err = a.Origin.Piece(ctx, address, m.Model, m.Version, f.Piece)
		counter.Add("PiecesDrawn.Origin", 1)
	} else {
		var have []uint64
		data, have, err = a.Peers.Piece(ctx, address, m.Model, m.Version, f.Piece)
		a.noteHave(f.Source.Holder, m, have)
		counter.Add("PiecesDrawn.Agent", 1)
	}
	if err != nil {
		return nil, err
	}
	return data, m.Verify(f.Piece, data)
}

// noteHave takes what a holder said beside a piece: it is newer than what the
// gateways pass on.
func (a *Agent) noteHave(holder string, m Manifest, have []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held, ok := a.members[holder]
	if ok && have != nil {
		held.Pieces = neighbour.Pieces{Model: m.Model, Version: m.Version, Have: have}
		a.members[holder] = held
	}
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
