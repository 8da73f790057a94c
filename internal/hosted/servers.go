package hosted

import (
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/ages"
	"almondreel.example/almondreel/internal/coldstart"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/pauseguard"
	"almondreel.example/almondreel/internal/proxy"
	"almondreel.example/almondreel/internal/registry"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/site"
)

const (
	// refreshInterval is how often the servers are recomputed without a change.
	refreshInterval = 50 * time.Millisecond
	// agentReportTTL is how long an agent's report on its engine overrides the
	// engine's entry in the store.
	agentReportTTL = 1200 * time.Millisecond
)

// serverTable merges the store's server list with the agents' reports into the servers
// that a gateway dispatches to. It is safe for concurrent use.
type serverTable struct {
	*siteView
	hosting settings.Hosting
	pools   *proxy.Pools

	limitsCold bool // the settings limit requests to cold engines
	evacuateMS int  // 0: no limit

	mu          sync.Mutex
	agents      *registry.Agents
	listedCount int

	// weights holds what was last logged of each listed engine, by server ID. Only refresh uses it.
	weights map[string]countedWeights

	// applied is the configuration whose regions were last applied. Only refresh uses it.
	applied *site.Configuration
	// Only refresh uses the following.
	evacuationLog evacuationLog
	cold          map[string]coldstart.ColdEngine // as last logged, by server ID
	starvationLog starvationLog
	pauseGuard    pauseguard.Guard
	startsHeld    bool // by pauseGuard
}

// countedWeights is the version that an engine counts as serving, and where that is known
// from.
type countedWeights struct {
	version int64 // 0: the engine counts as serving none
	source  weightsSource
}

// weightsSource is where it is known from what an engine serves.
type weightsSource string

// Sources of what engines serve.
const (
	fromEntry        weightsSource = "Entry"        // the engine's entry in the store
	fromReport       weightsSource = "Report"       // its agent's report
	fromAnnouncement weightsSource = "Announcement" // the end of a switchover that its agent announced
)

func newServerTable(view *siteView, h settings.Hosting, pools *proxy.Pools) *serverTable {
	return &serverTable{siteView: view, hosting: h, pools: pools, agents: registry.New(time.Now().UnixNano()), weights: map[string]countedWeights{}}
}

// run keeps the pools' server lists up to date until ctx ends.
func (t *serverTable) run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		t.refresh(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-t.changed:
		}
	}
}

func (t *serverTable) refresh(now time.Time) {
	c := t.Configuration()
	if c == nil {
		return
	}
	services := map[string][]schedule.Server{}
	weights := make(map[string]countedWeights, len(t.weights))
	count := 0
	for key, s := range t.siteView.listedServers(now) {
		service, ok := c.Services[s.Service]
		if !ok || s.Draining {
			continue
		}
		count++
		scheduled, source := t.scheduledServer(now, s, service)
		scheduled.ColdUntil, scheduled.ColdPerSecond = t.coldUntil(key), service.ColdStart.PerSecond
		services[s.Service] = append(services[s.Service], scheduled)
		if service.Engine.Slots > 0 {
			weights[s.ID] = t.logWeights(s, scheduled, source)
		}
	}
	t.weights = weights
	t.pools.SetServers(now, services)
	t.applyRegions(now, c)
	t.guardPauses(now)
	t.evacuationLog.record(t.evacuations(), t.hosting.Places, t.mirror.Revision())
	t.logCold(now)
	t.recordShortage(now)
	if count != t.listedCount {
		t.listedCount = count
		event.Log(event.ServersChanged, "Listed", count, "Revision", t.mirror.Revision())
	}
}

// logWeights logs the version that an engine counts as serving if it is another one than
// before, and returns it.
func (t *serverTable) logWeights(s site.Server, scheduled schedule.Server, source weightsSource) countedWeights {
	current := countedWeights{source: source}
	if scheduled.Ready {
		current.version = scheduled.Version
	}
	if known, ok := t.weights[s.ID]; !ok || known.version != current.version {
		event.Log(event.ServerWeightsChanged, "Server", s.ID, "Address", s.Address, "Born", s.State.Born, "Version", current.version, "Source", string(source))
	}
	return current
}

