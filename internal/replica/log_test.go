package replica_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/explain"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
)

// Guards against logs that do not lead from an instance to the loads of its engine: lines
// about orders named no engine, and an order that ended without an answer after another
// version was placed left no line.
func TestLogLeadsFromInstanceToLoads(t *testing.T) {
	var log bytes.Buffer
	klog.SetOutput(&log)
	t.Cleanup(func() { klog.SetOutput(io.Discard) })
	f := newFixture(t, standinengine.Options{ChecksOrders: true}, 0)
	first, second := f.publish("1", 1), f.publish("2", 2)
	e := f.engine
	f.setIntercept(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engine.LoadModelPath {
			e.ServeHTTP(w, r)
			return
		}
		f.setIntercept(nil)
		<-r.Context().Done()
	})
	f.place(first, 1)
	require.Eventually(t, func() bool { return len(f.receivedOrders()) == 1 }, 10*time.Second, time.Millisecond)
	f.place(second, 2)
	f.awaitServing(second.Digest())
	f.stop()
	klog.Flush()

	lines, err := explain.Server(f.agent.Settings.Name, []explain.Log{{Name: "agent", Reader: &log}})
	require.NoError(t, err)
	var text []string
	for _, l := range lines {
		text = append(text, l.Text)
	}
	remaining := text
	for _, want := range []string{
		fmt.Sprintf(`Event=3020 Server="%s" Engine="%s" Started="%s" Accepted=0 Digest="" Loading=""`, f.agent.Settings.Name, f.engineAddress, e.State().Started),
		fmt.Sprintf(`Accepted=0 Digest="%s" FencingNumber=1`, first.Digest()),
		"Event=3007",
		fmt.Sprintf(`Accepted=0 Digest="%s" FencingNumber=2`, second.Digest()),
		fmt.Sprintf(`Accepted=2 Digest="%s" Loading=""`, second.Digest()),
		"Event=3006",
		fmt.Sprintf(`Event=2030 Server="%s" Engine="%s"`, f.agent.Settings.Name, f.engineAddress),
	} {
		i := 0
		for i < len(remaining) && !strings.Contains(remaining[i], want) {
			i++
		}
		require.Less(t, i, len(remaining), "no line %q in its place in\n%s", want, strings.Join(text, "\n"))
		remaining = remaining[i+1:]
	}
}
