// Package schedule decides for each request at a gateway whether it starts on a
// backend server, waits in a queue, or is refused with a retry time. A Pool
// schedules the requests of one service: its methods take the current time and an
// event and return the resulting decisions. The package does not block, read a
// clock or use the network, so tests can simulate any load.
package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/coldstart"
	"almondreel.example/almondreel/internal/enginemodel"
	"almondreel.example/almondreel/internal/outcome"
)

// Server is a backend server that the pool may send requests to.
type Server struct {
	ID          string
	Address     string // IP:port
	Region      string
	Slots       int       // requests that it runs concurrently
	StartUnixMS int64     // time of its start; 0: unknown
	Version     int64     // of the weights that it serves; 0 for a service without a model
	ServesUntil time.Time // no request may start on Version from then on; zero: no limit
	Ready       bool      // accepts new requests
	Evacuated   bool      // its data centre is evacuated: it gets no requests

	ColdUntil     time.Time // it is cold until then; zero: it is not
	ColdPerSecond float64   // requests that it accepts from all gateways while it is cold; 0: any number
}

// Request is a request to be scheduled on a backend server.
type Request struct {
	ID            int64
	Priority      int     // lower values go first
	RoutePriority int     // decides among equal priorities with exact shares; lower values go first
	Organisation  string  // of the caller; empty: unknown
	Retried       bool    // an earlier attempt failed on a server
	Resumed       bool    // part of its response was already sent to the caller
	Requeued      bool    // a slot that it was granted was given back before it was sent
	PromptMS      float64 // milliseconds that a server needs to process the prompt
	BaseLatencyMS float64 // milliseconds until the response starts on an idle server, excluding PromptMS
	ArrivedAt     time.Time
	AnswerBy      time.Time // latency target: the response should start by then
	Deadline      time.Time // the caller does not wait longer; zero: unknown
	AnswerMS      float64   // milliseconds until its response is complete, at the most; 0: part was sent already
	Generates     bool      // runs on a model version, which may expire
	Rejected      []string  // IDs of servers that did not run it
	Failed        []string  // IDs of servers that may have run it and did not complete it
	Prompt        enginemodel.Prompt
	Figures       enginemodel.Figures // of the service's engines; not Known: no estimates are made
	Regions       []string            // that may run it, if Bound
	Bound         bool                // only Regions may run it; none if there are none

	submittedAt time.Time // set by Submit
	rank        int       // among requests of equal priority; set by Submit and rankQueue
	starved     bool      // its organisation is; set by Submit and rankQueue
	bySlack     bool      // set by Submit: queued by the latest time to start, not by target
}

// Decision is the result of scheduling a Request: Start, Wait or Refuse.
type Decision interface{ decision() }

// Start means that the request is to be sent to Server.
type Start struct {
	Server     Server
	ExpectedMS float64   // estimated milliseconds from sending the request until its response starts; 0: no estimate
	SendBy     time.Time // the request must be on its way by then, or not be sent; zero: any time
}

// Late reports whether the request must not be sent any more.
func (s Start) Late(now time.Time) bool { return !s.SendBy.IsZero() && now.After(s.SendBy) }

// Wait means that the request is queued. A later Resolved carries the decision.
type Wait struct{}

// Refuse means that the request is not run. The caller may retry it at RetryAt.
type Refuse struct {
	Reason  outcome.Reason
	RetryAt time.Time
}

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Resolved is the decision on a queued request.
type Resolved struct {
	ID       int64
	Decision Decision
}

// Options configure a pool.
type Options struct {
	Region        string  // region of the gateway
	ExtraSlots    int     // requests sent to a server beyond its slots, to hide network latency
	RemotePenalty float64 // added to the load of servers in other regions, as a fraction of their slots
	ExactShares   bool    // the slots of engines are divided among the gateways
	Estimates     bool    // servers are chosen by estimates from the figures of their engines

	ColdStart coldstart.Options // of cold servers
}

