// Package schedule decides which request starts when and on which backend
// server, which one waits, and which one is refused and until when.
//
// A Pool is a gateway's part of one service. Its methods are steps: each takes
// the time and an event, changes the pool and returns what became of requests.
// Nothing here waits, reads a clock or touches a network, so tests play loads
// against it at any speed.
package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/outcome"
)

// Server is a backend server that the pool may send to.
type Server struct {
	ID      string
	Address string // IP:port
	Region  string
	Slots   int   // requests that it runs at once
	Born    int64 // Unix milliseconds of its start; 0: not said
	Version int64 // of the weights that it serves; 0 for a plain service
	Ready   bool  // it takes new requests
}

// Ask is a request for a place on a backend server.
type Ask struct {
	ID         int64
	Priority   int     // 0 goes first
	Returning  bool    // a server failed it
	Resumed    bool    // its answer has begun
	PromptMS   float64 // milliseconds that a server reads its prompt
	LeastMS    float64 // milliseconds that a server takes besides, if it has little to do
	ArrivedAt  time.Time
	AnswerBy   time.Time // its target
	GiveUpAt   time.Time // no use to the caller after this
	MinVersion int64
	Avoid      []string // servers that have failed it
}

// Verdict is what becomes of an Ask: Start, Wait or Refuse.
type Verdict interface{ verdict() }

// Start sends the request to Server.
type Start struct{ Server Server }

// Wait keeps the request until a later verdict.
type Wait struct{}

// Refuse ends the request, which has not run.
type Refuse struct {
	Reason  outcome.Reason
	RetryAt time.Time
}

func (Start) verdict()  {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Settled is the verdict on an Ask that waited.
type Settled struct {
	ID      int64
	Verdict Verdict
}

// Options of a pool.
type Options struct {
	Region string  // of the gateway
	Extra  int     // requests beyond its slots that a server is sent, to hide the way there
	Local  float64 // load, as a share of a server's slots, for which a request leaves its region
}

// Pool is not safe for concurrent use.
type Pool struct {
	options   Options
	servers   map[string]*server
	order     []*server
	waiting   []Ask
	finished  window
	promised  time.Time
	firsts    firsts
	shares    map[string]float64 // of what runs in a region: this gateway's
	departing departures
}

type server struct {
	Server
	own       int     // requests that this gateway has there
	others    int     // requests that other gateways said they have there
	reading   float64 // milliseconds of prompts that have not answered yet
	failures  int     // in a row
	resumesAt time.Time

	departs    bool      // it said that it is about to end
	restsUntil time.Time // it said that it wants no requests until then
}

// NewPool returns a pool without servers.
func NewPool(o Options) *Pool {
	return &Pool{options: o, servers: map[string]*server{}, shares: map[string]float64{}, departing: departures{}}
}

// SetServers replaces the list of servers. What runs on a server that leaves
// the list is still counted until it ends.
func (p *Pool) SetServers(now time.Time, list []Server) []Settled {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		held, ok := p.servers[s.ID]
		if !ok {
			held = &server{}
			p.servers[s.ID] = held
		}
		if held.Version != s.Version {
			held.failures, held.resumesAt = 0, time.Time{}
		}
		if s.Born > held.Born {
			held.restsUntil = time.Time{}
		}
		held.Server = s
		held.departs = p.departing.covers(s)
	}
	p.departing.prune(now, listed)
	for id, s := range p.servers {
		if !listed[id] {
			s.Ready = false
			if s.own == 0 {
				delete(p.servers, id)
			}
		}
	}
	p.sort()
	return p.pump(now)
}

