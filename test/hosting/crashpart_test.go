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
	send := func(n int, name, body string, parts ...string) caller.Outcome {
		c := caller.New(s.gateways[n%len(s.gateways)].callerAddress)
		defer c.Close()
		return c.WithBody(body).WithParts(parts...).Send(t.Context(), standin.StreamPath+"x", name, apiKey, time.Now().Add(requestTimeout))
	}
	start, served, late := time.Now(), 0, 0
	for n := 0; time.Since(start) < 8*time.Second; n++ {
		o := send(n, fmt.Sprint("crash-", n), fmt.Sprint("body ", n), "shared", standin.CrashPart, fmt.Sprint("own", n))
		require.Error(t, o.CheckStream())
		o = send(n+1, fmt.Sprint("sound-", n), fmt.Sprint("sound body ", n), "shared", "subject", fmt.Sprint("other", n))
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
