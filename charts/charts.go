// Package charts embeds the state charts that the programs interpret.
package charts

import (
	"embed"
	"fmt"
	"testing"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/pkg/chart"
)

//go:embed *.yaml
var files embed.FS

// Load returns the chart in name.yaml; it panics on a chart that does not pass its check.
func Load(name string) *chart.Chart {
	text, err := files.ReadFile(name + ".yaml")
	if err != nil {
		panic(err)
	}
	return chart.MustLoad(text)
}

// Names returns the names of all charts.
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

// Start returns a machine on c that counts its transitions.
func Start(c *chart.Chart) *chart.Machine {
	return chart.NewMachine(c, count)
}

// Fire takes the transition on event. One that the chart does not allow is a
// defect: it panics in tests and is counted otherwise.
func Fire(m *chart.Machine, event string) {
	err := m.Fire(event)
	if err == nil {
		return
	}
	if testing.Testing() {
		panic(err)
	}
	counter.Add("IllegalTransitions", 1)
}

func count(chart, _, _, to string) {
	counter.Add(fmt.Sprintf("Transitions.%s.%s", chart, to), 1)
}
