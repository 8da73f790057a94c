package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/belief"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/exchange"
	"almondreel.example/almondreel/internal/naming"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/packed"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/rank"
	"almondreel.example/almondreel/internal/roll"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	// exchangeTime is how often a gateway tells the others its load: a third of
	// the time that a request may wait at the least.
	exchangeTime = 150 * time.Millisecond
	// spreadTime is how often the schedule takes what others have running, so that
	// its averages do not depend on the number of gateways.
	spreadTime = 25 * time.Millisecond
	// exchangeAnswer bounds a call between gateways.
	exchangeAnswer = 400 * time.Millisecond
)

const (
	// tellAlive is how often another gateway is told of an agent that has not
	// changed: it takes the word for agentTime.
	tellAlive = agentTime / 2
	// tellPieces and tellPiecesFar are how often it is told of pieces that an
	// agent got: far ones are only fetched when no near agent has them.
	tellPieces    = 140 * time.Millisecond
	tellPiecesFar = 200 * time.Millisecond
)

// neighbours is a gateway's part in what gateways and agents tell each other.
type neighbours struct {
	roster     *roster
	own        neighbour.Gateway
	quarantine *quarantine.Table

	mu      sync.Mutex
	table   *exchange.Table
	others  map[string]*other // that are called or will be soon, by address
	started chan string       // addresses that nobody calls yet
	pulls   time.Time         // a call that pulls beliefs may go on until then
	packs   map[string]pack   // by key
}

// other is a gateway that is called. Only the goroutine that calls it uses its
// fields.
type other struct {
	client *control.Client
	up     bool
	told   roll.Told
}

func newNeighbours(r *roster, own neighbour.Gateway, seeds []string, q *quarantine.Table) *neighbours {
	n := &neighbours{
		roster: r, own: own, quarantine: q, table: exchange.New(own, seeds, time.Now()),
		others: map[string]*other{}, started: make(chan string, 64), packs: map[string]pack{},
	}
	for _, s := range seeds {
		n.meet(neighbour.Gateway{Address: s})
	}
	return n
}

// meet notes a gateway that someone named.
func (n *neighbours) meet(gateways ...neighbour.Gateway) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, g := range gateways {
		n.table.Meet(g, now)
		n.begin(g.Address)
	}
}

// begin has a gateway called from now on. Callers hold mu.
func (n *neighbours) begin(address string) {
	if _, called := n.others[address]; called || address == "" || address == n.own.Address {
		return
	}
	select {
	case n.started <- address:
		n.others[address] = &other{client: control.NewClient(address)}
	default: // it is named again soon
	}
}

