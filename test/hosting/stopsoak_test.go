package hosting_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/plannedstop"
	"almondreel.example/almondreel/internal/soakseeds"
	"almondreel.example/almondreel/platform/standin"
)

// This soak test does planned work only: every process is stopped and restarted at random
// times, in ways that overlap, while the configuration and the version change, also in storms,
// engines are drained and restarted, sound servers are silent for about a second while others
// refuse requests, and another writer puts odd entries into the store. Engines become cold,
// data centres are evacuated and requests are bound to regions. Nothing fails by itself, so
// each request must be answered completely, be refused truthfully, or not run.

const (
	// plannedTime is how long processes are stopped in one run; the last stops end later.
	plannedTime = 10 * time.Second
	// plannedDeadline is the deadline that callers set. No answer takes nearly as long.
	plannedDeadline = 6 * time.Second
	// idleGap is the pause of callers whose connections are idle at times.
	idleGap = 400 * time.Millisecond
	// plannedLedgerMS is the time that a call to the plain service takes, in milliseconds.
	plannedLedgerMS = 150
	// quietTime is the time after the last request to a leaving engine after which its
	// answers have ended, and quietTimeout how long an engine is waited for.
	quietTime    = 1500 * time.Millisecond
	quietTimeout = 6 * time.Second
	// enginesPerDrain is the number of engines for each that leaves at the same time.
	enginesPerDrain = 8
)

// largeSite is the size of the runs with as many processes as a computer with eight
// processors bears (with twice as many, configurations take longer than
// configurationTime), largePlannedTime how long processes are stopped in these, and
// largeGraces are their grace periods in seconds: processes may wait for a processor.
var (
	largeSite   = options{gateways: 16, engines: 64, firstVersion: 1}
	largeGraces = []int{8, 20}
)

const largePlannedTime = 20 * time.Second

// grownSite is the size of the largest site in use.
var (
	grownSite   = options{gateways: 6, engines: 45, firstVersion: 1}
	grownGraces = []int{5, 8, 20}
)

// plannedGraces are the grace periods in seconds, of which each run draws one.
var plannedGraces = []int{1, 2, 2, 3, 3, 5, 5, 8, 8, 20}

// plannedRegressionSeeds are seeds whose runs have failed, each with the cause.
var plannedRegressionSeeds = []uint64{
	1, 2, 3, // a second signal to stop ended a gateway in the middle of its answers
	128, 158, // the test's shell ignored SIGINT, so a signal just after the start was discarded
	4,         // half-closed callers got no response, and a budget of 1e20 ms made other calls repeats
	7, 11, 12, // with a grace period of 3 s, answers were cut after 2.25 s
	8,          // with a grace period of 1 s, the gateway was killed in the middle of all answers
	6,          // streams to silent engines got 502 when their version ended
	20,         // a stream was cut when the version of a silent engine ended that was to continue it
	15, 16, 22, // with a grace period of 1 s, answers were cut after 0.75 s
	16858900968129376346,                     // a restarted agent ordered a load of pieces over which it had staged the next version
	13618413418496127818,                     // a stream waited for an engine for 0.9 s after its version had ended
	17193747707664844314,                     // a half-closed caller's begun stream was cut, which the check did not allow
	17011842820108192522,                     // a silent engine had a request until the last sixth of the grace period, of which the check did not know
	11767029101913876403,                     // a stream left a silent engine for an odd entry
	15770313597400099810,                     // begun streams were cut after three refusals, and one that began as its version ended (KNOWN-RED.txt)
	3812719753109374942, 1715089635379022661, // the version of a successor ended before a stream had begun, of which the check did not know
	15007690594116807519, // the same, at a grown site
	5380800216346997646,  // beside load 45 a gateway had no processor for 0.35 s of its grace period of 2 s (KNOWN-RED.txt)
	2187740326739260660,  // beside load 52 the version of engines that were not silent ended before streams had begun (KNOWN-RED.txt)
}

// TestSoakOfPlannedStops runs one fixed seed. SOAK=1 runs fifty random seeds and the
// regression seeds, SEED=n runs seed n.
func TestSoakOfPlannedStops(t *testing.T) {
	runSeeds(t, plannedRegressionSeeds, soakPlannedStops)
}

