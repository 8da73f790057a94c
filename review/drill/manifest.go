//go:build review

package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/platform/standin"
)

// spoilingOrigin spoils one byte of the next answer with a manifest, once it is armed.
type spoilingOrigin struct {
	*standin.Origin
	armed   atomic.Bool
	record  *record
	answers atomic.Int64
	spoilt  atomic.Int64
}

func (o *spoilingOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.answers.Add(1)
	if !strings.HasPrefix(r.URL.Path, wire.Manifest) {
		o.Origin.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	o.Origin.ServeHTTP(answer, r)
	text := answer.Body.Bytes()
	if at := bytes.Index(text, []byte(`"hashes":["`)); at >= 0 && o.armed.CompareAndSwap(true, false) {
		at += len(`"hashes":["`) + 5
		was := text[at]
		text[at] = 'a'
		if was == 'a' {
			text[at] = 'b'
		}
		o.spoilt.Add(1)
		o.record.say("the origin spoils one byte of its answer with the manifest: %q becomes %q in the first hash", was, text[at])
	}
	o.record.add("the origin answers %s", r.URL)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // the client may have disconnected
}

// manifestCase lets all machines lose power right after a confirmation. While they
// recover, the origin spoils one byte of one answer.
func manifestCase(r *record, trouble bool) (verdict, error) {
	const (
		down    = 1500 * time.Millisecond
		watched = 20 * time.Second
	)
	origin := &spoilingOrigin{Origin: standin.NewOrigin(), record: r}
	s, err := startSite(r, size{3, 1}, origin)
	if err != nil {
		return verdict{}, err
	}
	defer s.stop()
	var flows []flow
	for n := range s.gateways {
		flows = append(flows, flow{n, standin.OncePath, "kept", 500 * time.Millisecond})
		for range 6 {
			flows = append(flows, flow{n, standin.StreamPath, "kept", 200 * time.Millisecond})
		}
	}
	t := s.startTraffic(flows...)
	startedAt := time.Now()
	time.Sleep(6 * time.Second)
	s.configure("kept", "withdrawn")
	struckAt := time.Now()
	r.say("configuration %d is confirmed", s.configVersion)
	if trouble {
		s.losePower()
		time.Sleep(down)
		origin.armed.Store(true)
		if err := s.powerOn(); err != nil {
			return verdict{}, err
		}
	}
	backAt := time.Now()
	time.Sleep(recovery + watched)
	all := t.stop()
	served := func(o sent) bool { return o.Status == http.StatusOK && o.Err == nil }
	before, sentBefore := count(all, startedAt, struckAt, served)
	after, sentAfter := count(all, backAt.Add(recovery), time.Now(), served)
	r.say("served before: %d of %d; of those sent over 12 s after the machines were back: %d of %d; the origin sent %d answers, %d spoilt",
		before, sentBefore, after, sentAfter, origin.answers.Load(), origin.spoilt.Load())
	if trouble && origin.spoilt.Load() != 1 || 4*before < sentBefore {
		return verdict{}, errNotDisrupted
	}
	if 4*after < sentAfter {
		return verdict{true, "RECOVER: less than a quarter of the requests is served"}, nil
	}
	return verdict{false, "a quarter of the requests or more is served"}, nil
}

// losePower ends all daemons and engines. Engines lose their loaded and staged weights.
func (s *site) losePower() {
	var ended sync.WaitGroup
	for _, g := range s.gateways {
		ended.Go(g.Kill)
	}
	for _, e := range s.engines {
		e.down.Store(true)
		e.Crash(true)
		ended.Go(e.agent.Kill)
	}
	ended.Wait()
	s.say("all machines lost power")
}

// powerOn starts all machines at the same time.
func (s *site) powerOn() error {
	for _, g := range s.gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, e := range s.engines {
		e.Restart()
		e.down.Store(false)
		_ = e.RegisterAt(s.storeAddress) // it is written again with the next heartbeat
		if err := e.agent.Start(); err != nil {
			return err
		}
	}
	s.say("all machines are back")
	return nil
}
