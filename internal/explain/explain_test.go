package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/explain"
)

const gateway = `I1204 10:00:00.000000 7 knowledge.go:1] "configuration revision adopted" Event=2000 Version=1
I1204 10:00:05.100000 7 roster.go:2] "backend servers changed" Event=2027 Listed=3
   27.1 gateway-1 I1204 10:00:06.000000 7 exchange.go:3] "request retried" Event=4003 Request="a1" Server="s1"
I1204 10:00:06.100000 7 front.go:4] "request ended" Event=4013 Request="b2"
not a line of a log
I1204 10:00:06.300000 7 front.go:4] "request ended" Event=4013 Request="a1" Outcome="Answered"
I1204 10:00:06.400000 7 knowledge.go:1] "metadata store does not answer" Event=2021
`

const other = `I1204 10:00:06.200000 8 front.go:4] "request ended" Event=4013 Request="a1" Outcome="Cancelled"
`

func TestRequestJoinsLogsInOrder(t *testing.T) {
	lines, err := explain.Request("a1", []explain.Log{
		{Name: "one", Reader: strings.NewReader(gateway)}, {Name: "two", Reader: strings.NewReader(other)},
	})
	require.NoError(t, err)
	var got []string
	for _, l := range lines {
		_, text, _ := strings.Cut(l.Text, `"`)
		message, _, _ := strings.Cut(text, `"`)
		mark := "belief" // a context line
		if l.NamesRequest {
			mark = "own"
		}
		got = append(got, l.Log+" "+mark+" "+message)
	}
	require.Equal(t, []string{
		"one belief backend servers changed", "one own request retried", "two own request ended", "one own request ended",
	}, got)
}

func TestRequestAbsentFromLogsIsReported(t *testing.T) {
	_, err := explain.Request("c3", []explain.Log{{Name: "one", Reader: strings.NewReader(gateway)}})
	require.ErrorIs(t, err, explain.ErrNoLine)
}

const weightsLogs = `I1205 18:48:40.000000 9 servers.go:1] "weights that a backend server counts as serving changed" Event=2030 Server="i-7" Address="10.0.0.7:80" Born=5 Version=2 Source="Report"
I1205 18:48:40.100000 9 servers.go:1] "weights that a backend server counts as serving changed" Event=2030 Server="i-8" Address="10.0.0.8:80" Born=6 Version=2 Source="Entry"
I1205 18:48:40.200000 9 handler.go:1] "request ended" Event=4013 Request="a1" Server="i-7"
`

const agentLog = `I1205 18:48:39.000000 3 reconcile.go:1] "load order sent to engine" Event=3005 Engine="10.0.0.7:80" Born=5 Orders=1 Version=2 CheckedMS=98
`

const otherAgentLog = `I1205 18:48:39.100000 4 reconcile.go:1] "load order sent to engine" Event=3005 Engine="10.0.0.8:80" Born=6 Orders=1 Version=2 CheckedMS=98
`

// Guards against logs that do not lead from the ID of a backend server to the load orders
// of its agent, which knows the server by its address only.
func TestServerLeadsToLoadsOfItsAgent(t *testing.T) {
	lines, err := explain.Server("i-7", []explain.Log{
		{Name: "agent-7", Reader: strings.NewReader(agentLog)}, {Name: "agent-8", Reader: strings.NewReader(otherAgentLog)},
		{Name: "gateway", Reader: strings.NewReader(weightsLogs)},
	})
	require.NoError(t, err)
	var logs []string
	for _, l := range lines {
		logs = append(logs, l.Log)
	}
	require.Equal(t, []string{"agent-7", "gateway"}, logs)

	_, err = explain.Server("i-9", []explain.Log{{Name: "gateway", Reader: strings.NewReader(weightsLogs)}})
	require.ErrorIs(t, err, explain.ErrNoLine)
}
