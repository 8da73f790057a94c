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

const ticksPerSecond = 100 // unit of the CPU times in /proc/PID/stat

// daemon is a measured process and the address that serves its /metrics.
type daemon struct {
	process *process.Process
	address string
}

// sample is the resource usage of a daemon since its start.
type sample struct {
	at              time.Time
	cpuMilliseconds float64
	metrics         map[string]float64
}

func (d daemon) sample(b *testing.B) sample {
	return sample{time.Now(), cpuMilliseconds(b, d.process.ID()), d.metrics(b)}
}

func cpuMilliseconds(b *testing.B, id int) float64 {
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

// memoryKilobytes returns the value of a line of /proc/PID/status, such as VmRSS.
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

// metrics returns the values at /metrics by name, including labels, without the
// program's prefix.
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

// rates are the mean resource usage per second of the daemons of one role.
type rates struct {
	cpuPercent    float64 // percent of a core
	maxCPUPercent float64 // percent of a core, of the daemon that uses most
	sentBytes     float64 // control traffic
	receivedBytes float64 // control traffic
	calls         float64 // control calls made
	listBytes     float64 // bytes received of the platform's instance list
}

func ratesBetween(before, after []sample) rates {
	var r rates
	n := float64(len(before))
	for i, a := range after {
		seconds := a.at.Sub(before[i].at).Seconds()
		cpuPercent := (a.cpuMilliseconds - before[i].cpuMilliseconds) / seconds / 10
		r.cpuPercent += cpuPercent / n
		r.maxCPUPercent = max(r.maxCPUPercent, cpuPercent)
		add := func(to *float64, prefix string) { *to += increase(before[i], a, prefix) / seconds / n }
		add(&r.sentBytes, "ControlSentBytes")
		add(&r.receivedBytes, "ControlReceivedBytes")
		add(&r.calls, "ControlCalls")
		add(&r.listBytes, "InstanceListReceivedBytes")
	}
	return r
}

// increase returns the total increase of the metrics whose names begin with prefix.
func increase(before, after sample, prefix string) float64 {
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

// memory returns the mean and the maximum over the daemons of a line of
// /proc/PID/status, in megabytes.
func memory(b *testing.B, daemons []daemon, name string) (mean, highest float64) {
	for _, d := range daemons {
		m := memoryKilobytes(b, d.process.ID(), name) / 1024
		mean += m / float64(len(daemons))
		highest = max(highest, m)
	}
	return mean, highest
}