func soakPlannedStops(t *testing.T, seed uint64) {
	s := startPlannedSoak(t, seed)
	var gateways, agents []*plannedstop.Program
	for _, g := range s.gateways {
		gateways = append(gateways, s.takeOver(g))
	}
	for _, e := range s.engines {
		agents = append(agents, s.takeOver(e.agent))
	}
	plannedTime, kinds := plannedTime, callerKinds
	if soakseeds.Large(seed) {
		plannedTime, kinds = largePlannedTime, callerKindsPerLargeSite
	}
	if soakseeds.Grown(seed) {
		plannedTime, kinds = largePlannedTime, callerKindsPerGrownSite
	}
	ctx, cancel := context.WithTimeout(t.Context(), plannedTime)
	defer cancel()
	callersCtx, stopCallers := context.WithCancel(t.Context())
	defer stopCallers()
	var callers sync.WaitGroup
	for n, g := range s.gateways {
		for k := range kinds {
			kind, round := (n+k)%callerKinds, k/callerKinds
			callers.Go(func() {
				s.runPlannedCaller(callersCtx, g, fmt.Sprint(n, "-", kind+round*callerKinds), kind, s.newRand(3000+round*1000+n*callerKinds+kind))
			})
		}
	}
	s.doPlannedWork(ctx, append(gateways, agents...))
	pause.For(t.Context(), idleGap) // requests to the last processes
	stopCallers()
	callers.Wait()
	s.check(gateways, agents)
	s.checkServingBesideOddEntries()
}

// startPlannedSoak starts the site of a seed and waits until it serves.
func startPlannedSoak(t *testing.T, seed uint64) *plannedSoak {
	size, graces := options{gateways: 4, engines: 6, firstVersion: 1}, plannedGraces
	if soakseeds.Large(seed) {
		size, graces = largeSite, largeGraces
	}
	if soakseeds.Grown(seed) {
		size, graces = grownSite, grownGraces
	}
	grace := graces[rand.New(rand.NewPCG(seed, 5000)).IntN(len(graces))]
	size.graceSeconds = grace
	s := &plannedSoak{site: startSite(t, withLoad(size)), seed: seed, version: 1, grace: time.Duration(grace) * time.Second}
	s.startSpare()
	s.writeConfiguration(s.firstConfiguration())
	for n := range s.gateways {
		s.waitForVersion(n, 1, startTimeout)
	}
	s.ledger.SetDelayMS(plannedLedgerMS)
	for n, e := range s.engines {
		e.SetEventMS(eventMS(n))
	}
	return s
}

// eventMS returns the time between two events of engine n, in milliseconds.
func eventMS(n int) int { return []int{5, 40, slowEventMS}[n%3] }

// doPlannedWork stops and restarts the programs, beside changes, silent servers and odd
// entries, until ctx ends and the last stops are over. Cold engines, evacuations and bindings to
// regions go on for calmTime after that.
func (s *plannedSoak) doPlannedWork(ctx context.Context, programs []*plannedstop.Program) {
	loadCtx, endLoad := context.WithCancel(s.t.Context())
	defer endLoad()
	var work, load sync.WaitGroup
	load.Go(func() { s.makeEnginesCold(loadCtx, s.newRand(2006)) })
	load.Go(func() { s.evacuateDataCentres(loadCtx, s.newRand(2007)) })
	load.Go(func() { s.bindToRegions(loadCtx, s.newRand(2008)) })
	maxWait := plannedstop.MaxWait(len(programs))
	for n, p := range programs {
		work.Go(func() {
			if err := p.Run(ctx, s.newRand(n), maxWait); err != nil {
				s.t.Error(err)
			}
		})
	}
	work.Go(func() { s.changeVersions(ctx, s.newRand(2000)) })
	work.Go(func() { s.changeConfigurations(ctx, s.newRand(2001)) })
	work.Go(func() { s.stormConfigurations(ctx, s.newRand(2004)) })
	work.Go(func() { s.silenceServers(ctx, s.newRand(2002)) })
	work.Go(func() { s.refuseBesideSilence(ctx, s.newRand(2005)) })
	// No odd entry names an engine that is drained: it would bring that engine requests.
	drained, named := s.engines[:len(s.engines)/2], s.engines[len(s.engines)/2:]
	work.Go(func() { s.writeOddEntries(ctx, named, s.newRand(2003)) })
	for n := 0; n < len(drained); n += enginesPerDrain {
		work.Go(func() { s.drainEngines(ctx, drained[n:min(n+enginesPerDrain, len(drained))], s.newRand(n+1000)) })
	}
	work.Wait()
	s.injected.mu.Lock()
	s.injected.calmSince = time.Now()
	s.injected.mu.Unlock()
	pause.For(loadCtx, calmTime)
	endLoad()
	load.Wait()
}

// startTimeout is the time in which a large site must serve.
const startTimeout = 30 * time.Second

// plannedSoak is a site under planned work with the outcomes that callers got.
type plannedSoak struct {
	*site
	seed           uint64
	version        int64
	grace          time.Duration
	spare          *standin.Service
	configurations plannedConfigurations
	injected       plannedLoad

	mu       sync.Mutex
	outcomes []plannedOutcome
	named    []time.Time // when versions were named
	silences []plannedSilence
}

// period is the time from From to To.
type period struct{ From, To time.Time }

// plannedSilence is a period in which a server of a service, or all of them, sent nothing.
type plannedSilence struct {
	period
	service string
}

