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

// adoption is a line of a daemon's log that says that a document is in force.
type adoption struct {
	at       time.Time
	revision uint64
}

var adoptionNumber = map[string]event.Number{
	"configuration": event.ConfigurationAdopted,
	"placement":     event.PlacementAdopted,
}

// notSeen stands for a change that some daemon did not adopt while it was watched.
const notSeen = time.Hour

// spreadTimes returns for each change the time until the last daemon adopted
// the document: for a placement, the next one that it adopted after the change was asked for.
func spreadTimes(b *testing.B, f *fleet.Fleet, made []accepted, document string) []time.Duration {
	var logs [][]adoption
	for _, group := range rolesOf(f) {
		for _, d := range group {
			logs = append(logs, adoptions(b, d.process.Log(), adoptionNumber[document]))
		}
	}
	out := make([]time.Duration, len(made))
	for i, m := range made {
		for _, log := range logs {
			at, ok := firstSince(log, m, document == "placement")
			if !ok {
				out[i] = notSeen
				break
			}
			out[i] = max(out[i], at.Sub(m.at))
		}
	}
	return out
}

// firstSince returns when a daemon first had the change's revision, or any
// newer document once the change was accepted.
func firstSince(log []adoption, m accepted, next bool) (time.Time, bool) {
	for _, a := range log {
		if next && a.at.After(m.askedAt) || !next && a.revision >= m.revision {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// adoptions reads a daemon's log; its times are local and name no year.
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
