package requests_test

import (
	"context"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/pause"
)

// changeClasses changes the classes all the time, often several times in a row, and
// releases the next version halfway. A change that is not accepted, as while all gateways
// stop, is made again.
func (s *plannedSoak) changeClasses(ctx context.Context, engines int) {
	r := s.newRand(2000)
	releaseAt := time.Now().Add(plannedTime / 2)
	for ctx.Err() == nil {
		for range 1 + r.IntN(4) {
			seconds := func(from, to int) string { return fmt.Sprint(from+r.IntN(to-from), "s") }
			changes := [][]string{
				{"target", "auction-questions", "--replicas", strconv.Itoa(1 + engines/2 + r.IntN(engines/2))},
				{"class", "set", "auction-questions", "--first-token", fmt.Sprint(300+r.IntN(2000), "ms"), "--answer-within", seconds(8, 20)},
				{"class", "set", "settlement-postings", "--answer-within", seconds(5, 15), "--priority", strconv.Itoa(r.IntN(10))},
				{"class", "set", "consignment-notes", "--priority", strconv.Itoa(r.IntN(20)), "--between-tokens", fmt.Sprint(50+r.IntN(400), "ms")},
			}
			if _, _, err := s.Operator(changes[r.IntN(len(changes))]...); err != nil {
				s.t.Error(err)
			}
		}
		if time.Now().After(releaseAt) {
			_ = s.Release(ctx, "2") // made again
		}
		pause.For(ctx, time.Duration(r.IntN(1500))*time.Millisecond)
	}
}

// list sets the platform's list, with an instance in another state.
func (s *plannedSoak) list(instance string, state instances.State) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.states[instance] = state
	if err := s.ListInstances(s.t.Context(), s.states, s.odd...); err != nil {
		s.t.Errorf("%v, with %.200s", err, s.odd)
	}
}

// drainBackends lists one engine's instance as leaving at a time and, once no request
// runs there, restarts the engine or not, and lists the instance as live again.
func (s *plannedSoak) drainBackends(ctx context.Context) {
	r := s.newRand(1000)
	for ctx.Err() == nil {
		b := s.Backends[r.IntN(s.Site.Services[0].Instances)]
		restart := r.IntN(2) == 0
		s.list(b.Instance, instances.Leaving)
		time.Sleep(leaveTime)
		if engine := s.Process("backend-" + b.Instance); restart {
			engine.Terminate()
			if err := engine.Start(); err != nil {
				s.t.Error(err)
			}
		}
		s.list(b.Instance, instances.Live)
		pause.For(ctx, time.Duration(r.IntN(1000))*time.Millisecond)
	}
}

// silenceBackends suspends backend servers for about a second at a time. They are sound:
// they go on afterwards.
func (s *plannedSoak) silenceBackends(ctx context.Context) {
	r := s.newRand(1001)
	for ctx.Err() == nil {
		backends := []fleet.Backend{s.Backends[r.IntN(len(s.Backends))]}
		if r.IntN(4) == 0 {
			backends = s.Backends
		}
		for _, b := range backends {
			s.Process("backend-" + b.Instance).Signal(syscall.SIGSTOP)
		}
		time.Sleep(700*time.Millisecond + time.Duration(r.IntN(600))*time.Millisecond)
		for _, b := range backends {
			s.Process("backend-" + b.Instance).Signal(syscall.SIGCONT)
		}
		pause.For(ctx, time.Duration(r.IntN(2000))*time.Millisecond)
	}
}
