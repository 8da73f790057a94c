package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/exchange"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/rank"
	"almondreel.example/almondreel/internal/roll"
	"almondreel.example/almondreel/internal/schedule"
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

// hear takes another gateway's word on itself and on others.
func (n *neighbours) hear(request neighbour.ExchangeRequest, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Hear(request, now)
	n.begin(request.Gateway.Address)
	for _, g := range request.Gateways {
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

// storeFollowers is the number of gateways that follow the store for all: one
// may be lost, and every call is priced.
const storeFollowers = 2

// leads returns this gateway's part in following the store for all.
func (n *neighbours) leads() role {
	names := []string{}
	for _, g := range n.known(time.Now()) {
		names = append(names, g.Name)
	}
	switch slices.Index(rank.First("store", names, storeFollowers), n.own.Name) {
	case 0:
		return firstFollower
	case -1:
		return bystander
	}
	return spareFollower
}
