package hosting_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/flood"
	"almondreel.example/almondreel/platform/standin"
)

// firstEvent is the first event of every engine's answer to an attempt.
var firstEvent = "id: 1\ndata: " + standin.Word("%s", 1) + "\n\n"

// residentBytes is the memory of a process.
func residentBytes(t *testing.T, p *program) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	require.NoError(t, err)
	var size, resident int64
	_, err = fmt.Sscan(string(text), &size, &resident)
	require.NoError(t, err)
	return resident * int64(os.Getpagesize())
}

// burst sends streams to a gateway at once and tells how each ended.
func (s *site) burst(gateway, count int, name string) <-chan caller.Outcome {
	ended := make(chan caller.Outcome, count)
	for n := range count {
		go func() {
			c := caller.New(s.gateways[gateway].callers)
			defer c.Close()
			ended <- c.Ask(context.Background(), standin.StreamPath+"x", fmt.Sprintf("%s-%d", name, n), key, time.Now().Add(askTime))
		}()
	}
	return ended
}

// Pattern: one engine in trouble answers all it is sent with bytes that never
// end, while a hundred callers ask at once. Callers are served by the engine
// beside it or told to come back, the gateway stays within its settings' memory,
// and the engine is tried again once it is well.
func TestAHundredCallersBesideAnEngineThatNeverEnds(t *testing.T) {
	const callers, memory = 100, 64 << 20
	s := startSite(t, options{gateways: 1, engines: 2, firstVersion: 1})
	s.soon(10*time.Second, "both engines are used", func() bool {
		for ended, n := s.burst(0, callers, "first"), 0; n < callers; n++ {
			<-ended
		}
		return len(s.engines[0].Runs()) > 0 && len(s.engines[1].Runs()) > 0
	})
	for n, f := range flood.Streams(firstEvent) {
		s.engines[0].SetFlood(&f)
		ended := s.burst(0, callers, fmt.Sprint("id-", n))
		served, refused, most := 0, 0, int64(0)
		for range callers {
			o := <-ended
			if o.Status == http.StatusOK && o.Err == nil {
				require.NoError(t, o.WholeStream())
				served++
			}
			if o.SaysNotRun() {
				refused++
				for _, e := range s.engines {
					for _, r := range e.Runs() {
						require.NotEqual(t, o.Attempt, r.Attempt, "it was said not to have run")
					}
				}
			}
			most = max(most, residentBytes(t, s.gateways[0]))
		}
		t.Logf("%s: %d of %d served, %d refused, %d MB", f.Name, served, callers, refused, most>>20)
		require.Positive(t, served)
		require.Less(t, most, int64(memory), f.Name)
	}
	s.engines[0].SetFlood(nil)
	s.serves(0, 1, 3*time.Second)
}
