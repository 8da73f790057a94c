// Package counter holds the program's metrics and writes them as text.
//
// Names are Pascal case with the unit last (ChunkBytes, FirstTokenMilliseconds).
// Reasons follow a dot: Refused.QueueFull.
package counter

import (
	"fmt"
	"net/http"
	"sort"
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

// Handler serves all metrics in the Prometheus text format.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		for _, line := range lines() {
			fmt.Fprintln(w, line)
		}
	})
}

func lines() []string {
	var out []string
	metrics.DefaultRegistry.Each(func(name string, metric any) {
		out = append(out, describe(name, metric)...)
	})
	sort.Strings(out)
	return out
}

func describe(name string, metric any) []string {
	series := seriesName(name)
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", series, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", series, m.Value())}
	case metrics.Histogram:
		s := m.Snapshot()
		return []string{
			fmt.Sprintf("%s_count %d", series, s.Count()),
			fmt.Sprintf("%s_p50 %.0f", series, s.Percentile(0.5)),
			fmt.Sprintf("%s_p95 %.0f", series, s.Percentile(0.95)),
			fmt.Sprintf("%s_p99 %.0f", series, s.Percentile(0.99)),
		}
	}
	return nil
}

// seriesName turns Refused.QueueFull into almondreel_Refused{reason="QueueFull"}.
func seriesName(name string) string {
	base, reason, found := strings.Cut(name, ".")
	if !found {
		return "almondreel_" + base
	}
	return fmt.Sprintf("almondreel_%s{reason=%q}", base, reason)
}
