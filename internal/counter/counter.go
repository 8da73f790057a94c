// Package counter holds a process's counters, gauges and histograms and serves them in
// the Prometheus text format.
//
// Names are in Pascal case with the unit last (ChunkBytes, FirstTokenMilliseconds).
// A label value, such as a reason, follows a dot: Refused.QueueFull.
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

// Add adds n to the named counter.
func Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, nil).Inc(n)
}

// Value returns the value of the named counter.
func Value(name string) int64 {
	return metrics.GetOrRegisterCounter(name, nil).Count()
}

// Set sets the named gauge to n.
func Set(name string, n int64) {
	metrics.GetOrRegisterGauge(name, nil).Update(n)
}

// Observe adds a sample to the named histogram. Its quantiles favour recent
// samples.
func Observe(name string, n int64) {
	sample := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, 0.015))
	}
	metrics.DefaultRegistry.GetOrRegister(name, sample).(metrics.Histogram).Update(n)
}

// Handler serves all metrics in the Prometheus text format, with the prefix
// almondreel_. The part of a name after its first dot becomes the value of the label "of".
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		for _, line := range lines() {
			fmt.Fprintln(w, line)
		}
	})
}

// lines returns the lines of all metrics in the order of their names, with a TYPE
// line before the first metric of each base name.
func lines() []string {
	all := map[string]any{}
	metrics.DefaultRegistry.Each(func(name string, metric any) { all[name] = metric })
	var out []string
	lastBase := ""
	for _, name := range slices.Sorted(maps.Keys(all)) {
		s := newSeries(name)
		if s.base != lastBase {
			lastBase = s.base
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

// series is a metric's name and labels in the text format.
type series struct {
	base   string
	labels []string
}

// newSeries turns Refused.QueueFull into almondreel_Refused{of="QueueFull"}.
func newSeries(name string) series {
	base, labelValue, found := strings.Cut(name, ".")
	s := series{base: "almondreel_" + base}
	if found {
		s.labels = []string{label("of", labelValue)}
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
