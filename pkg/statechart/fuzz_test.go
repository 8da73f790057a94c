package statechart_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/statechart"
)

// FuzzLoad loads arbitrary charts and fires every event of those that Load
// accepts. The machine must always be in a listed state and must reject events
// in a terminal state.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(doorChart))
	f.Add([]byte("Name: X\nFirst: A\nStates: [A, A]\nTransitions: [{From: A, Event: E, To: A}]\n"))
	f.Add([]byte("First: ''\nStates: ['']\nTerminal: ['']\n"))
	f.Add([]byte("States: &s [A]\nTerminal: *s\nFirst: A\n"))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := statechart.Load(text)
		if err != nil {
			return
		}
		m := statechart.NewMachine(c, nil)
		for _, transition := range c.Transitions {
			terminal := m.Done()
			err := m.Fire(transition.Event)
			require.Contains(t, c.States, m.State())
			if terminal {
				require.Error(t, err)
			}
		}
	})
}
