// Package exchange decides which gateways a gateway talks to, and what it passes
// on of those that the other does not hear itself.
//
// Within a region every gateway talks to every other one. Between regions two
// speakers of each region do, the first by rendezvous rank among those that are
// alive, and pass on sums. A gateway thus talks to as many others as its region
// and the regions have, and not to all of the site. A speaker that is lost is
// replaced as soon as its region no longer hears it.
//
// Nothing here reads a clock or touches a network.
package exchange

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/rank"
)

const (
	// aliveTime is how long a gateway that says nothing counts as alive.
	aliveTime = 1500 * time.Millisecond
	// forgetTime is how long a gateway is still called that does not answer.
	forgetTime = 20 * time.Second
	// speakers talk to other regions for their own: one may be lost.
	speakers = 2
)

// Table is the gateways that one gateway knows. It is not safe for concurrent use.
type Table struct {
	own      neighbour.Gateway
	seeds    []string
	gateways map[string]*gateway // by address
	regions  map[string]load     // what other regions' gateways have running
	peak     int                 // gateways that were alive at once

	speaking   map[string]bool // names of the speakers of all regions
	speakingAt time.Time       // as of then
}

type gateway struct {
	neighbour.Gateway
	seenAt  time.Time // it was alive, by its own word or that of another
	wordAt  time.Time // of its own last word to this gateway
	metAt   time.Time // it was named first, or it answered last
	toldAt  time.Time // it was told of other gateways
	running map[string]int
}

type load struct {
	running map[string]int
	at      time.Time
}

// New returns a table that knows the addresses of some gateways, which may be stale.
func New(own neighbour.Gateway, seeds []string, now time.Time) *Table {
	t := &Table{own: own, seeds: seeds, gateways: map[string]*gateway{}, regions: map[string]load{}}
	for _, s := range seeds {
		t.Meet(neighbour.Gateway{Address: s}, now)
	}
	return t
}

// Meet notes a gateway that someone named, with its age if that one heard it.
func (t *Table) Meet(g neighbour.Gateway, now time.Time) {
	if g.Address == t.own.Address || g.Address == "" {
		return
	}
	held, ok := t.gateways[g.Address]
	if !ok {
		held = &gateway{Gateway: neighbour.Gateway{Address: g.Address}, metAt: now}
		t.gateways[g.Address] = held
	}
	if g.Name == "" {
		return
	}
	if seen := now.Add(-time.Duration(g.AgeMilliseconds) * time.Millisecond); seen.After(held.seenAt) {
		held.Gateway, held.seenAt = g, seen
	}
}

// Hear takes a gateway's own word.
func (t *Table) Hear(request neighbour.ExchangeRequest, now time.Time) {
	t.Meet(request.Gateway, now)
	if g, ok := t.gateways[request.Gateway.Address]; ok {
		g.wordAt, g.running = now, request.Running
	}
	for _, g := range request.Gateways {
		t.Meet(g, now)
	}
	for _, l := range request.Loads {
		at := now.Add(-time.Duration(l.AgeMilliseconds) * time.Millisecond)
		if l.Region != t.own.Region && at.After(t.regions[l.Region].at) {
			t.regions[l.Region] = load{l.Running, at}
		}
	}
}

// Answered notes that a gateway answered a call.
func (t *Table) Answered(address string, now time.Time) {
	if g, ok := t.gateways[address]; ok {
		g.metAt = now
	}
}

// Gone forgets a gateway that has neither answered nor been heard of for long,
// and reports whether it did. Those of the settings stay.
func (t *Table) Gone(address string, now time.Time) bool {
	g, ok := t.gateways[address]
	if !ok {
		return true
	}
	last := g.metAt
	if g.seenAt.After(last) {
		last = g.seenAt
	}
	if now.Sub(last) <= forgetTime || slices.Contains(t.seeds, address) {
		return false
	}
	delete(t.gateways, address)
	return true
}

// Talks reports whether this gateway is to call another one: all in its region,
// those that it knows no name of yet, and speakers, if it is one, in others.
func (t *Table) Talks(address string, now time.Time) bool {
	g, ok := t.gateways[address]
	if !ok {
		return false
	}
	if g.Name == "" || g.Region == t.own.Region {
		return true
	}
	lost := now.Sub(g.seenAt) >= aliveTime // its region may be cut off
	return t.speaks(t.own, now) && (lost || t.speaks(g.Gateway, now))
}

