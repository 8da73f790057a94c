package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/assembly"
	"almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/standin/faultproxy"
	"almondreel.example/almondreel/internal/standin/service"
)

// accountFor checks a posting's outcome against the journal.
func accountFor(t *testing.T, s *assembly.Site, outcome, body string) {
	t.Helper()
	count := 0
	for _, b := range runs(s) {
		if b == body {
			count++
		}
	}
	switch outcome {
	case "Answered":
		require.Equal(t, 1, count, body)
	case "Refused":
		require.Zero(t, count, "%s was said not to be run", body)
	case "Unknown":
		require.LessOrEqual(t, count, 1, body)
	default:
		require.Fail(t, "outcome of a posting", outcome)
	}
}

// Cuts the connections of a dispatch after every few bytes of the request and of
// the answer, on both hops.
func TestPostingIsAccountedForAtEveryCut(t *testing.T) {
	o := options()
	o.Services = 1
	s := start(t, o)
	r := s.Replicas[len(s.Replicas)-1]
	seen := map[string]int{}
	cut := func(name string, route *faultproxy.Route, f faultproxy.Faults) {
		require.NoError(t, route.Set(f))
		body := fmt.Sprintf(`{"posting":%q}`, name)
		a := post(t, s.Gateways[0], name, body)
		require.NoError(t, route.Set(faultproxy.Faults{}))
		accountFor(t, s, a.Record.Outcome, body)
		seen[a.Record.Outcome]++
	}
	for n := int64(0); n < 900; n += 31 {
		cut(fmt.Sprintf("agent-to-%d", n), r.ToAgent, faultproxy.Faults{ToTarget: faultproxy.CutAfter{Bytes: n}})
		cut(fmt.Sprintf("agent-from-%d", n), r.ToAgent, faultproxy.Faults{ToCaller: faultproxy.CutAfter{Bytes: n}})
		cut(fmt.Sprintf("back-to-%d", n), r.ToBack, faultproxy.Faults{ToTarget: faultproxy.CutAfter{Bytes: n}})
		cut(fmt.Sprintf("back-from-%d", n), r.ToBack, faultproxy.Faults{ToCaller: faultproxy.CutAfter{Bytes: n}})
	}
	cut("agent-refuse", r.ToAgent, faultproxy.Faults{Refuse: true})
	cut("back-refuse", r.ToBack, faultproxy.Faults{Refuse: true})
	t.Log(seen)
	require.NotZero(t, seen["Unknown"])
	require.NotZero(t, seen["Answered"])
	require.NotZero(t, seen["Refused"])
}

func TestServiceThatClosesAfterReadingLeavesUnknown(t *testing.T) {
	o := options()
	o.Services = 1
	s := start(t, o)
	r := s.Replicas[len(s.Replicas)-1]
	r.Service.SetFaults(service.Faults{CloseAfterReading: true})
	a := post(t, s.Gateways[0], "closes", `{"n":1}`)
	require.Equal(t, "Unknown", a.Record.Outcome)
	require.False(t, a.Record.NotRun)
	r.Service.SetFaults(service.Faults{AnswerLost: true})
	a = post(t, s.Gateways[0], "lost", `{"n":2}`)
	require.Equal(t, "Unknown", a.Record.Outcome)
	r.Service.SetFaults(service.Faults{})
	a = post(t, s.Gateways[0], "lost", `{"n":2}`)
	require.Equal(t, "Unknown", a.Record.Outcome, "a repeat is told the same and not run")
	require.Len(t, runs(s), 1)
}

// A stream that is cut anywhere is resumed on another agent, whole.
func TestStreamIsWholeAtEveryCut(t *testing.T) {
	s := start(t, options())
	const tokens = 12
	for n := int64(0); n < 2600; n += 97 {
		for _, f := range []faultproxy.Faults{{ToTarget: faultproxy.CutAfter{Bytes: n}}, {ToCaller: faultproxy.CutAfter{Bytes: n}}} {
			for _, routes := range [][]*faultproxy.Route{toAgents(s), toBacks(s)} {
				require.NoError(t, routes[0].Set(f))
				prompt := fmt.Sprintf("lot %d", n)
				requireWhole(t, complete(t, s.Gateways[0], prompt, tokens), prompt, tokens)
				require.NoError(t, routes[0].Set(faultproxy.Faults{}))
			}
		}
	}
}

func toAgents(s *assembly.Site) []*faultproxy.Route {
	var out []*faultproxy.Route
	for _, r := range s.Replicas {
		out = append(out, r.ToAgent)
	}
	return out
}

func toBacks(s *assembly.Site) []*faultproxy.Route {
	var out []*faultproxy.Route
	for _, r := range s.Replicas {
		out = append(out, r.ToBack)
	}
	return out
}

func TestAnswerThatCannotBeWholeSaysSo(t *testing.T) {
	s := start(t, options())
	for _, r := range s.Replicas[:3] {
		r.Engine.SetFaults(engine.Faults{CutAfterTokens: 2})
	}
	a := complete(t, s.Gateways[0], "cut", 40)
	require.Equal(t, "Failed", a.Record.Outcome)
	require.Equal(t, "StreamCut", a.Record.Reason)
	require.False(t, a.Record.NotRun)
	require.Equal(t, len(a.Tokens), a.Record.Tokens)
	for i, k := range a.Tokens {
		require.Equal(t, i, k.Index)
	}

	for _, r := range s.Replicas[:3] {
		r.Engine.SetFaults(engine.Faults{WrongDigest: true})
	}
	a = complete(t, s.Gateways[0], "wrong", 4)
	require.Equal(t, "Failed", a.Record.Outcome)
	require.Empty(t, a.Tokens, "no token of another version reaches the caller")
}

func TestFrozenAgentIsLeftBeforeTheDeadline(t *testing.T) {
	s := start(t, options())
	require.NoError(t, s.Replicas[0].ToAgent.Set(faultproxy.Faults{ToCaller: faultproxy.Stall{}}))
	for i := range 6 {
		prompt := fmt.Sprintf("frozen %d", i)
		began := time.Now()
		requireWhole(t, complete(t, s.Gateways[0], prompt, 3), prompt, 3)
		require.Less(t, time.Since(began), 6*time.Second)
	}
}
