package hosted

import (
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/direct"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/neighbour"
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
	agents map[string]agentWord // by engine address
	listed int
}

type agentWord struct {
	neighbour.Agent
	at     time.Time // when the agent said so
	direct bool      // to this gateway
}

func newRoster(k *knowledge, h settings.Hosting, pools *direct.Pools) *roster {
	return &roster{knowledge: k, hosting: h, pools: pools, agents: map[string]agentWord{}}
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
	if a, ok := r.word(s.Address); ok && now.Sub(a.at) < agentTime && a.Born >= s.State.Born {
		holding = a.serves(now)
		if a.Born > s.State.Born { // the entry is of the start before, perhaps under another ID
			holding.Whole = false
		}
	}
	out.Version, out.Ready = holding.Version, holding.Whole
	return out
}

// serves returns what the agent's engine serves at a moment, by its word and
// the change that it announced.
func (a agentWord) serves(now time.Time) site.Holding {
	holding := a.Holding
	c := a.Change
	if c.Version == 0 || holding.Version >= c.Version {
		holding.Whole = holding.Whole && !(a.Switching && c.Version == 0)
		return holding
	}
	since := now.Sub(a.at).Milliseconds()
	switch {
	case since < c.StartMilliseconds:
	case since < c.EndMilliseconds:
		holding.Whole = false
	default:
		holding.Version, holding.Whole = c.Version, true
	}
	return holding
}

func (r *roster) word(address string) (agentWord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.agents[address]
	return a, ok
}

// hear takes an agent's word; at is when the agent gave it.
func (r *roster) hear(a neighbour.Agent, at time.Time, direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held, ok := r.agents[a.EngineAddress]; !ok || at.After(held.at) {
		r.agents[a.EngineAddress] = agentWord{a, at, direct}
	}
}

// words returns the agents that spoke lately, with the age of their words; only
// those that speak to this gateway if direct.
func (r *roster) words(now time.Time, direct bool) []neighbour.Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []neighbour.Agent
	for address, a := range r.agents {
		age := now.Sub(a.at)
		if age > 2*agentTime {
			delete(r.agents, address)
			continue
		}
		if direct && !a.direct {
			continue
		}
		a.AgeMilliseconds = age.Milliseconds()
		out = append(out, a.Agent)
	}
	return out
}