// Pool schedules the requests of one service. It is not safe for concurrent use.
type Pool struct {
	options      Options
	servers      map[string]*server
	order        []*server // sorted by ID
	listed       int       // servers in the last list
	queue        []Request
	completions  rateWindow
	nextRetryAt  time.Time // earliest retry time of the next refusal
	startLatency latencyEstimate
	shares       map[string]float64 // by region: fraction of the running requests that this gateway sent
	departing    departures
	endsAt       time.Time // when this gateway ends what still runs; zero: it is not stopping
	ownName      string    // of this gateway
	gateways     []string  // that share rate limits
	sharers      []string  // gateways among which the slots of engines are divided
	starvation   starvation
	shortage     ShortageCounts // since TakeShortageCounts
	estimates    estimates
	regions      map[string]*regionRates
	evacuation   bool // a listed server is evacuated
	cold         *coldstart.Limiter
	startsUntil  time.Time // no request may start later, as the servers may be out of date; zero: no limit
}

type server struct {
	Server
	ownRunning      int       // running requests of this gateway
	otherRunning    int       // running requests that other gateways reported
	pendingPromptMS float64   // milliseconds of prompts whose responses have not started
	failures        int       // consecutive
	backoffUntil    time.Time // zero after a response has started
	slowStart       SlowStart // the slowest recent one

	departing   bool      // the server announced its shutdown
	misdirected bool      // another server answered at its address
	superseded  bool      // a later start has its address
	busyUntil   time.Time // the server asked for no requests until then

	slotShare slotShare

	rateLimit    RateLimit
	share        limitShare
	limitedSince time.Time // when the server first stated a rate limit
	nextSendAt   time.Time // when its rate limit allows this gateway's next request, on average

	work       ownWork
	preference float64           // 0: not computed yet
	cold       *coldstart.Engine // nil: cold servers are not limited
}

// NewPool returns a pool without servers.
func NewPool(o Options) *Pool {
	p := &Pool{options: o, servers: map[string]*server{}, shares: map[string]float64{}, departing: departures{}, regions: map[string]*regionRates{}, cold: coldstart.NewLimiter(o.ColdStart)}
	p.enableEstimates()
	return p
}

// SetServers replaces the list of servers. Requests that run on a server that is
// no longer listed are counted until they end.
func (p *Pool) SetServers(now time.Time, list []Server) []Resolved {
	p.listed, p.evacuation = len(list), hasEvacuated(list)
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		existing, ok := p.servers[s.ID]
		if !ok {
			existing = &server{}
			p.servers[s.ID] = existing
		}
		if existing.Version != s.Version {
			existing.failures, existing.backoffUntil = 0, time.Time{}
		}
		if s.StartUnixMS > existing.StartUnixMS {
			existing.busyUntil, existing.rateLimit = time.Time{}, RateLimit{}
		}
		if s.StartUnixMS != existing.StartUnixMS || s.Address != existing.Address {
			existing.failures, existing.backoffUntil, existing.misdirected = 0, time.Time{}, false
		}
		existing.Server = s
		existing.departing = p.departing.covers(s)
		p.setCold(now, existing)
	}
	p.departing.prune(now, listed)
	p.cold.Prune(now, listed)
	for id, s := range p.servers {
		if !listed[id] {
			s.Ready = false
			if s.ownRunning == 0 {
				delete(p.servers, id)
			}
		}
	}
	p.sortServers()
	p.markSuperseded()
	return p.dispatch(now)
}

func (p *Pool) sortServers() {
	p.order = p.order[:0]
	for _, s := range p.servers {
		p.order = append(p.order, s)
	}
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// SetOtherLoad sets the number of requests that other gateways have running, by
// server ID.
func (p *Pool) SetOtherLoad(now time.Time, running map[string]int) []Resolved {
	own, totals := map[string]float64{}, map[string]float64{}
	for id, s := range p.servers {
		s.otherRunning = running[id]
		own[s.Region] += float64(s.ownRunning)
		totals[s.Region] += float64(s.ownRunning + s.otherRunning)
	}
	for region, total := range totals {
		if total >= minRunningForShare || total > 0 && p.waitsForShare() {
			p.shares[region] += shareWeight * (own[region]/total - p.share(region))
		}
	}
	return p.dispatch(now)
}

const (
	// shareWeight smooths a gateway's share of a region over about ten updates,
	// which is two gossip rounds.
	shareWeight = 0.1
	// minRunningForShare is the number of running requests in a region below
	// which the share is not updated: fewer are not representative.
	minRunningForShare = 8
	// minShare lets a gateway start sending again after a time without requests.
	minShare = 0.1
)

// share returns the fraction of a region's running requests that this gateway
// sent. Until it is known, it is 1, or with exact shares the same for all gateways.
func (p *Pool) share(region string) float64 {
	share, ok := p.shares[region]
	if !ok {
		share = 1
		if p.exactShares() {
			share = 1 / float64(max(1, len(p.sharers)))
		}
		p.shares[region] = share
	}
	return max(minShare, share)
}

// estimateRunning estimates how many requests a server has running. The counts of
// other gateways are up to one gossip round old, and during a round all gateways
// may pick the same idle server. The estimate therefore assumes that this
// gateway's requests are at most its usual share of the total.
func (p *Pool) estimateRunning(s *server) float64 {
	return max(float64(s.ownRunning+s.otherRunning), float64(s.ownRunning)/p.share(s.Region))
}

// AddRunning adds the number of requests that this gateway has running to running,
// by server ID.
func (p *Pool) AddRunning(running map[string]int) {
	for id, s := range p.servers {
		if s.ownRunning > 0 {
			running[id] += s.ownRunning
		}
	}
}

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return len(p.queue) }

