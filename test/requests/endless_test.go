package requests_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/standin/faultproxy"
	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	plainHead  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
	chunkHead  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	// slowMilliseconds is short enough that a connection never becomes idle.
	slowMilliseconds = 30
)

// floods are answers that never end: bytes that are no answer, in a head or in a body.
var floods = map[string]faultproxy.Flood{
	"head of one line":              {Head: "HTTP/1.1 200 OK\r\nX-Long: ", Part: strings.Repeat("x", 4096)},
	"head of many fields":           {Head: "HTTP/1.1 200 OK\r\n", Part: "X-Field: value\r\n"},
	"slow head":                     {Head: "HTTP/1.1 200 OK\r\nX-Long: ", Part: "x", Milliseconds: slowMilliseconds},
	"informational heads":           {Part: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"slow informational heads":      {Part: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", Milliseconds: slowMilliseconds},
	"garbage":                       {Part: "\x00\xff garbage "},
	"chunk extension":               {Head: chunkHead + "5;x=", Part: strings.Repeat("x", 4096)},
	"trailers":                      {Head: chunkHead + "0\r\n", Part: "X-Trailer: value\r\n"},
	"plain body":                    {Head: plainHead, Part: strings.Repeat("x", 64<<10)},
	"slow plain body":               {Head: plainHead, Part: "x", Milliseconds: slowMilliseconds},
	"stream of lines":               {Head: streamHead, Part: "data: x\n"},
	"stream of one line":            {Head: streamHead, Part: strings.Repeat("x", 4096)},
	"stream of comments":            {Head: streamHead, Part: ": still here\n\n"},
	"stream of empty lines":         {Head: streamHead, Part: "\n"},
	"slow stream of comments":       {Head: streamHead, Part: ": still here\n\n", Milliseconds: slowMilliseconds},
	"slow stream of bytes":          {Head: streamHead, Part: "x", Milliseconds: slowMilliseconds},
	"stream of foreign events":      {Head: streamHead, Part: "data: {}\n\n"},
	"slow stream of foreign tokens": {Head: streamHead, Part: "data: {\"id\":\"other\",\"index\":0}\n\n", Milliseconds: slowMilliseconds},
}

// routes are the connections that carry an answer of a replica.
var routes = map[string]func(r *testsite.Replica) *faultproxy.Route{
	"backend server": func(r *testsite.Replica) *faultproxy.Route { return r.ToBackend },
	"agent":          func(r *testsite.Replica) *faultproxy.Route { return r.ToAgent },
}

// forEachFlood runs a test in parallel for each flood and route.
func forEachFlood(t *testing.T, run func(t *testing.T, f faultproxy.Faults, route func(*testsite.Replica) *faultproxy.Route)) {
	for name, flood := range floods {
		for peer, route := range routes {
			t.Run(name+" from "+peer, func(t *testing.T) {
				t.Parallel()
				run(t, faultproxy.Faults{ToCaller: flood}, route)
			})
		}
	}
}

// An engine or its agent sends an answer without end. Every caller gets the whole answer
// of the other engine, well before the class's time for an answer.
func TestEndlessAnswerIsReplacedByAnotherEngine(t *testing.T) {
	const tokens, callers = 6, 6
	// The longest waits for a first token and for the next one, and some time to answer.
	const bound = 1500*time.Millisecond + 2*time.Second + time.Second
	forEachFlood(t, func(t *testing.T, f faultproxy.Faults, route func(*testsite.Replica) *faultproxy.Route) {
		o := options()
		o.Engines = 2
		s := startSite(t, o)
		require.NoError(t, route(s.Replicas[0]).Set(f))
		began := time.Now()
		var group sync.WaitGroup
		var mu sync.Mutex
		answers := map[string]client.Response{}
		for n := range callers {
			group.Go(func() {
				prompt := fmt.Sprint("lot ", n)
				a := sendCompletion(t, s.Gateways[0], prompt, tokens)
				mu.Lock()
				defer mu.Unlock()
				answers[prompt] = a
			})
		}
		group.Wait()
		for prompt, a := range answers {
			requireCompleteAnswer(t, a, prompt, tokens)
		}
		require.Len(t, answers, callers)
		_, retries := s.Gateways[0].Dispatcher.Retries(questions)
		require.Positive(t, retries, "no request met the endless answer")
		require.Less(t, time.Since(began), bound)
	})
}

// A service or its agent answers a call that may run once without end. The caller is
// told in time that the call may have run, and the call does not run again.
func TestEndlessAnswerToCallIsNeverReportedAsNotRun(t *testing.T) {
	const bound = 2*time.Second + 500*time.Millisecond // the class's time for an answer, and some time to say so
	forEachFlood(t, func(t *testing.T, f faultproxy.Faults, route func(*testsite.Replica) *faultproxy.Route) {
		o := options()
		o.Engines, o.Services = 1, 1
		s := startSite(t, o)
		require.NoError(t, route(s.Replicas[1]).Set(f))
		began := time.Now()
		const body = `{"amount":1}`
		a := sendPosting(t, s.Gateways[0], "k1", body)
		require.Less(t, time.Since(began), bound)
		require.Contains(t, []string{"Unknown", "Failed"}, a.Record.Outcome, "%+v", a.Record)
		require.False(t, a.Record.NotRun)
		require.LessOrEqual(t, len(servedBodies(s)), 1)
	})
}

// maxFloodHeap bounds the heap that fifty endless answers may add to gateways, agents and
// stand-ins together, in bytes.
const maxFloodHeap = 96 << 20

// Fifty answers without end arrive at once, as fast as the connection takes them.
func TestManyEndlessAnswersUseBoundedMemory(t *testing.T) {
	const callers = 50
	o := options()
	o.Engines = 2
	o.Engine.Slots = callers
	s := startSite(t, o)
	before := heapInUse()
	for _, name := range []string{"plain body", "stream of lines", "stream of one line", "stream of comments", "head of many fields"} {
		require.NoError(t, s.Replicas[0].ToBackend.Set(faultproxy.Faults{ToCaller: floods[name]}))
		ended := make(chan client.Response, callers)
		for n := range callers {
			go func() { ended <- sendCompletion(t, s.Gateways[0], fmt.Sprint(name, n), 6) }()
		}
		peak, answered := int64(0), 0
		for received := 0; received < callers; {
			select {
			case a := <-ended:
				received++
				require.Contains(t, []string{"Answered", "Refused", "Failed", "Unknown"}, a.Record.Outcome, "%+v", a.Record)
				if a.Record.Outcome == "Answered" {
					answered++
				}
			case <-time.After(20 * time.Millisecond):
				peak = max(peak, heapInUse()-before)
			}
		}
		t.Logf("%s: %d of %d answered, %d MB", name, answered, callers, peak>>20)
		require.Positive(t, answered, name)
		require.Less(t, peak, int64(maxFloodHeap), name)
	}
}
