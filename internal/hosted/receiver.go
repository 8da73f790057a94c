package hosted

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/naming"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/roll"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/pkg/quarantine"
)

// receiver answers the calls of gateways and agents.
type receiver struct{ neighbours *neighbours }

// Exchange takes another gateway's word and returns what it lacks.
func (r receiver) Exchange(request neighbour.ExchangeRequest, reply *neighbour.ExchangeReply) error {
	n, now := r.neighbours, time.Now()
	n.hear(request, now)
	way := roll.Far
	if request.Gateway.Region == n.own.Region {
		way = roll.Near
	}
	n.roster.hearAll(request.Agents, request.Alive, way, now)
	for _, v := range request.Named {
		at := now.Add(-time.Duration(v.AgeMilliseconds) * time.Millisecond)
		n.roster.age(site.Version{Model: v.Model, Number: v.Version}, naming.Naming{At: at, Found: v.Found})
	}
	n.adopt(request.Convictions, now)
	n.depart(request.Departures, request.Gateway.Name, now)
	reply.Revision = n.roster.beliefs.Revision()
	if request.Pulls {
		reply.Beliefs = n.roster.beliefs.Since(request.Revision)
		reply.Revision = reply.Beliefs.Revision
	}
	if way == roll.Far {
		reply.Beliefs, reply.Packed = n.pack(reply.Beliefs)
	}
	reply.Gateways = n.unlike(request.Known, now)
	reply.AgeMilliseconds = now.Sub(n.roster.confirmed()).Milliseconds()
	return nil
}

func (n *neighbours) adopt(convictions []neighbour.Conviction, now time.Time) {
	var entries []quarantine.Entry
	for _, c := range convictions {
		entries = append(entries, quarantine.Entry{
			Fingerprint: c.Fingerprint, Server: c.Server, Convicted: c.Convicted,
			ExpiresAt: now.Add(time.Duration(c.LeftMilliseconds) * time.Millisecond),
		})
	}
	n.quarantine.Adopt(entries)
}

// Sync takes an agent's word and returns what it lacks.
func (r receiver) Sync(request neighbour.SyncRequest, reply *neighbour.SyncReply) error {
	n, now := r.neighbours, time.Now()
	n.roster.hear(request.Agent, now)
	n.awaitKnowledge()
	now = time.Now()
	reply.Wanted = n.roster.wanted(request.Agent.Service)
	u := n.roster.since(request.Mark, request.Agent)
	reply.Others, reply.Mark = u.Others, u.Mark
	reply.Gateways = n.unlike(request.Gateways, now)
	reply.Named = n.named(now)
	return nil
}

// knowledgeTime is how long an agent waits at a gateway that has not heard from
// the store since its start: less than the agent waits for an answer.
const knowledgeTime = 200 * time.Millisecond

// awaitKnowledge returns once this gateway has heard from the store, or after a
// while: agents that start with it would have to ask again and again.
func (n *neighbours) awaitKnowledge() {
	n.await(knowledgeTime, func() bool { return n.roster.beliefs.Revision() > 0 })
}

// await returns once what is believed of the store satisfies done, or after a time.
func (n *neighbours) await(within time.Duration, done func() bool) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		changed := n.roster.beliefs.Changed()
		if done() {
			return
		}
		select {
		case <-changed:
			pause.For(context.Background(), settleTime) // the view follows the items
		case <-timer.C:
			return
		}
	}
}

// Follow waits until this gateway knows of something else than the agent.
func (r receiver) Follow(request neighbour.FollowRequest, reply *neighbour.FollowReply) error {
	n := r.neighbours
	n.await(min(time.Duration(request.WaitMilliseconds)*time.Millisecond, followTime), func() bool {
		reply.Wanted = n.roster.wanted(request.Service)
		return reply.Wanted.Revision > 0 && !reply.Wanted.Same(request.Known)
	})
	reply.Named = n.named(time.Now())
	return nil
}
