// Package counter holds the program's metrics and writes them as text.
//
// Names are Pascal case with the unit last (ChunkBytes, FirstTokenMilliseconds).
// Reasons follow a dot: Refused.QueueFull.
package counter

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const histogramSamples = 1028

// Add increases the counter name by n.
func Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, nil).Inc(n)
}

// Value returns the counter's value.
func Value(name string) int64 {
	return metrics.GetOrRegisterCounter(name, nil).Count()
}

// Set sets the gauge name.
func Set(name string, n int64) {
	metrics.GetOrRegisterGauge(name, nil).Update(n)
}

// Observe adds a sample to the histogram name.
func Observe(name string, n int64) {
	sample := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, 0.015))
	}
	metrics.DefaultRegistry.GetOrRegister(name, sample).(metrics.Histogram).Update(n)
}

// Handler serves all metrics in the Prometheus text format, with the prefix
// almondreel_. What follows the first dot of a name becomes the label "of".
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		for _, line := range lines() {
			fmt.Fprintln(w, line)
		}
	})
}

// lines lists the metrics in order of name, each base name after its type.
func lines() []string {
	all := map[string]any{}
	metrics.DefaultRegistry.Each(func(name string, metric any) { all[name] = metric })
	var out []string
	described := ""
	for _, name := range slices.Sorted(maps.Keys(all)) {
		s := newSeries(name)
		if s.base != described {
			described = s.base
			out = append(out, "# TYPE "+s.base+" "+typeOf(all[name]))
		}
		out = append(out, s.describe(all[name])...)
	}
	return out
}

func typeOf(metric any) string {
	switch metric.(type) {
	case metrics.Counter:
		return "counter"
	case metrics.Gauge:
		return "gauge"
	default:
		return "summary"
	}
}

// series is a metric's name as the text format has it.
type series struct {
	base   string
	labels []string
}

// newSeries turns Refused.QueueFull into almondreel_Refused{of="QueueFull"}.
func newSeries(name string) series {
	base, of, found := strings.Cut(name, ".")
	s := series{base: "almondreel_" + base}
	if found {
		s.labels = []string{label("of", of)}
	}
	return s
}

func label(name, value string) string {
	return fmt.Sprintf("%s=%q", name, value)
}

func (s series) line(suffix string, value any, labels ...string) string {
	all := append(slices.Clone(s.labels), labels...)
	if len(all) == 0 {
		return fmt.Sprintf("%s%s %v", s.base, suffix, value)
	}
	return fmt.Sprintf("%s%s{%s} %v", s.base, suffix, strings.Join(all, ","), value)
}

func (s series) describe(metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{s.line("", m.Count())}
	case metrics.Gauge:
		return []string{s.line("", m.Value())}
	case metrics.Histogram:
		snapshot := m.Snapshot()
		var out []string
		for _, quantile := range []float64{0.5, 0.95, 0.99} {
			value := int64(math.Round(snapshot.Percentile(quantile)))
			out = append(out, s.line("", value, label("quantile", fmt.Sprint(quantile))))
		}
		return append(out, s.line("_sum", m.Sum()), s.line("_count", m.Count()))
	}
	return nil
}
