package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/ages"
	"almondreel.example/almondreel/internal/coldstart"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/crashreport"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gossip"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/proxy"
	"almondreel.example/almondreel/internal/registry"
	"almondreel.example/almondreel/internal/rendezvous"
	"almondreel.example/almondreel/internal/schedule"
)

const (
	// exchangeInterval is how often a gateway sends its load to the others: a third
	// of the shortest time that a request may wait.
	exchangeInterval = 150 * time.Millisecond
	// loadInterval is how often the scheduler gets the number of requests running through
	// other gateways, so that its averages do not depend on the number of gateways.
	loadInterval = 25 * time.Millisecond
	// exchangeTimeout bounds a call between gateways.
	exchangeTimeout = 400 * time.Millisecond
)

const (
	// livenessInterval is how often an unchanged agent is reported to another gateway
	// as alive. The other gateway uses a report for agentReportTTL.
	livenessInterval = agentReportTTL / 2
	// pieceInterval and remotePieceInterval are how often new pieces of an agent are
	// reported to gateways of the same region and of others. Agents fetch pieces from
	// another region only when no agent of their own has them.
	pieceInterval       = 140 * time.Millisecond
	remotePieceInterval = 200 * time.Millisecond
)

// gossiper exchanges state with the other gateways and holds the state that receiver
// serves to gateways and agents.
type gossiper struct {
	servers *serverTable
	own     hostedrpc.Gateway
	crashes *proxy.CrashDetector

	mu           sync.Mutex
	table        *gossip.Table
	peers        map[string]*peer           // gateways that are called or will be soon, by address
	newAddresses chan string                // addresses for which no call loop runs yet
	pullUntil    time.Time                  // one call may pull store items alone until then
	compressed   map[string]compressedValue // by key
	startup      coldstart.Startup
}

// peer is another gateway that this one calls. Only the goroutine of its call loop
// uses the fields.
type peer struct {
	client *control.Client
	up     bool
	sent   registry.Sent
}

func newGossiper(servers *serverTable, own hostedrpc.Gateway, seeds []string, c *proxy.CrashDetector) *gossiper {
	gs := &gossiper{
		servers: servers, own: own, crashes: c, table: gossip.New(own, seeds, time.Now()),
		peers: map[string]*peer{}, newAddresses: make(chan string, 64), compressed: map[string]compressedValue{},
		startup: coldstart.NewStartup(time.Now()),
	}
	for _, s := range seeds {
		gs.addGateways(hostedrpc.Gateway{Address: s})
	}
	return gs
}

// addGateways adds gateways learned from the settings or from another gateway.
func (gs *gossiper) addGateways(gateways ...hostedrpc.Gateway) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	now := time.Now()
	for _, g := range gateways {
		gs.table.Observe(g, now)
		gs.startCalling(g.Address)
	}
}

// noteRequest records what another gateway reports of itself and of others.
func (gs *gossiper) noteRequest(request hostedrpc.ExchangeRequest, now time.Time) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.table.Receive(request, now)
	gs.startCalling(request.Gateway.Address)
	for _, g := range request.Gateways {
		gs.startCalling(g.Address)
	}
}

// startCalling starts a call loop for a gateway unless there is one. Callers hold mu.
func (gs *gossiper) startCalling(address string) {
	if _, called := gs.peers[address]; called || address == "" || address == gs.own.Address {
		return
	}
	select {
	case gs.newAddresses <- address:
		gs.peers[address] = &peer{client: control.NewClient(address)}
	default: // the queue is full; other gateways report the address again soon
	}
}

// run calls the other gateways and passes their loads to the pools until ctx ends.
func (gs *gossiper) run(ctx context.Context) error {
	ended := make(chan struct{})
	loops := 0
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			gs.updatePoolLoads(time.Now())
		case address := <-gs.newAddresses:
			loops++
			go func() {
				defer func() { ended <- struct{}{} }()
				gs.callLoop(ctx, address)
			}()
		case <-ended:
			loops--
		case <-ctx.Done():
			for ; loops > 0; loops-- {
				<-ended
			}
			return ctx.Err()
		}
	}
}

