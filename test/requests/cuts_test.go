package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/standin/faultproxy"
	standinservice "almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/internal/testsite"
)

// checkJournal compares a posting's outcome with the services' journals of run calls.
func checkJournal(t *testing.T, s *testsite.Site, outcome, body string) {
	t.Helper()
	count := 0
	for _, b := range servedBodies(s) {
		if b == body {
			count++
		}
	}
	switch outcome {
	case "Answered":
		require.Equal(t, 1, count, body)
	case "Refused":
		require.Zero(t, count, "%s ran but was reported as refused", body)
	case "Unknown":
		require.LessOrEqual(t, count, 1, body)
	default:
		require.Fail(t, "unexpected outcome of a posting", outcome)
	}
}

// Connections between gateway and agent, or between agent and backend server, are cut
// after 0, 31, 62, ... bytes of the request or of the answer. The outcome that the caller
// gets must agree with the journal each time.
func TestCutConnectionsGiveCorrectPostingOutcomes(t *testing.T) {
	o := options()
	o.Services = 1
	s := startSite(t, o)
	r := s.Replicas[len(s.Replicas)-1]
	outcomeCounts := map[string]int{}
	postWithFault := func(name string, route *faultproxy.Route, f faultproxy.Faults) {
		require.NoError(t, route.Set(f))
		body := fmt.Sprintf(`{"posting":%q}`, name)
		a := sendPosting(t, s.Gateways[0], name, body)
		require.NoError(t, route.Set(faultproxy.Faults{}))
		checkJournal(t, s, a.Record.Outcome, body)
		outcomeCounts[a.Record.Outcome]++
	}
	for n := int64(0); n < 900; n += 31 {
		postWithFault(fmt.Sprintf("agent-to-%d", n), r.ToAgent, faultproxy.Faults{ToTarget: faultproxy.CutAfter{Bytes: n}})
		postWithFault(fmt.Sprintf("agent-from-%d", n), r.ToAgent, faultproxy.Faults{ToCaller: faultproxy.CutAfter{Bytes: n}})
		postWithFault(fmt.Sprintf("back-to-%d", n), r.ToBackend, faultproxy.Faults{ToTarget: faultproxy.CutAfter{Bytes: n}})
		postWithFault(fmt.Sprintf("back-from-%d", n), r.ToBackend, faultproxy.Faults{ToCaller: faultproxy.CutAfter{Bytes: n}})
	}
	postWithFault("agent-refuse", r.ToAgent, faultproxy.Faults{Refuse: true})
	postWithFault("back-refuse", r.ToBackend, faultproxy.Faults{Refuse: true})
	t.Log(outcomeCounts)
	require.NotZero(t, outcomeCounts["Unknown"])
	require.NotZero(t, outcomeCounts["Answered"])
	require.NotZero(t, outcomeCounts["Refused"])
}

func TestServiceClosingAfterReadGivesUnknownOutcome(t *testing.T) {
	o := options()
	o.Services = 1
	s := startSite(t, o)
	r := s.Replicas[len(s.Replicas)-1]
	r.Service.SetFaults(standinservice.Faults{CloseAfterReading: true})
	a := sendPosting(t, s.Gateways[0], "closes", `{"n":1}`)
	require.Equal(t, "Unknown", a.Record.Outcome)
	require.False(t, a.Record.NotRun)
	r.Service.SetFaults(standinservice.Faults{AnswerLost: true})
	a = sendPosting(t, s.Gateways[0], "lost", `{"n":2}`)
	require.Equal(t, "Unknown", a.Record.Outcome)
	r.Service.SetFaults(standinservice.Faults{})
	a = sendPosting(t, s.Gateways[0], "lost", `{"n":2}`)
	require.Equal(t, "Unknown", a.Record.Outcome, "a retry gets the same outcome and does not run")
	require.Len(t, servedBodies(s), 1)
}

