package hosting_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/standin"
)

// An engine says in its answers that it is about to end while its entry says
// nothing. The gateway that passed one on sends it no more, also after SIGHUP and
// while the store is away; the other gateway hears it. The engine's next start
// serves again.
func TestAnEngineThatSaysItEndsIsSentNothingMore(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 2})
	s.serves(0, 1, 10*time.Second)
	s.serves(1, 1, 10*time.Second)
	e := s.engines[0]
	e.Depart()
	s.soon(5*time.Second, "an answer says so", func() bool {
		before := len(e.Runs())
		s.ask(0, key)
		return len(e.Runs()) > before
	})
	time.Sleep(exchangeTime)
	for _, g := range s.gateways {
		g.door.SetFaults(standin.StoreFaults{Busy: true})
		require.NoError(t, g.command.Process.Signal(syscall.SIGHUP))
	}
	before := len(e.Runs())
	began := time.Now()
	for n := 0; time.Since(began) < 3*time.Second; n++ {
		require.Equal(t, http.StatusOK, s.ask(n%2, key).Status)
	}
	require.Len(t, e.Runs(), before, "requests after its last word")
	for _, g := range s.gateways {
		g.door.SetFaults(standin.StoreFaults{})
	}
	e.Crash(false)
	e.Restart()
	e.List(s.store, false)
	s.soon(10*time.Second, "it serves again", func() bool {
		s.ask(0, key)
		return len(e.Runs()) > before
	})
}

// targetTime is longer than a request of a stream may wait for a place.
const targetTime = 700 * time.Millisecond

// A full engine that names a time gets nothing until then, and callers hear it.
func TestAFullEngineIsLeftAloneUntilItsTime(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1})
	s.serves(0, 1, 10*time.Second)
	until := time.Now().Add(2 * time.Second)
	s.engines[0].Fill(until)
	for time.Until(until) > targetTime {
		o := s.ask(0, key)
		require.Equal(t, http.StatusServiceUnavailable, o.Status)
		time.Sleep(30 * time.Millisecond)
	}
	require.LessOrEqual(t, len(s.engines[0].Turned()), 1)
	s.serves(0, 1, 2*time.Second)
}
