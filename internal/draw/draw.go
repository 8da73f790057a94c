// Package draw decides which piece of a version an agent fetches next and from
// whom, and when its engine may change over to a new version.
//
// Agents decide alike without a coordinator. Each piece is drawn from the origin
// by one agent, the first by rendezvous rank among those that lack the version;
// into every other region it is brought by one agent of that region, ranked
// likewise; all others take it from their own region. An agent of a later rank
// steps in when its turn has come and the piece is still not there.
//
// Nothing here waits, reads a clock or touches a network.
package draw

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"almondreel.example/almondreel/pkg/stripe"
)

const (
	// originStep is the turn of each rank at the origin, from the last piece that
	// the one before it was seen to get: several times what drawers that share the
	// origin's link take for a piece each, and the age of what agents hear.
	originStep = 900 * time.Millisecond
	// regionStep is the turn of each rank between regions.
	regionStep = 500 * time.Millisecond
	// perHolder bounds pieces in flight from one holder.
	perHolder = 1
	// perOrigin bounds pieces in flight from the origin to one agent, once it has
	// its first: those share the origin's link, and all wait for one of them.
	perOrigin = 2
	// scarce is the number of agents that lack a version for each that has a
	// piece, from which on the piece is drawn from the origin as well.
	scarce = 4
	// drawers is the number of agents that draw from the origin: together they
	// fill its link, and few enough that pieces come one after the other.
	drawers = 8
	// busyRest keeps a holder from being asked again that has enough to send.
	busyRest = 15 * time.Millisecond
	// firstRest and longestRest keep a source that failed from being asked at
	// once; the rest doubles with each failure in a row.
	firstRest   = 80 * time.Millisecond
	longestRest = 500 * time.Millisecond
	// longestOriginRest is that of the origin, for which all wait.
	longestOriginRest = 150 * time.Millisecond
	// goneFrom failures in a row, a holder counts as gone for goneTime: longer than
	// the others' word of a living one lasts. Pieces that it alone has are then
	// drawn by others.
	goneFrom = 2
	goneTime = 2 * time.Second
)

// Member is an agent that takes part.
type Member struct {
	Name   string
	Region string
	Have   []uint64 // pieces of the version, as a bit set
	Needs  bool     // it lacks pieces
}

// Source is where to fetch from; an empty Holder means the origin.
type Source struct{ Holder string }

// Fetch says what to fetch next.
type Fetch struct {
	Piece  int
	Source Source
}

// Plan is one agent's progress with one version. It is not safe for concurrent use.
type Plan struct {
	name, region string
	pieces       int
	openedAt     time.Time // or when the origin last failed: ranks count from there
	have         []uint64
	flying       map[int]Source
	fromHolder   map[string]int
	fromOrigin   int
	begun        bool              // a piece came from the origin
	farSince     map[int]time.Time // when a piece was first seen in another region only
	resting      map[string]time.Time
	failures     map[string]int       // in a row, by source
	gone         map[string]time.Time // holders that failed, until when they count as gone
	grown        map[string]growth    // of the others
	random       *rand.Rand
	atOrigin     ranking // among all that lack the version
	inRegion     ranking // among those of the own region
}

// NewPlan returns the plan of an agent that holds nothing of a version.
func NewPlan(name, region string, pieces int, openedAt time.Time, random *rand.Rand) *Plan {
	return &Plan{
		name: name, region: region, pieces: pieces, openedAt: openedAt,
		have: make([]uint64, (pieces+63)/64), flying: map[int]Source{}, fromHolder: map[string]int{},
		farSince: map[int]time.Time{}, resting: map[string]time.Time{}, failures: map[string]int{}, gone: map[string]time.Time{}, grown: map[string]growth{}, random: random,
	}
}

// Got notes a piece that is here and was checked.
func (p *Plan) Got(piece int) { p.have[piece/64] |= 1 << (piece % 64) }

// Lost notes a piece that is no longer whole.
func (p *Plan) Lost(piece int) { p.have[piece/64] &^= 1 << (piece % 64) }

// Have returns the pieces that are here, as a bit set.
func (p *Plan) Have() []uint64 { return append([]uint64(nil), p.have...) }

// Complete reports whether every piece is here.
func (p *Plan) Complete() bool {
	for i := range p.pieces {
		if !Has(p.have, i) {
			return false
		}
	}
	return true
}

// End is how a fetch ended.
type End int

// Ends of a fetch.
const (
	Brought End = iota
	Busy        // the source has others to serve first
	Failed
)