// Submit schedules a new request, or one that its server did not run or finish. It
// returns the decision on the request and on queued requests that can start now,
// for instance because a backoff has ended since the last call.
func (p *Pool) Submit(now time.Time, r Request) (Decision, []Resolved) {
	if p.endsBeforeAnswer(now, r) {
		return refuseStopping(now), nil
	}
	if reason, ok := p.excluded(r); ok {
		return refuseExcluded(now, r, reason), nil
	}
	r.submittedAt, r.bySlack = now, p.estimated(r)
	p.countForRank(now, r, false)
	r = p.ranked(now, r)
	p.countDeferred(now, r)
	if len(p.queue) == 0 || r.Resumed {
		if s := p.chooseServer(now, r); s != nil {
			return p.start(now, s, r), nil
		}
	}
	if !r.Resumed { // only the end of its wait is a reason to cut a response
		if !p.canServe(now, r) {
			return p.refuseNoReplica(now, r), nil
		}
		if d, refused := p.checkQueueWait(now, r); refused {
			return d, nil
		}
	}
	p.queue = append(p.queue, r)
	decision := Decision(Wait{})
	others := slices.DeleteFunc(p.dispatch(now), func(s Resolved) bool {
		if s.ID != r.ID {
			return false
		}
		decision = s.Decision
		return true
	})
	if _, waits := decision.(Wait); waits {
		p.countShareWait(now, r)
	}
	return decision, others
}

// Withdraw removes a queued request whose caller left.
func (p *Pool) Withdraw(id int64) {
	p.queue = slices.DeleteFunc(p.queue, func(r Request) bool { return r.ID == id })
}

// ResponseStarted records that the response of server id started milliseconds after
// the request was sent. promptMS is the PromptMS of the request.
func (p *Pool) ResponseStarted(now time.Time, id string, milliseconds, promptMS float64) {
	p.startLatency.add(max(0, milliseconds-promptMS)) // the caller may have overstated the prompt
	if s, ok := p.servers[id]; ok {
		p.recordResponse(now, s, milliseconds, promptMS)
		p.mergeSlowStart(now, s, SlowStart{Server: id, Milliseconds: milliseconds - promptMS, At: now})
		s.pendingPromptMS = max(0, s.pendingPromptMS-promptMS)
		s.failures, s.backoffUntil = 0, time.Time{}
		p.setMisdirected(s, false)
	}
}

// End is how an attempt at a server ended.
type End int

// Ends of an attempt.
const (
	Finished    End = iota
	Abandoned       // the caller left, or its deadline passed
	Unreachable     // the connection failed, or the server serves another version
	Rejected        // the server reported that it did not run the request
	Incomplete      // the response ended before it was complete
	TimedOut        // no response in time
	Misdirected     // another server answered at the address
	Superseded      // another server went on with the response
	Withdrawn       // the slot was given back before anything was sent
)

// Ended records that an attempt at server id ended. promptMS is the PromptMS of the
// request, or 0 if ResponseStarted was called for it.
func (p *Pool) Ended(now time.Time, id string, end End, promptMS float64) []Resolved {
	s, ok := p.servers[id]
	if !ok {
		return nil
	}
	p.recordEnd(s, promptMS)
	s.ownRunning--
	s.pendingPromptMS = max(0, s.pendingPromptMS-promptMS)
	switch end {
	case Finished, Abandoned:
		p.completions.add(now)
		p.ratesOf(s.Region).completions.add(now)
	case Unreachable, Rejected, Incomplete, TimedOut:
		s.backOff(now, end)
	case Misdirected:
		s.backOff(now, end)
		p.setMisdirected(s, true)
	}
	if s.ownRunning == 0 && !s.Ready {
		p.removeIfNoSlots(id)
	}
	return p.dispatch(now)
}

