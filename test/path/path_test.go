// Package path_test runs a small example site as processes and checks requests, a
// release and the refusal of invalid input from end to end.
package path_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/pkg/client"
)

const programs = "../../bin"

// testSite returns the example site hollister with three engines and a small model.
func testSite(t *testing.T) fleet.Site {
	t.Helper()
	s, err := fleet.LoadSite("../../examples/hollister.yaml")
	require.NoError(t, err)
	s.Services[0].Instances = 3
	for i := range s.Classes {
		s.Classes[i].Replicas = min(s.Classes[i].Replicas, 3)
	}
	s.Model.First.Bytes = 2 << 20
	s.Model.Next.Bytes = 4 << 20
	return s
}

func start(t *testing.T, s fleet.Site) (*fleet.Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	f, err := fleet.New(s, programs, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
	require.NoError(t, f.Start(ctx))
	require.NoError(t, f.CreateClasses(ctx))
	require.NoError(t, f.Ready(ctx))
	return f, ctx
}

// waitForAnswer retries a call until it is answered. An agent may report that it serves
// before every gateway has learned it; until then the call must be refused as not run,
// with a retry time.
func waitForAnswer(t *testing.T, call func() (client.Response, error)) client.Response {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		a, err := call()
		require.NoError(t, err)
		if a.Record.Outcome == "Answered" {
			return a
		}
		require.Equal(t, "Refused", a.Record.Outcome, a.Record.Reason)
		require.True(t, a.Record.NotRun)
		require.False(t, a.Record.RetryAt.IsZero())
		require.True(t, time.Now().Before(deadline), "still refused: %s", a.Record.Reason)
		t.Logf("refused: %s", a.Record.Reason)
		time.Sleep(50 * time.Millisecond)
	}
}

func TestRequestsAndReleaseEndToEnd(t *testing.T) {
	f, ctx := start(t, testSite(t))
	first, err := f.AwaitServing(ctx, "1", 3)
	require.NoError(t, err)

	for _, g := range f.Gateways {
		caller := client.New("http://"+g.CallerAddress, f.Site.Organisations[0].Key, nil)
		a := waitForAnswer(t, func() (client.Response, error) {
			return caller.Complete(ctx, client.Completion{Class: "auction-questions", Prompt: "Lot 3?", MaxTokens: 5})
		})
		require.Equal(t, first, a.Record.Digest)
		require.Len(t, a.Tokens, 5)

		a = waitForAnswer(t, func() (client.Response, error) {
			return caller.Call(ctx, "barnboard-lookups", "", []byte(`{"text":"board"}`))
		})
		require.NotEmpty(t, a.Body)

		waitForAnswer(t, func() (client.Response, error) {
			return caller.Call(ctx, "settlement-postings", "posting-"+g.Name, []byte(`{"text":"post"}`))
		})
	}

	require.NoError(t, f.Release(ctx, "2"))
	next, err := f.AwaitServing(ctx, "2", 3)
	require.NoError(t, err)
	caller := client.New("http://"+f.Gateways[0].CallerAddress, f.Site.Organisations[0].Key, nil)
	require.Eventually(t, func() bool {
		a, err := caller.Complete(ctx, client.Completion{Class: "auction-questions", Prompt: "Lot 4?", MaxTokens: 2})
		return err == nil && a.Record.Outcome == "Answered" && a.Record.Digest == next
	}, 5*time.Second, 100*time.Millisecond)
}

func TestInvalidRequestsAreRefusedNotRun(t *testing.T) {
	f, ctx := start(t, testSite(t))
	_, err := f.AwaitServing(ctx, "1", 3)
	require.NoError(t, err)
	base := "http://" + f.Gateways[0].CallerAddress
	key := f.Site.Organisations[0].Key
	validBody := `{"model":"auction-questions","prompt":"x","max_tokens":2,"stream":true}`
	cases := []struct {
		name, path, key, body, reason string
	}{
		{"no credential", "/v1/completions", "", validBody, "Unauthorised"},
		{"wrong credential", "/v1/completions", "guess", validBody, "Unauthorised"},
		{"unknown class", "/v1/completions", key, strings.Replace(validBody, "auction-questions", "poetry", 1), "UnknownClass"},
		{"not JSON", "/v1/completions", key, "{", "Malformed"},
		{"too large", "/v1/completions", key, `{"prompt":"` + strings.Repeat("a", 2<<20) + `"}`, "TooLarge"},
		{"unknown plain class", "/v1/calls/poetry", key, "{}", "UnknownClass"},
		{"no idempotency key", "/v1/calls/settlement-postings", key, "{}", "IdempotencyKeyMissing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+c.path, bytes.NewReader([]byte(c.body)))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+c.key)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.GreaterOrEqual(t, response.StatusCode, 400)
			require.Less(t, response.StatusCode, 500)
			var record client.Record
			require.NoError(t, json.Unmarshal(text, &record), string(text))
			require.Equal(t, "Refused", record.Outcome)
			require.Equal(t, c.reason, record.Reason)
			require.True(t, record.NotRun)
		})
	}
}

func TestInvalidOperatorCommandsAreRefused(t *testing.T) {
	f, _ := start(t, testSite(t))
	cases := map[string][]string{
		"unknown flag":          {"class", "create", "x", "--colour", "red"},
		"no replicas":           {"class", "create", "x", "--kind", "Plain", "--service", "ledger", "--replicas", "0"},
		"unknown kind":          {"class", "create", "x", "--kind", "Magic", "--service", "ledger", "--replicas", "1"},
		"model without version": {"class", "create", "x", "--kind", "Model", "--service", "assistant", "--model", "m", "--replicas", "1"},
		"unknown class":         {"target", "poetry", "--version", "2", "--replicas", "1"},
		"negative deadline":     {"target", "auction-questions", "--version", "2", "--replicas", "1", "--ready-within", "-5s"},
	}
	for name, args := range cases {
		t.Run(name, func(t *testing.T) {
			out, code, err := f.Operator(args...)
			require.NoError(t, err)
			require.Equal(t, 2, code, out)
			require.NotEmpty(t, out)
		})
	}
}

func TestInvalidSettingsAreRefused(t *testing.T) {
	dir := t.TempDir()
	cases := []struct{ name, program, text, wantText string }{
		{"unknown key", "almondreel-gateway", "Name: g\nColour: red\n", "Colour"},
		{"missing address", "almondreel-gateway", "Name: g\nRegion: r\nDataCentre: d\n", "CallerListen"},
		{"not YAML", "almondreel-gateway", "Name: [", "line 1"},
		{"unknown backend kind", "almondreel-agent", "Name: a\nRegion: r\nDataCentre: d\nListen: 127.0.0.1:1\nBackend: {Kind: Magic}\n", "Backend.Kind"},
		{"empty file", "almondreel-agent", "", "empty"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(dir, "settings.yaml")
			require.NoError(t, os.WriteFile(file, []byte(c.text), 0o600))
			out, code := runProgram(t, c.program, "--settings", file)
			require.Equal(t, 2, code, out)
			require.Contains(t, out, file)
			require.Contains(t, out, c.wantText)
		})
	}
}
