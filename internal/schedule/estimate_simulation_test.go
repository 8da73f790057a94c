package schedule_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/enginemodel"
	"almondreel.example/almondreel/internal/schedule"
)

// passFigures are the published figures of a deployment, with a usual answer of our own.
var passFigures = enginemodel.Figures{
	StepMS: 7.4, RequestMS: 0.0387, ContextMSPerThousand: 0.0203, ReadPerMS: 31.9, PairsMSPerMillion: 0.733,
	Chunk: 2048, Stride: 7, Slots: 12, UsualPrompt: 973, UsualAnswer: 106,
}

// slowPassFigures are those of another deployment, where reading takes longer.
var slowPassFigures = enginemodel.Figures{
	StepMS: 9.27, RequestMS: 0.0232, ContextMSPerThousand: 0.0322, ReadPerMS: 20.7, PairsMSPerMillion: 1.18,
	Chunk: 2048, Stride: 5, Slots: 12, UsualPrompt: 1290, UsualAnswer: 106,
}

const (
	longPrompt = 3880 // tokens
	// networkMS is the latency of the simulated network, in each direction.
	networkMS = 2
)

// passSimulation simulates gateways whose engines work in passes. Unlike the estimates, it
// counts each step, and reads the prompts chunk by chunk.
type passSimulation struct {
	clock
	figures enginemodel.Figures
	// requestFigures are the figures that the gateways know.
	requestFigures enginemodel.Figures
	generates      bool // the requests are for engines, so that exact shares apply
	pools          []*schedule.Pool
	engines        []*passEngine
	random         *rand.Rand
	next           int64
	requests       map[int64]*passRequest
	submitted      []*passRequest
}

type passEngine struct {
	id        string
	speed     float64 // times take this factor
	slowUntil time.Time
	down      bool
	waiting   []*passRequest // for a slot
	reading   []*passRequest
	running   []*passRequest
	working   bool
	runs      int // requests that it got
}

type passRequest struct {
	request    schedule.Request
	gateway    int
	engine     *passEngine
	prompt     int
	unread     int
	answer     int // tokens left
	arrivedAt  time.Time
	sentAt     time.Time
	answeredAt time.Time
	endedAt    time.Time
	refused    bool
	lastAt     time.Time
	pauseMS    float64 // longest
}

func newPassSimulation(seed uint64, gateways, engines int, options schedule.Options) *passSimulation {
	sim := &passSimulation{clock: clock{now: startTime}, figures: passFigures, requestFigures: passFigures, random: rand.New(rand.NewPCG(seed, 17)), requests: map[int64]*passRequest{}}
	var servers []schedule.Server
	for n := range engines {
		sim.engines = append(sim.engines, &passEngine{id: fmt.Sprint("e", n), speed: 1})
		servers = append(servers, schedule.Server{ID: fmt.Sprint("e", n), Slots: passFigures.Slots, Ready: true})
	}
	for range gateways {
		p := schedule.NewPool(options)
		p.SetServers(sim.now, servers)
		sim.pools = append(sim.pools, p)
	}
	sim.after(gossipInterval.Seconds()*1000, sim.exchange)
	sim.after(10, sim.tick)
	return sim
}

// withFigures changes the figures of the engines and what the gateways know of them.
func (sim *passSimulation) withFigures(f enginemodel.Figures) *passSimulation {
	sim.figures, sim.requestFigures = f, f
	return sim
}

func (sim *passSimulation) after(milliseconds float64, run func()) {
	sim.clock.after(time.Duration(milliseconds*float64(time.Millisecond)), run)
}

func (sim *passSimulation) exchange() {
	for n, p := range sim.pools {
		defer sim.resolveLater(n, p, runningOfOthers(sim.pools, n))
	}
	sim.after(gossipInterval.Seconds()*1000, sim.exchange)
}

func (sim *passSimulation) resolveLater(gateway int, p *schedule.Pool, others map[string]int) {
	sim.resolve(gateway, p.SetOtherLoad(sim.now, others))
}

func (sim *passSimulation) tick() {
	for n, p := range sim.pools {
		sim.resolve(n, p.Tick(sim.now))
	}
	sim.after(10, sim.tick)
}

func (sim *passSimulation) resolve(gateway int, decisions []schedule.Resolved) {
	for _, resolved := range decisions {
		sim.apply(sim.requests[resolved.ID], resolved.Decision)
	}
}

// submit submits a request with a prompt and an answer of that many tokens to a gateway.
func (sim *passSimulation) submit(gateway, prompt, answer int) *passRequest {
	sim.next++
	r := &passRequest{gateway: gateway, prompt: prompt, answer: answer, arrivedAt: sim.now, request: schedule.Request{
		ID: sim.next, PromptMS: float64(prompt) / sim.figures.ReadPerMS, BaseLatencyMS: 110, ArrivedAt: sim.now,
		AnswerBy: sim.now.Add(target), Deadline: sim.now.Add(6 * time.Second),
		Prompt: enginemodel.Prompt{Tokens: prompt}, Figures: sim.requestFigures, Generates: sim.generates,
	}}
	sim.requests[r.request.ID] = r
	sim.submitted = append(sim.submitted, r)
	decision, others := sim.pools[gateway].Submit(sim.now, r.request)
	sim.resolve(gateway, others)
	sim.apply(r, decision)
	return r
}

