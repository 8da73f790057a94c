// Package gossip tracks the gateways of a site and their load, and decides which of
// them a gateway calls and what it relays to them. It does not read a clock or use
// the network.
package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/ages"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/rendezvous"
)

const (
	// aliveTimeout is how long a silent gateway counts as alive.
	aliveTimeout = 1500 * time.Millisecond
	// forgetAfter is how long a gateway that does not answer is still called.
	forgetAfter = 20 * time.Second
	// relaysPerRegion is the number of gateways that call other regions on behalf
	// of their region: a second one covers the failure of the first.
	relaysPerRegion = 2
)

// Table holds the gateways that one gateway knows. It is not safe for concurrent use.
//
// Within a region every gateway calls every other one. Between regions only two
// relays of each region call each other, chosen by rendezvous hashing among the
// gateways that are alive, and exchange the load totals of their regions. The number
// of peers of a gateway therefore grows with the size of its region and the number
// of regions, not with the site. A relay that fails is replaced once its region has
// not heard from it for aliveTimeout.
type Table struct {
	own         hostedrpc.Gateway     // this gateway
	seeds       []string              // addresses from the settings
	gateways    map[string]*gateway   // by address
	regionLoads map[string]regionLoad // running requests by region, without the own one
	peak        int                   // most gateways that were alive at the same time
	peakAlive   []hostedrpc.Gateway   // the last gateways that were that many

	relays   map[string]bool // names of the relays of all regions
	relaysAt time.Time       // when relays was computed
}

type gateway struct {
	hostedrpc.Gateway
	seenAt    time.Time      // last known to be alive, directly or reported by another gateway
	requestAt time.Time      // last request received from it
	contactAt time.Time      // last answer from it, or when it was added
	relayedAt time.Time      // last time that other gateways were relayed to it
	running   map[string]int // its running requests, by server ID
}

type regionLoad struct {
	running map[string]int // by server ID
	at      time.Time
}

// New returns a table with the addresses of some gateways from the settings, which
// may be stale.
func New(own hostedrpc.Gateway, seeds []string, now time.Time) *Table {
	t := &Table{own: own, seeds: seeds, gateways: map[string]*gateway{}, regionLoads: map[string]regionLoad{}}
	for _, s := range seeds {
		t.Observe(hostedrpc.Gateway{Address: s}, now)
	}
	return t
}

// Observe adds or updates a gateway that was reported. g.AgeMilliseconds is the time
// since it was known to be alive. A gateway without a name is only an address.
func (t *Table) Observe(g hostedrpc.Gateway, now time.Time) {
	if g.Address == t.own.Address || g.Address == "" {
		return
	}
	known, ok := t.gateways[g.Address]
	if !ok {
		known = &gateway{Gateway: hostedrpc.Gateway{Address: g.Address}, contactAt: now}
		t.gateways[g.Address] = known
	}
	if g.Name == "" {
		return
	}
	if seenAt := ages.At(now, g.AgeMilliseconds); seenAt.After(known.seenAt) {
		known.Gateway, known.seenAt = g, seenAt
	}
}

// Receive handles an exchange request from another gateway.
func (t *Table) Receive(request hostedrpc.ExchangeRequest, now time.Time) {
	t.Observe(request.Gateway, now)
	if g, ok := t.gateways[request.Gateway.Address]; ok {
		g.requestAt, g.running = now, request.Running
	}
	for _, g := range request.Gateways {
		t.Observe(g, now)
	}
	for _, l := range request.Loads {
		at := ages.At(now, l.AgeMilliseconds)
		if l.Region != t.own.Region && at.After(t.regionLoads[l.Region].at) {
			t.regionLoads[l.Region] = regionLoad{l.Running, at}
		}
	}
}

// RecordAnswer records that a gateway answered a call.
func (t *Table) RecordAnswer(address string, now time.Time) {
	if g, ok := t.gateways[address]; ok {
		g.contactAt = now
	}
}

// RemoveStale removes a gateway that has neither answered nor been reported alive
// for forgetAfter, and reports whether it is removed. Gateways from the settings
// are kept.
func (t *Table) RemoveStale(address string, now time.Time) bool {
	g, ok := t.gateways[address]
	if !ok {
		return true
	}
	last := g.contactAt
	if g.seenAt.After(last) {
		last = g.seenAt
	}
	if now.Sub(last) <= forgetAfter || slices.Contains(t.seeds, address) {
		return false
	}
	delete(t.gateways, address)
	return true
}

// ShouldCall reports whether this gateway calls the one at address. It calls all
// gateways of its region and those whose name is unknown. If it is a relay, it also
// calls the relays and the silent gateways of other regions.
func (t *Table) ShouldCall(address string, now time.Time) bool {
	g, ok := t.gateways[address]
	if !ok {
		return false
	}
	if g.Name == "" || g.Region == t.own.Region {
		return true
	}
	silent := now.Sub(g.seenAt) >= aliveTimeout // its region may be partitioned
	return t.isRelay(t.own, now) && (silent || t.isRelay(g.Gateway, now))
}

// relaysMaxAge limits the age of the list of relays to less than a gossip round.
const relaysMaxAge = 100 * time.Millisecond

