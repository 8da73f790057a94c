package hosting_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/pause"
)

const (
	coldPerSecond = 8
	coldOverage   = 1.5
	coldTolerance = 2
	// coldBound is the number of requests that a cold engine may get within a second.
	coldBound = int(coldPerSecond*coldOverage + coldTolerance)
	// coldLearnedIn is the time from the entry of a cold engine until all gateways must know
	// of it. The store's changes reach them within 400 ms.
	coldLearnedIn = time.Second
	coldPeriod    = 5 * time.Second
	// coldSettledIn is the time from a gateway's start until it uses its whole share.
	coldSettledIn = 3 * time.Second
)

// Guards against gateways that together send a cold engine more than it survives, leave its
// rate unused, fail requests that warm engines could run, or keep limiting it. The engine
// becomes cold again during traffic; at the end all engines are cold at once.
func TestColdEnginesGetNoMoreThanBoundFromAllGateways(t *testing.T) {
	s := startSite(t, options{
		gateways: 3, engines: 3, firstVersion: 1, coldPerSecond: coldPerSecond,
		coldStart: fmt.Sprintf("{Overage: %g, Tolerance: %d}", coldOverage, coldTolerance),
	})
	for n := range s.gateways {
		s.waitForVersion(n, 1, 10*time.Second)
	}
	time.Sleep(coldSettledIn)
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
	e := s.engines[0]
	busy := func() bool { return len(runsSince(e, time.Now().Add(-time.Second))) > 2*coldPerSecond }
	for range 2 {
		s.eventually(5*time.Second, "the engine gets its usual requests", busy)
		s.requireColdBound(e)
	}
	s.eventually(5*time.Second, "the engine gets its usual requests again", busy)
	require.Zero(t, failed.Load(), "requests that other engines could have run")
	s.requireColdBound(s.engines...)
	cancel()
	for range callers {
		<-ended
	}
	log := s.gateways[0].log.String()
	require.GreaterOrEqual(t, strings.Count(log, "backend server became cold"), 2)
	require.GreaterOrEqual(t, strings.Count(log, "backend server is no longer cold"), 2)
	require.Positive(t, s.metric(0, "almondreel_ColdSends"))
	require.Positive(t, s.metric(0, "almondreel_ColdDeferred"))
}

// requireColdBound makes engines cold for coldPeriod and checks how many requests each got
// once all gateways knew of it.
func (s *site) requireColdBound(engines ...*engine) {
	s.t.Helper()
	end := time.Now().Add(coldPeriod)
	for _, e := range engines {
		e.ColdUntil(end)
		e.Register(s.store, false)
	}
	time.Sleep(coldLearnedIn)
	began := time.Now()
	time.Sleep(time.Until(end))
	for n, e := range engines {
		var got []time.Time
		for _, at := range e.ReceivedCold() {
			if at.After(began) {
				got = append(got, at)
			}
		}
		most := mostPerSecond(got)
		s.t.Logf("cold engine %d: %d requests in %s, at most %d within a second", n, len(got), end.Sub(began), most)
		require.LessOrEqual(s.t, most, coldBound)
		require.GreaterOrEqual(s.t, float64(len(got)), coldPerSecond*end.Sub(began).Seconds()/2, "the rate is left unused")
	}
}

// mostPerSecond returns the largest number of requests within a second, by their times in order.
func mostPerSecond(at []time.Time) int {
	most := 0
	for first := range at {
		last := first
		for last < len(at) && at[last].Sub(at[first]) < time.Second {
			last++
		}
		most = max(most, last-first)
	}
	return most
}

// Guards against a backlog that a suspended gateway sends at once when it resumes: requests in
// its queue, and those that had a slot but were not on their way. All engines are cold and all
// gateways have more requests than the engines accept.
func TestResumedGatewayKeepsColdBound(t *testing.T) {
	s := startSite(t, options{
		gateways: 3, engines: 2, firstVersion: 1, coldPerSecond: coldPerSecond,
		coldStart: fmt.Sprintf("{Overage: %g, Tolerance: %d}", coldOverage, coldTolerance),
	})
	for n := range s.gateways {
		s.waitForVersion(n, 1, 10*time.Second)
	}
	time.Sleep(coldSettledIn)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	const callers = 30
	for n := range callers {
		go func() {
			defer func() { ended <- struct{}{} }()
			for pause.For(ctx, 50*time.Millisecond) {
				_ = s.send(n%len(s.gateways), apiKey)
			}
		}()
	}
	var stopped, resumed error
	suspended := make(chan struct{})
	go func() {
		defer close(suspended)
		time.Sleep(coldLearnedIn + 500*time.Millisecond)
		stopped = s.gateways[1].command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond) // longer than its bucket takes to fill
		resumed = s.gateways[1].command.Process.Signal(syscall.SIGCONT)
	}()
	s.requireColdBound(s.engines...)
	<-suspended
	require.NoError(t, stopped)
	require.NoError(t, resumed)
	cancel()
	for range callers {
		<-ended
	}
}

// Guards against any effect of cold engines on gateways whose settings do not mention them.
func TestColdEngineIsNotLimitedWithoutSettings(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1, firstVersion: 1, coldPerSecond: 0.5})
	e := s.engines[0]
	e.ColdUntil(time.Now().Add(time.Minute))
	e.Register(s.store, false)
	s.waitForVersion(0, 1, 10*time.Second)
	time.Sleep(coldLearnedIn)
	outcomes := s.sendMany(0, 6)
	requireWholeStreams(t, outcomes, 6)
	require.False(t, s.logged("became cold"))
}

// metric returns the value of a gateway's metric without labels; 0 if there is none.
func (s *site) metric(gateway int, name string) float64 {
	s.t.Helper()
	response, err := http.Get("http://" + s.gateways[gateway].controlAddress + "/metrics")
	require.NoError(s.t, err)
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			value, err := strconv.ParseFloat(text, 64)
			require.NoError(s.t, err)
			return value
		}
	}
	return 0
}
