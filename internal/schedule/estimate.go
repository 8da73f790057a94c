package schedule

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/enginemodel"
	"almondreel.example/almondreel/internal/rendezvous"
)

// estimates is what a pool has learned for its estimates. Options.Estimates enables them.
type estimates struct {
	enabled  bool // it stays so once it is, since what runs is counted from then on
	paces    enginemodel.Paces
	overhead map[string]latencyEstimate // by region: time to the first answer beyond the estimate
	reading  latencyEstimate            // time to read a prompt
	running  int                        // this gateway's requests on all servers
	pending  int                        // of them, those whose responses have not started
}

// ownWork is what this gateway's requests are to a server.
type ownWork struct {
	load    enginemodel.Load
	pending []pendingPrompt // in the order in which they were sent
}

// pendingPrompt is a request whose response has not started.
type pendingPrompt struct {
	promptMS   float64          // of the request
	pending    enginemodel.Load // what the request is until its response starts
	running    enginemodel.Load // what it is from then on
	expectedMS float64          // estimated time to the first answer at pace 1; 0: unknown
}

const (
	// pauseTargetMS is the target of the pauses within a response, in milliseconds.
	pauseTargetMS = 400
	// occupancyMS is added for a full server, and in proportion for others. Other gateways'
	// counts are up to a gossip round old, so a server that looks nearly full may be full.
	occupancyMS = 100
	// preferenceSpread is the range of the factors by which gateways prefer servers.
	preferenceSpread = 1
	// minPreferringGateways is the least number of gateways that prefer servers. In a
	// simulation 9 and 16 gateways served more requests in time so, 2 and 4 slightly fewer.
	minPreferringGateways = 9
	// unreadShare is the fraction of running requests whose responses have not started, as
	// long as this gateway runs too few to tell: 1.5 passes of 7 steps and 106 steps.
	unreadShare = 0.09
	// maxOverheadMS bounds what may be taken for network latency.
	maxOverheadMS = 300
)

// estimated reports whether the server for a request is chosen by estimates.
func (p *Pool) estimated(r Request) bool { return p.estimates.enabled && r.Figures.Known() }

// enableEstimates enables estimates if the options ask for them, or if the gateways have
// exact shares because there are many. Each of these sees few requests of an engine, so
// counts say little about it.
func (p *Pool) enableEstimates() {
	p.estimates.enabled = p.estimates.enabled || p.options.Estimates || p.crowded()
}

// estimatedLoad returns the cost of running a request on a server, in the unit of
// chooseServer: the request's expected time to the first answer, and the delay that it
// imposes on others there as far as its prompt is longer than usual. A request of usual
// length imposes no more than those it competes with, so if all are alike the expected
// time alone decides.
func (p *Pool) estimatedLoad(now time.Time, s *server, r Request) float64 {
	load, f := p.expectedWork(s, r.Figures), figuresOf(s, r)
	e := f.Estimate(p.estimates.paces.Pace(now, s.ID), load, r.Prompt)
	cost := e.FirstAnswerMS + occupancyMS*(load.Running+load.Pending)/float64(f.Slots)
	if excess := 1 - p.usualReadMS(f)/f.ReadMS(r.Prompt); excess > 0 {
		// A longer pause matters to a running response only in relation to its target.
		inPauses := e.RunningDelayMS * min(1, e.PauseMS/pauseTargetMS)
		imposed := e.AddedDelayMS - e.RunningDelayMS + inPauses
		cost += excess * min(imposed, pauseTargetMS*(load.Running+load.Pending))
	}
	return cost * p.preference(s) * promptLoadWeight
}

// preference returns a factor of a server's cost, from 1 to 1 + preferenceSpread, which differs
// between gateways. Counts of running requests are up to a gossip round old, so gateways that
// see the same costs would all send to the same servers in that time.
func (p *Pool) preference(s *server) float64 {
	if len(p.sharers) < minPreferringGateways {
		return 1
	}
	if s.preference == 0 {
		s.preference = 1 + preferenceSpread*float64(rendezvous.Score(s.ID, p.ownName)>>11)/(1<<53)
	}
	return s.preference
}

// figuresOf returns the figures of a server for a request.
func figuresOf(s *server, r Request) enginemodel.Figures {
	f := r.Figures
	f.Slots = max(1, s.Slots)
	return f
}

// expectedWork returns what a server has to do: this gateway's requests, and those of
// other gateways, of which only the number is known. They are assumed to be of usual
// length and as often unread as this gateway's.
func (p *Pool) expectedWork(s *server, f enginemodel.Figures) enginemodel.Load {
	others := p.estimateRunning(s) - float64(s.ownRunning)
	if others <= 0 {
		return s.work.load
	}
	unread := unreadShare
	if p.estimates.running >= minRunningForShare {
		unread = float64(p.estimates.pending) / float64(p.estimates.running)
	}
	return s.work.load.WithPending(f, enginemodel.Prompt{}, others*unread).WithRunning(f, enginemodel.Prompt{}, others*(1-unread))
}