// callLoop calls Exchange on one gateway, while the table selects it, until the table
// removes it.
func (gs *gossiper) callLoop(ctx context.Context, address string) {
	gs.mu.Lock()
	p := gs.peers[address]
	gs.mu.Unlock()
	for pause.For(ctx, exchangeInterval) {
		gs.mu.Lock()
		now := time.Now()
		removed, shouldCall := gs.table.RemoveStale(address, now), gs.table.ShouldCall(address, now)
		if removed {
			delete(gs.peers, address)
		}
		gs.mu.Unlock()
		switch {
		case removed:
			return
		case shouldCall:
			gs.exchange(ctx, address, p)
		default:
			p.up, p.sent = false, registry.Sent{}
		}
	}
}

func (gs *gossiper) exchange(ctx context.Context, address string, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := gs.buildRequest(time.Now(), address, p)
	request.Pulls = gs.beginPull(time.Now())
	var reply hostedrpc.ExchangeReply
	err := p.client.Call(ctx, hostedrpc.MethodExchange, request, &reply)
	gs.noteResult(address, p, err)
	if err == nil {
		gs.applyPull(reply, address)
		gs.addGateways(reply.Gateways...)
	}
	if request.Pulls {
		gs.endPull()
	}
}

func (gs *gossiper) noteResult(address string, p *peer, err error) {
	if err == nil {
		gs.mu.Lock()
		gs.table.RecordAnswer(address, time.Now())
		gs.mu.Unlock()
	} else {
		p.sent = registry.Sent{} // another process may have the address by now
	}
	if up := err == nil; up != p.up {
		p.up = up
		if up {
			event.Log(event.GatewayUp, "Address", address)
		} else {
			event.Fail(event.GatewayDown, err, "Address", address)
		}
	}
}

// buildRequest returns the state to send to the gateway at address to.
func (gs *gossiper) buildRequest(now time.Time, to string, p *peer) hostedrpc.ExchangeRequest {
	running := gs.servers.pools.Running()
	gs.mu.Lock()
	request := gs.table.BuildRequest(to, running, now)
	remote := gs.table.IsRemote(to)
	gs.mu.Unlock()
	request.Revision = gs.servers.mirror.Revision()
	request.Named = gs.versionAges(now)
	request.Agents, request.Alive = gs.servers.reportsFor(&p.sent, now, gs.own.Region, remote)
	request.Unverified = gs.servers.endedLoads(now)
	request.Convictions = convictionsOf(gs.crashes.Table, now)
	crashes, answers := gs.crashes.Parts.Report(now)
	request.PartCrashes, request.PartAnswers = crashreport.Encode(crashes, answers, now)
	request.Departures = gs.departures(now)
	request.SlowStarts = gs.slowStarts(now)
	request.RateLimits = gs.rateLimits(now)
	return request
}

func (gs *gossiper) departures(now time.Time) []hostedrpc.Departure {
	var out []hostedrpc.Departure
	for service, all := range gs.servers.pools.Departures() {
		for _, d := range all {
			out = append(out, hostedrpc.Departure{Service: service, Server: d.Server, Born: d.StartUnixMS, AgeMilliseconds: now.Sub(d.At).Milliseconds()})
		}
	}
	return out
}

// applyDepartures applies another gateway's report of servers that are about to shut
// down.
func (gs *gossiper) applyDepartures(departures []hostedrpc.Departure, from string, now time.Time) {
	for _, d := range departures {
		at := ages.At(now, d.AgeMilliseconds)
		if gs.servers.pools.MarkDeparting(d.Service, schedule.Departure{Server: d.Server, StartUnixMS: d.Born, At: at}) {
			event.Log(event.ServerLeaving, "Server", d.Server, "Service", d.Service, "From", from)
		}
	}
}

