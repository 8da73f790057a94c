package hosting_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const (
	// limitWindow, limitFactor and limitSlack bound what an engine that names a limit may
	// get: within limitWindow, limitFactor times what the limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitLearnedIn is the time from the first response that names a limit until all
	// gateways must keep it.
	limitLearnedIn = 3 * time.Second
)

// An engine names a limit in its responses, and counts the requests of all gateways
// together. The gateways must keep it between them, and send the engine as much as
// before once it no longer names one.
func TestEngineGetsNoMoreThanItsLimitFromAllGateways(t *testing.T) {
	s := startSite(t, options{gateways: 3, engines: 3, firstVersion: 1})
	for n := range s.gateways {
		s.waitForVersion(n, 1, 10*time.Second)
	}
	const limit = 1.5
	e := s.engines[0]
	e.SetLimit(fmt.Sprint(limit))
	var failed atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	const callers = 6
	for n := range callers {
		go func() {
			defer func() { ended <- struct{}{} }()
			s.sendUntil(ctx, n, &failed)
		}()
	}
	time.Sleep(limitLearnedIn)
	began := time.Now()
	time.Sleep(2 * limitWindow)
	limited := runsSince(e, began)
	e.SetLimit("")
	s.eventually(5*time.Second, "the engine gets requests again", func() bool { return len(runsSince(e, time.Now().Add(-time.Second))) > 10 })
	cancel()
	for range callers {
		<-ended
	}
	for first, r := range limited {
		got := 0
		for _, other := range limited[first:] {
			if other.At.Sub(r.At) < limitWindow {
				got++
			}
		}
		require.LessOrEqual(t, float64(got), limitFactor*limit*limitWindow.Seconds()+limitSlack, "requests within %s", limitWindow)
	}
	require.GreaterOrEqual(t, float64(len(limited)), limit*2*limitWindow.Seconds()/3, "the engine got far fewer requests than it accepts")
	require.Zero(t, failed.Load(), "requests that other engines could have run")
}

// sendUntil sends requests through gateway n modulo their number, one after the other,
// until ctx ends. It counts those that are not answered.
func (s *site) sendUntil(ctx context.Context, n int, failed *atomic.Int64) {
	c := caller.New(s.gateways[n%len(s.gateways)].callerAddress)
	defer c.Close()
	for k := 0; ctx.Err() == nil; k++ {
		o := c.Send(ctx, standin.StreamPath+"x", fmt.Sprintf("caller-%d-%d", n, k), apiKey, time.Now().Add(requestTimeout))
		if o.CheckStream() != nil && ctx.Err() == nil {
			failed.Add(1)
		}
	}
}

// runsSince returns an engine's runs from the time since on.
func runsSince(e *engine, since time.Time) []standin.Run {
	var runs []standin.Run
	for _, r := range e.Runs() {
		if !r.At.Before(since) {
			runs = append(runs, r)
		}
	}
	return runs
}