func (p *Pool) sort() {
	p.order = p.order[:0]
	for _, s := range p.servers {
		p.order = append(p.order, s)
	}
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// SetOthers takes what other gateways have running, by server.
func (p *Pool) SetOthers(now time.Time, running map[string]int) []Settled {
	own, all := map[string]float64{}, map[string]float64{}
	for id, s := range p.servers {
		s.others = running[id]
		own[s.Region] += float64(s.own)
		all[s.Region] += float64(s.own + s.others)
	}
	for region, total := range all {
		if total >= fewRunning {
			p.shares[region] += shareWeight * (own[region]/total - p.share(region))
		}
	}
	return p.pump(now)
}

const (
	// shareWeight is how fast a gateway's share of a region follows what runs:
	// over about ten steps, two rounds of what the gateways tell each other.
	shareWeight = 0.1
	// fewRunning requests in a region say little of who sends how many.
	fewRunning = 8
	// leastShare lets a gateway that had nothing to send begin.
	leastShare = 0.1
)

// share is this gateway's share of what runs in a region; 1 until it is known.
func (p *Pool) share(region string) float64 {
	held, ok := p.shares[region]
	if !ok {
		p.shares[region] = 1
		return 1
	}
	return max(leastShare, held)
}

// running estimates how many requests a server has. What others say is as old
// as a round of the exchange, in which all gateways may have found the same
// server idle; so this gateway's own part is taken to be its usual share.
func (p *Pool) running(s *server) float64 {
	return max(float64(s.own+s.others), float64(s.own)/p.share(s.Region))
}

// Running returns what this gateway has running, by server.
func (p *Pool) Running(into map[string]int) {
	for id, s := range p.servers {
		if s.own > 0 {
			into[id] += s.own
		}
	}
}

// Waiting returns the number of requests that wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Arrive takes a new request, or one whose server did not run or finish it. It
// returns the verdict on it, and on others that waited: what kept them from a
// place may have passed since the last step.
func (p *Pool) Arrive(now time.Time, a Ask) (Verdict, []Settled) {
	if len(p.waiting) == 0 || a.Resumed {
		if s := p.choose(now, a); s != nil {
			return p.start(s, a), nil
		}
	}
	if !p.usable(a) {
		return p.noReplica(now, a), nil
	}
	if v, hopeless := p.hopeless(now, a); hopeless {
		return v, nil
	}
	p.waiting = append(p.waiting, a)
	verdict := Verdict(Wait{})
	others := slices.DeleteFunc(p.pump(now), func(s Settled) bool {
		if s.ID != a.ID {
			return false
		}
		verdict = s.Verdict
		return true
	})
	return verdict, others
}

// Withdraw removes a request that waits, since its caller left.
func (p *Pool) Withdraw(id int64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(a Ask) bool { return a.ID == id })
}

// Answered says that a server began to answer a request, milliseconds after it
// was sent.
func (p *Pool) Answered(id string, milliseconds, promptMS float64) {
	p.firsts.add(milliseconds - promptMS)
	if s, ok := p.servers[id]; ok {
		s.reading = max(0, s.reading-promptMS)
		s.failures, s.resumesAt = 0, time.Time{}
	}
}

// UsualMS is the milliseconds within which most answers begin, the reading of
// their prompts aside.
func (p *Pool) UsualMS() float64 { return p.firsts.usual() }

// End is how a request left its server.
type End int

// Ends of a request at a server.
const (
	Finished    End = iota
	Left            // the caller went away, or the time was up
	Unreachable     // no connection
	Rejected        // the server said that it did not run it
	Broken          // no whole answer
	Silent          // no answer in time
)

// Ended says that a request left a server. promptMS is 0 if it had answered.
func (p *Pool) Ended(now time.Time, id string, end End, promptMS float64) []Settled {
	s, ok := p.servers[id]
	if !ok {
		return nil
	}
	s.own--
	s.reading = max(0, s.reading-promptMS)
	switch end {
	case Finished, Left:
		p.finished.add(now)
	case Unreachable, Rejected, Broken, Silent:
		s.suspend(now, end)
	}
	if s.own == 0 && !s.Ready {
		p.forget(id)
	}
	return p.pump(now)
}

// forget drops a server that left the list, unless it only pauses.
func (p *Pool) forget(id string) {
	if p.servers[id].Slots > 0 {
		return
	}
	delete(p.servers, id)
	p.sort()
}

const (
	// firstSuspension is one round trip between regions and a retry's pause.
	firstSuspension = 100 * time.Millisecond
	// longestSuspension keeps a server that is back from idling long.
	longestSuspension = 1500 * time.Millisecond
	rejectSuspension  = 40 * time.Millisecond
	suspendFrom       = 2 // failures in a row of a server that answers some
)

func (s *server) suspend(now time.Time, end End) {
	s.failures++
	pause := firstSuspension
	switch end {
	case Rejected:
		pause = rejectSuspension
	case Broken:
		if s.failures < suspendFrom {
			return
		}
	}
	for range min(s.failures-1, 5) {
		pause *= 2
	}
	s.resumesAt = now.Add(min(pause, longestSuspension))
}

