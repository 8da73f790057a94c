//go:build review

package main

import (
	"context"
	"syscall"
	"time"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

func init() { cases["lateorder"] = lateOrder }

const (
	// freezeTime is how long a machine stands still, its engine and its agent.
	freezeTime = 3800 * time.Millisecond
	// restartDelay is how long killed processes are down.
	restartDelay = 500 * time.Millisecond
	// watchTime is how long callers go on after the machine has woken.
	watchTime   = 12 * time.Second
	callerCount = 8
	// lateOrderEngines is the least number of which one is within the share of machines that
	// may freeze.
	lateOrderEngines = 9
)

// lateOrder checks the rule WHOLE: a machine freezes with an order to load a version on its way
// to its engine, a staged piece turns bad there, and all processes of the system are killed
// meanwhile.
func lateOrder(s *site) bool {
	s.startStore()
	s.store.Configure(standin.Configuration{Version: 1, Keys: []string{modelKey}})
	s.startGateways(2)
	s.startEngines(lateOrderEngines, 40, 300)
	stop := make(chan struct{})
	s.writeEntries(stop)
	for n := range s.gateways {
		s.await(10*time.Second, "version 1 is served", func() bool { return s.send(n).Version == 1 })
	}
	time.Sleep(2 * time.Second)
	for n := range callerCount {
		s.traffic.Add(1)
		go func() {
			defer s.traffic.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					s.send(n)
				}
			}
		}()
	}

	engine, agent := s.engines[0], s.agents[0]
	frozen := make(chan time.Time, 1)
	if s.trouble {
		engine.SetOnOrder(func(standin.Order) {
			engine.SetOnOrder(nil)
			wakes := time.Now().Add(freezeTime)
			engine.SilenceUntil(wakes)
			_ = agent.command.Process.Signal(syscall.SIGSTOP)
			engine.CorruptPiece(1)
			frozen <- wakes
		})
	}
	s.store.SetVersion(2)
	s.record.note("version 2 is named")
	if s.trouble {
		var wakes time.Time
		select {
		case wakes = <-frozen:
		case <-time.After(10 * time.Second):
			panic("no load was ordered")
		}
		s.record.note("the machine of %s stands still with the order on its way; one of its staged pieces turns bad", engine.id)
		time.Sleep(300 * time.Millisecond)
		for _, p := range append(s.gateways, s.agents...) {
			s.kill(p)
		}
		s.record.note("all gateways and agents are killed")
		time.Sleep(restartDelay)
		for _, p := range append(s.gateways, s.agents[1:]...) {
			s.startAgain(p)
		}
		time.Sleep(time.Until(wakes))
		s.record.note("the machine of %s wakes", engine.id)
		time.Sleep(restartDelay)
		s.startAgain(agent)
	}
	time.Sleep(watchTime)
	close(stop)
	s.traffic.Wait()

	served := 0
	for _, r := range engine.Runs() {
		if r.Version == 2 {
			served++
		}
	}
	for _, line := range engine.SpoiltLoads() {
		s.record.note("%s", line)
	}
	runs := engine.SpoiltRuns()
	for _, line := range runs {
		s.record.add(time.Now(), "spoilt", "%s", line)
	}
	s.record.note("%s ran %d requests on version 2, %d of them on a piece that had been bad for more than 3 s when it was taken", engine.id, served, len(runs))
	return len(runs) > 0
}

// writeEntries writes the engines' entries to the store when their weights change.
func (s *site) writeEntries(stop <-chan struct{}) {
	s.traffic.Add(1)
	go func() {
		defer s.traffic.Done()
		written := make([]int64, len(s.engines))
		for {
			for n, e := range s.engines {
				if v := e.Version(); v != written[n] {
					e.Register(s.store, false)
					written[n] = v
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
}

// send sends one request to gateway n modulo their number.
func (s *site) send(n int) caller.Outcome {
	g, attempt := s.gateways[n%len(s.gateways)], s.newAttempt()
	c := caller.New(g.callers)
	defer c.Close()
	s.record.add(time.Now(), "sent", "%s to %s", attempt, g.name)
	out := c.WithBody("body of "+attempt).Send(context.Background(), standin.StreamPath+"x", attempt, modelKey, time.Now().Add(3*time.Second))
	s.record.add(time.Now(), "answer", "%s status %d version %d whole %v", attempt, out.Status, out.Version, out.CheckStream() == nil)
	return out
}
