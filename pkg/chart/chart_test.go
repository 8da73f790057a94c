package chart_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/chart"
)

const door = `
Name: Door
First: Closed
States: [Closed, Open, Removed]
Terminal: [Removed]
Transitions:
  - {From: Closed, Event: Open, To: Open}
  - {From: Open, Event: Close, To: Closed}
  - {From: Closed, Event: Remove, To: Removed}
`

func TestMachineFollowsChart(t *testing.T) {
	c, err := chart.Load([]byte(door))
	require.NoError(t, err)
	m := chart.NewMachine(c, nil)
	require.NoError(t, m.Fire("Open"))
	var illegal *chart.IllegalTransition
	require.ErrorAs(t, m.Fire("Remove"), &illegal)
	require.Equal(t, "Open", m.State())
	require.NoError(t, m.Fire("Close"))
	require.NoError(t, m.Fire("Remove"))
	require.True(t, m.Done())
}

func TestLoadRefusesBadCharts(t *testing.T) {
	bad := map[string]string{
		"unknown key":      "Name: X\nFirst: A\nStates: [A]\nColour: red\n",
		"unknown first":    "Name: X\nFirst: B\nStates: [A]\n",
		"unreachable":      "Name: X\nFirst: A\nStates: [A, B]\n",
		"unknown state":    "Name: X\nFirst: A\nStates: [A]\nTransitions: [{From: A, Event: E, To: C}]\n",
		"two on one event": "Name: X\nFirst: A\nStates: [A, B]\nTransitions: [{From: A, Event: E, To: B}, {From: A, Event: E, To: A}]\n",
		"terminal goes on": "Name: X\nFirst: A\nStates: [A]\nTerminal: [A]\nTransitions: [{From: A, Event: E, To: A}]\n",
		"unknown terminal": "Name: X\nFirst: A\nStates: [A]\nTerminal: [Z]\n",
		"not YAML":         "{",
	}
	for name, text := range bad {
		t.Run(name, func(t *testing.T) {
			_, err := chart.Load([]byte(text))
			require.Error(t, err)
		})
	}
}
