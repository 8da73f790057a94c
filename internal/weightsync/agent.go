package weightsync

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/ages"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/piecesched"
	"almondreel.example/almondreel/internal/rollout"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/internal/supervisor"
)

const (
	// reportInterval is how often the engine's state is read. A read costs
	// nothing on the engine's own instance, and the state is up to 200 ms old.
	reportInterval = 100 * time.Millisecond
	// maxFetchers bounds the pieces in flight to an agent. Only
	// maxFetchersServing are used while its engine sends answers to callers
	// over the same link.
	maxFetchers        = 4
	maxFetchersServing = 2
	// idlePause is the pause of a fetcher that finds nothing to fetch.
	idlePause = 25 * time.Millisecond
	// memberTimeout is how long an agent that a restarted gateway does not list
	// is still treated as alive.
	memberTimeout = 2 * time.Second
	// loadTimeout is how long the agent waits until its engine serves an
	// ordered version, and how long an order that got no answer may still reach
	// the engine.
	loadTimeout = 5 * time.Second
	// maxWaitingUploads bounds the agents that wait for a piece, as pieces are
	// sent one at a time. Further requests are rejected at once.
	maxWaitingUploads = 2
	// uploadShare is the share of the link that pieces may take; the rest is
	// for answers. idleUploadShare applies while the engine answers no callers.
	uploadShare     = 0.78
	idleUploadShare = 0.95
	// completePause is the pause of a fetcher while the version is complete.
	completePause = 150 * time.Millisecond
)

// Options configure an agent.
type Options struct {
	Name                string
	Address             string // IP:port of the handler for pieces and manifests
	Region              string
	Service             string
	EngineAddress       string
	LinkMegabits        float64 // Mbit/s of the instance's link
	RolloutMilliseconds int     // from the announcement of a version until all engines must serve it
	Engine              Engine
	Origin              Origin
	Peers               *PeerClient
}

// Agent fetches, stages and loads the weights of one engine. It is safe for
// concurrent use.
type Agent struct {
	Options

	// stagingMu is held while staged pieces change, or must not change.
	stagingMu sync.Mutex

	mu            sync.Mutex
	wanted        hostedrpc.Wanted
	state         site.EngineState
	loads         verification
	engineUp      bool // the engine answered the last read of its state
	engineAwaited bool // the engine has not answered since this agent started
	members       map[string]member
	rollouts      *rollout.Tracker
	fetching      *version   // being fetched, or fetched last; nil before the first
	prefetched    *version   // wanted, but not started while an older version is completed
	previous      *version   // the one before fetching; kept for agents that still fetch it
	ready         *version   // the newest version whose pieces are all held
	switching     bool       // a load order was sent or is in progress
	switchover    switchover // announced to the gateways
	ordering      int64      // version of the load order that is about to be sent or in progress; 0: none
	reported      int64      // Unverified of the last report that a gateway received
	// pending is the last load order that got no answer.
	pending        pendingOrder
	stagedAt       time.Time // when a piece of any version was last staged; to come if one may arrive late
	latestManifest *Manifest // the newest that was read; fetching may not have started
}

// switchover is a planned switch to another version. Gateways know of it in
// advance, so that they send the engine no requests exactly while it takes
// none.
type switchover struct {
	version  int64 // 0: no switchover
	from, to time.Time
}

func (s switchover) message(now time.Time) hostedrpc.Switchover {
	if s.version == 0 {
		return hostedrpc.Switchover{}
	}
	return hostedrpc.Switchover{Version: s.version, StartMilliseconds: s.from.Sub(now).Milliseconds(), EndMilliseconds: s.to.Sub(now).Milliseconds()}
}

type member struct {
	hostedrpc.Agent
	until time.Time // removed from then on; zero: until a gateway reports it gone
}

// version is a version that the agent fetches or has fetched.
type version struct {
	manifest     Manifest
	evidence     evidence
	scheduler    *piecesched.Scheduler
	data         [][]byte
	staged       []bool // pieces staged at the engine
	sources      sourceCounts
	completeAt   time.Time // when all pieces were held; zero before
	engineStart  int64     // start of the engine that the pieces are staged at, Unix milliseconds
	stagedUnread bool      // the engine has not answered yet, so its staged pieces are still to be read
	// checkedAt is the start of the last read that found every piece intact in the
	// engine's staging area; zero if none did.
	checkedAt time.Time
}

// sourceCounts counts a version's pieces by where they came from.
type sourceCounts struct{ origin, region, elsewhere int }

// NewAgent returns an agent that knows no wanted version and no members. Run
// starts its work.
func NewAgent(o Options) *Agent {
	return &Agent{Options: o, members: map[string]member{}, rollouts: rollout.NewTracker(o.RolloutMilliseconds), engineAwaited: true}
}

