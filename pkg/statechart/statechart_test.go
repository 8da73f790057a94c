package statechart_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/statechart"
)

const doorChart = `
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
	c, err := statechart.Load([]byte(doorChart))
	require.NoError(t, err)
	m := statechart.NewMachine(c, nil)
	require.NoError(t, m.Fire("Open"))
	var illegal *statechart.IllegalTransition
	require.ErrorAs(t, m.Fire("Remove"), &illegal)
	require.Equal(t, "Open", m.State())
	require.NoError(t, m.Fire("Close"))
	require.NoError(t, m.Fire("Remove"))
	require.True(t, m.Done())
}

func TestLoadRejectsInvalidCharts(t *testing.T) {
	charts := map[string]string{
		"unknown key":                    "Name: X\nFirst: A\nStates: [A]\nColour: red\n",
		"unknown first state":            "Name: X\nFirst: B\nStates: [A]\n",
		"unreachable":                    "Name: X\nFirst: A\nStates: [A, B]\n",
		"transition to unknown state":    "Name: X\nFirst: A\nStates: [A]\nTransitions: [{From: A, Event: E, To: C}]\n",
		"two transitions on one event":   "Name: X\nFirst: A\nStates: [A, B]\nTransitions: [{From: A, Event: E, To: B}, {From: A, Event: E, To: A}]\n",
		"transition from terminal state": "Name: X\nFirst: A\nStates: [A]\nTerminal: [A]\nTransitions: [{From: A, Event: E, To: A}]\n",
		"unknown terminal state":         "Name: X\nFirst: A\nStates: [A]\nTerminal: [Z]\n",
		"not YAML":                       "{",
	}
	for name, text := range charts {
		t.Run(name, func(t *testing.T) {
			_, err := statechart.Load([]byte(text))
			require.Error(t, err)
		})
	}
}
