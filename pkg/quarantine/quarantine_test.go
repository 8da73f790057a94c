package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/quarantine"
)

func TestSecondDeathConvicts(t *testing.T) {
	now := time.Now()
	later := now.Add(time.Minute)
	table := quarantine.NewTable()
	require.Equal(t, quarantine.Clear, table.Judge("poison", now))
	require.Equal(t, quarantine.Suspect, table.Died("poison", "a", false, later))
	require.Equal(t, quarantine.Suspect, table.Died("innocent", "a", false, later))
	require.True(t, table.Enter("poison", "b"))
	require.False(t, table.Enter("innocent", "b"), "no two suspects on one server")
	require.False(t, table.Enter("poison", "c"), "a suspect runs once at a time")
	require.True(t, table.Enter("innocent", "c"))
	table.Completed("innocent")
	require.Equal(t, quarantine.Convicted, table.Died("poison", "b", true, later))
	require.Equal(t, quarantine.Clear, table.Judge("innocent", now))
	require.Equal(t, quarantine.Convicted, table.Judge("poison", now))
	table.Completed("poison")
	require.Equal(t, quarantine.Convicted, table.Judge("poison", now))
	require.Equal(t, quarantine.Clear, table.Judge("poison", later), "a conviction expires")
}

func TestDeathsSeenByTwoHoldersConvict(t *testing.T) {
	later := time.Now().Add(time.Minute)
	one, two := quarantine.NewTable(), quarantine.NewTable()
	one.Died("poison", "a", false, later)
	two.Died("poison", "b", false, later)
	e, ok := one.Find("poison", time.Now())
	require.True(t, ok)
	two.Adopt([]quarantine.Entry{e})
	require.Equal(t, quarantine.Convicted, two.Judge("poison", time.Now()))
	one.Adopt(two.Convictions(time.Now()))
	require.Equal(t, quarantine.Convicted, one.Judge("poison", time.Now()))
}

func TestRequestSeenToCompleteIsNotConvictedForItsCompany(t *testing.T) {
	later := time.Now().Add(time.Minute)
	table := quarantine.NewTable()
	table.Completed("popular")
	table.Died("popular", "a", false, later)
	require.Equal(t, quarantine.Suspect, table.Died("popular", "b", false, later))
}

func TestMemoryIsBounded(t *testing.T) {
	table := quarantine.NewTable()
	for i := range 9000 {
		table.Died(fmt.Sprint(i), "a", false, time.Now().Add(time.Minute))
		table.Completed(fmt.Sprint("done", i))
	}
	known := 0
	for i := range 9000 {
		if table.Judge(fmt.Sprint(i), time.Now()) != quarantine.Clear {
			known++
		}
	}
	require.LessOrEqual(t, known, 8192)
	require.NotZero(t, known)
}
