package piecesched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/piecesched"
)

const (
	pieces = 64
	// pieceTime is the transfer time of a piece over an agent's link of 7.6
	// Mbit/s, originPieceTime over the origin's link of 9.9 Mbit/s.
	pieceTime       = 35 * time.Millisecond
	originPieceTime = 27 * time.Millisecond
	tick            = 7 * time.Millisecond
	reportAge       = 200 * time.Millisecond // age of an agent's view of the others
	sameRegionAge   = 110 * time.Millisecond // age within a region whose agents report to the same gateway
	otherRegionAge  = 350 * time.Millisecond // and of other regions in that case
	deadMemberTime  = 2 * time.Second        // how long a dead agent stays listed as a member
)

// transfer is a fetch in flight.
type transfer struct {
	fetch     piecesched.Fetch
	receiver  *simAgent
	arrivesAt time.Time
}

// simAgent is a simulated agent.
type simAgent struct {
	name, region      string
	scheduler         *piecesched.Scheduler
	dead              bool
	diedAt            time.Time
	doneAt            time.Time
	uplinkBusyUntil   time.Time
	downlinkBusyUntil time.Time
	reported          [][]uint64 // piece sets visible to others, oldest first
}

// simulation distributes a version to agents that hold no pieces. Every link
// sends one piece at a time, and agents see each other's state with a delay of
// reportAge.
type simulation struct {
	t               *testing.T
	now             time.Time
	agents          []*simAgent
	transfers       []transfer
	originBusyUntil time.Time
	originPieces    int // pieces sent by the origin
	sameRegionAge   time.Duration
	otherRegionAge  time.Duration
	// limitDownlink makes an agent's link receive one piece at a time.
	limitDownlink              bool
	originDownAt               time.Time // the origin is down from then until originUpAt
	originUpAt                 time.Time
	crossRegionPieces          map[string]int // pieces fetched into each region from outside
	pieceTime, originPieceTime time.Duration
	slots                      int // concurrent fetches per agent
}

func newSimulation(t *testing.T, perRegion int) *simulation {
	return newSimulationIn(t, perRegion, "north", "south", "west")
}

func newSimulationIn(t *testing.T, perRegion int, regions ...string) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), crossRegionPieces: map[string]int{}, slots: 4, pieceTime: pieceTime, originPieceTime: originPieceTime, sameRegionAge: reportAge, otherRegionAge: reportAge}
	for _, region := range regions {
		for n := range perRegion {
			name := fmt.Sprintf("%s-%d", region, n)
			scheduler := piecesched.NewScheduler(name, region, pieces, s.now, rand.New(rand.NewPCG(uint64(len(s.agents)), 7)))
			s.agents = append(s.agents, &simAgent{name: name, region: region, scheduler: scheduler})
		}
	}
	return s
}