// MarkSilent records that a response of server id has stalled. The attempt goes on.
func (p *Pool) MarkSilent(now time.Time, id string) {
	if s, ok := p.servers[id]; ok {
		s.backOff(now, TimedOut)
	}
}

// MarkResponsive records that a response that had stalled goes on.
func (p *Pool) MarkResponsive(now time.Time, id string) []Resolved {
	if s, ok := p.servers[id]; ok {
		s.failures, s.backoffUntil = 0, time.Time{}
	}
	return p.dispatch(now)
}

// removeIfNoSlots removes a server without slots. A server with slots may only be
// paused; SetServers removes it if it is no longer listed.
func (p *Pool) removeIfNoSlots(id string) {
	if p.servers[id].Slots > 0 {
		return
	}
	delete(p.servers, id)
	p.sortServers()
}

const (
	// baseBackoff covers a round trip between regions and the delay of a retry.
	baseBackoff = 100 * time.Millisecond
	// maxBackoff limits how long a recovered server stays idle.
	maxBackoff    = 1500 * time.Millisecond
	rejectBackoff = 40 * time.Millisecond
	// misdirectedMaxBackoff is longer: the server named is not there.
	misdirectedMaxBackoff = 12 * time.Second
	// maxDoublings bounds how often a backoff doubles, misdirectedMaxDoublings that of a
	// server that is not there.
	maxDoublings            = 5
	misdirectedMaxDoublings = 7
	// incompleteThreshold is the number of consecutive failures from which incomplete
	// responses cause a backoff. Below it the server may still complete others.
	incompleteThreshold = 2
)

func (s *server) backOff(now time.Time, end End) {
	s.failures++
	backoff, longest, doublings := baseBackoff, maxBackoff, maxDoublings
	switch end {
	case Rejected:
		backoff = rejectBackoff
	case Misdirected:
		longest, doublings = misdirectedMaxBackoff, misdirectedMaxDoublings
	case Incomplete:
		if s.failures < incompleteThreshold {
			return
		}
	}
	for range min(s.failures-1, doublings) {
		backoff *= 2
	}
	s.backoffUntil = now.Add(min(backoff, longest))
}

// Tick refuses queued requests that cannot start by their wait deadline, before the
// model versions of the servers expire or in time for this gateway's end, or whose
// service has no servers, and starts those for which a slot is free. A request whose
// response has begun waits for new servers.
func (p *Pool) Tick(now time.Time) []Resolved {
	var out []Resolved
	p.queue = slices.DeleteFunc(p.queue, func(r Request) bool {
		excluded, isExcluded := p.excluded(r)
		switch {
		case p.endsBeforeAnswer(now, r):
			out = append(out, Resolved{r.ID, refuseStopping(now)})
		case isExcluded:
			out = append(out, Resolved{r.ID, refuseExcluded(now, r, excluded)})
		case !r.Resumed && (p.allExpiring(now, r) || p.listed == 0):
			out = append(out, Resolved{r.ID, p.refuseNoReplica(now, r)})
		case !now.Before(p.waitDeadline(r)) || !r.Resumed && p.allBusy(now, r):
			out = append(out, Resolved{r.ID, p.Refusal(now, outcome.ProjectedWaitTooLong, r)})
		default:
			return false
		}
		return true
	})
	return append(out, p.dispatch(now)...)
}

const (
	// minWait is the least time that a request may wait for a slot: long enough
	// for two calls of SetOtherLoad.
	minWait = 60 * time.Millisecond
	// retryMinWait is the least time from its arrival that a retried request may wait, and
	// from its submission that a resumed one may: a refusal of that cuts its response.
	retryMinWait = 1200 * time.Millisecond
)

// latestStart returns the latest time at which a request can be sent to a server
// and meet its target.
func (p *Pool) latestStart(r Request) time.Time {
	milliseconds := max(r.BaseLatencyMS, p.startMS()) + r.PromptMS
	return r.AnswerBy.Add(-time.Duration(milliseconds * float64(time.Millisecond)))
}

