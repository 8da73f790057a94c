// Package piecesched schedules how an agent fetches the pieces of a model
// version: which piece next and from whom. It also computes when the agent's
// engine may switch to the version.
//
// Agents reach consistent decisions without a coordinator. One agent fetches
// each piece from the origin, the first by rendezvous rank among those that
// lack the version; one agent of every other region, ranked the same way,
// fetches it into that region; all others fetch it from agents of their own
// region. An agent of a later rank takes over when its turn has come and the
// piece is still missing.
//
// The package does no I/O and reads no clock; callers pass the time.
package piecesched

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"almondreel.example/almondreel/pkg/takeover"
)

const (
	// originTurnInterval is the time between the turns of successive ranks at
	// the origin, counted from the last piece that the earlier rank was seen to
	// receive. It covers several transfers of a piece by agents that share the
	// origin's link, and the age of the members' reports.
	originTurnInterval = 900 * time.Millisecond
	// regionTurnInterval is the time between the turns of successive ranks when
	// fetching from another region.
	regionTurnInterval = 500 * time.Millisecond
	// maxInFlightPerHolder bounds an agent's fetches in flight from one holder.
	maxInFlightPerHolder = 1
	// maxInFlightFromOrigin bounds an agent's fetches in flight from the origin
	// after its first piece has arrived. They share the origin's link, and all
	// other agents wait for each of these pieces.
	maxInFlightFromOrigin = 2
	// scarceRatio is the number of agents lacking the version per holder of a
	// piece from which the piece is fetched from the origin once more.
	scarceRatio = 4
	// originFetcherCount is the number of agents that fetch from the origin:
	// enough to fill its link, and few enough that pieces arrive one after the
	// other.
	originFetcherCount = 8
	// busyBackoff is the time before a holder that answered busy is tried
	// again.
	busyBackoff = 15 * time.Millisecond
	// minBackoff and maxBackoff bound the time before a failed source is tried
	// again; it doubles with each consecutive failure.
	minBackoff = 80 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxOriginBackoff replaces maxBackoff for the origin, since all agents
	// wait for it.
	maxOriginBackoff = 150 * time.Millisecond
	// After unreachableFailures consecutive failures a holder is ignored for
	// unreachableTime, which is longer than a live agent's report stays valid.
	// Other agents then fetch the pieces that only this holder has.
	unreachableFailures = 2
	unreachableTime     = 2 * time.Second
)

// Member is another agent that takes part in the distribution.
type Member struct {
	Name       string
	Region     string
	Have       []uint64 // pieces of the version, as a bit set
	Incomplete bool     // it lacks pieces of the version
}

// Source is where to fetch from; an empty Holder means the origin.
type Source struct{ Holder string }

// Fetch is one piece to fetch and its source.
type Fetch struct {
	Piece  int
	Source Source
}

// Scheduler holds one agent's progress with one version. It is not safe for
// concurrent use.
type Scheduler struct {
	name, region       string
	pieces             int
	turnsFrom          time.Time // start of the ranks' turns: creation, or the origin's last failure
	have               []uint64
	inFlight           map[int]Source
	inFlightByHolder   map[string]int
	inFlightFromOrigin int
	originUsed         bool              // a piece has arrived from the origin
	remoteSince        map[int]time.Time // when a piece was first seen only in other regions
	backoffUntil       map[string]time.Time
	failures           map[string]int       // consecutive, by source
	unreachableUntil   map[string]time.Time // by holder; ignored until then
	lastProgress       map[string]progress  // of the other agents, by name
	deferredUntil      map[int]time.Time    // by piece; not fetched from the origin before
	random             *rand.Rand
	originRanking      ranking // among all agents that lack the version
	regionRanking      ranking // among those of this region
}

// NewScheduler returns the scheduler of an agent that holds no piece of a
// version.
func NewScheduler(name, region string, pieces int, createdAt time.Time, random *rand.Rand) *Scheduler {
	return &Scheduler{
		name: name, region: region, pieces: pieces, turnsFrom: createdAt,
		have: make([]uint64, (pieces+63)/64), inFlight: map[int]Source{}, inFlightByHolder: map[string]int{},
		remoteSince: map[int]time.Time{}, backoffUntil: map[string]time.Time{}, failures: map[string]int{}, unreachableUntil: map[string]time.Time{}, lastProgress: map[string]progress{},
		deferredUntil: map[int]time.Time{}, random: random,
	}
}

