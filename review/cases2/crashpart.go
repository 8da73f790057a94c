//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
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
	backAfter    = 3 * time.Second
	soundEvery   = 33 * time.Millisecond
	crashEvery   = 200 * time.Millisecond
	modelKey     = "k0ndwhuirzo2pc8gy1tq"
	budget       = 3 * time.Second
	baselineTime = 8 * time.Second
	crashTime    = 20 * time.Second
)

// engineHost serves a stand-in engine on an address, and closes it while the engine is down.
type engineHost struct {
	*standin.Engine
	id, address string
	store       *standin.Store
	record      *record

	mu     sync.Mutex
	server *http.Server
	down   bool
}

func (h *engineHost) listen() {
	l, err := net.Listen("tcp", h.address)
	must(err)
	server := &http.Server{Handler: h.Engine}
	h.mu.Lock()
	h.server = server
	h.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with Close
}

// crash ends the engine as it begins to write an answer on the part. It is back after some
// seconds.
func (h *engineHost) crash() {
	time.Sleep(eventMS * time.Millisecond)
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return
	}
	h.down = true
	server := h.server
	h.mu.Unlock()
	h.record.add(time.Now(), "crash", "%s", h.id)
	h.Engine.Crash(false)
	_ = server.Close()
	time.Sleep(backAfter)
	h.listen()
	h.mu.Lock()
	h.down = false
	h.mu.Unlock()
	h.Engine.Restart()
	h.Engine.Register(h.store, false)
	h.record.add(time.Now(), "back", "%s", h.id)
}

// agentSettings is the template of the deploy file, filled in.
const agentSettings = `Name: %q
Region: "delta"
DataCentre: "delta-a"
PieceListen: %q
LinkMegabits: 100
Backend:
  Kind: Engine
  Service: %q
  Address: %q
Hosting:
  Program: almondreel-agent
  Store: %q
  MemoryMB: 152
  VersionMS: 8000
  Gateways:
%s  Places:
    - DataCentre: "delta-a"
      Region: "delta"
`

// crashPart checks the rule LOST while requests come with a part that crashes engines: a
// caller begins to use a new first part, which sound requests share with those that crash
// engines.
func crashPart(s *site) bool {
	store, origin := standin.NewStore(), standin.NewOrigin()
	originAt := s.ports.Next()
	s.listen(originAt, origin)
	s.storeAt = s.ports.Next()
	s.listen(s.storeAt, store.NewEndpoint())
	store.Configure(standin.Configuration{Version: 1, Keys: []string{modelKey}, Origin: originAt, TimeoutMS: 3000, WarmUpMS: 100})
	store.SetVersion(1)
	s.startGateways(4)
	var seeds strings.Builder
	for _, g := range s.gateways {
		fmt.Fprintf(&seeds, "    - %q\n", g.neighbours)
	}
	var engines []*engineHost
	for n := range engineCount {
		h := &engineHost{id: fmt.Sprintf("i-engine-%d", n), address: s.ports.Next(), store: store, record: s.record}
		h.Engine = standin.NewEngine(standin.EngineOptions{
			ID: h.id, Address: h.address, DataCentre: dataCentre, EventMS: eventMS, FirstVersion: 1, WarmUpMS: 100,
			OnCrash: func() { h.crash() },
		})
		h.listen()
		h.Engine.Register(store, false)
		engines = append(engines, h)
		s.closers = append(s.closers, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			_ = h.server.Close()
		})
		a := &gateway{name: fmt.Sprintf("side-%s-%d", dataCentre, n+1), program: "target/almondreel-agent"}
		a.file = filepath.Join(s.folder, a.name+".yaml")
		text := fmt.Sprintf(agentSettings, a.name, s.ports.Next(), standin.EngineService, h.address, s.storeAt, seeds.String())
		must(os.WriteFile(a.file, []byte(text), 0o644))
		s.agents = append(s.agents, a)
		s.start(a)
	}
	time.Sleep(3 * time.Second)
	s.record.note("%d engines and their agents are running", len(engines))

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
		attempt := fmt.Sprintf("%016x", s.nextID.Add(1)+0x1c41d07b00000000)
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
	for _, e := range engines {
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