func (gs *gossiper) slowStarts(now time.Time) []hostedrpc.SlowStart {
	var out []hostedrpc.SlowStart
	for service, all := range gs.servers.pools.SlowStarts(now) {
		for _, s := range all {
			out = append(out, hostedrpc.SlowStart{Service: service, Server: s.Server, StartMilliseconds: int64(s.Milliseconds), AgeMilliseconds: now.Sub(s.At).Milliseconds()})
		}
	}
	return out
}

// applySlowStarts applies another gateway's report of responses that started late.
func (gs *gossiper) applySlowStarts(starts []hostedrpc.SlowStart, now time.Time) {
	for _, s := range starts {
		at := ages.At(now, s.AgeMilliseconds)
		gs.servers.pools.RecordSlowStart(now, s.Service, schedule.SlowStart{Server: s.Server, Milliseconds: float64(s.StartMilliseconds), At: at})
	}
}

func (gs *gossiper) versionAges(now time.Time) []hostedrpc.VersionAge {
	var out []hostedrpc.VersionAge
	for v, announcement := range gs.servers.announcements() {
		out = append(out, hostedrpc.VersionAge{
			Model: v.Model, Version: v.Number, AgeMilliseconds: now.Sub(announcement.At).Milliseconds(), Found: announcement.FoundAtStart,
		})
	}
	return out
}

// liveGateways returns the gateways that are alive, this one included.
func (gs *gossiper) liveGateways(now time.Time) []hostedrpc.Gateway {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.table.Alive(now)
}

// liveNames returns the names of the gateways that are alive, this one included.
func (gs *gossiper) liveNames(now time.Time) []string { return sortedNames(gs.liveGateways(now)) }

// slotSharers returns the gateways of live among which slots are divided: those that are
// not stopping, and this one.
func (gs *gossiper) slotSharers(live []hostedrpc.Gateway) []hostedrpc.Gateway {
	return slices.DeleteFunc(slices.Clone(live), func(g hostedrpc.Gateway) bool {
		return g.Leaving && g.Name != gs.own.Name
	})
}

func sortedNames(gateways []hostedrpc.Gateway) []string {
	names := []string{}
	for _, g := range gateways {
		names = append(names, g.Name)
	}
	slices.Sort(names)
	return names
}

// setLeaving tells the other gateways that this one is stopping.
func (gs *gossiper) setLeaving() {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.table.SetLeaving()
}

// gatewaysIfChanged returns the gateways that are alive, or nil if their digest equals
// digest.
func (gs *gossiper) gatewaysIfChanged(digest uint64, now time.Time) []hostedrpc.Gateway {
	live := gs.liveGateways(now)
	if gossip.Digest(live) == digest {
		return nil
	}
	return live
}

// peakGateways returns the number of gateways that share the retry budget: the most that
// were alive at the same time.
func (gs *gossiper) peakGateways() int {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.table.PeakAlive()
}

// updatePoolLoads passes the requests running through other gateways to the pools.
func (gs *gossiper) updatePoolLoads(now time.Time) {
	gs.mu.Lock()
	running := gs.table.OtherLoad(now)
	gs.mu.Unlock()
	live := gs.liveGateways(now)
	gs.servers.pools.SetGateways(gs.own.Name, sortedNames(live))
	gs.servers.pools.SetSlotSharers(sortedNames(gs.slotSharers(live)))
	if gs.servers.limitsCold {
		gs.mu.Lock()
		gateways := gs.coldGateways(now)
		gs.mu.Unlock()
		gs.servers.pools.SetColdGateways(now, gateways)
	}
	gs.servers.pools.SetOtherLoad(now, running) // last, since it dispatches queued requests
}

// storeFollowers is the number of gateways that follow the store on behalf of all:
// two, so that one may fail, and no more, since every call to the store is charged.
const storeFollowers = 2

// storeRole returns this gateway's role in following the store on behalf of all.
func (gs *gossiper) storeRole() followerRole {
	switch slices.Index(rendezvous.Top("store", gs.liveNames(time.Now()), storeFollowers), gs.own.Name) {
	case 0:
		return primaryFollower
	case -1:
		return nonFollower
	}
	return standbyFollower
}