// overlaps reports whether some of the time from from to to is in the period.
func (p period) overlaps(from, to time.Time) bool { return !to.Before(p.From) && !p.To.Before(from) }

// newRand returns the random source of one of the run's goroutines.
func (s *plannedSoak) newRand(n int) *rand.Rand { return rand.New(rand.NewPCG(s.seed, uint64(n))) }

// startSpare starts a server of standin.SpareService.
func (s *plannedSoak) startSpare() {
	server := httptest.NewUnstartedServer(nil)
	s.spare = standin.NewSpare("spare-1", server.Listener.Addr().String(), "north-a")
	server.Config.Handler = s.spare
	s.listen(server)
	s.spare.Register(s.store)
	s.spare.SetDelayMS(plannedLedgerMS)
}

// takeOver restarts a daemon as a program that can be stopped as planned work.
func (s *plannedSoak) takeOver(d *daemon) *plannedstop.Program {
	s.t.Helper()
	d.kill()
	p := plannedstop.New(d.name, s.grace, func() *exec.Cmd {
		return exec.Command(filepath.Join(programs, d.program), "--settings", d.file)
	})
	require.NoError(s.t, p.Start())
	s.t.Cleanup(func() {
		p.Kill()
		if s.t.Failed() {
			s.t.Logf("%s wrote:\n%s", p.Name, p.Log())
		}
	})
	return p
}

// silenceServers makes random servers silent for about a second at a time. They are sound:
// they go on afterwards.
func (s *plannedSoak) silenceServers(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		began := time.Now()
		until := began.Add(randomSilence(r))
		switch r.IntN(5) {
		case 0:
			s.ledger.SilenceUntil(until)
			s.noteSilence(plannedSilence{period{began, until}, standin.PlainService})
		case 1:
			s.spare.SilenceUntil(until)
			s.noteSilence(plannedSilence{period{began, until}, standin.SpareService})
		case 2: // all engines
			for _, e := range s.engines {
				e.SilenceUntil(until)
			}
			s.noteSilence(plannedSilence{period{began, until}, standin.EngineService})
		default:
			s.engines[r.IntN(len(s.engines))].SilenceUntil(until)
			s.noteSilence(plannedSilence{period{began, until}, standin.EngineService})
		}
		pause.For(ctx, time.Duration(r.IntN(2000))*time.Millisecond)
	}
}

// randomSilence returns how long a sound server is silent.
func randomSilence(r *rand.Rand) time.Duration {
	return time.Duration(700+r.IntN(901)) * time.Millisecond
}

// refuseBesideSilence makes some engines with slow events silent at the same time, while most
// or all others refuse requests for about as long.
func (s *plannedSoak) refuseBesideSilence(ctx context.Context, r *rand.Rand) {
	var slow []int
	for n := range s.engines {
		if eventMS(n) == slowEventMS {
			slow = append(slow, n)
		}
	}
	for pause.For(ctx, time.Duration(1000+r.IntN(4000))*time.Millisecond) {
		began, all := time.Now(), r.IntN(2) == 0
		until := began.Add(randomSilence(r))
		r.Shuffle(len(slow), func(i, k int) { slow[i], slow[k] = slow[k], slow[i] })
		silent := slow[:1+r.IntN((len(slow)+1)/2)]
		s.noteSilence(plannedSilence{period{began, until}, standin.EngineService})
		for n, e := range s.engines {
			refusal := time.Duration(500+r.IntN(2000)) * time.Millisecond
			switch {
			case slices.Contains(silent, n):
				e.SilenceUntil(until)
			case all || r.IntN(4) > 0:
				e.RefuseUntil(began.Add(refusal))
			}
		}
	}
}

func (s *plannedSoak) noteSilence(n plannedSilence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences = append(s.silences, n)
}

// drainEngines marks one of the engines at a time as leaving and, once no request runs
// there, restarts it or registers it as live again.
func (s *plannedSoak) drainEngines(ctx context.Context, engines []*engine, r *rand.Rand) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(r.IntN(1500))*time.Millisecond)
		e, restart, down := engines[r.IntN(len(engines))], r.IntN(2) == 0, time.Duration(r.IntN(500))*time.Millisecond
		e.Register(s.store, true)
		time.Sleep(drainNoticeTime)
		if restart && s.waitUntilQuiet(e) {
			e.Deregister(s.store)
			e.Crash(false)
			time.Sleep(down)
			e.Restart()
			s.listRestarted(e)
		}
		e.Register(s.store, false)
	}
}

// waitUntilQuiet waits until an engine runs no request and has got none for quietTime, and
// reports whether that was within quietTimeout.
func (s *plannedSoak) waitUntilQuiet(e *engine) bool {
	for until := time.Now().Add(quietTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		runs := e.Runs()
		quiet := true
		for _, r := range runs {
			quiet = quiet && !r.Ended.IsZero() && time.Since(r.At) > quietTime
		}
		if quiet {
			return true
		}
	}
	return false
}
