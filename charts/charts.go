// Package charts embeds the state charts of members, replicas, requests and transfers,
// which the daemons interpret, and counts the transitions that they take.
package charts

import (
	"embed"
	"fmt"
	"testing"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/pkg/statechart"
)

//go:embed *.yaml
var files embed.FS

// Load returns the chart in name.yaml. It panics if the chart is missing or invalid.
func Load(name string) *statechart.Chart {
	text, err := files.ReadFile(name + ".yaml")
	if err != nil {
		panic(err)
	}
	return statechart.MustLoad(text)
}

// Names returns the names of all charts, as Load takes them.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		panic(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name()[:len(e.Name())-len(".yaml")])
	}
	return names
}

// Start returns a state machine of c that counts its transitions in the metrics.
func Start(c *statechart.Chart) *statechart.Machine {
	return statechart.NewMachine(c, countTransition)
}

// Fire makes m take its transition on event. A transition that the chart does not allow
// is a defect: it panics in tests and increments IllegalTransitions otherwise.
func Fire(m *statechart.Machine, event string) {
	err := m.Fire(event)
	if err == nil {
		return
	}
	if testing.Testing() {
		panic(err)
	}
	counter.Add("IllegalTransitions", 1)
}

func countTransition(chart, _, _, to string) {
	counter.Add(fmt.Sprintf("Transitions.%s.%s", chart, to), 1)
}
