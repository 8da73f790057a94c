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