// Ended notes the end of a fetch; a source that gave nothing rests.
func (p *Plan) Ended(now time.Time, f Fetch, end End) {
	delete(p.flying, f.Piece)
	if f.Source.Holder == "" {
		p.fromOrigin--
	} else {
		p.fromHolder[f.Source.Holder]--
	}
	switch end {
	case Brought:
		p.failures[f.Source.Holder] = 0
		p.begun = p.begun || f.Source.Holder == ""
		return
	case Busy:
		p.resting[f.Source.Holder] = now.Add(busyRest)
		return
	}
	p.failures[f.Source.Holder]++
	rest, longest := firstRest<<min(p.failures[f.Source.Holder]-1, 4), longestRest
	switch {
	case f.Source.Holder == "":
		longest = longestOriginRest
		p.openedAt = now
	case p.failures[f.Source.Holder] >= goneFrom:
		p.gone[f.Source.Holder] = now.Add(goneTime)
	}
	p.resting[f.Source.Holder] = now.Add(min(rest, longest))
}

// Failures returns how often in a row a source has failed.
func (p *Plan) Failures(s Source) int { return p.failures[s.Holder] }

// Next returns the next fetch, if one may begin now. What others wait for goes
// first; then a neighbour is drawn by lot, so that all of them are asked alike,
// and the rarest piece that it can give.
func (p *Plan) Next(now time.Time, members []Member) (Fetch, bool) {
	view := p.look(now, members)
	f, ok := p.unlocking(now, view)
	if !ok {
		f, ok = p.nearby(now, view)
	}
	if !ok {
		return Fetch{}, false
	}
	p.begin(f)
	return f, true
}

// Nearby returns the next fetch from a neighbour of the own region, if one may
// begin now, for an agent that should neither draw from the origin nor cross
// between regions yet.
func (p *Plan) Nearby(now time.Time, members []Member) (Fetch, bool) {
	f, ok := p.nearby(now, p.look(now, members))
	if ok {
		p.begin(f)
	}
	return f, ok
}

// begin notes a fetch that is on its way until Ended.
func (p *Plan) begin(f Fetch) {
	p.flying[f.Piece] = f.Source
	if f.Source.Holder == "" {
		p.fromOrigin++
	} else {
		p.fromHolder[f.Source.Holder]++
	}
}

// Drawn reports whether this agent has brought every piece that it is the first
// to draw from the origin.
func (p *Plan) Drawn(now time.Time, members []Member) bool {
	v := p.look(now, members)
	for piece := range p.pieces {
		if !Has(p.have, piece) && p.position(piece, v) == 0 {
			return false
		}
	}
	return true
}

// Ahead returns the next piece to draw from the origin of a version whose turn
// has not come, while an older one is still passed on: one that this agent is the
// first to draw. The origin's link is free by then, and it may leave.
func (p *Plan) Ahead(now time.Time, members []Member) (Fetch, bool) {
	if p.fromOrigin > 0 || !p.originFree(now) {
		return Fetch{}, false
	}
	v := p.look(now, members)
	first := p.random.IntN(p.pieces)
	for n := range p.pieces {
		piece := (first + n) % p.pieces
		if p.open(piece) && p.position(piece, v) == 0 {
			f := Fetch{Piece: piece}
			p.begin(f)
			return f, true
		}
	}
	return Fetch{}, false
}

// open reports whether a piece is neither here nor on its way.
func (p *Plan) open(piece int) bool {
	_, flies := p.flying[piece]
	return !flies && !Has(p.have, piece)
}

// unlocking returns a piece that no neighbour has and that this agent may bring.
func (p *Plan) unlocking(now time.Time, v view) (Fetch, bool) {
	first := p.random.IntN(p.pieces)
	for n := range p.pieces {
		piece := (first + n) % p.pieces
		if !p.open(piece) {
			continue
		}
		if p.drawsScarce(now, piece, v) {
			return Fetch{piece, Source{}}, true
		}
		if v.copies(piece) > 0 {
			continue
		}
		if s, ok := p.source(now, piece, v); ok {
			return Fetch{piece, s}, true
		}
	}
	return Fetch{}, false
}

// drawsScarce reports whether a piece that few agents have, for how many lack
// it, should be drawn from the origin as well, by the first of its rank: the
// links of those few would take longer than the origin's.
func (p *Plan) drawsScarce(now time.Time, piece int, v view) bool {
	held := v.copies(piece) + v.farCounts[piece]
	return held > 0 && held*scarce <= len(v.needers) && p.originFree(now) && p.position(piece, v) == 0
}

// originFree reports whether this agent may ask the origin now.
func (p *Plan) originFree(now time.Time) bool {
	most := perOrigin
	if !p.begun {
		most = 1
	}
	return p.fromOrigin < most && !now.Before(p.resting[""])
}

// nearby returns a piece that a neighbour has.
func (p *Plan) nearby(now time.Time, v view) (Fetch, bool) {
	for _, n := range p.random.Perm(len(v.near)) {
		m := v.near[n]
		if p.fromHolder[m.Name] >= perHolder || now.Before(p.resting[m.Name]) {
			continue
		}
		rarest, copies := -1, 0
		first := p.random.IntN(p.pieces)
		for n := range p.pieces {
			piece := (first + n) % p.pieces
			if c := v.copies(piece); Has(m.Have, piece) && p.open(piece) && (rarest < 0 || c < copies) {
				rarest, copies = piece, c
			}
		}
		if rarest >= 0 {
			return Fetch{rarest, Source{m.Name}}, true
		}
	}
	return Fetch{}, false
}