// scheduledServer returns a listed server for the scheduler, and where it is known from
// what an engine serves: the report of its agent if there is a recent one, since the
// engine's entry lags.
func (t *serverTable) scheduledServer(now time.Time, s site.Server, service site.Service) (schedule.Server, weightsSource) {
	out := schedule.Server{
		ID: s.ID, Address: s.Address, Region: t.hosting.Region(s.DataCentre),
		Slots: max(1, s.Slots), StartUnixMS: s.State.Born, Ready: true,
		Evacuated: t.isEvacuated(s.DataCentre),
	}
	if service.Engine.Slots == 0 {
		return out, fromEntry
	}
	source, verified := fromEntry, false
	served := s.State.Served(service.Engine.Layers)
	served.Whole = served.Whole && served.Version <= t.namedVersion(service.Engine.Model)
	a, known := t.agentReport(s.Address)
	known = known && now.Sub(a.At) < agentReportTTL
	if known && a.Born != 0 {
		if !a.HoldingUnknown {
			served, source = servedNow(a, now)
			verified = !a.Found
		}
		// An entry of another start is the previous one, perhaps under another ID, or it is
		// not the engine's. An engine that has just started, of which its agent has not
		// reported yet, has no weights.
		served.Whole = served.Whole && a.Born == s.State.Born
	}
	if !verified && (isUnverified(t.unverifiedLoad(s.Address), s.State.Born, served.Version) ||
		known && isUnverified(hostedrpc.UnverifiedLoad{Born: a.UnverifiedBorn, Version: a.Unverified}, s.State.Born, served.Version)) {
		served.Whole = false
	}
	out.Version, out.Ready = served.Version, served.Whole
	out.ServesUntil = t.servesUntil(service.Engine.Model, served.Version)
	return out, source
}

// isUnverified reports whether the load is, or may be, the version that a start of an engine
// serves.
func isUnverified(l hostedrpc.UnverifiedLoad, born, version int64) bool {
	return l.Version != 0 && l.Born == born && version >= l.Version
}

// servedNow returns what an engine serves at now, by its agent's report and the
// switchover announced in it.
func servedNow(a registry.Report, now time.Time) (site.ServedWeights, weightsSource) {
	served := a.Holding
	c := a.Change
	if c.Version == 0 || served.Version >= c.Version {
		served.Whole = served.Whole && !(a.Switching && c.Version == 0)
		return served, fromReport
	}
	since := now.Sub(a.At).Milliseconds()
	switch {
	case since < c.StartMilliseconds:
	case since < c.EndMilliseconds, a.Unverified != 0 && c.EndMilliseconds < 0:
		served.Whole = false
	default:
		served.Version, served.Whole = c.Version, true
	}
	return served, fromAnnouncement
}

func (t *serverTable) agentReport(engineAddress string) (registry.Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.agents.ByEngine(engineAddress)
}

// unverifiedLoad returns a load of an engine that its agent had not verified when it last
// reported.
func (t *serverTable) unverifiedLoad(engineAddress string) hostedrpc.UnverifiedLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.agents.Unverified(engineAddress)
}

// applyReport applies a report that an agent sent to this gateway.
func (t *serverTable) applyReport(a hostedrpc.Agent, now time.Time) {
	t.mu.Lock()
	changed := t.agents.Record(a, now, registry.Direct)
	t.mu.Unlock()
	if changed {
		t.notify()
	}
}

// applyReports applies agents' reports that another gateway passed on.
func (t *serverTable) applyReports(reports []hostedrpc.Agent, alive []hostedrpc.Liveness, ended []hostedrpc.EndedAgentLoad, path registry.Path, now time.Time) {
	t.mu.Lock()
	changed := false
	for _, a := range reports {
		changed = t.agents.Record(a, ages.At(now, a.AgeMilliseconds), path) || changed
	}
	for _, s := range alive {
		t.agents.MarkAlive(s.Name, ages.At(now, s.AgeMilliseconds))
	}
	t.agents.RecordEnded(ended, now)
	t.mu.Unlock()
	if changed {
		t.notify()
	}
}

// endedLoads returns the unverified loads of agents that have ended.
func (t *serverTable) endedLoads(now time.Time) []hostedrpc.EndedAgentLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.agents.Ended(now)
}

// reportsFor returns the agents' reports that another gateway lacks, and the agents
// that are alive and unchanged. A gateway of another region gets all agents of this
// region. One of this region gets the agents that report to this gateway and those
// that other regions passed on to it.
func (t *serverTable) reportsFor(sent *registry.Sent, now time.Time, region string, remote bool) ([]hostedrpc.Agent, []hostedrpc.Liveness) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.agents.Expire(now)
	resend := registry.Resend{Alive: now.Add(-livenessInterval), Pieces: now.Add(-pieceInterval)}
	if remote {
		resend.Pieces = now.Add(-remotePieceInterval)
		return t.agents.Unsent(sent, now, resend, func(report registry.Report) bool { return report.Region == region })
	}
	return t.agents.Unsent(sent, now, resend, func(report registry.Report) bool { return report.Path != registry.SameRegion })
}

// agentsSince returns the changes after cursor to the other agents of a's service.
func (t *serverTable) agentsSince(cursor hostedrpc.Cursor, a hostedrpc.Agent) registry.Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.agents.Expire(time.Now())
	return t.agents.Since(cursor, a.Name, a.Service)
}
