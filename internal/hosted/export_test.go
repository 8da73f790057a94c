package hosted

import (
	"time"

	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/mirror"
	"almondreel.example/almondreel/internal/proxy"
	"almondreel.example/almondreel/internal/registry"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/platform"
)

// View exposes a process's view of the site, so that tests can apply changed items
// in any order.
type View struct {
	Mirror *mirror.Mirror
	view   *siteView
}

// NewView returns an empty view that calls no store.
func NewView(versionMS int) View {
	view := newSiteView(platform.NewStore(""), versionMS)
	return View{Mirror: view.mirror, view: view}
}

// Apply updates the view from changed items.
func (v View) Apply(items []mirror.Item) { v.view.apply(items, "test") }

// Listed returns the number of listed servers.
func (v View) Listed() int { return len(v.view.listedServers(time.Now())) }

// Evacuated reports whether a data centre is evacuated.
func (v View) Evacuated(dataCentre string) bool { return v.view.isEvacuated(dataCentre) }

// AnswerUntil returns when a stop that began at a time ends the requests in progress.
func AnswerUntil(began time.Time, grace time.Duration) time.Time {
	return newStopTimes(began, grace).answer
}

// Servers exposes what a gateway knows of its backend servers.
type Servers struct{ table *serverTable }

// NewServers returns the servers of a view, of which no agent has reported.
func NewServers(v View) Servers { return Servers{newServerTable(v.view, settings.Hosting{}, nil)} }

// Report records an agent's report of a time.
func (s Servers) Report(a hostedrpc.Agent, at time.Time) {
	s.table.agents.Record(a, at, registry.Direct)
}

// Expire removes agents that were not heard from.
func (s Servers) Expire(now time.Time) { s.table.agents.Expire(now) }

// Serves reports whether requests are sent to an engine at a time, by its entry and
// reports.
func (s Servers) Serves(entry site.Server, service site.Service, now time.Time) bool {
	scheduled, _ := s.table.scheduledServer(now, entry, service)
	return scheduled.Ready
}

// LogImplausible logs fields with implausible values and reports whether it did.
func (v View) LogImplausible(key, fields string) bool { return v.view.logImplausible(key, fields) }

// ColdDeadlines exposes until when servers are cold, by store key.
type ColdDeadlines struct{ deadlines coldDeadlines }

// NewColdDeadlines returns deadlines of no servers.
func NewColdDeadlines() ColdDeadlines { return ColdDeadlines{coldDeadlines{}} }

// Record applies an entry.
func (d ColdDeadlines) Record(key string, entry site.Server, now time.Time) {
	d.deadlines.record(key, entry, now)
}

// Remove applies the deletion of an entry.
func (d ColdDeadlines) Remove(key string) { d.deadlines.remove(key) }

// Prune removes deadlines of deleted entries that have passed.
func (d ColdDeadlines) Prune(now time.Time) { d.deadlines.prune(now) }

// Until returns the deadline of a server; zero: it is not cold.
func (d ColdDeadlines) Until(key string) time.Time { return d.deadlines[key].until }

// StarvationLog exposes which changes of starvation are logged.
type StarvationLog struct{ log starvationLog }

// Next returns the event to be logged, the rate that it names and the number of others; 0 if
// there is none.
func (l *StarvationLog) Next(now time.Time, services map[string][]schedule.ServedRate) (event.Number, schedule.ServedRate, int) {
	if !l.log.due(now) {
		return 0, schedule.ServedRate{}, 0
	}
	c, ok := l.log.next(now, services)
	if !ok {
		return 0, schedule.ServedRate{}, 0
	}
	return c.number, c.rate, c.others
}

// Gossip exposes a gateway's exchange of state with the others.
type Gossip struct{ gossiper *gossiper }

// NewGossip returns the exchange of a gateway that calls no others.
func NewGossip(own hostedrpc.Gateway, pools *proxy.Pools) Gossip {
	servers := newServerTable(newSiteView(platform.NewStore(""), 0), settings.Hosting{}, pools)
	return Gossip{newGossiper(servers, own, nil, proxy.NewCrashDetector())}
}

// Receive records what another gateway reports.
func (g Gossip) Receive(request hostedrpc.ExchangeRequest, now time.Time) {
	g.gossiper.noteRequest(request, now)
}

// UpdatePoolLoads passes what is known of the other gateways to the pools.
func (g Gossip) UpdatePoolLoads(now time.Time) { g.gossiper.updatePoolLoads(now) }
