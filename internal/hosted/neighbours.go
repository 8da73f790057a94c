package hosted

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/naming"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/rank"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	// exchangeTime is how often a gateway tells the others its load: a third of
	// the time that a request may wait at the least.
	exchangeTime = 150 * time.Millisecond
	// exchangeAnswer bounds a call between gateways.
	exchangeAnswer = 400 * time.Millisecond
	// neighbourTime is how long a gateway that says nothing counts as alive.
	neighbourTime = 1500 * time.Millisecond
	// forgetTime is how long a gateway is still called that does not answer.
	forgetTime = 20 * time.Second
)

// neighbours is a gateway's part in what gateways and agents tell each other.
type neighbours struct {
	roster     *roster
	own        neighbour.Gateway
	seeds      []string
	quarantine *quarantine.Table

	mu       sync.Mutex
	peak     int               // gateways that were alive at once
	gateways map[string]*other // by address
	started  chan string       // addresses that nobody calls yet
}

// other is another gateway.
type other struct {
	neighbour.Gateway
	client  *control.Client
	running map[string]int
	heardAt time.Time // it called
	reached time.Time // it answered
	called  bool      // a goroutine calls it, or will soon
	up      bool
	told    map[string]telling // by agent
}

// telling is what another gateway was last told of an agent.
type telling struct {
	agent   neighbour.Agent // without what changes all the time
	have    []uint64
	version int64 // of the pieces
	at      time.Time
}

func newNeighbours(r *roster, own neighbour.Gateway, seeds []string, q *quarantine.Table) *neighbours {
	n := &neighbours{roster: r, own: own, seeds: seeds, quarantine: q, gateways: map[string]*other{}, started: make(chan string, 64)}
	for _, s := range seeds {
		n.meet(neighbour.Gateway{Address: s})
	}
	return n
}

// meet notes a gateway that someone named.
func (n *neighbours) meet(g neighbour.Gateway) *other {
	n.mu.Lock()
	defer n.mu.Unlock()
	if g.Address == n.own.Address || g.Address == "" {
		return nil
	}
	o, ok := n.gateways[g.Address]
	if !ok {
		o = &other{client: control.NewClient(g.Address), reached: time.Now()}
		n.gateways[g.Address] = o
	}
	if !o.called {
		select {
		case n.started <- g.Address:
			o.called = true
		default: // it is named again soon
		}
	}
	if g.Name != "" {
		o.Gateway = g
	}
	o.Address = g.Address
	return o
}

// run calls each known gateway in turn until ctx ends.
func (n *neighbours) run(ctx context.Context) error {
	ended := make(chan struct{})
	callers := 0
	for {
		select {
		case address := <-n.started:
			callers++
			go func() {
				defer func() { ended <- struct{}{} }()
				n.call(ctx, address)
			}()
		case <-ended:
			callers--
		case <-ctx.Done():
			for ; callers > 0; callers-- {
				<-ended
			}
			return ctx.Err()
		}
	}
}

// call exchanges with one gateway until it has been gone for long.
func (n *neighbours) call(ctx context.Context, address string) {
	for pause.For(ctx, exchangeTime) {
		n.mu.Lock()
		o := n.gateways[address]
		gone := time.Since(o.reached) > forgetTime && !slices.Contains(n.seeds, address)
		if gone {
			delete(n.gateways, address)
		}
		n.mu.Unlock()
		if gone {
			return
		}
		n.exchange(ctx, o)
		n.spread(time.Now())
	}
}

func (n *neighbours) exchange(ctx context.Context, o *other) {
	ctx, cancel := context.WithTimeout(ctx, exchangeAnswer)
	defer cancel()
	request := n.word(time.Now())
	request.Agents = o.news(request.Agents, time.Now(), o.Region != n.own.Region)
	var reply neighbour.ExchangeReply
	err := o.client.Call(ctx, neighbour.MethodExchange, request, &reply)
	n.note(o, err)
	if err != nil {
		return
	}
	now := time.Now()
	k := n.roster.knowledge
	k.take(k.beliefs.Adopt(reply.Beliefs), o.Address)
	if reply.AgeMilliseconds >= 0 && k.beliefs.Revision() >= reply.Beliefs.Revision {
		k.confirm(now.Add(-time.Duration(reply.AgeMilliseconds) * time.Millisecond))
	}
	for _, g := range reply.Gateways {
		n.meet(g)
	}
}

const (
	// tellAgain is how often another gateway is told of an agent that has not
	// changed: it takes the word for agentTime.
	tellAgain = agentTime / 2
	// tellPieces and tellPiecesFar are how often it is told of pieces that an
	// agent got: far ones are only fetched when no near agent has them.
	tellPieces    = 140 * time.Millisecond
	tellPiecesFar = 500 * time.Millisecond
)

// news leaves out agents that the gateway was told of lately and that have not
// changed. Only the goroutine that calls the gateway uses it.
func (o *other) news(agents []neighbour.Agent, now time.Time, far bool) []neighbour.Agent {
	if o.told == nil || !o.up {
		o.told = map[string]telling{}
	}
	pieces := tellPieces
	if far {
		pieces = tellPiecesFar
	}
	var out []neighbour.Agent
	for _, a := range agents {
		same := a
		same.AgeMilliseconds, same.Pieces, same.Change = 0, neighbour.Pieces{}, neighbour.Change{Version: a.Change.Version}
		held, ok := o.told[a.Name]
		since := now.Sub(held.at)
		got := !slices.Equal(held.have, a.Pieces.Have) || held.version != a.Pieces.Version
		if ok && since < tellAgain && reflect.DeepEqual(held.agent, same) && !(got && since >= pieces) {
			continue
		}
		o.told[a.Name] = telling{same, a.Pieces.Have, a.Pieces.Version, now}
		out = append(out, a)
	}
	return out
}

