package hosting_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/plannedstop"
	"almondreel.example/almondreel/internal/soakseeds"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// This soak test does planned work only: every process is stopped and restarted at random
// times, in ways that overlap, while the configuration and the version change and engines
// are drained and restarted. Nothing fails by itself, so each request must be
// answered completely, be refused truthfully, or not run.

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
	callerKinds     = 6 // for each gateway
)

// plannedRegressionSeeds are seeds whose runs have failed, each with the cause.
var plannedRegressionSeeds = []uint64{
	1, 2, 3, // a second signal to stop ended a gateway in the middle of its answers
	128, 158, // the test's shell ignored SIGINT, so a signal just after the start was discarded
}

// TestSoakOfPlannedStops runs one fixed seed. SOAK=1 runs fifty random seeds and the
// regression seeds, SEED=n runs seed n.
func TestSoakOfPlannedStops(t *testing.T) {
	runSeeds(t, plannedRegressionSeeds, soakPlannedStops)
}

func soakPlannedStops(t *testing.T, seed uint64) {
	size := options{gateways: 4, engines: 6, firstVersion: 1}
	if soakseeds.Large(seed) {
		size = options{gateways: 24, engines: 96, firstVersion: 1}
	}
	s := &plannedSoak{site: startSite(t, size), seed: seed, version: 1}
	for n := range s.gateways {
		s.waitForVersion(n, 1, startTimeout)
	}
	s.ledger.SetDelayMS(plannedLedgerMS)
	for n, e := range s.engines {
		e.SetEventMS([]int{5, 40, slowEventMS}[n%3])
	}
	var programs []*plannedstop.Program
	for _, g := range s.gateways {
		programs = append(programs, s.takeOver(g))
	}
	for _, e := range s.engines {
		programs = append(programs, s.takeOver(e.agent))
	}
	ctx, cancel := context.WithTimeout(t.Context(), plannedTime)
	defer cancel()
	callersCtx, stopCallers := context.WithCancel(t.Context())
	defer stopCallers()
	var work, callers sync.WaitGroup
	for n, g := range s.gateways {
		for kind := range callerKinds {
			callers.Go(func() { s.runPlannedCaller(callersCtx, g, fmt.Sprint(n, "-", kind), kind) })
		}
	}
	for n, p := range programs {
		work.Go(func() {
			if err := p.Run(ctx, s.newRand(n)); err != nil {
				t.Error(err)
			}
		})
	}
	work.Go(func() { s.changeVersions(ctx) })
	for n := 0; n < len(s.engines); n += enginesPerDrain {
		work.Go(func() { s.drainEngines(ctx, s.engines[n:min(n+enginesPerDrain, len(s.engines))], s.newRand(n+1000)) })
	}
	work.Wait()
	pause.For(t.Context(), idleGap) // requests to the last processes
	stopCallers()
	callers.Wait()
	s.check(programs)
}

// startTimeout is the time in which a large site must serve.
const startTimeout = 30 * time.Second

// plannedSoak is a site under planned work with the outcomes that callers got.
type plannedSoak struct {
	*site
	seed    uint64
	version int64

	mu       sync.Mutex
	outcomes []plannedOutcome
}

// newRand returns the random source of one of the run's goroutines.
func (s *plannedSoak) newRand(n int) *rand.Rand { return rand.New(rand.NewPCG(s.seed, uint64(n))) }

// takeOver restarts a daemon as a program that can be stopped as planned work.
func (s *plannedSoak) takeOver(d *daemon) *plannedstop.Program {
	s.t.Helper()
	d.kill()
	p := plannedstop.New(d.name, graceTime, func() *exec.Cmd {
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

// changeVersions changes the configuration all the time, and the version at times.
func (s *plannedSoak) changeVersions(ctx context.Context) {
	r := s.newRand(2000)
	for ctx.Err() == nil {
		s.configure(apiKey, fmt.Sprint("key-", s.configurationVersion))
		if r.IntN(5) == 0 {
			s.version++
			s.store.SetVersion(s.version)
		}
		pause.For(ctx, time.Duration(r.IntN(1500))*time.Millisecond)
	}
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
		}
		e.Register(s.store, false)
	}
}

// waitUntilQuiet waits until an engine has got no request for quietTime, and reports
// whether that was within quietTimeout.
func (s *plannedSoak) waitUntilQuiet(e *engine) bool {
	for until := time.Now().Add(quietTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		runs := e.Runs()
		if len(runs) == 0 || time.Since(runs[len(runs)-1].At) > quietTime {
			return true
		}
	}
	return false
}

// runPlannedCaller sends requests to one gateway until ctx ends, over a kept connection.
// Of the kinds of callers half send stream requests and half at-most-once calls; of
// both, one sends at once, one reads slowly and one makes pauses.
func (s *plannedSoak) runPlannedCaller(ctx context.Context, g *daemon, name string, kind int) {
	c := caller.New(g.callerAddress)
	if kind/2 == 1 {
		c = c.WithSlowReads()
	}
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		o := plannedOutcome{path: standin.StreamPath, gateway: g.name, began: time.Now()}
		if kind%2 == 1 {
			o.path = standin.OncePath
		}
		o.deadline = o.began.Add(plannedDeadline)
		o.Outcome = c.Send(context.Background(), o.path+"x", fmt.Sprint(name, "-", n), apiKey, o.deadline)
		o.ended = time.Now()
		s.mu.Lock()
		s.outcomes = append(s.outcomes, o)
		s.mu.Unlock()
		switch {
		case o.Status != 200:
			time.Sleep(20 * time.Millisecond)
		case kind/2 == 2:
			pause.For(ctx, idleGap)
		}
	}
}