// Run fetches, stages and loads weights until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	tasks := []func(context.Context){a.pollEngine, a.reconcileLoop, a.manifestLoop, a.stageLoop}
	for n := range maxFetchers {
		tasks = append(tasks, func(ctx context.Context) { a.fetchLoop(ctx, n >= maxFetchersServing) })
	}
	return supervisor.RunAll(ctx, tasks...)
}

// pollEngine reads the engine's state until ctx ends.
func (a *Agent) pollEngine(ctx context.Context) {
	for {
		a.refreshState(ctx)
		if !pause.For(ctx, reportInterval) {
			return
		}
	}
}

// recordState records a state of the engine, or the error of the read, which began at
// readAt. A state that was read earlier than the last one is ignored.
func (a *Agent) recordState(state site.EngineState, err error, readAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if readAt.Before(a.loads.stateAt) {
		return
	}
	if up := err == nil; up != a.engineUp {
		if up {
			event.Log(event.EngineUp, "Engine", a.EngineAddress, "Born", state.Born)
		} else {
			event.Fail(event.EngineDown, err, "Engine", a.EngineAddress)
		}
		a.engineUp = up
	}
	if err != nil {
		a.pending.extend(time.Now())
		a.extendStaging(time.Now())
		return
	}
	if state != a.state {
		event.Log(event.EngineWeightsChanged, "Engine", a.EngineAddress, "Born", state.Born, "Orders", state.Orders, "Version", state.Loaded.Version,
			"FromLayer", state.Loaded.From, "ToLayer", state.Loaded.To, "Loading", state.Loading)
	}
	if idOf(state) != idOf(a.state) {
		a.pending = pendingOrder{} // it was accepted, or is refused by its count or start
	}
	if now := time.Now(); state.Born != a.state.Born && now.Before(a.stagedAt) {
		a.stagedAt = now // no call to the engine's former start can arrive
	}
	a.loads.record(a.state, state, a.engineAwaited, readAt)
	a.state, a.engineAwaited = state, false
}

// Wanted returns the newest wanted state that the agent received.
func (a *Agent) Wanted() hostedrpc.Wanted {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wanted
}

// SetWanted sets what a gateway or the store reports as wanted, and when
// versions were announced. A wanted state of an older revision of the store is
// ignored.
func (a *Agent) SetWanted(wanted hostedrpc.Wanted, announced []hostedrpc.VersionAge) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if wanted.Revision < a.wanted.Revision {
		wanted = a.wanted
	}
	a.wanted = wanted
	for _, v := range announced {
		at := ages.At(now, v.AgeMilliseconds)
		a.rollouts.Record(site.Version{Model: v.Model, Number: v.Version}, rollout.Announcement{At: at, FoundAtStart: v.Found})
	}
	if _, ok := a.rollouts.AnnouncedAt(wanted.Engine.Model, wanted.Version); !ok {
		a.rollouts.Record(site.Version{Model: wanted.Engine.Model, Number: wanted.Version}, rollout.Announcement{At: now})
	}
}

// UpdateMembers applies a gateway's report of the other agents. After a full
// report, as from a gateway that has just started, agents missing from it are
// kept for memberTimeout.
func (a *Agent) UpdateMembers(changes hostedrpc.AgentChanges) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if changes.Whole {
		for name, m := range a.members {
			if m.until.IsZero() {
				m.until = now.Add(memberTimeout)
				a.members[name] = m
			}
		}
	}
	for _, m := range changes.Agents {
		a.updateMember(member{Agent: m})
	}
	for _, p := range changes.Pieces {
		if m, ok := a.members[p.Name]; ok {
			m.Pieces, m.until = p.Pieces, time.Time{}
			a.updateMember(m)
		}
	}
	for _, name := range changes.Gone {
		delete(a.members, name)
	}
	for name, m := range a.members {
		if !m.until.IsZero() && now.After(m.until) {
			delete(a.members, name)
		}
	}
}

// updateMember replaces the state of another agent. Pieces known to be held are
// merged, since an older report may arrive later.
func (a *Agent) updateMember(m member) {
	known, ok := a.members[m.Name]
	if ok && known.Pieces.Model == m.Pieces.Model && known.Pieces.Version == m.Pieces.Version && known.Born == m.Born {
		m.Pieces.Have = union(known.Pieces.Have, m.Pieces.Have)
	}
	a.members[m.Name] = m
}

// union returns the union of two bit sets, or y if they differ in length.
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

