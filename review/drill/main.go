//go:build review

// Drill runs one case of the review: it starts the daemons as processes with stand-ins
// around them, disrupts them, and checks a rule.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var background = context.Background()

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases run with a record, with or without the disruption.
var cases = map[string]func(r *record, trouble bool) (verdict, error){
	"restore":  restoreCase,
	"manifest": manifestCase,
	"freeze":   freezeCase,
	"bodies":   bodiesCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	play, ok := cases[os.Args[1]]
	if !ok {
		r.say("there is no case %q", os.Args[1])
		return exitNotRun
	}
	v, err := play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitNotRun
	case v.broken:
		r.say("BROKEN: %s", v.text)
		return exitBroken
	}
	r.say("held: %s", v.text)
	return exitHeld
}

// errNotDisrupted reports that the disruption did not take place as planned.
var errNotDisrupted = errors.New("the disruption did not take place")

// traffic sends requests until it is stopped and keeps them.
type traffic struct {
	mu   sync.Mutex
	all  []sent
	quit chan struct{}
	done sync.WaitGroup
}

// flow is one caller's requests: one after the other, with a pause between them.
type flow struct {
	gateway int
	path    string
	key     string
	pause   time.Duration
}

func (s *site) startTraffic(flows ...flow) *traffic {
	t := &traffic{quit: make(chan struct{})}
	for _, f := range flows {
		t.done.Add(1)
		go func() {
			defer t.done.Done()
			for {
				out := s.send(f.gateway, f.path, f.key)
				t.mu.Lock()
				t.all = append(t.all, out)
				t.mu.Unlock()
				select {
				case <-t.quit:
					return
				case <-time.After(f.pause):
				}
			}
		}()
	}
	return t
}

// stop ends the traffic and returns all requests.
func (t *traffic) stop() []sent {
	close(t.quit)
	t.done.Wait()
	return t.all
}

// count returns how many requests that were sent from a time until another fulfil a
// condition, and how many there are.
func count(all []sent, from, until time.Time, holds func(sent) bool) (matching, total int) {
	for _, o := range all {
		if o.at.Before(from) || !o.at.Before(until) {
			continue
		}
		total++
		if holds(o) {
			matching++
		}
	}
	return matching, total
}