func (sim *passSimulation) apply(r *passRequest, decision schedule.Decision) {
	switch d := decision.(type) {
	case schedule.Start:
		e := sim.engines[slices.IndexFunc(sim.engines, func(e *passEngine) bool { return e.id == d.Server.ID })]
		r.engine, r.unread, r.sentAt = e, r.prompt, sim.now
		e.runs++
		sim.after(networkMS, func() {
			if e.down {
				sim.resolve(r.gateway, sim.pools[r.gateway].Ended(sim.now, e.id, schedule.Unreachable, r.request.PromptMS))
				r.refused = true
				return
			}
			e.waiting = append(e.waiting, r)
			if !e.working {
				sim.pass(e)
			}
		})
	case schedule.Refuse:
		r.refused = true
	}
}

// pass runs a pass of an engine, and the next ones while it has requests.
func (sim *passSimulation) pass(e *passEngine) {
	for len(e.waiting) > 0 && len(e.reading)+len(e.running) < sim.figures.Slots {
		e.reading, e.waiting = append(e.reading, e.waiting[0]), e.waiting[1:]
	}
	e.working = len(e.reading)+len(e.running) > 0
	if !e.working {
		return
	}
	steps, milliseconds := 1, 0.0
	if len(e.running) > 0 {
		steps = sim.figures.Stride
	}
	var read []*passRequest
	for range steps {
		milliseconds += sim.figures.StepMS
		for _, r := range e.running {
			milliseconds += sim.figures.RequestMS + float64(r.prompt)/1000*sim.figures.ContextMSPerThousand
		}
		for left := sim.figures.Chunk; left > 0 && len(e.reading) > 0; {
			r := e.reading[0]
			tokens := min(left, r.unread)
			before := r.prompt - r.unread
			pairs := float64(tokens) * (float64(before) + float64(tokens)/2) / 1e6
			milliseconds += float64(tokens)/sim.figures.ReadPerMS + pairs*sim.figures.PairsMSPerMillion
			left -= tokens
			if r.unread -= tokens; r.unread == 0 {
				read, e.reading = append(read, r), e.reading[1:]
			}
		}
	}
	if sim.now.Before(e.slowUntil) {
		milliseconds *= e.speed
	}
	sim.after(milliseconds, func() { sim.endPass(e, steps, read) })
}

func (sim *passSimulation) endPass(e *passEngine, steps int, read []*passRequest) {
	running := e.running
	e.running = nil
	for _, r := range running {
		r.pauseMS = max(r.pauseMS, sim.now.Sub(r.lastAt).Seconds()*1000)
		r.lastAt = sim.now
		if r.answer -= steps; r.answer > 0 {
			e.running = append(e.running, r)
			continue
		}
		r.endedAt = sim.now
		sim.after(networkMS, func() {
			sim.resolve(r.gateway, sim.pools[r.gateway].Ended(sim.now, e.id, schedule.Finished, 0))
		})
	}
	for _, r := range read {
		r.lastAt = sim.now
		e.running = append(e.running, r)
		sim.after(networkMS, func() {
			r.answeredAt = sim.now
			milliseconds := r.answeredAt.Sub(r.sentAt).Seconds() * 1000
			sim.pools[r.gateway].ResponseStarted(sim.now, e.id, milliseconds, r.request.PromptMS)
		})
	}
	sim.pass(e)
}

// load submits requests at a rate per second for some seconds. size returns the tokens of a
// prompt.
func (sim *passSimulation) load(seconds, rate float64, size func() int) {
	until := sim.now.Add(time.Duration(seconds * float64(time.Second)))
	var next func()
	next = func() {
		if !sim.now.Before(until) {
			return
		}
		answer := 1 + int(sim.random.ExpFloat64()*passFigures.UsualAnswer)
		sim.submit(sim.random.IntN(len(sim.pools)), size(), answer)
		sim.after(sim.random.ExpFloat64()/rate*1000, next)
	}
	next()
	sim.advance(seconds)
}

// mixed returns prompt sizes of which a share is long and the others are short.
func (sim *passSimulation) mixed(longShare float64) func() int {
	return func() int {
		if sim.random.Float64() < longShare {
			return longPrompt
		}
		return 300 + sim.random.IntN(600)
	}
}

// tally sums up the requests with prompts in a range of tokens.
type tally struct {
	count, served, inTime, latePauses int
	quantileMS                        float64 // within which 95 of 100 first answers came
	meanMS                            float64
}

func (sim *passSimulation) tally(from, to int) tally {
	return tallyAll([]*passSimulation{sim}, from, to)
}

// tallyAll sums up the requests of several simulations.
func tallyAll(sims []*passSimulation, from, to int) tally {
	var out tally
	var times []float64
	var submitted []*passRequest
	for _, sim := range sims {
		submitted = append(submitted, sim.submitted...)
	}
	for _, r := range submitted {
		if r.prompt < from || r.prompt >= to {
			continue
		}
		out.count++
		if r.answeredAt.IsZero() {
			continue
		}
		out.served++
		took := r.answeredAt.Sub(r.arrivedAt)
		times = append(times, took.Seconds()*1000)
		out.meanMS += took.Seconds() * 1000
		if took <= target {
			out.inTime++
		}
		if r.pauseMS > 400 {
			out.latePauses++
		}
	}
	slices.Sort(times)
	if len(times) > 0 {
		out.quantileMS = times[int(0.95*float64(len(times)-1))]
		out.meanMS /= float64(len(times))
	}
	return out
}

func (t tally) servedShare() float64 { return float64(t.served) / math.Max(1, float64(t.count)) }
func (t tally) inTimeShare() float64 { return float64(t.inTime) / math.Max(1, float64(t.count)) }
func (t tally) String() string {
	return fmt.Sprintf("%d: served %.3f, in time %.3f, mean %.0f ms, 95%% within %.0f ms, late pauses %d", t.count, t.servedShare(), t.inTimeShare(), t.meanMS, t.quantileMS, t.latePauses)
}