// speakingTime is how old the list of speakers may be: less than a round.
const speakingTime = 100 * time.Millisecond

// speaks reports whether a gateway is a speaker of its region.
func (t *Table) speaks(g neighbour.Gateway, now time.Time) bool {
	if t.speaking == nil || now.Sub(t.speakingAt) >= speakingTime {
		t.speaking, t.speakingAt = t.rank(now), now
	}
	return t.speaking[g.Name]
}

func (t *Table) rank(now time.Time) map[string]bool {
	regions := map[string][]string{}
	for _, g := range t.Known(now) {
		regions[g.Region] = append(regions[g.Region], g.Name)
	}
	speaking := map[string]bool{}
	for _, names := range regions {
		for _, name := range rank.First("speaker", names, speakers) {
			speaking[name] = true
		}
	}
	return speaking
}

// Far reports whether a gateway is of another region, or of one that is not known.
func (t *Table) Far(address string) bool {
	g, ok := t.gateways[address]
	return !ok || g.Region != t.own.Region
}

// Word fills in what this gateway tells another one of the gateways: to other
// regions what its own has running, in its own what others have.
func (t *Table) Word(to string, running map[string]int, now time.Time) neighbour.ExchangeRequest {
	w := neighbour.ExchangeRequest{Gateway: t.own, Running: running, Known: Digest(t.Known(now))}
	far := t.Far(to)
	if far {
		w.Loads = []neighbour.Load{{Region: t.own.Region, Running: t.near(running, now)}}
		w.Running = nil
	} else if t.speaks(t.own, now) {
		for region, l := range t.regions {
			if age := now.Sub(l.at); age < aliveTime {
				w.Loads = append(w.Loads, neighbour.Load{Region: region, Running: l.running, AgeMilliseconds: age.Milliseconds()})
			}
		}
	}
	w.Gateways = t.relay(to, far, now)
	return w
}

// relayTime separates two words on other gateways: what two relays pass on is
// then still younger than aliveTime.
const relayTime = 400 * time.Millisecond

// relay returns the gateways that another one does not hear itself, if it was
// not told of them lately.
func (t *Table) relay(to string, far bool, now time.Time) []neighbour.Gateway {
	if g, ok := t.gateways[to]; ok {
		if now.Sub(g.toldAt) < relayTime {
			return nil
		}
		g.toldAt = now
	}
	var out []neighbour.Gateway
	for _, g := range t.Known(now) {
		if near := g.Region == t.own.Region; near == far && g.Name != t.own.Name {
			out = append(out, g)
		}
	}
	return out
}

// near sums what the gateways of the own region have running.
func (t *Table) near(own map[string]int, now time.Time) map[string]int {
	sum := map[string]int{}
	add(sum, own)
	for _, g := range t.gateways {
		if g.Region == t.own.Region && now.Sub(g.wordAt) < aliveTime {
			add(sum, g.running)
		}
	}
	return sum
}

func add(sum, running map[string]int) {
	for server, count := range running {
		sum[server] += count
	}
}

// Others is what all other gateways have running, by server.
func (t *Table) Others(now time.Time) map[string]int {
	sum := t.near(nil, now)
	for _, l := range t.regions {
		if now.Sub(l.at) < aliveTime {
			add(sum, l.running)
		}
	}
	return sum
}

// Known returns the gateways that are alive, this one included, with the time
// since each was heard.
func (t *Table) Known(now time.Time) []neighbour.Gateway {
	out := []neighbour.Gateway{t.own}
	for _, g := range t.gateways {
		if age := now.Sub(g.seenAt); g.Name != "" && age < aliveTime {
			seen := g.Gateway
			seen.AgeMilliseconds = age.Milliseconds()
			out = append(out, seen)
		}
	}
	t.peak = max(t.peak, len(out))
	return out
}

// Digest tells sets of gateways apart, whatever their order.
func Digest(gateways []neighbour.Gateway) uint64 {
	digest := uint64(0)
	for _, g := range gateways {
		digest ^= xxhash.Sum64String(g.Name + "\x00" + g.Address)
	}
	return digest
}

// Most returns the number of gateways that were alive at once, this one included
// and at least the ones of the settings: what they spent still counts when some
// of them are gone.
func (t *Table) Most() int { return max(t.peak, len(t.seeds)) }