// A stream's connection is cut after 0, 97, 194, ... bytes of the request or of the
// answer. The stream must be resumed on another agent without missing or repeated tokens.
func TestCutStreamIsResumedWithoutGaps(t *testing.T) {
	s := startSite(t, options())
	const tokens = 12
	for n := int64(0); n < 2600; n += 97 {
		for _, f := range []faultproxy.Faults{{ToTarget: faultproxy.CutAfter{Bytes: n}}, {ToCaller: faultproxy.CutAfter{Bytes: n}}} {
			for _, routes := range [][]*faultproxy.Route{agentRoutes(s), backendRoutes(s)} {
				require.NoError(t, routes[0].Set(f))
				prompt := fmt.Sprintf("lot %d", n)
				requireCompleteAnswer(t, sendCompletion(t, s.Gateways[0], prompt, tokens), prompt, tokens)
				require.NoError(t, routes[0].Set(faultproxy.Faults{}))
			}
		}
	}
}

func agentRoutes(s *testsite.Site) []*faultproxy.Route {
	var out []*faultproxy.Route
	for _, r := range s.Replicas {
		out = append(out, r.ToAgent)
	}
	return out
}

func backendRoutes(s *testsite.Site) []*faultproxy.Route {
	var out []*faultproxy.Route
	for _, r := range s.Replicas {
		out = append(out, r.ToBackend)
	}
	return out
}

func TestStreamThatCannotBeResumedFails(t *testing.T) {
	s := startSite(t, options())
	for _, r := range s.Replicas[:3] {
		r.Engine.SetFaults(standinengine.Faults{CutAfterTokens: 2})
	}
	a := sendCompletion(t, s.Gateways[0], "cut", 40)
	require.Equal(t, "Failed", a.Record.Outcome)
	require.Equal(t, "StreamCut", a.Record.Reason)
	require.False(t, a.Record.NotRun)
	require.Equal(t, len(a.Tokens), a.Record.Tokens)
	for i, k := range a.Tokens {
		require.Equal(t, i, k.Index)
	}

	for _, r := range s.Replicas[:3] {
		r.Engine.SetFaults(standinengine.Faults{WrongDigest: true})
	}
	a = sendCompletion(t, s.Gateways[0], "wrong", 4)
	require.Equal(t, "Failed", a.Record.Outcome)
	require.Empty(t, a.Tokens, "no token of another version may reach the caller")
}

func TestStalledAgentIsReplacedBeforeDeadline(t *testing.T) {
	s := startSite(t, options())
	require.NoError(t, s.Replicas[0].ToAgent.Set(faultproxy.Faults{ToCaller: faultproxy.Stall{}}))
	for i := range 6 {
		prompt := fmt.Sprintf("frozen %d", i)
		start := time.Now()
		requireCompleteAnswer(t, sendCompletion(t, s.Gateways[0], prompt, 3), prompt, 3)
		require.Less(t, time.Since(start), 6*time.Second)
	}
}

// A completion was given up after a second without a token although no other agent could
// go on with it, and its caller got no whole answer. A sound server may fall silent for a
// second and go on.
func TestSilentAgentIsNotLeftWithoutAnother(t *testing.T) {
	const silence = 2500 * time.Millisecond
	for name, before := range map[string]time.Duration{"before the first token": 0, "between tokens": 60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			o := options()
			o.Engines, o.Engine.BetweenTokensMilliseconds = 1, 10
			s := startSite(t, o)
			route := s.Replicas[0].ToAgent
			timers := make(chan error, 2)
			time.AfterFunc(before, func() { timers <- route.Set(faultproxy.Faults{ToCaller: faultproxy.Stall{}}) })
			time.AfterFunc(before+silence, func() { timers <- route.Set(faultproxy.Faults{}) })
			requireCompleteAnswer(t, sendCompletion(t, s.Gateways[0], "lot 14", 20), "lot 14", 20)
			require.NoError(t, <-timers)
			require.NoError(t, <-timers)
		})
	}
}