// Tick settles what has waited long enough.
func (p *Pool) Tick(now time.Time) []Settled {
	var out []Settled
	p.waiting = slices.DeleteFunc(p.waiting, func(a Ask) bool {
		if now.Before(p.patience(a)) && !p.allRest(now, a) {
			return false
		}
		out = append(out, Settled{a.ID, p.Turn(now, outcome.WaitTooLong, a)})
		return true
	})
	return append(out, p.pump(now)...)
}

const (
	// minPatience is the least time that a request may wait for a place: two
	// rounds of what the gateways tell each other.
	minPatience = 60 * time.Millisecond
	// returningPatience is how long a request may wait that a server failed.
	returningPatience = 1200 * time.Millisecond
)

// startBy is the moment from which on the answer would miss its target.
func (p *Pool) startBy(a Ask) time.Time {
	milliseconds := max(a.LeastMS, p.firsts.usual()) + a.PromptMS
	return a.AnswerBy.Add(-time.Duration(milliseconds * float64(time.Millisecond)))
}

// patience is the moment until which a request may wait.
func (p *Pool) patience(a Ask) time.Time {
	until := p.startBy(a)
	if least := a.ArrivedAt.Add(minPatience); until.Before(least) {
		until = least
	}
	if a.Returning || a.Resumed {
		if longer := a.ArrivedAt.Add(returningPatience); until.Before(longer) {
			until = longer
		}
	}
	if a.GiveUpAt.Before(until) {
		until = a.GiveUpAt
	}
	return until
}

// hopeless refuses a request whose wait would outlast its patience.
func (p *Pool) hopeless(now time.Time, a Ask) (Verdict, bool) {
	ahead := 0
	for _, o := range p.waiting {
		if order(now, o, a) < 0 {
			ahead++
		}
	}
	rate := p.finished.perSecond(now)
	if rate <= 0 || ahead < minQueue {
		return nil, false
	}
	wait := time.Duration(float64(ahead+1) / rate * float64(time.Second))
	if now.Add(wait).After(p.patience(a)) {
		return p.refuse(now, outcome.QueueFull, 0), true
	}
	return nil, false
}

// minQueue is the number of requests that may wait whatever the estimate says.
const minQueue = 2

const (
	noServerDelay = 300 * time.Millisecond
	shortestRetry = 250 * time.Millisecond
	longestRetry  = 1900 * time.Millisecond // callers wait a third of their 6 s at most
)

// refuse names a time to come back at: one after the other at the rate at which
// places come free, so that callers do not return together.
func (p *Pool) refuse(now time.Time, reason outcome.Reason, least time.Duration) Refuse {
	rate := max(p.finished.perSecond(now), 1)
	at := now.Add(max(least, shortestRetry))
	if p.promised.After(at) {
		at = p.promised
	}
	if latest := now.Add(longestRetry); at.After(latest) {
		at = latest
	}
	p.promised = at.Add(time.Duration(float64(time.Second) / rate))
	return Refuse{Reason: reason, RetryAt: at}
}

// pump starts what waits while there is room. A late request that finds none
// does not hold up those behind it, which may use places that it may not.
func (p *Pool) pump(now time.Time) []Settled {
	if len(p.waiting) == 0 {
		return nil
	}
	slices.SortFunc(p.waiting, func(a, b Ask) int { return order(now, a, b) })
	var out []Settled
	full := false
	p.waiting = slices.DeleteFunc(p.waiting, func(a Ask) bool {
		if full {
			return false
		}
		s := p.choose(now, a)
		if s == nil {
			full = !a.late(now)
			return false
		}
		out = append(out, Settled{a.ID, p.start(s, a)})
		return true
	})
	return out
}

// late reports whether the request's target has passed.
func (a Ask) late(now time.Time) bool { return now.After(a.AnswerBy) }

