package hosting_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// Begun streams were cut if their engine paused for over a second while all others refused:
// the gateway left it as soon as an engine had a free slot, and gave up after three refusals.
func TestSilentEngineIsKeptUntilAnotherGoesOn(t *testing.T) {
	const (
		engines = 6
		streams = 24
		rounds  = 3
		// refusals last longer than the silence, and than a stream waits for a server.
		refusals = 4 * time.Second
		timeout  = 8 * time.Second
	)
	s := startSite(t, options{gateways: 1, engines: engines, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	time.Sleep(exchangeTime) // the agents have reported
	for _, e := range s.engines {
		e.SetEventMS(slowEventMS)
	}
	cut := 0
	for round := range rounds {
		outcomes := make(chan caller.Outcome, streams)
		for n := range streams {
			go func() {
				c := caller.New(s.gateways[0].callerAddress)
				defer c.Close()
				outcomes <- c.Send(context.Background(), standin.StreamPath+"x", fmt.Sprintf("paused-%d-%d", round, n), apiKey, time.Now().Add(timeout))
			}()
		}
		time.Sleep(300 * time.Millisecond) // the streams have begun
		for n, e := range s.engines {
			if n == round {
				e.SilenceUntil(time.Now().Add(silence))
			} else {
				e.RefuseUntil(time.Now().Add(refusals))
			}
		}
		for range streams {
			if o := <-outcomes; o.CheckStream() != nil {
				t.Logf("%s: status %d, %v", o.Attempt, o.Status, o.CheckStream())
				cut++
			}
		}
		time.Sleep(refusals)
	}
	require.Zero(t, cut, "streams cut of %d", rounds*streams)
}

// Begun streams whose engine ended were cut by three refusals within milliseconds, although
// the engines that refused took requests again half a second later.
func TestBegunStreamOutlastsRefusals(t *testing.T) {
	const (
		engines  = 6
		streams  = 24
		refusals = 500 * time.Millisecond
	)
	s := startSite(t, options{gateways: 1, engines: engines, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	time.Sleep(exchangeTime) // the agents have reported
	for _, e := range s.engines {
		e.SetEventMS(slowEventMS)
	}
	outcomes := s.sendMany(0, streams)
	time.Sleep(300 * time.Millisecond) // the streams have begun
	for _, e := range s.engines[1:] {
		e.RefuseUntil(time.Now().Add(refusals))
	}
	s.engines[0].Crash(false)
	cut := 0
	for range streams {
		if o := <-outcomes; o.CheckStream() != nil {
			t.Logf("%s: status %d, %v", o.Attempt, o.Status, o.CheckStream())
			cut++
		}
	}
	require.Zero(t, cut, "streams cut of %d", streams)
}
