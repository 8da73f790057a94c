package hosted

import (
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/direct"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/roll"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/site"
)

const (
	// rosterTime is how often the servers are looked over without a change.
	rosterTime = 50 * time.Millisecond
	// agentTime is how long an agent's word on its engine goes before the
	// engine's entry in the store.
	agentTime = 1200 * time.Millisecond
)

// roster joins what the store lists with what agents say into the servers that
// a gateway sends to. It is safe for concurrent use.
type roster struct {
	*knowledge
	hosting settings.Hosting
	pools   *direct.Pools

	mu     sync.Mutex
	agents *roll.Roll
	listed int
}

func newRoster(k *knowledge, h settings.Hosting, pools *direct.Pools) *roster {
	return &roster{knowledge: k, hosting: h, pools: pools, agents: roll.New(time.Now().UnixNano())}
}

// run keeps the pools' servers in step until ctx ends.
func (r *roster) run(ctx context.Context) error {
	ticker := time.NewTicker(rosterTime)
	defer ticker.Stop()
	for {
		r.update(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-r.changed:
		}
	}
}

func (r *roster) update(now time.Time) {
	c := r.Configuration()
	if c == nil {
		return
	}
	services := map[string][]schedule.Server{}
	count := 0
	listed := r.knowledge.listed(now)
	newest := newestAt(listed)
	for _, s := range listed {
		service, ok := c.Services[s.Service]
		if !ok || s.Draining || s.State.Born < newest[s.Address] {
			continue
		}
		count++
		services[s.Service] = append(services[s.Service], r.server(now, s, service))
	}
	r.pools.SetServers(now, services)
	if count != r.listed {
		r.listed = count
		event.Log(event.ServersChanged, "Listed", count, "Revision", r.beliefs.Revision())
	}
}

// newestAt returns the latest start of a server at each address. The entry of a
// server that ended stays for some seconds, when another may have its address.
func newestAt(listed map[string]site.Server) map[string]int64 {
	newest := map[string]int64{}
	for _, s := range listed {
		newest[s.Address] = max(newest[s.Address], s.State.Born)
	}
	return newest
}

// server is a listed server as the schedule sees it. An agent that stands
// beside it knows better what it has loaded than its entry, which lags.
func (r *roster) server(now time.Time, s site.Server, service site.Service) schedule.Server {
	out := schedule.Server{
		ID: s.ID, Address: s.Address, Region: r.hosting.Region(s.DataCentre),
		Slots: max(1, s.Slots), Born: s.State.Born, Ready: true,
	}
	if service.Engine.Slots == 0 {
		return out
	}
	holding := s.State.Holding(service.Engine.Layers)
	if a, ok := r.word(s.Address); ok && now.Sub(a.At) < agentTime && a.Born >= s.State.Born {
		holding = serves(a, now)
		if a.Born > s.State.Born { // the entry is of the start before, perhaps under another ID
			holding.Whole = false
		}
	}
	out.Version, out.Ready = holding.Version, holding.Whole
	return out
}

// serves returns what the agent's engine serves at a moment, by its word and
// the change that it announced.
func serves(a roll.Word, now time.Time) site.Holding {
	holding := a.Holding
	c := a.Change
	if c.Version == 0 || holding.Version >= c.Version {
		holding.Whole = holding.Whole && !(a.Switching && c.Version == 0)
		return holding
	}
	since := now.Sub(a.At).Milliseconds()
	switch {
	case since < c.StartMilliseconds:
	case since < c.EndMilliseconds:
		holding.Whole = false
	default:
		holding.Version, holding.Whole = c.Version, true
	}
	return holding
}

func (r *roster) word(engine string) (roll.Word, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents.Beside(engine)
}

// hear takes the word of an agent that speaks to this gateway.
func (r *roster) hear(a neighbour.Agent, now time.Time) {
	r.mu.Lock()
	news := r.agents.Hear(a, now, roll.Direct)
	r.mu.Unlock()
	if news {
		r.announce()
	}
}

// hearAll takes what another gateway says of agents.
func (r *roster) hearAll(words []neighbour.Agent, alive []neighbour.Seen, way roll.Way, now time.Time) {
	r.mu.Lock()
	news := false
	for _, a := range words {
		news = r.agents.Hear(a, now.Add(-time.Duration(a.AgeMilliseconds)*time.Millisecond), way) || news
	}
	for _, s := range alive {
		r.agents.Seen(s.Name, now.Add(-time.Duration(s.AgeMilliseconds)*time.Millisecond))
	}
	r.mu.Unlock()
	if news {
		r.announce()
	}
}

// news is what another gateway has not heard of agents: one in another region
// hears of all agents in this one, one in this region of those that speak to
// this gateway and of what other regions passed on to it.
func (r *roster) news(told *roll.Told, now time.Time, region string, far bool) ([]neighbour.Agent, []neighbour.Seen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents.Expire(now)
	due := roll.Due{Alive: now.Add(-tellAlive), Pieces: now.Add(-tellPieces)}
	if far {
		due.Pieces = now.Add(-tellPiecesFar)
		return r.agents.News(told, now, due, func(w roll.Word) bool { return w.Region == region })
	}
	return r.agents.News(told, now, due, func(w roll.Word) bool { return w.Way != roll.Near })
}

// since is what an agent has not heard of the others of its service.
func (r *roster) since(mark neighbour.Mark, a neighbour.Agent) roll.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents.Expire(time.Now())
	return r.agents.Since(mark, a.Name, a.Service)
}
