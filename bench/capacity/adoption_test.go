package capacity_test

import (
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/fleet"
)

// adoption is a line of a daemon's log that reports that it adopted a document.
type adoption struct {
	at       time.Time
	revision uint64
}

// adoptionEvents are the log events for adopting each kind of document.
var adoptionEvents = map[string]event.Number{
	"configuration": event.ConfigurationAdopted,
	"placement":     event.PlacementAdopted,
}

// notAdopted is the time reported for a change that some daemon did not adopt during
// the measurement.
const notAdopted = time.Hour

// adoptionTimes returns, for each change, the time from its acceptance until the last
// daemon adopted the document. For a placement, this is the first one that the daemon
// adopted after the change was requested.
func adoptionTimes(b *testing.B, f *fleet.Fleet, changes []acceptedChange, document string) []time.Duration {
	var logs [][]adoption
	for _, roleDaemons := range daemonsByRole(f) {
		for _, d := range roleDaemons {
			logs = append(logs, adoptions(b, d.process.Log(), adoptionEvents[document]))
		}
	}
	out := make([]time.Duration, len(changes))
	for i, change := range changes {
		for _, log := range logs {
			at, ok := firstAdoption(log, change, document == "placement")
			if !ok {
				out[i] = notAdopted
				break
			}
			out[i] = max(out[i], at.Sub(change.acceptedAt))
		}
	}
	return out
}

// firstAdoption returns when a daemon first adopted the change's revision or a later
// one. With anyNewer it returns the first adoption after the change was requested.
func firstAdoption(log []adoption, change acceptedChange, anyNewer bool) (time.Time, bool) {
	for _, a := range log {
		if anyNewer && a.at.After(change.requestedAt) || !anyNewer && a.revision >= change.revision {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// adoptions returns the adoptions in a daemon's log. The log's times are local times
// without a year; the current year is used.
func adoptions(b *testing.B, file string, number event.Number) []adoption {
	text, err := os.ReadFile(file)
	require.NoError(b, err)
	pattern := regexp.MustCompile(`(?m)^I(\d{4} \d\d:\d\d:\d\d\.\d+).* Event=` + strconv.Itoa(int(number)) + ` Revision=(\d+)`)
	var out []adoption
	for _, m := range pattern.FindAllStringSubmatch(string(text), -1) {
		at, err := time.ParseInLocation("0102 15:04:05.000000", m[1], time.Local)
		require.NoError(b, err)
		revision, err := strconv.ParseUint(m[2], 10, 64)
		require.NoError(b, err)
		out = append(out, adoption{at.AddDate(time.Now().Year(), 0, 0), revision})
	}
	return out
}
