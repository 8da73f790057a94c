// Package requests_test drives the request path of gateways and agents.
package requests_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/assembly"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	enginestandin "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/pkg/client"
)

const (
	questions = "questions"
	postings  = "postings"
	lookups   = "lookups"
	crash     = "!crash!"
)

func options() assembly.Options {
	model := operator.Target{FirstTokenMilliseconds: 500, BetweenTokensMilliseconds: 50, AnswerMilliseconds: 8000}
	plain := operator.Target{AnswerMilliseconds: 2000}
	return assembly.Options{
		Engines: 3, Services: 2,
		Engine: enginestandin.Options{FirstTokenMilliseconds: 5, BetweenTokensMilliseconds: 2, Slots: 8, CrashMarker: crash},
		Classes: []operator.Class{
			{Name: questions, Kind: operator.Model, Service: assembly.EngineService, Idempotent: true, Target: model},
			{Name: lookups, Kind: operator.Plain, Service: assembly.PlainService, Idempotent: true, Target: plain},
			{Name: postings, Kind: operator.Plain, Service: assembly.PlainService, Target: plain},
		},
		Organisations: []settings.Organisation{{Name: "north", Key: "key-north"}, {Name: "south", Key: "key-south"}},
	}
}

func start(t testing.TB, o assembly.Options) *assembly.Site {
	t.Helper()
	s, err := assembly.Start(o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func caller(g *assembly.Gateway) *client.Client {
	return client.New(g.URL, "key-north", &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
}

func complete(t testing.TB, g *assembly.Gateway, prompt string, tokens int) client.Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, err := caller(g).Complete(ctx, client.Completion{Class: questions, Prompt: prompt, MaxTokens: tokens})
	require.NoError(t, err)
	return a
}

func post(t testing.TB, g *assembly.Gateway, key, body string) client.Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, err := caller(g).Call(ctx, postings, key, []byte(body))
	require.NoError(t, err)
	return a
}

// requireWhole checks that a is the stand-in's answer to prompt, whole and in order.
func requireWhole(t testing.TB, a client.Answer, prompt string, tokens int) {
	t.Helper()
	require.Equal(t, "Answered", a.Record.Outcome, "%+v", a.Record)
	require.Equal(t, string(assembly.Digest), a.Record.Digest)
	require.Len(t, a.Tokens, tokens)
	text := ""
	for i, k := range a.Tokens {
		require.Equal(t, i, k.Index)
		require.Equal(t, string(assembly.Digest), k.Digest)
		text += k.Text
	}
	require.Equal(t, enginestandin.Answer(assembly.Digest, prompt, tokens), text)
}

func TestCompletionAndCallAreAnsweredWhole(t *testing.T) {
	s := start(t, options())
	requireWhole(t, complete(t, s.Gateways[0], "lot 14", 6), "lot 14", 6)
	a := post(t, s.Gateways[0], "k1", `{"amount":1}`)
	require.Equal(t, "Answered", a.Record.Outcome, "%+v", a.Record)
	require.Contains(t, string(a.Body), "Receipt")
	again := post(t, s.Gateways[0], "k1", `{"amount":1}`)
	require.Equal(t, a.Body, again.Body)
	require.Equal(t, "Refused", post(t, s.Gateways[0], "k1", `{"amount":2}`).Record.Outcome)
	require.Len(t, runs(s), 1)
}

// runs returns the bodies of the calls that the services ran.
func runs(s *assembly.Site) []string {
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
