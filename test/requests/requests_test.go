// Package requests_test sends requests through gateways and agents to stand-in
// backend servers, in one process or as processes, under faults, drains and crashes.
package requests_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

const (
	questions   = "questions"
	postings    = "postings"
	lookups     = "lookups"
	crashMarker = "!crash!"
)

func options() testsite.Options {
	model := operator.Target{FirstTokenMilliseconds: 500, BetweenTokensMilliseconds: 50, AnswerMilliseconds: 8000}
	plain := operator.Target{AnswerMilliseconds: 2000}
	return testsite.Options{
		Engines: 3, Services: 2,
		Engine: standinengine.Options{FirstTokenMilliseconds: 5, BetweenTokensMilliseconds: 2, Slots: 8, CrashMarker: crashMarker},
		Classes: []operator.Class{
			{Name: questions, Kind: operator.Model, Service: testsite.EngineService, Idempotent: true, Target: model},
			{Name: lookups, Kind: operator.Plain, Service: testsite.PlainService, Idempotent: true, Target: plain},
			{Name: postings, Kind: operator.Plain, Service: testsite.PlainService, Target: plain},
		},
		Organisations: []settings.Organisation{{Name: "north", Key: "key-north"}, {Name: "south", Key: "key-south"}},
	}
}

func startSite(t testing.TB, o testsite.Options) *testsite.Site {
	t.Helper()
	panics := counter.Value("HandlerPanics")
	t.Cleanup(func() { require.Equal(t, panics, counter.Value("HandlerPanics")) })
	s, err := testsite.Start(o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func newClient(g *testsite.Gateway) *client.Client {
	return client.New(g.URL, "key-north", &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
}

func sendCompletion(t testing.TB, g *testsite.Gateway, prompt string, tokens int) client.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, err := newClient(g).Complete(ctx, client.Completion{Class: questions, Prompt: prompt, MaxTokens: tokens})
	require.NoError(t, err)
	return a
}

func sendPosting(t testing.TB, g *testsite.Gateway, key, body string) client.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, err := newClient(g).Call(ctx, postings, key, []byte(body))
	require.NoError(t, err)
	return a
}

// requireCompleteAnswer requires that a is the stand-in's complete answer to prompt, with
// all tokens in order.
func requireCompleteAnswer(t testing.TB, a client.Response, prompt string, tokens int) {
	t.Helper()
	require.Equal(t, "Answered", a.Record.Outcome, "%+v", a.Record)
	require.Equal(t, string(testsite.Digest), a.Record.Digest)
	require.Len(t, a.Tokens, tokens)
	text := ""
	for i, k := range a.Tokens {
		require.Equal(t, i, k.Index)
		require.Equal(t, string(testsite.Digest), k.Digest)
		text += k.Text
	}
	require.Equal(t, standinengine.CompletionText(testsite.Digest, prompt, tokens), text)
}

func TestCompletionAndCallAreAnswered(t *testing.T) {
	s := startSite(t, options())
	requireCompleteAnswer(t, sendCompletion(t, s.Gateways[0], "lot 14", 6), "lot 14", 6)
	a := sendPosting(t, s.Gateways[0], "k1", `{"amount":1}`)
	require.Equal(t, "Answered", a.Record.Outcome, "%+v", a.Record)
	require.Contains(t, string(a.Body), "Receipt")
	again := sendPosting(t, s.Gateways[0], "k1", `{"amount":1}`)
	require.Equal(t, a.Body, again.Body)
	require.Equal(t, "Refused", sendPosting(t, s.Gateways[0], "k1", `{"amount":2}`).Record.Outcome)
	require.Len(t, servedBodies(s), 1)
}

// servedBodies returns the bodies of all calls in the services' journals.
func servedBodies(s *testsite.Site) []string {
	var out []string
	for _, r := range s.Replicas {
		if r.Service == nil {
			continue
		}
		for _, e := range r.Service.Journal().Entries {
			out = append(out, e.Body)
		}
	}
	return out
}
