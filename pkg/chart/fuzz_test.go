package chart_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/chart"
)

// FuzzLoad reads arbitrary charts and walks those that are accepted along each
// of their events: a machine stays within the states and stops in a terminal one.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(door))
	f.Add([]byte("Name: X\nFirst: A\nStates: [A, A]\nTransitions: [{From: A, Event: E, To: A}]\n"))
	f.Add([]byte("First: ''\nStates: ['']\nTerminal: ['']\n"))
	f.Add([]byte("States: &s [A]\nTerminal: *s\nFirst: A\n"))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := chart.Load(text)
		if err != nil {
			return
		}
		m := chart.NewMachine(c, nil)
		for _, step := range c.Transitions {
			done := m.Done()
			err := m.Fire(step.Event)
			require.Contains(t, c.States, m.State())
			if done {
				require.Error(t, err)
			}
		}
	})
}