// MarkHeld records a piece that the agent holds and has verified.
func (s *Scheduler) MarkHeld(piece int) { s.have[piece/64] |= 1 << (piece % 64) }

// MarkLost records a piece that is no longer intact.
func (s *Scheduler) MarkLost(piece int) { s.have[piece/64] &^= 1 << (piece % 64) }

// DeferAtOrigin sets the time before which a piece is not fetched from the origin.
func (s *Scheduler) DeferAtOrigin(piece int, until time.Time) { s.deferredUntil[piece] = until }

// Have returns the pieces that the agent holds, as a bit set.
func (s *Scheduler) Have() []uint64 { return append([]uint64(nil), s.have...) }

// Complete reports whether the agent holds every piece.
func (s *Scheduler) Complete() bool {
	for i := range s.pieces {
		if !HasPiece(s.have, i) {
			return false
		}
	}
	return true
}

// Result is how a fetch ended.
type Result int

// Results of a fetch.
const (
	Fetched Result = iota
	Busy           // the source is serving others first
	Failed
)

// FetchDone records the result of a fetch. A source that returned no piece is
// not used again until its backoff has passed.
func (s *Scheduler) FetchDone(now time.Time, f Fetch, result Result) {
	delete(s.inFlight, f.Piece)
	if f.Source.Holder == "" {
		s.inFlightFromOrigin--
	} else {
		s.inFlightByHolder[f.Source.Holder]--
	}
	switch result {
	case Fetched:
		s.failures[f.Source.Holder] = 0
		s.originUsed = s.originUsed || f.Source.Holder == ""
		return
	case Busy:
		s.backoffUntil[f.Source.Holder] = now.Add(busyBackoff)
		return
	}
	s.failures[f.Source.Holder]++
	backoff, limit := minBackoff<<min(s.failures[f.Source.Holder]-1, 4), maxBackoff
	switch {
	case f.Source.Holder == "":
		limit = maxOriginBackoff
		s.turnsFrom = now
	case s.failures[f.Source.Holder] >= unreachableFailures:
		s.unreachableUntil[f.Source.Holder] = now.Add(unreachableTime)
	}
	s.backoffUntil[f.Source.Holder] = now.Add(min(backoff, limit))
}

// Failures returns the number of consecutive failures of a source.
func (s *Scheduler) Failures(source Source) int { return s.failures[source.Holder] }

// Next returns the next fetch, if one may start now. Pieces that no other
// agent of the region holds and scarce pieces go first, since others wait for
// them. Otherwise it picks a random holder in the region, to spread the load,
// and the rarest piece that this holder has.
func (s *Scheduler) Next(now time.Time, members []Member) (Fetch, bool) {
	view := s.buildView(now, members)
	f, ok := s.newToRegion(now, view)
	if !ok {
		f, ok = s.rarestInRegion(now, view)
	}
	if !ok {
		return Fetch{}, false
	}
	s.markInFlight(f)
	return f, true
}

// NextInRegion returns the next fetch from a holder in the same region, if one
// may start now. It serves an agent that should use neither the origin nor
// other regions yet.
func (s *Scheduler) NextInRegion(now time.Time, members []Member) (Fetch, bool) {
	f, ok := s.rarestInRegion(now, s.buildView(now, members))
	if ok {
		s.markInFlight(f)
	}
	return f, ok
}

// markInFlight counts a fetch as in flight until FetchDone.
func (s *Scheduler) markInFlight(f Fetch) {
	s.inFlight[f.Piece] = f.Source
	if f.Source.Holder == "" {
		s.inFlightFromOrigin++
	} else {
		s.inFlightByHolder[f.Source.Holder]++
	}
}

// OriginShareHeld reports whether this agent holds every piece that it is the
// first in rank to fetch from the origin.
func (s *Scheduler) OriginShareHeld(now time.Time, members []Member) bool {
	v := s.buildView(now, members)
	for piece := range s.pieces {
		if !HasPiece(s.have, piece) && s.originPosition(piece, v) == 0 {
			return false
		}
	}
	return true
}

// Prefetch returns the next piece to fetch from the origin of a version that
// has not been started, while agents still exchange an older one. It returns
// only pieces for which this agent is the first in rank. The origin's link is
// idle by then, and the origin may go down later.
func (s *Scheduler) Prefetch(now time.Time, members []Member) (Fetch, bool) {
	if s.inFlightFromOrigin > 0 || !s.mayUseOrigin(now) {
		return Fetch{}, false
	}
	v := s.buildView(now, members)
	first := s.random.IntN(s.pieces)
	for n := range s.pieces {
		piece := (first + n) % s.pieces
		if s.fetchable(piece) && s.mayFetchFromOrigin(now, piece) && s.originPosition(piece, v) == 0 {
			f := Fetch{Piece: piece}
			s.markInFlight(f)
			return f, true
		}
	}
	return Fetch{}, false
}