func (n *neighbours) note(o *other, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		o.reached = time.Now()
	}
	if up := err == nil; up != o.up {
		o.up = up
		if up {
			event.Log(event.NeighbourUp, "Address", o.Address, "Name", o.Name)
		} else {
			event.Fail(event.NeighbourDown, err, "Address", o.Address, "Name", o.Name)
		}
	}
}

// word is what this gateway tells the others.
func (n *neighbours) word(now time.Time) neighbour.ExchangeRequest {
	k := n.roster.knowledge
	w := neighbour.ExchangeRequest{
		Gateway: n.own, Revision: k.beliefs.Revision(), Running: n.roster.pools.Running(),
		Agents: n.roster.words(now, true), Gateways: n.known(now), Named: n.named(now),
	}
	for _, e := range n.quarantine.Convictions(now) {
		w.Convictions = append(w.Convictions, neighbour.Conviction{
			Fingerprint: e.Fingerprint, Server: e.Server, Convicted: e.Convicted, LeftMilliseconds: e.ExpiresAt.Sub(now).Milliseconds(),
		})
	}
	w.Departures = n.departures(now)
	return w
}

func (n *neighbours) departures(now time.Time) []neighbour.Departure {
	var out []neighbour.Departure
	for service, all := range n.roster.pools.Departures() {
		for _, d := range all {
			out = append(out, neighbour.Departure{Service: service, Server: d.Server, Born: d.Born, AgeMilliseconds: now.Sub(d.At).Milliseconds()})
		}
	}
	return out
}

// depart takes the servers that another gateway heard are about to end.
func (n *neighbours) depart(departures []neighbour.Departure, from string, now time.Time) {
	for _, d := range departures {
		at := now.Add(-time.Duration(d.AgeMilliseconds) * time.Millisecond)
		if n.roster.pools.Depart(d.Service, schedule.Departure{Server: d.Server, Born: d.Born, At: at}) {
			event.Log(event.ServerDeparts, "Server", d.Server, "Service", d.Service, "From", from)
		}
	}
}

func (n *neighbours) named(now time.Time) []neighbour.Named {
	var out []neighbour.Named
	for v, seen := range n.roster.ages() {
		out = append(out, neighbour.Named{
			Model: v.Model, Version: v.Number, AgeMilliseconds: now.Sub(seen.At).Milliseconds(), Found: seen.Found,
		})
	}
	return out
}

// known returns the gateways that are alive, this one included.
func (n *neighbours) known(now time.Time) []neighbour.Gateway {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []neighbour.Gateway{n.own}
	for _, o := range n.gateways {
		if o.Name != "" && now.Sub(o.heardAt) < neighbourTime {
			out = append(out, o.Gateway)
		}
	}
	n.peak = max(n.peak, len(out))
	return out
}

// most returns the number of gateways that were alive at once, this one
// included and at least the ones of the settings: what they spent still counts
// when some of them are gone.
func (n *neighbours) most() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.peak, len(n.seeds))
}

// spread tells the pools what the other gateways have running.
func (n *neighbours) spread(now time.Time) {
	running := map[string]int{}
	n.mu.Lock()
	for _, o := range n.gateways {
		if now.Sub(o.heardAt) < neighbourTime {
			for server, count := range o.running {
				running[server] += count
			}
		}
	}
	n.mu.Unlock()
	n.roster.pools.SetOthers(now, running)
}

// receiver answers the calls of gateways and agents.
type receiver struct{ neighbours *neighbours }

// Exchange takes another gateway's word and returns what it lacks.
func (r receiver) Exchange(request neighbour.ExchangeRequest, reply *neighbour.ExchangeReply) error {
	n, now := r.neighbours, time.Now()
	if o := n.meet(request.Gateway); o != nil {
		n.mu.Lock()
		o.heardAt, o.running = now, request.Running
		n.mu.Unlock()
	}
	for _, g := range request.Gateways {
		n.meet(g)
	}
	for _, a := range request.Agents {
		n.roster.hear(a, now.Add(-time.Duration(a.AgeMilliseconds)*time.Millisecond), false)
	}
	for _, v := range request.Named {
		at := now.Add(-time.Duration(v.AgeMilliseconds) * time.Millisecond)
		n.roster.age(site.Version{Model: v.Model, Number: v.Version}, naming.Naming{At: at, Found: v.Found})
	}
	n.adopt(request.Convictions, now)
	n.depart(request.Departures, request.Gateway.Name, now)
	reply.Beliefs = n.roster.beliefs.Since(request.Revision)
	reply.Gateways = n.known(now)
	reply.AgeMilliseconds = now.Sub(n.roster.confirmed()).Milliseconds()
	n.spread(now)
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
	n.roster.hear(request.Agent, now, true)
	n.roster.announce()
	n.awaitKnowledge()
	now = time.Now()
	reply.Wanted = n.roster.wanted(request.Agent.Service)
	for _, a := range n.roster.words(now, false) {
		if a.Name != request.Agent.Name && a.Service == request.Agent.Service {
			reply.Agents = append(reply.Agents, a)
		}
	}
	reply.Gateways = n.known(now)
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

// storeFollowers is the number of gateways that follow the store for all: one
// may be lost, and every call is priced.
const storeFollowers = 2

// leads reports whether this gateway is one of those that follow the store.
func (n *neighbours) leads() bool {
	names := []string{}
	for _, g := range n.known(time.Now()) {
		names = append(names, g.Name)
	}
	return rank.Among("store", n.own.Name, names, storeFollowers)
}