// State returns the state that the agent reports to gateways.
func (a *Agent) State() hostedrpc.Agent {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := hostedrpc.Agent{
		Name: a.Name, Address: a.Address, Region: a.Region, Service: a.Service,
		EngineAddress: a.EngineAddress, Switching: a.switching || a.state.Loading,
		Unverified: a.unverifiedVersion(now), Found: a.loads.foundAtStart && a.state.Orders > 0,
	}
	if out.Unverified != 0 {
		out.UnverifiedBorn = a.state.Born
	}
	out.Change = a.announced(now, out.Unverified)
	if a.engineUp {
		out.Born = a.state.Born
		out.Holding = a.served()
		out.HoldingUnknown = a.wanted.Engine.Layers == 0
	}
	if a.ready != nil {
		out.Ready = a.ready.manifest.Version
	}
	if v := a.fetching; v != nil {
		out.Pieces = hostedrpc.Pieces{Model: v.manifest.Model, Version: v.manifest.Version, Have: v.scheduler.Have()}
	}
	return out
}

// Transitioning reports whether the agent is fetching or loading a version, and
// should therefore synchronise with its gateway often.
func (a *Agent) Transitioning() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wanted.Version == 0 || a.fetching == nil || !a.fetching.scheduler.Complete() || a.behind(a.fetching)
}

// behind reports whether the engine serves an older version than v, or none.
func (a *Agent) behind(v *version) bool {
	served := a.served()
	return a.engineUp && (served.Version < v.manifest.Version || !served.Whole)
}

// find returns a version of which the agent may hold pieces, or nil.
func (a *Agent) find(model string, number int64) *version {
	for _, v := range []*version{a.fetching, a.ready, a.previous, a.prefetched} {
		if v != nil && v.manifest.isVersion(model, number) {
			return v
		}
	}
	return nil
}

// piece returns a piece for another agent, nil if it is not held, and the set
// of all pieces held of that version.
func (a *Agent) piece(model string, number int64, n int) (data []byte, have []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.find(model, number)
	if v == nil || n < 0 || n >= len(v.data) {
		return nil, nil
	}
	return v.data[n], v.scheduler.Have()
}

// knownManifest returns the manifest of a version, if it is known.
func (a *Agent) knownManifest(model string, number int64) (Manifest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v := a.find(model, number); v != nil {
		return v.manifest, true
	}
	if m := a.latestManifest; m != nil && m.isVersion(model, number) {
		return *m, true
	}
	return Manifest{}, false
}

// fetchLoop fetches one piece after the other until ctx ends. A spare fetcher
// pauses while the engine serves.
func (a *Agent) fetchLoop(ctx context.Context, spare bool) {
	for ctx.Err() == nil {
		if !(spare && a.serving()) && a.fetchOne(ctx) {
			continue
		}
		delay := idlePause
		if a.complete() {
			delay = completePause
		}
		pause.For(ctx, delay)
	}
}

// serving reports whether answers to callers take precedence over pieces on the
// link. They do while the engine serves a version, until fetchPriorityShare of
// the rollout period is left before that version expires.
func (a *Agent) serving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	served := a.served()
	endsAt, ok := a.rollouts.ServesUntil(a.wanted.Engine.Model, served.Version)
	if !served.Whole || !ok {
		return served.Whole
	}
	priorityTime := time.Duration(fetchPriorityShare * float64(a.rolloutPeriod()))
	return time.Now().Before(endsAt.Add(-priorityTime))
}

// fetchPriorityShare is the share of the rollout period before the served
// version expires in which fetching takes precedence over answers. Without the
// new version the engine could soon answer nothing.
const fetchPriorityShare = 0.35

// complete reports whether every piece of the current version is held.
func (a *Agent) complete() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fetching != nil && a.fetching.scheduler.Complete()
}

// fetchOne fetches one piece and reports whether there was one to fetch.
func (a *Agent) fetchOne(ctx context.Context) bool {
	v, f, address, ok := a.nextFetch()
	if !ok {
		return false
	}
	data, err := a.fetchPiece(ctx, v, f, address)
	a.mu.Lock()
	defer a.mu.Unlock()
	v.scheduler.FetchDone(time.Now(), f, fetchResult(err))
	if err != nil {
		counter.Add("PieceFailures", 1)
		if !errors.Is(err, errBusy) && v.scheduler.Failures(f.Source) == 1 {
			event.Fail(event.PieceFetchFailed, err, "Piece", f.Piece, "Version", v.manifest.Version, "From", f.Source.Holder)
		}
		return true
	}
	v.data[f.Piece] = data
	v.scheduler.MarkHeld(f.Piece)
	switch holder := f.Source.Holder; {
	case holder == "":
		v.sources.origin++
	case a.members[holder].Region == a.Region:
		v.sources.region++
	default:
		v.sources.elsewhere++
	}
	a.markReadyIfComplete(v)
	return true
}

// errBusy reports that a holder rejected a fetch because its upload queue is
// full.
var errBusy = errors.New("holder is busy")