// waitDeadline returns the time until which a request may be queued.
func (p *Pool) waitDeadline(r Request) time.Time {
	until := p.latestStart(r)
	if earliest := r.ArrivedAt.Add(minWait); until.Before(earliest) {
		until = earliest
	}
	if r.Retried || r.Resumed {
		from := r.ArrivedAt
		if r.Resumed {
			from = r.submittedAt
		}
		if earliest := from.Add(retryMinWait); until.Before(earliest) {
			until = earliest
		}
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(until) {
		until = r.Deadline
	}
	return until
}

// checkQueueWait refuses a request whose estimated time in the queue exceeds its
// wait deadline, and reports whether it did.
func (p *Pool) checkQueueWait(now time.Time, r Request) (Decision, bool) {
	ahead := 0
	for _, queued := range p.queue {
		if compareRequests(now, queued, r) < 0 && competes(queued, r) {
			ahead++
		}
	}
	rate := p.startRate(now, r)
	if rate <= 0 || ahead < minQueue {
		return nil, false
	}
	wait := time.Duration(float64(ahead+1) / rate * float64(time.Second))
	if now.Add(wait).After(p.waitDeadline(r)) {
		return p.refuse(now, outcome.QueueFull, 0), true
	}
	return nil, false
}

// minQueue is the number of requests that may be queued regardless of the estimate.
const minQueue = 2

const (
	noReplicaDelay = 300 * time.Millisecond
	minRetryDelay  = 250 * time.Millisecond
	maxRetryDelay  = 1900 * time.Millisecond // callers wait at most a third of their 6 s timeout
)

// refuse returns a refusal with a retry time. Retry times are spaced at the rate at
// which slots become free, so that callers do not retry all at once.
func (p *Pool) refuse(now time.Time, reason outcome.Reason, minDelay time.Duration) Refuse {
	rate := max(p.completions.perSecond(now), 1)
	at := now.Add(max(minDelay, minRetryDelay))
	if p.nextRetryAt.After(at) {
		at = p.nextRetryAt
	}
	if latest := now.Add(maxRetryDelay); at.After(latest) {
		at = latest
	}
	p.nextRetryAt = at.Add(time.Duration(float64(time.Second) / rate))
	return Refuse{Reason: reason, RetryAt: at}
}

// dispatch starts queued requests while slots are free. A request past its target
// that cannot start does not block those behind it: they may use slots that are
// reserved for requests that can still meet their target. Neither does one that waits
// for a server in backoff, and one that may only run in some regions blocks only those that
// may run in the same ones.
func (p *Pool) dispatch(now time.Time) []Resolved {
	if len(p.queue) == 0 {
		return nil
	}
	p.rankQueue(now)
	slices.SortFunc(p.queue, func(a, b Request) int { return compareRequests(now, a, b) })
	var out []Resolved
	var waiting blocked
	next := 0 // index of the request behind r; DeleteFunc moves none from there on
	p.queue = slices.DeleteFunc(p.queue, func(r Request) bool {
		next++
		if waiting.covers(r) {
			return false
		}
		s := p.chooseServer(now, r)
		if s == nil {
			if !r.pastTarget(now) && !p.waitsForRecovery(now, r) && p.canServe(now, r) {
				waiting.add(r)
			}
			return false
		}
		p.countStarvedStart(now, r, p.queue[next:])
		out = append(out, Resolved{r.ID, p.start(now, s, r)})
		return true
	})
	return out
}

// pastTarget reports whether the request's target has passed.
func (r Request) pastTarget(now time.Time) bool { return now.After(r.AnswerBy) }

// compareRequests orders the queue: resumed requests, then retried ones, then those of
// starved organisations by age, then by priority, with requests past their target last, and
// by target. If slots are scarce, a caller that was refused before therefore comes after new
// ones: in the opposite order all requests would miss their target. A request past its target
// has no precedence even if its organisation is starved, since its answer would be late.
func compareRequests(now time.Time, a, b Request) int {
	stage := func(r Request) int {
		switch {
		case r.Resumed:
			return 0
		case r.Retried:
			return 1
		}
		return 2
	}
	late := func(r Request) int {
		if r.pastTarget(now) {
			return 1
		}
		return 0
	}
	if order := cmp.Compare(stage(a), stage(b)); order != 0 {
		return order
	}
	switch firstA, firstB := a.starved && late(a) == 0, b.starved && late(b) == 0; {
	case firstA && firstB:
		return cmp.Or(a.ArrivedAt.Compare(b.ArrivedAt), cmp.Compare(a.ID, b.ID))
	case firstA:
		return -1
	case firstB:
		return 1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.rank, b.rank),
		cmp.Compare(late(a), late(b)), a.startBy().Compare(b.startBy()), cmp.Compare(a.ID, b.ID))
}

