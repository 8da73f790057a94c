//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"almondreel.example/almondreel/platform/standin"
)

// engineHost serves a stand-in engine on an address, and closes it while the engine is down.
type engineHost struct {
	*standin.Engine
	id, address string
	site        *site

	mu     sync.Mutex
	server *http.Server
	down   bool
}

// startEngines starts engines that hold version 1, with their agents, behind the gateways.
func (s *site) startEngines(count, eventMS, warmUpMS int) {
	origin, originAt := standin.NewOrigin(), s.ports.Next()
	s.listen(originAt, origin)
	s.store.Configure(standin.Configuration{Version: 1, Keys: []string{modelKey}, Origin: originAt, TimeoutMS: 3000, WarmUpMS: warmUpMS})
	s.store.SetVersion(1)
	for n := range count {
		h := &engineHost{id: fmt.Sprintf("i-engine-%d", n), address: s.ports.Next(), site: s}
		h.Engine = standin.NewEngine(standin.EngineOptions{
			ID: h.id, Address: h.address, DataCentre: dataCentre, EventMS: eventMS, FirstVersion: 1, WarmUpMS: warmUpMS,
			OnCrash: func() {
				time.Sleep(time.Duration(eventMS) * time.Millisecond) // it crashes as it begins to write
				h.crash()
			},
		})
		h.listen()
		h.Engine.Register(s.store, false)
		s.engines = append(s.engines, h)
		s.startAgent(h)
	}
}

func (h *engineHost) listen() {
	l, err := net.Listen("tcp", h.address)
	must(err)
	server := &http.Server{Handler: h.Engine}
	h.mu.Lock()
	h.server = server
	h.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with close
}

func (h *engineHost) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.server.Close()
}

// backAfter is how long an engine is down that has crashed.
const backAfter = 3 * time.Second

func (h *engineHost) crash() {
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return
	}
	h.down = true
	h.mu.Unlock()
	h.site.record.add(time.Now(), "crash", "%s", h.id)
	h.Engine.Crash(false)
	h.close()
	time.Sleep(backAfter)
	h.listen()
	h.mu.Lock()
	h.down = false
	h.mu.Unlock()
	h.Engine.Restart()
	h.Engine.Register(h.site.store, false)
	h.site.record.add(time.Now(), "back", "%s", h.id)
}