// view is the members as one call of Next sees them.
type view struct {
	near, far []Member // others, in this region and elsewhere
	needers   []string // all agents that lack pieces, this one included
	nearby    []string // those of this region
	drawers   []string // those that draw from the origin
	counts    []int    // copies of each piece in this region
	farCounts []int    // elsewhere
}

func (p *Plan) look(now time.Time, members []Member) view {
	v := view{needers: []string{p.name}, nearby: []string{p.name}}
	for _, m := range members {
		if m.Name == p.name || now.Before(p.gone[m.Name]) {
			continue
		}
		if m.Needs {
			v.needers = append(v.needers, m.Name)
			p.noteGrowth(now, m)
		}
		if m.Region != p.region {
			v.far = append(v.far, m)
			continue
		}
		v.near = append(v.near, m)
		if m.Needs {
			v.nearby = append(v.nearby, m.Name)
		}
	}
	if p.atOrigin.renew(v.needers, p.pieces) {
		p.atOrigin.first = Drawers(v.needers)
	}
	p.inRegion.renew(v.nearby, p.pieces)
	v.drawers = p.atOrigin.first
	v.counts, v.farCounts = p.count(v.near), p.count(v.far)
	return v
}

// count returns how many of the members have each piece.
func (p *Plan) count(members []Member) []int {
	counts := make([]int, p.pieces)
	for _, m := range members {
		for n, word := range m.Have {
			for ; word != 0; word &= word - 1 {
				if piece := 64*n + bits.TrailingZeros64(word); piece < p.pieces {
					counts[piece]++
				}
			}
		}
	}
	return counts
}

// Drawers returns those of the agents that lack a version who draw it from the
// origin, and so are the first to need its digests.
func Drawers(needers []string) []string {
	ranked := stripe.Rank("origin", needers)
	return ranked[:min(drawers, len(ranked))]
}

func (v view) copies(piece int) int { return v.counts[piece] }

// source returns where a piece that no neighbour has may be fetched from now.
func (p *Plan) source(now time.Time, piece int, v view) (Source, bool) {
	if v.farCounts[piece] == 0 {
		return Source{}, p.originFree(now) && !now.Before(p.originTurn(piece, v))
	}
	since, seen := p.farSince[piece]
	if !seen {
		since = now
		p.farSince[piece] = now
	}
	position := p.inRegion.position(piece, func() int { return stripe.Position(strconv.Itoa(piece), v.nearby, p.name) })
	if now.Before(stripe.Turn(since, position, regionStep)) {
		return Source{}, false
	}
	holder, found := p.holder(now, piece, v.far)
	return Source{holder}, found
}

// growth is when a member was last seen to hold more pieces than before.
type growth struct {
	pieces int
	at     time.Time
}

func (p *Plan) noteGrowth(now time.Time, m Member) {
	pieces := Count(m.Have)
	if g, ok := p.grown[m.Name]; pieces > g.pieces || !ok {
		p.grown[m.Name] = growth{pieces, now}
	}
}

// originTurn is the moment from which this agent may draw a piece from the
// origin. Each one before it has a turn that begins anew with every piece it gets.
func (p *Plan) originTurn(piece int, v view) time.Time {
	position := p.position(piece, v)
	turn := p.openedAt
	if position == 0 {
		return turn
	}
	for n, name := range p.atOrigin.order(piece) {
		if n >= position {
			break
		}
		since := p.openedAt
		if at := p.grown[name].at; at.After(since) {
			since = at
		}
		if at := stripe.Turn(since, position-n, originStep); at.After(turn) {
			turn = at
		}
	}
	return turn
}

// position is the number of agents that draw a piece from the origin before
// this one does.
func (p *Plan) position(piece int, v view) int {
	return p.atOrigin.position(piece, func() int {
		item := strconv.Itoa(piece)
		if slices.Contains(v.drawers, p.name) {
			return stripe.Position(item, v.drawers, p.name)
		}
		return len(v.drawers) + stripe.Position(item, v.needers, p.name)
	})
}

// holder returns the member that has the piece and is asked least.
func (p *Plan) holder(now time.Time, piece int, among []Member) (string, bool) {
	best, least, ties := "", perHolder, 0
	for _, m := range among {
		if !Has(m.Have, piece) || now.Before(p.resting[m.Name]) {
			continue
		}
		asked := p.fromHolder[m.Name]
		switch {
		case asked < least:
			best, least, ties = m.Name, asked, 1
		case asked == least && best != "":
			ties++
			if p.random.IntN(ties) == 0 {
				best = m.Name
			}
		}
	}
	return best, best != ""
}

// Count returns the size of a bit set.
func Count(set []uint64) int {
	count := 0
	for _, word := range set {
		count += bits.OnesCount64(word)
	}
	return count
}

// Has reports whether a bit set holds n.
func Has(set []uint64, n int) bool { return n/64 < len(set) && set[n/64]&(1<<(n%64)) != 0 }