func (p *Pool) start(now time.Time, s *server, r Request) Start {
	s.countSend(now)
	p.countForRank(now, r, true)
	p.countBorrowed(s, r)
	expectedMS := p.recordStart(now, s, r)
	p.countStart(now, s.Region, r)
	s.ownRunning++
	s.pendingPromptMS += r.PromptMS
	return Start{Server: s.Server, ExpectedMS: expectedMS, SendBy: s.countColdSend(now)}
}

// StartElsewhere starts a request at once at a server that did not fail it, before those
// in the queue. It reports false if no such server has a free slot.
func (p *Pool) StartElsewhere(now time.Time, r Request) (Start, bool) {
	s := p.chooseElsewhere(now, r)
	if s == nil {
		return Start{}, false
	}
	return p.start(now, s, r), true
}

// MayStartElsewhere reports whether StartElsewhere would start the request.
func (p *Pool) MayStartElsewhere(now time.Time, r Request) bool {
	return p.chooseElsewhere(now, r) != nil
}

func (p *Pool) chooseElsewhere(now time.Time, r Request) *server {
	s := p.chooseServer(now, r)
	if s == nil || slices.Contains(r.Failed, s.ID) {
		return nil
	}
	return s
}

// promptLoadWeight converts pending prompt milliseconds to load, a fraction of a
// server's slots.
const promptLoadWeight = 1.0 / 400

// chooseServer returns the available server with the lowest load, or nil if there is
// none. Under exact shares a gateway that has no share of any available server also uses
// those that are full by its share but have room.
func (p *Pool) chooseServer(now time.Time, r Request) *server {
	if p.endsBeforeAnswer(now, r) || p.outdated(now) {
		return nil
	}
	var best, spare *server // of those that are not full, and of those that are but have room
	lowest, lowestSpare := math.Inf(1), math.Inf(1)
	newest, reserved := p.newestVersion(), p.reservations(now, r)
	estimated := p.estimated(r)
	shareless := r.Generates && p.exactShares() // no available server so far has a share
	for _, s := range p.order {
		if !p.available(now, s, r) {
			continue
		}
		shareless = shareless && p.slotShare(s) == 0
		full := p.full(now, s, r)
		if full && !(shareless && p.hasRoom(now, s, r)) {
			continue
		}
		var load float64
		if estimated {
			load = p.estimatedLoad(now, s, r)
		} else {
			load = p.estimateRunning(s)/float64(max(1, s.Slots)) + s.pendingPromptMS/p.share(s.Region)*promptLoadWeight
		}
		if s.Region != p.options.Region {
			load += p.options.RemotePenalty
		}
		if reserved != nil {
			load += reserved[s.Region]
		}
		if r.Resumed && s.Version < newest {
			load += oldVersionPenalty
		}
		switch {
		case slices.Contains(r.Failed, s.ID):
			load += failedPenalty
		case slices.Contains(r.Rejected, s.ID):
			load += rejectedPenalty
		}
		switch {
		case full && load < lowestSpare:
			spare, lowestSpare = s, load
		case !full && load < lowest:
			best, lowest = s, load
		}
	}
	if shareless && lowestSpare < lowest {
		best = spare
	}
	if best != nil && slices.Contains(r.Failed, best.ID) && p.waitsForRecovery(now, r) {
		return nil
	}
	return best
}

// waitsForRecovery reports whether a request that failed on some servers should wait for
// another one, which is in its first backoff. That backoff is short, and few runs of a
// request are allowed.
func (p *Pool) waitsForRecovery(now time.Time, r Request) bool {
	return len(r.Failed) > 0 && slices.ContainsFunc(p.order, func(s *server) bool {
		return s.failures == 1 && now.Before(s.backoffUntil) && p.eligible(now, s, r) && !slices.Contains(r.Failed, s.ID)
	})
}

