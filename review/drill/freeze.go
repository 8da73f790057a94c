//go:build review

package main

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"almondreel.example/almondreel/platform/standin"
)

// freezeCase freezes a machine that carries an engine while its agent checks the staged
// pieces of a new version, and lets one of these pieces turn bad when the freeze begins.
func freezeCase(r *record, trouble bool) (verdict, error) {
	const (
		freeze  = 4 * time.Second
		spoilt  = 3 // piece that turns bad
		watched = 4 * time.Second
		// received is the time in which the agent gets the last piece that it reads. It sends
		// the order 0.1 s after it has begun to read.
		received = 10 * time.Millisecond
	)
	s, err := startSite(r, size{3, 3}, standin.NewOrigin())
	if err != nil {
		return verdict{}, err
	}
	defer s.stop()
	var flows []flow
	for n := range s.gateways {
		for range 4 {
			flows = append(flows, flow{n, standin.StreamPath, "kept", 100 * time.Millisecond})
		}
	}
	t := s.startTraffic(flows...)
	time.Sleep(3 * time.Second)
	e := s.engines[0]
	var staged, read atomic.Int64
	checked, woken := make(chan struct{}), make(chan struct{})
	var once sync.Once
	onCall := func(q *http.Request) {
		piece, _ := strconv.Atoi(q.URL.Query().Get("num"))
		switch {
		case strings.HasPrefix(q.URL.Path, wire.Stage):
			r.add("engine 0: piece %d is staged", piece)
			staged.Add(1)
			read.Store(0)
		case strings.HasPrefix(q.URL.Path, wire.Staged) && q.URL.Query().Has("num"):
			r.add("engine 0: staged piece %d is read", piece)
			if staged.Load() >= standin.Pieces && read.Add(1) == standin.Pieces {
				once.Do(func() { close(checked) })
			}
		case q.URL.Path == wire.Order:
			r.say("engine 0: load order")
		}
	}
	e.onCall.Store(&onCall)
	s.nameVersion(2)
	r.say("version 2 is confirmed")
	select {
	case <-checked:
		time.Sleep(received)
	case <-time.After(versionMS * time.Millisecond):
		return verdict{}, errNotDisrupted
	}
	if trouble {
		e.CorruptPiece(spoilt)
		e.agent.Signal(syscall.SIGSTOP)
		e.SilenceUntil(time.Now().Add(freeze))
		r.say("machine 0 freezes; piece %d turned bad at its engine just before", spoilt)
		time.AfterFunc(freeze, func() {
			e.agent.Signal(syscall.SIGCONT)
			r.say("machine 0 wakes")
			close(woken)
		})
		<-woken
	}
	time.Sleep(versionMS*time.Millisecond + watched)
	t.stop()
	runs := 0
	if e.Version() == 2 {
		runs = len(e.Runs())
	}
	for _, line := range e.WrongPieceLoads() {
		r.say("%s", line)
	}
	loads := len(e.WrongPieceLoads())
	tokens := false
	for n := 0; n < 60 && loads > 0 && !tokens; n++ {
		s.send(n%len(s.gateways), standin.StreamPath, "kept")
		tokens = len(e.Runs()) > runs
	}
	r.say("engine 0 serves version %d; it ran requests after the load: %v", e.Version(), tokens)
	if e.Version() != 2 {
		return verdict{}, errNotDisrupted
	}
	if loads > 0 && tokens {
		return verdict{true, "WHOLE: tokens were made with a spoilt layer"}, nil
	}
	return verdict{false, "no engine loaded a spoilt piece"}, nil
}