// order is the order of what waits: begun answers, then those that a server failed,
// then by priority, those whose target has not passed, and by target. A caller
// that was refused before is behind new ones where places are scarce: with the
// order turned round, all would be late.
func order(now time.Time, a, b Ask) int {
	rank := func(x Ask) int {
		switch {
		case x.Resumed:
			return 0
		case x.Returning:
			return 1
		}
		return 2
	}
	late := func(x Ask) int {
		if x.late(now) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(late(a), late(b)), a.AnswerBy.Compare(b.AnswerBy), cmp.Compare(a.ID, b.ID))
}

func (p *Pool) start(s *server, a Ask) Start {
	s.own++
	s.reading += a.PromptMS
	return Start{Server: s.Server}
}

// readingWeight turns milliseconds of prompts ahead into a share of a server's load.
const readingWeight = 1.0 / 400

// choose returns the server that would answer first, or nil while all are full.
func (p *Pool) choose(now time.Time, a Ask) *server {
	var best *server
	least := math.Inf(1)
	newest := p.newest()
	for _, s := range p.order {
		if !s.takes(now, a) || p.full(now, s, a) {
			continue
		}
		load := p.running(s)/float64(max(1, s.Slots)) + s.reading/p.share(s.Region)*readingWeight
		if s.Region != p.options.Region {
			load += p.options.Local
		}
		if a.Resumed && s.Version < newest {
			load += olderLoad
		}
		if slices.Contains(a.Avoid, s.ID) {
			load += avoidLoad
		}
		if load < least {
			best, least = s, load
		}
	}
	return best
}

// full reports whether a server has no place for the request now. A gateway may
// always have one request there, and one more than its share.
func (p *Pool) full(now time.Time, s *server, a Ask) bool {
	most := float64(s.Slots + p.options.Extra)
	if a.late(now) && !a.Resumed && !a.Returning {
		most = lateShare * float64(s.Slots)
	}
	if float64(s.own+s.others) >= most || s.reading > 0 && s.reading/p.share(s.Region) > mostReading {
		return true
	}
	return s.own > 0 && float64(s.own) >= most*p.share(s.Region)+1
}

// mostReading is the milliseconds of prompts that a server may have ahead: with
// its passes, still within the users' shortest target.
const mostReading = 150

// lateShare of a server's places may be taken by requests whose target has
// passed; the rest is for those that can be served in time.
const lateShare = 0.75

// olderLoad keeps an answer that was cut off once from a server that is about
// to change its weights too.
const olderLoad = 0.35

// newest is the newest version that any server has.
func (p *Pool) newest() int64 {
	version := int64(0)
	for _, s := range p.order {
		version = max(version, s.Version)
	}
	return version
}

// avoidLoad makes a server that has failed the request the last choice.
const avoidLoad = 10

// serves reports whether the server could run the request, unless it rests.
func (s *server) serves(a Ask) bool {
	return s.Ready && !s.departs && s.Version >= a.MinVersion
}

// takes reports whether the server may get the request now. One that failed is
// tried with a single request after its suspension.
func (s *server) takes(now time.Time, a Ask) bool {
	if !s.serves(a) || now.Before(s.resumesAt) || now.Before(s.restsUntil) {
		return false
	}
	return s.resumesAt.IsZero() || s.own == 0
}

// window counts events of the last second or two.
type window struct {
	openedAt time.Time
	last     float64 // of the second before
	count    float64
}

func (w *window) roll(now time.Time) {
	switch elapsed := now.Sub(w.openedAt); {
	case elapsed >= 2*time.Second:
		w.openedAt, w.last, w.count = now, 0, 0
	case elapsed >= time.Second:
		w.openedAt, w.last, w.count = w.openedAt.Add(time.Second), w.count, 0
	}
}

func (w *window) add(now time.Time) {
	w.roll(now)
	w.count++
}

// perSecond weighs the second before by what of it lies within one second.
func (w *window) perSecond(now time.Time) float64 {
	w.roll(now)
	return w.count + w.last*(1-now.Sub(w.openedAt).Seconds())
}

// noReplica refuses a request that no server could run while it may wait.
func (p *Pool) noReplica(now time.Time, a Ask) Refuse {
	return p.refuse(now, outcome.NoReplica, noServerDelay).notBefore(p.returnsAt(now, a))
}

// Turn refuses a request that no server took, with a time to come back at.
func (p *Pool) Turn(now time.Time, reason outcome.Reason, a Ask) Refuse {
	return p.refuse(now, reason, 0).notBefore(p.returnsAt(now, a))
}