// full reports whether a server has no slot for the request now, or this gateway
// already has its share of the slots there plus one. The share never blocks the
// gateway's first request on a server.
func (p *Pool) full(now time.Time, s *server, r Request) bool {
	if r.Generates && p.exactShares() {
		return p.exceedsShare(now, s, r)
	}
	limit := float64(s.Slots + p.options.ExtraSlots)
	if r.pastTarget(now) && !r.Resumed && !r.Retried {
		limit = lateShare * float64(s.Slots)
	}
	if float64(s.ownRunning+s.otherRunning) >= limit || s.pendingPromptMS > 0 && s.pendingPromptMS/p.share(s.Region) > maxPendingPromptMS {
		return true
	}
	return s.ownRunning > 0 && float64(s.ownRunning) >= limit*p.share(s.Region)+1
}

// maxPendingPromptMS limits the prompt processing time that is pending on a server.
// Together with the decoding steps it is still within the shortest latency target
// that users have.
const maxPendingPromptMS = 150

// lateShare is the fraction of a server's slots that requests past their target may
// use. The rest is reserved for requests that can be served in time.
const lateShare = 0.75

// oldVersionPenalty is added to the load of servers with older weights for a resumed
// request. They are about to switch versions, which would interrupt the response
// again.
const oldVersionPenalty = 0.35

// newestVersion returns the highest version of all servers.
func (p *Pool) newestVersion() int64 {
	version := int64(0)
	for _, s := range p.order {
		version = max(version, s.Version)
	}
	return version
}

// The penalties are added to the load of servers that rejected or failed the request,
// which makes them the last choice, those that failed it after the others.
const (
	rejectedPenalty = 10
	failedPenalty   = 20
)

// eligible reports whether the server can run the request, apart from busy times, the
// pace of a rate limit and backoff.
func (p *Pool) eligible(now time.Time, s *server, r Request) bool {
	return s.serving() && s.permits(&r) && s.hasShare(now) && p.startsInTime(now, s, r)
}

// available reports whether the server may get the request now. After a backoff a
// server first gets a single request as a probe.
func (p *Pool) available(now time.Time, s *server, r Request) bool {
	if !p.eligible(now, s, r) || now.Before(s.backoffUntil) || now.Before(s.restsUntil(now)) {
		return false
	}
	return s.backoffUntil.IsZero() || s.ownRunning == 0
}

// rateWindow counts the events of the current window and the one before. All calls for one
// must use the same length: those whose names end in Over take it, the others use a second.
type rateWindow struct {
	openedAt time.Time
	previous float64 // events of the previous window
	current  float64 // events of the current window
}

func (w *rateWindow) advanceOver(now time.Time, length time.Duration) {
	switch elapsed := now.Sub(w.openedAt); {
	case elapsed >= 2*length:
		w.openedAt, w.previous, w.current = now, 0, 0
	case elapsed >= length:
		w.openedAt, w.previous, w.current = w.openedAt.Add(length), w.current, 0
	}
}

func (w *rateWindow) add(now time.Time) { w.addOver(now, time.Second) }

func (w *rateWindow) addOver(now time.Time, length time.Duration) {
	w.advanceOver(now, length)
	w.current++
}

func (w *rateWindow) perSecond(now time.Time) float64 { return w.perSecondOver(now, time.Second) }

// perSecondOver returns the events per second of the last window. The count of the
// previous one is weighted by its part that lies within that time.
func (w *rateWindow) perSecondOver(now time.Time, length time.Duration) float64 {
	w.advanceOver(now, length)
	seconds := length.Seconds()
	return (w.current + w.previous*(1-now.Sub(w.openedAt).Seconds()/seconds)) / seconds
}

// refuseNoReplica refuses a request that no server can run by its wait deadline.
func (p *Pool) refuseNoReplica(now time.Time, r Request) Refuse {
	return p.refuse(now, outcome.NoReplicaServing, noReplicaDelay).notBefore(p.availableAt(now, r))
}

// Refusal returns a refusal for a request that no server ran, with a retry time at
// which a server accepts requests again.
func (p *Pool) Refusal(now time.Time, reason outcome.Reason, r Request) Refuse {
	return p.refuse(now, reason, 0).notBefore(p.availableAt(now, r))
}
