package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/quarantine"
)

func TestSecondCrashQuarantines(t *testing.T) {
	now := time.Now()
	later := now.Add(time.Minute)
	table := quarantine.NewTable()
	require.Equal(t, quarantine.Clear, table.Verdict("poison", now))
	require.Equal(t, quarantine.Suspect, table.RecordCrash("poison", "a", false, later))
	require.Equal(t, quarantine.Suspect, table.RecordCrash("innocent", "a", false, later))
	require.True(t, table.StartSuspect("poison", "b"))
	require.False(t, table.StartSuspect("innocent", "b"), "a server runs at most one suspect")
	require.False(t, table.StartSuspect("poison", "c"), "a suspect runs on at most one server")
	require.True(t, table.StartSuspect("innocent", "c"))
	table.RecordCompletion("innocent")
	require.Equal(t, quarantine.Quarantined, table.RecordCrash("poison", "b", true, later))
	require.Equal(t, quarantine.Clear, table.Verdict("innocent", now))
	require.Equal(t, quarantine.Quarantined, table.Verdict("poison", now))
	table.RecordCompletion("poison")
	require.Equal(t, quarantine.Quarantined, table.Verdict("poison", now))
	require.Equal(t, quarantine.Clear, table.Verdict("poison", later), "a quarantine expires")
}

func TestCrashesInTwoTablesQuarantine(t *testing.T) {
	later := time.Now().Add(time.Minute)
	first, second := quarantine.NewTable(), quarantine.NewTable()
	first.RecordCrash("poison", "a", false, later)
	second.RecordCrash("poison", "b", false, later)
	e, ok := first.Find("poison", time.Now())
	require.True(t, ok)
	second.Merge([]quarantine.Entry{e})
	require.Equal(t, quarantine.Quarantined, second.Verdict("poison", time.Now()))
	first.Merge(second.Quarantined(time.Now()))
	require.Equal(t, quarantine.Quarantined, first.Verdict("poison", time.Now()))
}

func TestRecentlyCompletedRequestIsNotQuarantined(t *testing.T) {
	later := time.Now().Add(time.Minute)
	table := quarantine.NewTable()
	table.RecordCompletion("popular")
	table.RecordCrash("popular", "a", false, later)
	require.Equal(t, quarantine.Suspect, table.RecordCrash("popular", "b", false, later))
}

func TestTableIsBounded(t *testing.T) {
	table := quarantine.NewTable()
	for i := range 9000 {
		table.RecordCrash(fmt.Sprint(i), "a", false, time.Now().Add(time.Minute))
		table.RecordCompletion(fmt.Sprint("done", i))
	}
	remaining := 0
	for i := range 9000 {
		if table.Verdict(fmt.Sprint(i), time.Now()) != quarantine.Clear {
			remaining++
		}
	}
	require.LessOrEqual(t, remaining, 8192)
	require.NotZero(t, remaining)
}

// A popular request was running at two crashes that have nothing to do with each other,
// hours apart. The first suspicion has expired and must not count.
func TestExpiredSuspicionDoesNotCount(t *testing.T) {
	past, later := time.Now().Add(-time.Second), time.Now().Add(time.Minute)
	table := quarantine.NewTable()
	table.RecordCrash("popular", "a", false, past)
	require.Equal(t, quarantine.Suspect, table.RecordCrash("popular", "b", false, later))
	table = quarantine.NewTable()
	table.RecordCrash("popular", "a", false, past)
	table.Merge([]quarantine.Entry{{Fingerprint: "popular", Server: "b", ExpiresAt: later}})
	require.Equal(t, quarantine.Suspect, table.Verdict("popular", time.Now()))
	table.Merge([]quarantine.Entry{{Fingerprint: "popular", Server: "c", ExpiresAt: past}})
	require.Equal(t, quarantine.Suspect, table.Verdict("popular", time.Now()), "the report has expired")
}

// A request was quarantined hours ago, and one server crashes while it runs.
func TestExpiredQuarantineDoesNotReturnAfterOneCrash(t *testing.T) {
	table := quarantine.NewTable()
	table.Merge([]quarantine.Entry{{Fingerprint: "mended", Server: "a", Convicted: true, ExpiresAt: time.Now().Add(20 * time.Millisecond)}})
	require.Equal(t, quarantine.Quarantined, table.Verdict("mended", time.Now()))
	time.Sleep(25 * time.Millisecond)
	require.Equal(t, quarantine.Suspect, table.RecordCrash("mended", "b", false, time.Now().Add(time.Minute)))
}