func (s *simulation) find(name string) *simAgent {
	for _, a := range s.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (s *simulation) members(of *simAgent) []piecesched.Member {
	var out []piecesched.Member
	for _, a := range s.agents {
		if a != of && (!a.dead || s.now.Sub(a.diedAt) < deadMemberTime) {
			age := s.otherRegionAge
			if a.region == of.region {
				age = s.sameRegionAge
			}
			have := a.reported[max(0, len(a.reported)-int(age/tick))]
			out = append(out, piecesched.Member{Name: a.name, Region: a.region, Have: have, Incomplete: !complete(have)})
		}
	}
	return out
}

func complete(have []uint64) bool { return len(have) > 0 && have[0] == ^uint64(0) }

func (s *simulation) originDown() bool {
	return !s.now.Before(s.originDownAt) && s.now.Before(s.originUpAt)
}

// step ends the transfers that are due and starts new ones.
func (s *simulation) step() {
	s.now = s.now.Add(tick)
	pending := s.transfers[:0]
	for _, tr := range s.transfers {
		if tr.arrivesAt.After(s.now) {
			pending = append(pending, tr)
			continue
		}
		s.finishTransfer(tr)
	}
	s.transfers = pending
	for _, a := range s.agents {
		a.reported = append(a.reported, a.scheduler.Have())
		if keep := int(otherRegionAge / tick); len(a.reported) > keep {
			a.reported = a.reported[len(a.reported)-keep:]
		}
	}
	for _, a := range s.agents {
		if a.dead || s.inFlight(a) >= s.slots {
			continue
		}
		members := s.members(a)
		for s.inFlight(a) < s.slots {
			f, ok := a.scheduler.Next(s.now, members)
			if !ok {
				break
			}
			s.startTransfer(a, f)
		}
	}
}

func (s *simulation) inFlight(a *simAgent) int {
	n := 0
	for _, tr := range s.transfers {
		if tr.receiver == a {
			n++
		}
	}
	return n
}

func (s *simulation) startTransfer(a *simAgent, f piecesched.Fetch) {
	busyUntil, period := &s.originBusyUntil, s.originPieceTime
	if f.Source.Holder != "" {
		holder := s.find(f.Source.Holder)
		busyUntil, period = &holder.uplinkBusyUntil, s.pieceTime
		if holder.dead {
			a.scheduler.FetchDone(s.now, f, piecesched.Failed)
			return
		}
		if busyUntil.Sub(s.now) > 2*s.pieceTime {
			a.scheduler.FetchDone(s.now, f, piecesched.Busy)
			return
		}
	} else if s.originDown() {
		a.scheduler.FetchDone(s.now, f, piecesched.Failed)
		return
	}
	start := s.now
	if busyUntil.After(start) {
		start = *busyUntil
	}
	*busyUntil = start.Add(period)
	arrives := start.Add(period)
	if earliest := a.downlinkBusyUntil.Add(s.pieceTime); s.limitDownlink && earliest.After(arrives) {
		arrives = earliest
	}
	a.downlinkBusyUntil = arrives
	s.transfers = append(s.transfers, transfer{f, a, arrives})
}

func (s *simulation) finishTransfer(tr transfer) {
	holder := s.find(tr.fetch.Source.Holder)
	if tr.receiver.dead || holder != nil && holder.dead || holder == nil && s.originDown() {
		tr.receiver.scheduler.FetchDone(s.now, tr.fetch, piecesched.Failed)
		return
	}
	tr.receiver.scheduler.FetchDone(s.now, tr.fetch, piecesched.Fetched)
	tr.receiver.scheduler.MarkHeld(tr.fetch.Piece)
	if holder == nil {
		s.originPieces++
	}
	if holder == nil || holder.region != tr.receiver.region {
		s.crossRegionPieces[tr.receiver.region]++
	}
	if tr.receiver.scheduler.Complete() && tr.receiver.doneAt.IsZero() {
		tr.receiver.doneAt = s.now
	}
}

// run steps until all live agents hold the version and returns the elapsed
// time.
func (s *simulation) run(limit time.Duration) time.Duration {
	start := s.now
	for s.now.Sub(start) < limit {
		s.step()
		incomplete := 0
		for _, a := range s.agents {
			if !a.dead && a.doneAt.IsZero() {
				incomplete++
			}
		}
		if incomplete == 0 {
			return s.now.Sub(start)
		}
	}
	s.t.Fatalf("some agents lack the version after %v", limit)
	return 0
}

// lowerBound is the least time in which a version can reach all agents: its
// transfer time over one agent's link.
const lowerBound = pieces * pieceTime

// All engines are empty, as after a power loss everywhere.
func TestEmptyAgentsFetchOneOriginCopyWithinTwiceTheBound(t *testing.T) {
	for _, perRegion := range []int{2, 6, 8} {
		s := newSimulation(t, perRegion)
		took := s.run(10 * time.Second)
		t.Logf("%d agents: %v, %.2f of the bound, %d pieces from the origin, into regions %v", 3*perRegion, took, float64(took)/float64(lowerBound), s.originPieces, s.crossRegionPieces)
		require.LessOrEqual(t, took, 2*lowerBound)
		require.LessOrEqual(t, s.originPieces, pieces*5/4, "the origin sends one copy, or little more")
	}
}

// All engines of five regions are empty. The number of holders of a piece
// doubles with each piece transfer time, so six times as many agents must not
// take much longer.
func TestSixTimesTheAgentsTakeAtMostAQuarterLonger(t *testing.T) {
	took := map[int]time.Duration{}
	for _, perRegion := range []int{4, 24} {
		s := newSimulationIn(t, perRegion, "delta", "piedmont", "gulf", "bluegrass", "ozark")
		s.sameRegionAge, s.otherRegionAge, s.limitDownlink = sameRegionAge, otherRegionAge, true
		took[perRegion] = s.run(10 * time.Second)
		t.Logf("%d agents: %v, %d pieces from the origin, into regions %v", 5*perRegion, took[perRegion], s.originPieces, s.crossRegionPieces)
		require.LessOrEqual(t, s.originPieces, pieces*5/4)
		for region, count := range s.crossRegionPieces {
			require.LessOrEqual(t, count, 2*pieces, region)
		}
	}
	require.LessOrEqual(t, float64(took[24]), 1.25*float64(took[4]))
}

// All agents hold the version within 1.25 times the lower bound.
func TestAllEnginesWithinAQuarterOfTheBound(t *testing.T) {
	s := newSimulation(t, 6)
	s.sameRegionAge, s.otherRegionAge, s.limitDownlink = sameRegionAge, otherRegionAge, true
	require.LessOrEqual(t, s.run(10*time.Second), lowerBound*5/4)
}

// A copy takes long to leave the origin, as its link is slow. Agents of later
// ranks must see the first ones progress and not fetch the same pieces again,
// which would delay all agents.
func TestSlowOriginSendsEachPieceAboutOnce(t *testing.T) {
	for _, perRegion := range []int{4, 8} {
		s := newSimulation(t, perRegion)
		s.originPieceTime, s.pieceTime = 60*time.Millisecond, 60*time.Millisecond
		took := s.run(20 * time.Second)
		t.Logf("%d agents: %v, %d pieces from the origin", 3*perRegion, took, s.originPieces)
		require.LessOrEqual(t, s.originPieces, pieces*21/20)
	}
}

// Engines are added while half of the agents hold the version.
func TestAddedAgentsFetchFromTheirRegionOnly(t *testing.T) {
	s := newSimulation(t, 6)
	for n, a := range s.agents {
		if n%2 == 0 {
			for piece := range pieces {
				a.scheduler.MarkHeld(piece)
			}
			a.doneAt = s.now
		}
	}
	took := s.run(10 * time.Second)
	require.LessOrEqual(t, took, 2*lowerBound)
	require.Zero(t, s.originPieces, "no piece comes from the origin")
	require.Empty(t, s.crossRegionPieces, "no piece crosses between regions")
}

// All engines are empty. Pieces that the origin sends concurrently share its
// link, so with many in flight no agent could pass one on until nearly all had
// left the origin.
func TestFewPiecesInFlightFromOriginAtStart(t *testing.T) {
	s := newSimulation(t, 7)
	s.step()
	fromOrigin := 0
	for _, tr := range s.transfers {
		if tr.fetch.Source.Holder == "" {
			fromOrigin++
		}
	}
	require.NotZero(t, fromOrigin)
	require.LessOrEqual(t, time.Duration(fromOrigin)*originPieceTime, 250*time.Millisecond)
}

// All engines but one lose their weights. The link of that agent is slower than
// the origin's, and would delay all agents if it were the only source.
func TestOriginSupplementsASingleHolder(t *testing.T) {
	for _, perRegion := range []int{4, 7} {
		s := newSimulation(t, perRegion)
		for piece := range pieces {
			s.agents[0].scheduler.MarkHeld(piece)
		}
		s.agents[0].doneAt = s.now
		took := s.run(10 * time.Second)
		t.Logf("%d agents: %v, %.2f of the bound, %d pieces from the origin", 3*perRegion, took, float64(took)/float64(lowerBound), s.originPieces)
		require.LessOrEqual(t, took, lowerBound*3/2)
		require.LessOrEqual(t, s.originPieces, pieces, "the origin sends at most one copy")
	}
}

// Agents die while the version is being distributed.
func TestRemainingAgentsFinishAfterOthersDie(t *testing.T) {
	s := newSimulation(t, 6)
	for range 100 {
		s.step()
	}
	s.kill(0, 7, 14)
	s.run(12 * time.Second)
}

// kill ends agents. They stay listed as members for deadMemberTime.
func (s *simulation) kill(agents ...int) {
	for _, n := range agents {
		s.agents[n].dead, s.agents[n].diedAt = true, s.now
	}
}

// Agents die half a second after a version was announced, with pieces that no
// other agent has, and the origin goes down two seconds later. The pieces must
// be fetched again before that.
func TestPiecesLostWithTheirHoldersAreRefetchedBeforeOriginOutage(t *testing.T) {
	for _, perRegion := range []int{4, 7} {
		s := newSimulation(t, perRegion)
		s.originDownAt = s.now.Add(2500 * time.Millisecond)
		s.originUpAt = s.originDownAt.Add(6 * time.Second)
		for range int(500 * time.Millisecond / tick) {
			s.step()
		}
		s.kill(0, perRegion)
		require.LessOrEqual(t, s.run(12*time.Second), 5*time.Second)
	}
}

// The origin goes down 2.5 s after a version was announced.
func TestFullCopyIsFetchedBeforeOriginOutage(t *testing.T) {
	s := newSimulation(t, 7)
	s.originDownAt = s.now.Add(2500 * time.Millisecond)
	s.originUpAt = s.originDownAt.Add(6 * time.Second)
	require.LessOrEqual(t, s.run(12*time.Second), 5*time.Second)
}

// The origin is down when a version is announced, for longer than the turns of
// later ranks. The turns then start again, so that pieces are not fetched many
// times when it returns.
func TestOriginIsUsedAgainAfterOutage(t *testing.T) {
	for _, outage := range []time.Duration{3 * time.Second, 6 * time.Second} {
		s := newSimulation(t, 4)
		s.originDownAt, s.originUpAt = s.now, s.now.Add(outage)
		took := s.run(12 * time.Second)
		t.Logf("complete %v after the origin returned, %d pieces from the origin", took-outage, s.originPieces)
		require.LessOrEqual(t, took, outage+2*lowerBound)
		require.LessOrEqual(t, s.originPieces, pieces*3/2)
	}
}

func TestLostPieceIsFetchedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	s := piecesched.NewScheduler("a", "north", 1, now, rand.New(rand.NewPCG(1, 1)))
	s.MarkHeld(0)
	require.True(t, s.Complete())
	s.MarkLost(0)
	f, ok := s.Next(now, nil)
	require.True(t, ok)
	require.Equal(t, piecesched.Source{}, f.Source)
}

