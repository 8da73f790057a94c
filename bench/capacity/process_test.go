package capacity_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/process"
)

const ticksPerSecond = 100 // of the times in /proc/PID/stat

// daemon is a process that is measured and where it answers /metrics.
type daemon struct {
	process *process.Process
	address string
}

// sample is what a daemon has spent so far.
type sample struct {
	at           time.Time
	milliseconds float64 // of processor time
	metrics      map[string]float64
}

func (d daemon) sample(b *testing.B) sample {
	return sample{time.Now(), processorMilliseconds(b, d.process.ID()), d.metrics(b)}
}

func processorMilliseconds(b *testing.B, id int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	require.NoError(b, err)
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.Atoi(fields[11])
	require.NoError(b, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(b, err)
	return float64(user+system) * 1000 / ticksPerSecond
}

// memoryKilobytes returns a line of /proc/PID/status, such as VmRSS.
func memoryKilobytes(b *testing.B, id int, name string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	require.NoError(b, err)
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			n, err := strconv.Atoi(strings.Fields(value)[0])
			require.NoError(b, err)
			return float64(n)
		}
	}
	require.Fail(b, "no line "+name)
	return 0
}

// metrics reads /metrics; names keep their labels.
func (d daemon) metrics(b *testing.B) map[string]float64 {
	response, err := http.Get("http://" + d.address + "/metrics")
	require.NoError(b, err)
	defer response.Body.Close()
	out := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if n, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[strings.TrimPrefix(name, "almondreel_")] = n
		}
	}
	require.NoError(b, lines.Err())
	return out
}

// rates are what daemons of one role spend, each and a second.
type rates struct {
	core     float64 // share of a core, percent
	worst    float64 // the highest of one daemon
	sent     float64 // control bytes
	received float64
	calls    float64 // control calls made
	listed   float64 // bytes of the platform's list of instances
}

func between(before, after []sample) rates {
	var r rates
	n := float64(len(before))
	for i, a := range after {
		seconds := a.at.Sub(before[i].at).Seconds()
		core := (a.milliseconds - before[i].milliseconds) / seconds / 10
		r.core += core / n
		r.worst = max(r.worst, core)
		add := func(to *float64, prefix string) { *to += rise(before[i], a, prefix) / seconds / n }
		add(&r.sent, "ControlSentBytes")
		add(&r.received, "ControlReceivedBytes")
		add(&r.calls, "ControlCalls")
		add(&r.listed, "InstanceListReceivedBytes")
	}
	return r
}

// rise sums what the metrics whose names begin with prefix rose by.
func rise(before, after sample, prefix string) float64 {
	sum := 0.0
	for name, value := range after.metrics {
		if strings.HasPrefix(name, prefix) {
			sum += value - before.metrics[name]
		}
	}
	return sum
}

func sampleAll(b *testing.B, daemons []daemon) []sample {
	out := make([]sample, len(daemons))
	for i, d := range daemons {
		out[i] = d.sample(b)
	}
	return out
}

// memory returns the mean and the highest of a line of /proc/PID/status, in megabytes.
func memory(b *testing.B, daemons []daemon, name string) (mean, highest float64) {
	for _, d := range daemons {
		m := memoryKilobytes(b, d.process.ID(), name) / 1024
		mean += m / float64(len(daemons))
		highest = max(highest, m)
	}
	return mean, highest
}