// usualReadMS returns the time to read a prompt of usual length.
func (p *Pool) usualReadMS(f enginemodel.Figures) float64 {
	if p.estimates.reading.known {
		return p.estimates.reading.mean
	}
	return f.ReadMS(enginemodel.Prompt{})
}

// recordStart records that a request is sent to a server. It returns the expected time
// until its response starts, or 0 if there is no estimate.
func (p *Pool) recordStart(now time.Time, s *server, r Request) float64 {
	if !p.estimates.enabled {
		return 0
	}
	started := pendingPrompt{promptMS: r.PromptMS, pending: enginemodel.Load{Pending: 1}, running: enginemodel.Load{Running: 1}}
	if r.Figures.Known() {
		f := figuresOf(s, r)
		started.expectedMS = f.Estimate(1, p.expectedWork(s, f), r.Prompt).FirstAnswerMS
		started.pending = enginemodel.Load{}.WithPending(f, r.Prompt, 1)
		started.running = enginemodel.Load{}.WithRunning(f, r.Prompt, 1)
		p.estimates.reading.add(f.ReadMS(r.Prompt))
	}
	s.work.load = s.work.load.Plus(started.pending)
	s.work.pending = append(s.work.pending, started)
	p.estimates.running++
	p.estimates.pending++
	if started.expectedMS == 0 {
		return 0
	}
	return started.expectedMS*p.estimates.paces.Pace(now, s.ID) + p.estimates.overhead[s.Region].mean
}

// recordResponse records that the response to a request with promptMS has started after
// milliseconds. The part of that time which requests in the region usually take beyond the
// estimate, such as the network's, does not count as the server's.
func (p *Pool) recordResponse(now time.Time, s *server, milliseconds, promptMS float64) {
	started, ok := p.takePending(s, promptMS)
	if !ok {
		return
	}
	s.work.load = s.work.load.Plus(started.running)
	if started.expectedMS == 0 {
		return
	}
	if p.estimates.overhead == nil {
		p.estimates.overhead = map[string]latencyEstimate{}
	}
	overhead := p.estimates.overhead[s.Region]
	overhead.add(min(max(0, milliseconds-started.expectedMS), maxOverheadMS))
	p.estimates.overhead[s.Region] = overhead
	p.estimates.paces.Measure(now, s.ID, started.expectedMS, max(0, milliseconds-overhead.mean))
}

// recordEnd records that a request has ended. promptMS is 0 if its response had started.
func (p *Pool) recordEnd(s *server, promptMS float64) {
	if !p.estimates.enabled {
		return
	}
	p.estimates.running = max(0, p.estimates.running-1) // it may have started before
	if started := s.work.load.Running; promptMS == 0 && started >= 1 {
		// Which of them has ended is not known.
		s.work.load = s.work.load.Minus(enginemodel.Load{Running: 1, ContextTokens: s.work.load.ContextTokens / started})
	} else {
		p.takePending(s, promptMS)
	}
	if s.ownRunning == 1 {
		s.work = ownWork{pending: s.work.pending[:0]} // removes rounding errors
	}
}

// takePending removes the oldest pending request with promptMS, or the oldest one if the
// configuration has changed the figures since it was sent.
func (p *Pool) takePending(s *server, promptMS float64) (pendingPrompt, bool) {
	if len(s.work.pending) == 0 {
		return pendingPrompt{}, false
	}
	i := max(0, slices.IndexFunc(s.work.pending, func(q pendingPrompt) bool { return q.promptMS == promptMS }))
	taken := s.work.pending[i]
	s.work.pending = slices.Delete(s.work.pending, i, i+1)
	s.work.load = s.work.load.Minus(taken.pending)
	p.estimates.pending--
	return taken, true
}

// slackShare is the part of a prompt's reading time by which a request goes earlier in the
// queue. At 0, a gateway alone with twice the load of its engines served prompts of 3,880
// tokens a fourteenth as often as all; at 1, it served them more often than short ones.
const slackShare = 0.6

// maxSlackMS bounds the reading time that counts, since callers may overstate a prompt. It is
// above the 196 ms of the longest known prompt at the slowest known engine; with 150 ms, such
// prompts were starved at a gateway alone.
const maxSlackMS = 250

// startBy returns the time by which the queue is ordered: the target, or with estimates an
// earlier time for longer prompts, which must start earlier to meet the same target.
func (r Request) startBy() time.Time {
	if !r.bySlack {
		return r.AnswerBy
	}
	earlier := slackShare * min(r.PromptMS, maxSlackMS)
	return r.AnswerBy.Add(-time.Duration(earlier * float64(time.Millisecond)))
}