// isRelay reports whether a gateway is a relay of its region.
func (t *Table) isRelay(g hostedrpc.Gateway, now time.Time) bool {
	if t.relays == nil || now.Sub(t.relaysAt) >= relaysMaxAge {
		t.relays, t.relaysAt = t.chooseRelays(now), now
	}
	return t.relays[g.Name]
}

func (t *Table) chooseRelays(now time.Time) map[string]bool {
	regions := map[string][]string{}
	for _, g := range t.Alive(now) {
		regions[g.Region] = append(regions[g.Region], g.Name)
	}
	relays := map[string]bool{}
	for _, names := range regions {
		for _, name := range rendezvous.Top("speaker", names, relaysPerRegion) {
			relays[name] = true
		}
	}
	return relays
}

// IsRemote reports whether the gateway at address is in another region or in an
// unknown one.
func (t *Table) IsRemote(address string) bool {
	g, ok := t.gateways[address]
	return !ok || g.Region != t.own.Region
}

// BuildRequest returns an exchange request with the gateways and loads for the gateway
// at address to. A gateway of another region gets the load total of this region. One
// of the same region gets this gateway's load and, from a relay, the loads of other
// regions.
func (t *Table) BuildRequest(to string, running map[string]int, now time.Time) hostedrpc.ExchangeRequest {
	request := hostedrpc.ExchangeRequest{Gateway: t.own, Running: running, Known: Digest(t.Alive(now))}
	remote := t.IsRemote(to)
	if remote {
		request.Loads = []hostedrpc.Load{{Region: t.own.Region, Running: t.ownRegionLoad(running, now)}}
		request.Running = nil
	} else if t.isRelay(t.own, now) {
		for region, l := range t.regionLoads {
			if age := now.Sub(l.at); age < aliveTimeout {
				request.Loads = append(request.Loads, hostedrpc.Load{Region: region, Running: l.running, AgeMilliseconds: age.Milliseconds()})
			}
		}
	}
	request.Gateways = t.gatewaysToRelay(to, remote, now)
	return request
}

// relayInterval is the minimum time between two lists of gateways that are sent to the
// same peer. After two relays the information is still younger than aliveTimeout.
const relayInterval = 400 * time.Millisecond

// gatewaysToRelay returns the gateways that may not call the gateway at address to
// directly, or nil within relayInterval of the last time. For a remote gateway these
// are the gateways of this region, for a local one those of other regions.
func (t *Table) gatewaysToRelay(to string, remote bool, now time.Time) []hostedrpc.Gateway {
	if g, ok := t.gateways[to]; ok {
		if now.Sub(g.relayedAt) < relayInterval {
			return nil
		}
		g.relayedAt = now
	}
	var out []hostedrpc.Gateway
	for _, g := range t.Alive(now) {
		if local := g.Region == t.own.Region; local == remote && g.Name != t.own.Name {
			out = append(out, g)
		}
	}
	return out
}

// ownRegionLoad sums the running requests of this region's gateways, by server ID.
// own is added for this gateway.
func (t *Table) ownRegionLoad(own map[string]int, now time.Time) map[string]int {
	sum := map[string]int{}
	add(sum, own)
	for _, g := range t.gateways {
		if g.Region == t.own.Region && now.Sub(g.requestAt) < aliveTimeout {
			add(sum, g.running)
		}
	}
	return sum
}

// maxCount bounds a count of running requests, so that sums of them do not overflow.
const maxCount = 1 << 20

func add(sum, running map[string]int) {
	for server, count := range running {
		sum[server] += min(max(count, 0), maxCount)
	}
}

// OtherLoad returns the running requests of all other gateways, by server ID.
func (t *Table) OtherLoad(now time.Time) map[string]int {
	sum := t.ownRegionLoad(nil, now)
	for _, l := range t.regionLoads {
		if now.Sub(l.at) < aliveTimeout {
			add(sum, l.running)
		}
	}
	return sum
}

// Alive returns the gateways that are alive, including this one, with the time since
// each was last known to be alive.
func (t *Table) Alive(now time.Time) []hostedrpc.Gateway {
	out := []hostedrpc.Gateway{t.own}
	for _, g := range t.gateways {
		if age := now.Sub(g.seenAt); g.Name != "" && age < aliveTimeout {
			alive := g.Gateway
			alive.AgeMilliseconds = age.Milliseconds()
			out = append(out, alive)
		}
	}
	if len(out) >= t.peak {
		t.peak, t.peakAlive = len(out), slices.Clone(out)
	}
	return out
}

// Digest returns a hash of a set of gateways that is independent of their order.
func Digest(gateways []hostedrpc.Gateway) uint64 {
	digest := uint64(0)
	for _, g := range gateways {
		digest ^= xxhash.Sum64String(g.Name + "\x00" + g.Address)
	}
	return digest
}

// PeakAlive returns the maximum number of gateways alive at the same time, including
// this one, and at least the number in the settings. A shared budget is divided by
// the peak because gateways that are gone have already spent their part.
func (t *Table) PeakAlive() int { return max(t.peak, len(t.seeds)) }

// Known returns the addresses of the gateways that were alive when most were, including this
// one, and of those in the settings. They do not change when contact to gateways is lost.
func (t *Table) Known() []string {
	addresses := slices.Clone(t.seeds)
	for _, g := range t.peakAlive {
		addresses = append(addresses, g.Address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
