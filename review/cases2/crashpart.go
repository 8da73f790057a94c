//go:build review

package main

import (
	"context"
	"strings"
	"sync"
	"time"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

func init() { cases["crashpart"] = crashPart }

const (
	engineCount  = 5
	eventMS      = 80 // from the start of a run to its first event, and between events
	soundEvery   = 33 * time.Millisecond
	crashEvery   = 200 * time.Millisecond
	budget       = 3 * time.Second
	baselineTime = 8 * time.Second
	crashTime    = 20 * time.Second
)

// crashPart checks the rule LOST while requests come with a part that crashes engines: a
// caller begins to use a new first part, which sound requests share with those that crash
// engines.
func crashPart(s *site) bool {
	s.startStore()
	s.store.Configure(standin.Configuration{Version: 1, Keys: []string{modelKey}})
	s.startGateways(4)
	s.startEngines(engineCount, eventMS, 100)
	time.Sleep(3 * time.Second)
	s.record.note("%d gateways, %d engines and their agents are running", len(s.gateways), len(s.engines))

	type request struct {
		attempt string
		at      time.Time
		sound   bool
		status  int
	}
	var mu sync.Mutex
	var all []request
	send := func(n int, sound bool, parts ...string) {
		defer s.traffic.Done()
		attempt := s.newAttempt()
		c := caller.New(s.gateways[n%len(s.gateways)].callers)
		defer c.Close()
		at := time.Now()
		s.record.add(at, "sent", "%s parts %s", attempt, strings.Join(parts, ","))
		out := c.WithBody("body of "+attempt).WithParts(append(parts, attempt)...).Send(context.Background(), standin.StreamPath+"x", attempt, modelKey, at.Add(budget))
		s.record.add(time.Now(), "answer", "%s status %d whole %v", attempt, out.Status, out.CheckStream() == nil)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, request{attempt, at, sound, out.Status})
	}
	subjects := []string{"a1", "a2", "a3", "a4", "a5"}
	n := 0
	phase := func(first string, for_ time.Duration, crashing bool) {
		began := time.Now()
		nextCrash := began
		for ; time.Since(began) < for_; n++ {
			s.traffic.Add(1)
			go send(n, true, first, subjects[n%len(subjects)])
			if crashing && !time.Now().Before(nextCrash) {
				nextCrash = nextCrash.Add(crashEvery)
				s.traffic.Add(1)
				go send(n+1, false, first, standin.CrashPart)
			}
			time.Sleep(soundEvery)
		}
	}
	baselineAt := time.Now()
	phase("f1", baselineTime, false)
	crashesAt := time.Now()
	s.record.note("the caller goes over to a new first part; requests with it and the part %s crash engines", standin.CrashPart)
	phase("f2", crashTime, s.trouble)
	s.traffic.Wait()

	ran := map[string]bool{}
	for _, e := range s.engines {
		for _, r := range e.Runs() {
			ran[r.Attempt] = true
		}
	}
	fifth := s.record.fifthCrash()
	from := crashesAt
	if !fifth.IsZero() {
		from = fifth.Add(2 * stableWindow)
	}
	var baseline, baselineBegun, judged, begun, crashers, crashersRun int
	for _, r := range all {
		switch {
		case !r.sound:
			crashers++
			if ran[r.attempt] {
				crashersRun++
			}
		case r.at.After(baselineAt) && r.at.Before(crashesAt):
			baseline++
			if ran[r.attempt] {
				baselineBegun++
			}
		case r.at.After(from):
			judged++
			if ran[r.attempt] {
				begun++
			}
		}
	}
	s.record.note("sound requests that began at the first attempt: %d of %d before, %d of %d from twice stable_window_ms after the fifth crash; %d of %d requests with the part ran",
		baselineBegun, baseline, begun, judged, crashersRun, crashers)
	if baseline < 20 || judged < 20 {
		panic("too few requests to judge")
	}
	return 2*begun*baseline < baselineBegun*judged
}