// fetchable reports whether a piece is neither held nor in flight.
func (s *Scheduler) fetchable(piece int) bool {
	_, inFlight := s.inFlight[piece]
	return !inFlight && !HasPiece(s.have, piece)
}

// newToRegion returns a piece that no other agent of the region holds, or a
// scarce one to fetch from the origin again, that this agent may fetch now.
func (s *Scheduler) newToRegion(now time.Time, v view) (Fetch, bool) {
	first := s.random.IntN(s.pieces)
	for n := range s.pieces {
		piece := (first + n) % s.pieces
		if !s.fetchable(piece) {
			continue
		}
		if s.refetchesScarce(now, piece, v) {
			return Fetch{piece, Source{}}, true
		}
		if v.copiesInRegion(piece) > 0 {
			continue
		}
		if from, ok := s.source(now, piece, v); ok {
			return Fetch{piece, from}, true
		}
	}
	return Fetch{}, false
}

// refetchesScarce reports whether this agent should fetch a piece from the
// origin although others hold it. The first in rank does so when the holders
// are few compared with the agents that lack the piece: their links would take
// longer than the origin's.
func (s *Scheduler) refetchesScarce(now time.Time, piece int, v view) bool {
	held := v.copiesInRegion(piece) + v.remoteCopies[piece]
	return held > 0 && held*scarceRatio <= len(v.incomplete) && s.mayFetchFromOrigin(now, piece) && s.originPosition(piece, v) == 0
}

// mayUseOrigin reports whether this agent may send a request to the origin now.
func (s *Scheduler) mayUseOrigin(now time.Time) bool {
	limit := maxInFlightFromOrigin
	if !s.originUsed {
		limit = 1
	}
	return s.inFlightFromOrigin < limit && !now.Before(s.backoffUntil[""])
}

// mayFetchFromOrigin reports whether this agent may request a piece from the origin now.
func (s *Scheduler) mayFetchFromOrigin(now time.Time, piece int) bool {
	return s.mayUseOrigin(now) && !now.Before(s.deferredUntil[piece])
}

// rarestInRegion returns the rarest piece of a random holder in the region.
func (s *Scheduler) rarestInRegion(now time.Time, v view) (Fetch, bool) {
	for _, k := range s.random.Perm(len(v.sameRegion)) {
		m := v.sameRegion[k]
		if s.inFlightByHolder[m.Name] >= maxInFlightPerHolder || now.Before(s.backoffUntil[m.Name]) {
			continue
		}
		rarest, copies := -1, 0
		first := s.random.IntN(s.pieces)
		for n := range s.pieces {
			piece := (first + n) % s.pieces
			if c := v.copiesInRegion(piece); HasPiece(m.Have, piece) && s.fetchable(piece) && (rarest < 0 || c < copies) {
				rarest, copies = piece, c
			}
		}
		if rarest >= 0 {
			return Fetch{rarest, Source{m.Name}}, true
		}
	}
	return Fetch{}, false
}

// view is the state of the members during one call.
type view struct {
	sameRegion, otherRegions []Member // the other agents
	incomplete               []string // names of all agents that lack pieces, including this one
	incompleteInRegion       []string // those of this region
	originFetchers           []string // those that fetch from the origin
	regionCopies             []int    // number of holders of each piece in this region
	remoteCopies             []int    // and in other regions
}

func (s *Scheduler) buildView(now time.Time, members []Member) view {
	v := view{incomplete: []string{s.name}, incompleteInRegion: []string{s.name}}
	for _, m := range members {
		if m.Name == s.name || now.Before(s.unreachableUntil[m.Name]) {
			continue
		}
		if m.Incomplete {
			v.incomplete = append(v.incomplete, m.Name)
			s.recordProgress(now, m)
		}
		if m.Region != s.region {
			v.otherRegions = append(v.otherRegions, m)
			continue
		}
		v.sameRegion = append(v.sameRegion, m)
		if m.Incomplete {
			v.incompleteInRegion = append(v.incompleteInRegion, m.Name)
		}
	}
	if s.originRanking.reset(v.incomplete, s.pieces) {
		s.originRanking.candidates = OriginFetchers(v.incomplete)
	}
	s.regionRanking.reset(v.incompleteInRegion, s.pieces)
	v.originFetchers = s.originRanking.candidates
	v.regionCopies, v.remoteCopies = s.copies(v.sameRegion), s.copies(v.otherRegions)
	return v
}