func fetchResult(err error) piecesched.Result {
	switch {
	case err == nil:
		return piecesched.Fetched
	case errors.Is(err, errBusy):
		return piecesched.Busy
	}
	return piecesched.Failed
}

// nextFetch chooses the next piece and the address to fetch it from.
func (a *Agent) nextFetch() (v *version, f piecesched.Fetch, address string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v = a.fetching
	if v == nil {
		return nil, piecesched.Fetch{}, "", false
	}
	if a.engineAwaited || v.stagedUnread {
		f, ok = v.scheduler.NextInRegion(time.Now(), a.schedulerMembers(v.manifest))
		return v, f, a.members[f.Source.Holder].Address, ok
	}
	if !a.engineUp {
		return nil, piecesched.Fetch{}, "", false
	}
	if prefetched, f, ok := a.nextPrefetch(); ok {
		return prefetched, f, a.wanted.Origin, true
	}
	f, ok = v.scheduler.Next(time.Now(), a.schedulerMembers(v.manifest))
	address = a.wanted.Origin
	if f.Source.Holder != "" {
		address = a.members[f.Source.Holder].Address
	}
	return v, f, address, ok
}

// nextPrefetch chooses a piece of the wanted version to fetch from the origin
// while an older version is still being completed, once this agent has fetched
// its share of that one. Callers hold mu.
func (a *Agent) nextPrefetch() (*version, piecesched.Fetch, bool) {
	v, manifest := a.fetching, a.latestManifest
	if manifest == nil || !manifest.isVersion(a.wanted.Engine.Model, a.wanted.Version) || manifest.Version <= v.manifest.Version || v.scheduler.Complete() {
		return nil, piecesched.Fetch{}, false
	}
	now := time.Now()
	if !v.scheduler.OriginShareHeld(now, a.schedulerMembers(v.manifest)) {
		return nil, piecesched.Fetch{}, false
	}
	if a.prefetched == nil || !a.prefetched.manifest.isVersion(manifest.Model, manifest.Version) {
		a.prefetched = a.newVersion(*manifest)
	}
	f, ok := a.prefetched.scheduler.Prefetch(now, a.schedulerMembers(*manifest))
	return a.prefetched, f, ok
}

// markReadyIfComplete makes a version ready to load once all its pieces are
// held.
func (a *Agent) markReadyIfComplete(v *version) {
	if !v.scheduler.Complete() || a.ready != nil && a.ready.manifest.Version >= v.manifest.Version {
		return
	}
	a.ready, v.completeAt = v, time.Now()
	event.Log(event.TransferVerified, "Model", v.manifest.Model, "Version", v.manifest.Version,
		"FromOrigin", v.sources.origin, "FromRegion", v.sources.region, "FromElsewhere", v.sources.elsewhere)
}

// fetchPiece fetches a piece and verifies it.
func (a *Agent) fetchPiece(ctx context.Context, v *version, f piecesched.Fetch, address string) ([]byte, error) {
	m := v.manifest
	var data []byte
	var err error
	if f.Source.Holder == "" {
		data, err = a.Origin.Piece(ctx, address, m.Model, m.Version, f.Piece)
		counter.Add("PiecesDrawn.Origin", 1)
	} else {
		var have []uint64
		data, have, err = a.Peers.Piece(ctx, address, m.Model, m.Version, f.Piece)
		a.recordHave(f.Source.Holder, m, have)
		counter.Add("PiecesDrawn.Agent", 1)
	}
	if err != nil {
		return nil, err
	}
	if err := m.Verify(f.Piece, data); err != nil {
		a.recordRejected(v, f.Piece, data, f.Source.Holder == "")
		return nil, err
	}
	return data, nil
}

// recordHave stores the piece set that a holder sent along with a piece. It is
// newer than the reports through gateways.
func (a *Agent) recordHave(holder string, m Manifest, have []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ok := a.members[holder]
	if ok && have != nil {
		known.Pieces = hostedrpc.Pieces{Model: m.Model, Version: m.Version, Have: have}
		a.members[holder] = known
	}
}

// schedulerMembers returns the other agents of the service as members for the
// scheduler.
func (a *Agent) schedulerMembers(m Manifest) []piecesched.Member {
	var out []piecesched.Member
	for _, other := range a.members {
		if other.Service != a.Service {
			continue
		}
		entry := piecesched.Member{Name: other.Name, Region: other.Region, Incomplete: true}
		if other.Pieces.Model == m.Model && other.Pieces.Version == m.Version {
			entry.Have = other.Pieces.Have
			entry.Incomplete = !hasAll(other.Pieces.Have, len(m.Digests))
		}
		out = append(out, entry)
	}
	return out
}

func hasAll(set []uint64, n int) bool {
	for i := range n {
		if !piecesched.HasPiece(set, i) {
			return false
		}
	}
	return true
}