func TestEnginesSwitchAtDistinctTimes(t *testing.T) {
	announced := time.Unix(1000, 0)
	deadline := announced.Add(8 * time.Second)
	var names []string
	for n := range 20 {
		names = append(names, fmt.Sprint("engine-", n))
	}
	times := map[time.Time]bool{}
	for _, name := range names {
		at := piecesched.SwitchTime(name, 2, names, announced, deadline, announced)
		require.False(t, at.Before(announced))
		require.True(t, at.Before(deadline.Add(-500*time.Millisecond)), "time for the load remains")
		require.False(t, times[at], "no two engines switch at once")
		times[at] = true
	}
}

// A version arrives at all engines when most turns have passed, for instance because
// the origin was slow. The engines must not switch at once, as nothing would serve
// meanwhile.
func TestEnginesWithLateVersionSwitchAtDistinctTimes(t *testing.T) {
	announced := time.Unix(1000, 0)
	deadline := announced.Add(8 * time.Second)
	earliest := announced.Add(6 * time.Second)
	names := []string{"a", "b", "c", "d", "e"}
	var times []time.Time
	for _, name := range names {
		at := piecesched.SwitchTime(name, 2, names, announced, deadline, earliest)
		require.False(t, at.Before(earliest))
		require.True(t, at.Before(deadline.Add(-500*time.Millisecond)), "time for the load remains")
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	for n := range times[1:] {
		require.GreaterOrEqual(t, times[n+1].Sub(times[n]), 200*time.Millisecond)
	}
	late := deadline.Add(-100 * time.Millisecond)
	require.Equal(t, late, piecesched.SwitchTime("a", 2, names, announced, deadline, late), "no time is left to divide")
}