// copies returns how many of the members hold each piece.
func (s *Scheduler) copies(members []Member) []int {
	counts := make([]int, s.pieces)
	for _, m := range members {
		for n, word := range m.Have {
			for ; word != 0; word &= word - 1 {
				if piece := 64*n + bits.TrailingZeros64(word); piece < s.pieces {
					counts[piece]++
				}
			}
		}
	}
	return counts
}

// OriginFetchers returns, of the agents that lack a version, those that fetch
// it from the origin. They are also the first to need its manifest.
func OriginFetchers(incomplete []string) []string {
	ranked := takeover.Rank("origin", incomplete)
	return ranked[:min(originFetcherCount, len(ranked))]
}

func (v view) copiesInRegion(piece int) int { return v.regionCopies[piece] }

// source returns where a piece that no other agent of the region holds may be
// fetched from now.
func (s *Scheduler) source(now time.Time, piece int, v view) (Source, bool) {
	if v.remoteCopies[piece] == 0 {
		return Source{}, s.mayFetchFromOrigin(now, piece) && !now.Before(s.originTurn(piece, v))
	}
	since, seen := s.remoteSince[piece]
	if !seen {
		since = now
		s.remoteSince[piece] = now
	}
	position := s.regionRanking.position(piece, func() int { return takeover.Position(strconv.Itoa(piece), v.incompleteInRegion, s.name) })
	if now.Before(takeover.Turn(since, position, regionTurnInterval)) {
		return Source{}, false
	}
	holder, found := s.leastBusyHolder(now, piece, v.otherRegions)
	return Source{holder}, found
}

// progress is the largest number of pieces that a member reported, and when it
// was first seen.
type progress struct {
	pieces int
	at     time.Time
}

func (s *Scheduler) recordProgress(now time.Time, m Member) {
	pieces := CountPieces(m.Have)
	if last, ok := s.lastProgress[m.Name]; pieces > last.pieces || !ok {
		s.lastProgress[m.Name] = progress{pieces, now}
	}
}

// originTurn returns the moment from which this agent may fetch a piece from
// the origin. The turn of an agent with a higher rank starts again with every
// piece that it receives.
func (s *Scheduler) originTurn(piece int, v view) time.Time {
	position := s.originPosition(piece, v)
	turn := s.turnsFrom
	if position == 0 {
		return turn
	}
	for n, name := range s.originRanking.order(piece) {
		if n >= position {
			break
		}
		since := s.turnsFrom
		if at := s.lastProgress[name].at; at.After(since) {
			since = at
		}
		if at := takeover.Turn(since, position-n, originTurnInterval); at.After(turn) {
			turn = at
		}
	}
	return turn
}

// originPosition returns the number of agents that fetch a piece from the
// origin before this one.
func (s *Scheduler) originPosition(piece int, v view) int {
	return s.originRanking.position(piece, func() int {
		item := strconv.Itoa(piece)
		if slices.Contains(v.originFetchers, s.name) {
			return takeover.Position(item, v.originFetchers, s.name)
		}
		return len(v.originFetchers) + takeover.Position(item, v.incomplete, s.name)
	})
}

// leastBusyHolder returns the holder of a piece with the fewest fetches of this
// agent in flight, chosen at random among equals.
func (s *Scheduler) leastBusyHolder(now time.Time, piece int, members []Member) (string, bool) {
	best, least, ties := "", maxInFlightPerHolder, 0
	for _, m := range members {
		if !HasPiece(m.Have, piece) || now.Before(s.backoffUntil[m.Name]) {
			continue
		}
		inFlight := s.inFlightByHolder[m.Name]
		switch {
		case inFlight < least:
			best, least, ties = m.Name, inFlight, 1
		case inFlight == least && best != "":
			ties++
			if s.random.IntN(ties) == 0 {
				best = m.Name
			}
		}
	}
	return best, best != ""
}

// CountPieces returns the number of pieces in a bit set.
func CountPieces(set []uint64) int {
	count := 0
	for _, word := range set {
		count += bits.OnesCount64(word)
	}
	return count
}

// HasPiece reports whether a bit set contains piece n.
func HasPiece(set []uint64, n int) bool { return n/64 < len(set) && set[n/64]&(1<<(n%64)) != 0 }
