package hosting_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const (
	// maxPartCrashes is the number of crashes after which a prompt part is quarantined.
	maxPartCrashes = 5
	// maxLateRuns is how many requests with such a part may still reach engines later
	// than partCrashReportTime after that.
	maxLateRuns         = 3
	partCrashReportTime = 3 * time.Second
)

// Requests that differ in everything but one part of the prompt crash every engine that
// runs them, so a quarantine of whole requests never stops them. Requests that share
// their other parts must be served.
func TestPromptPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 6, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.waitForVersion(1, 1, 10*time.Second)
	start, served, late := time.Now(), 0, 0
	for n := 0; time.Since(start) < 8*time.Second; n++ {
		o := s.sendParts(n, fmt.Sprint("crash-", n), "shared", standin.CrashPart, fmt.Sprint("own", n))
		require.Error(t, o.CheckStream())
		o = s.sendParts(n+1, fmt.Sprint("sound-", n), "shared", "subject", fmt.Sprint("other", n))
		if time.Since(start) > 2*partCrashReportTime {
			late++
			if o.Status == http.StatusOK && o.CheckStream() == nil {
				served++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	runs := s.runsOf("crash-")
	require.GreaterOrEqual(t, len(runs), 2, "too few engines ran a crashing request")
	if len(runs) > maxPartCrashes {
		end := runs[maxPartCrashes-1].At.Add(partCrashReportTime)
		lateRuns := slices.DeleteFunc(runs, func(r standin.Run) bool { return r.At.Before(end) })
		require.LessOrEqual(t, len(lateRuns), maxLateRuns, "requests with the part reached engines")
	}
	require.Greater(t, late, 5)
	require.Equal(t, late, served, "requests with other parts were not served")
}

// All gateways are killed and start again. They must not learn anew which part crashes
// engines by crashing them.
func TestQuarantinedPartIsKnownAfterAllGatewaysRestart(t *testing.T) {
	s := startSite(t, options{gateways: 2, engines: 6, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.waitForVersion(1, 1, 10*time.Second)
	for n := range 10 {
		require.Error(t, s.sendParts(n, fmt.Sprint("crash-", n), "shared", standin.CrashPart, fmt.Sprint("own", n)).CheckStream())
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(exchangeTime)
	for _, g := range s.gateways {
		g.kill()
	}
	for _, g := range s.gateways {
		g.start(t)
	}
	s.waitForVersion(0, 1, 10*time.Second)
	s.waitForVersion(1, 1, 10*time.Second)
	time.Sleep(exchangeTime)
	for n := range 10 {
		require.Error(t, s.sendParts(n, fmt.Sprint("again-", n), "shared", standin.CrashPart, fmt.Sprint("own", n+20)).CheckStream())
	}
	require.NotEmpty(t, s.runsOf("crash-"))
	require.Empty(t, s.runsOf("again-"))
}

// sendParts sends a stream request whose prompt has these parts, with a body of its own,
// through gateway n modulo their number.
func (s *site) sendParts(n int, attempt string, parts ...string) caller.Outcome {
	c := caller.New(s.gateways[n%len(s.gateways)].callerAddress)
	defer c.Close()
	return c.WithBody("body of "+attempt).WithParts(parts...).Send(s.t.Context(), standin.StreamPath+"x", attempt, apiKey, time.Now().Add(requestTimeout))
}

// runsOf returns the runs of all engines whose attempts have the prefix, by time.
func (s *site) runsOf(prefix string) []standin.Run {
	var runs []standin.Run
	for _, e := range s.engines {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.Attempt, prefix) {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	return runs
}