// run calls the gateways, and tells the pools what they say, until ctx ends.
func (n *neighbours) run(ctx context.Context) error {
	ended := make(chan struct{})
	callers := 0
	ticker := time.NewTicker(spreadTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.spread(time.Now())
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

// call exchanges with one gateway, while the table says so, until it has been
// gone for long.
func (n *neighbours) call(ctx context.Context, address string) {
	n.mu.Lock()
	o := n.others[address]
	n.mu.Unlock()
	for pause.For(ctx, exchangeTime) {
		n.mu.Lock()
		now := time.Now()
		gone, talks := n.table.Gone(address, now), n.table.Talks(address, now)
		if gone {
			delete(n.others, address)
		}
		n.mu.Unlock()
		switch {
		case gone:
			return
		case talks:
			n.exchange(ctx, address, o)
		default:
			o.up, o.told = false, roll.Told{}
		}
	}
}

func (n *neighbours) exchange(ctx context.Context, address string, o *other) {
	ctx, cancel := context.WithTimeout(ctx, exchangeAnswer)
	defer cancel()
	request := n.word(time.Now(), address, o)
	request.Pulls = n.beginPull(time.Now())
	var reply neighbour.ExchangeReply
	err := o.client.Call(ctx, neighbour.MethodExchange, request, &reply)
	n.note(address, o, err)
	if err == nil {
		n.pulled(reply, address)
		n.meet(reply.Gateways...)
	}
	if request.Pulls {
		n.endPull()
	}
}

// pullTime is how long one call may keep others from pulling beliefs: what
// changed is then told once and not by every gateway that is called meanwhile.
const pullTime = 100 * time.Millisecond

// beginPull reports whether a call may pull beliefs now.
func (n *neighbours) beginPull(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Before(n.pulls) {
		return false
	}
	n.pulls = now.Add(pullTime)
	return true
}

func (n *neighbours) endPull() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pulls = time.Time{}
}

// pulled takes what another gateway believes.
func (n *neighbours) pulled(reply neighbour.ExchangeReply, from string) {
	for i, item := range reply.Beliefs.Items {
		if !reply.Packed[item.Key] {
			continue
		}
		value, err := packed.Unpack(item.Value)
		if err != nil {
			event.Fail(event.EntryUnreadable, err, "Key", item.Key, "Revision", item.Revision, "From", from)
			return
		}
		reply.Beliefs.Items[i].Value = value
	}
	k := n.roster.knowledge
	k.take(k.beliefs.Adopt(reply.Beliefs), from)
	if reply.AgeMilliseconds >= 0 && k.beliefs.Revision() >= reply.Revision {
		k.confirm(time.Now().Add(-time.Duration(reply.AgeMilliseconds) * time.Millisecond))
	}
}

// pack is the compressed value of an item at a revision.
type pack struct {
	revision int64
	value    []byte
}

// packFrom is the size in bytes from which values are compressed that go to
// another region: a configuration, and not the entry of a server.
const packFrom = 4 << 10

// pack compresses large values, each once. It returns the keys of those.
func (n *neighbours) pack(u belief.Update) (belief.Update, map[string]bool) {
	packs := map[string]bool{}
	for i, item := range u.Items {
		if len(item.Value) < packFrom {
			continue
		}
		n.mu.Lock()
		held := n.packs[item.Key]
		n.mu.Unlock()
		if held.revision != item.Revision {
			held = pack{item.Revision, packed.Pack(item.Value)}
			n.mu.Lock()
			n.packs[item.Key] = held
			n.mu.Unlock()
		}
		u.Items[i].Value = held.value
		packs[item.Key] = true
	}
	return u, packs
}

func (n *neighbours) note(address string, o *other, err error) {
	if err == nil {
		n.mu.Lock()
		n.table.Answered(address, time.Now())
		n.mu.Unlock()
	} else {
		o.told = roll.Told{} // it may be another process by now
	}
	if up := err == nil; up != o.up {
		o.up = up
		if up {
			event.Log(event.NeighbourUp, "Address", address)
		} else {
			event.Fail(event.NeighbourDown, err, "Address", address)
		}
	}
}

// word is what this gateway tells another one.
func (n *neighbours) word(now time.Time, to string, o *other) neighbour.ExchangeRequest {
	running := n.roster.pools.Running()
	n.mu.Lock()
	w := n.table.Word(to, running, now)
	far := n.table.Far(to)
	n.mu.Unlock()
	w.Revision = n.roster.beliefs.Revision()
	w.Named = n.named(now)
	w.Agents, w.Alive = n.roster.news(&o.told, now, n.own.Region, far)
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
	return n.table.Known(now)
}

// unlike returns the gateways that are alive, or nil if they are those of the digest.
func (n *neighbours) unlike(digest uint64, now time.Time) []neighbour.Gateway {
	known := n.known(now)
	if exchange.Digest(known) == digest {
		return nil
	}
	return known
}

// most returns the number of gateways that share what all may spend.
func (n *neighbours) most() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Most()
}

// spread tells the pools what the other gateways have running.
func (n *neighbours) spread(now time.Time) {
	n.mu.Lock()
	running := n.table.Others(now)
	n.mu.Unlock()
	n.roster.pools.SetOthers(now, running)
}

// receiver answers the calls of gateways and agents.
type receiver struct{ neighbours *neighbours }

// Exchange takes another gateway's word and returns what it lacks.
func (r receiver) Exchange(request neighbour.ExchangeRequest, reply *neighbour.ExchangeReply) error {
	n, now := r.neighbours, time.Now()
	n.mu.Lock()
	n.table.Hear(request, now)
	n.mu.Unlock()
	n.meet(append(request.Gateways, request.Gateway)...)
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
	reply.Whole, reply.Agents, reply.Pieces, reply.Gone, reply.Mark = u.Whole, u.Agents, u.Pieces, u.Gone, u.Mark
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

// storeFollowers is the number of gateways that follow the store for all: one
// may be lost, and every call is priced.
const storeFollowers = 2

// leads returns this gateway's part in following the store for all.
func (n *neighbours) leads() duties {
	names := []string{}
	for _, g := range n.known(time.Now()) {
		names = append(names, g.Name)
	}
	switch slices.Index(rank.First("store", names, storeFollowers), n.own.Name) {
	case 0:
		return first
	case -1:
		return none
	}
	return spare
}
