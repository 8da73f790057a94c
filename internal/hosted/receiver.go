package hosted

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/ages"
	"almondreel.example/almondreel/internal/crashreport"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/proxy"
	"almondreel.example/almondreel/internal/registry"
	"almondreel.example/almondreel/internal/rollout"
	"almondreel.example/almondreel/internal/site"
)

// receiver serves the net/rpc calls of gateways and agents.
type receiver struct{ gossip *gossiper }

// Exchange applies another gateway's state and returns what that gateway lacks.
func (r receiver) Exchange(request hostedrpc.ExchangeRequest, reply *hostedrpc.ExchangeReply) error {
	gs, now := r.gossip, time.Now()
	gs.noteRequest(request, now)
	path := registry.OtherRegion
	if request.Gateway.Region == gs.own.Region {
		path = registry.SameRegion
	}
	gs.servers.applyReports(request.Agents, request.Alive, request.Unverified, path, now)
	for _, v := range request.Named {
		at := ages.At(now, v.AgeMilliseconds)
		gs.servers.recordAnnouncement(site.Version{Model: v.Model, Number: v.Version}, rollout.Announcement{At: at, FoundAtStart: v.Found})
	}
	mergeConvictions(gs.crashes.Table, request.Convictions, now)
	proxy.LogQuarantinedParts(crashreport.Merge(gs.crashes.Parts, request.PartCrashes, request.PartAnswers, now), request.Gateway.Name)
	gs.applyDepartures(request.Departures, request.Gateway.Name, now)
	gs.applySlowStarts(request.SlowStarts, now)
	gs.applyRateLimits(request.RateLimits, request.Gateway.Name, now)
	reply.Revision = gs.servers.mirror.Revision()
	if request.Pulls {
		reply.Beliefs = gs.servers.mirror.Since(request.Revision)
		reply.Revision = reply.Beliefs.Revision
	}
	if path == registry.OtherRegion {
		reply.Beliefs, reply.Packed = gs.compressLarge(reply.Beliefs)
	}
	reply.Gateways = gs.gatewaysIfChanged(request.Known, now)
	reply.AgeMilliseconds = now.Sub(gs.servers.lastConfirmed()).Milliseconds()
	return nil
}

// Sync applies an agent's report and returns what the agent lacks.
func (r receiver) Sync(request hostedrpc.SyncRequest, reply *hostedrpc.SyncReply) error {
	gs, now := r.gossip, time.Now()
	gs.servers.applyReport(request.Agent, now)
	gs.awaitStoreData()
	now = time.Now()
	reply.Wanted = gs.servers.wanted(request.Agent.Service)
	delta := gs.servers.agentsSince(request.Mark, request.Agent)
	reply.Others, reply.Mark = delta.AgentChanges, delta.Cursor
	reply.Unverified = gs.servers.unverifiedLoad(request.Agent.EngineAddress)
	reply.Gateways = gs.gatewaysIfChanged(request.Gateways, now)
	reply.Named = gs.versionAges(now)
	mergeConvictions(gs.crashes.Table, request.Convictions, now)
	convictions := convictionsOf(gs.crashes.Table, now)
	if reply.Quarantine = digestOf(convictions); reply.Quarantine != request.Quarantine {
		reply.Convictions = convictions
	}
	return nil
}

// storeDataTimeout is how long a gateway that has not read the store since its start
// holds an agent's call: less than the agent's syncTimeout.
const storeDataTimeout = 200 * time.Millisecond

// awaitStoreData returns once this gateway has read the store, or after
// storeDataTimeout. Without the wait, agents started at the same time would have to
// retry repeatedly.
func (gs *gossiper) awaitStoreData() {
	gs.awaitMirror(storeDataTimeout, func() bool { return gs.servers.mirror.Revision() > 0 })
}

// awaitMirror returns once done holds for the mirrored store items, or when within
// has passed.
func (gs *gossiper) awaitMirror(within time.Duration, done func() bool) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		changed := gs.servers.mirror.Changed()
		if done() {
			return
		}
		select {
		case <-changed:
			pause.For(context.Background(), settleDelay) // until the view is updated from the items
		case <-timer.C:
			return
		}
	}
}

// Follow waits until the desired state of the agent's service differs from Known, for at
// most the shorter of WaitMilliseconds and followWait.
func (r receiver) Follow(request hostedrpc.FollowRequest, reply *hostedrpc.FollowReply) error {
	gs := r.gossip
	gs.awaitMirror(min(time.Duration(request.WaitMilliseconds)*time.Millisecond, followWait), func() bool {
		reply.Wanted = gs.servers.wanted(request.Service)
		return reply.Wanted.Revision > 0 && !reply.Wanted.EqualIgnoringRevision(request.Known)
	})
	reply.Named = gs.versionAges(time.Now())
	return nil
}
