package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/command"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/operator"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
	"almondreel.example/almondreel/internal/status"
)

// fixture has a key-value service, a gateway that serves a fixed status, and an
// operator's settings file for both.
type fixture struct {
	kv       *standinkv.Server
	key      kv.Key
	settings string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{kv: standinkv.New(standinkv.Options{})}
	keyValue := httptest.NewServer(f.kv)
	t.Cleanup(keyValue.Close)
	f.key = kv.Key{Client: kv.NewClient(keyValue.URL), Name: operator.ConfigurationKey}
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status.Status{Settled: true, Configuration: 3, Placement: 4, Planner: "gateway-1",
			Services: []status.Service{{Name: "assistant", Kind: "Engine", Instances: 6}},
			Classes:  []status.Class{{Name: "auction", Version: "1", Serving: 2, Placed: 4, ChunksHave: 3, ChunksWanted: 8}}})
	}))
	t.Cleanup(gateway.Close)
	f.settings = filepath.Join(t.TempDir(), "operator.yaml")
	text := "KeyValue: " + keyValue.URL + "\nOperator: anna\nGateways: [" + gateway.URL + "]\n"
	require.NoError(t, os.WriteFile(f.settings, []byte(text), 0o600))
	return f
}

func (f *fixture) run(arguments ...string) (int, string) {
	var out bytes.Buffer
	code := command.Run(append([]string{"--settings", f.settings, "--wait", "500ms"}, arguments...), &out, &out)
	return code, out.String()
}

var createAuction = strings.Fields("class create auction --kind Model --service assistant --model m --version 1 --replicas 4 --ready-within 90s --first-token 540ms --weighing Time --priority 3")

func TestCreateShowAndChangeClass(t *testing.T) {
	f := newFixture(t)
	code, out := f.run(createAuction...)
	require.Equal(t, command.ExitAccepted, code, out)
	require.Contains(t, out, "accepted: change 0-")
	code, out = f.run("class", "show", "auction")
	require.Equal(t, command.ExitAccepted, code, out)
	require.Regexp(t, `FirstTokenMilliseconds +540`, out)
	require.Regexp(t, `Idempotent +true`, out)
	code, out = f.run("target", "auction", "--version", "2", "--replicas", "6", "--ready-within", "2m")
	require.Equal(t, command.ExitAccepted, code, out)
	code, out = f.run("class", "list")
	require.Equal(t, command.ExitAccepted, code, out)
	require.Regexp(t, `auction +Model +assistant +m +2 +6 +3`, out)
}

func TestBadInputIsRejectedWithExpectation(t *testing.T) {
	f := newFixture(t)
	code, out := f.run(createAuction...)
	require.Equal(t, command.ExitAccepted, code, out)
	cases := map[string]string{
		"target auction --replicas 7":                                   `expected at most 6, the instances of service "assistant"`,
		"target auction --replicas 0":                                   "expected 1 to",
		"target auction --ready-within 0s":                              "expected a time such as",
		"target auction":                                                "expected --version, --replicas or --ready-within",
		"target missing --replicas 1":                                   "does not exist",
		"class create auction --kind Plain --service ledger":            "exists",
		"class create Bad_Name --kind Plain --service ledger":           "expected lower-case letters",
		"class create other --kind Plain --service ledger --replicas 1": `expected at most 0, the instances of service "ledger"`,
		"class set auction --first-token 2m --answer-within 1m":         "expected at most answer-within",
		"class create other --kind Fast --service ledger":               "Fast",
		"class frobnicate":                                              "frobnicate",
		"change status not-a-change":                                    "is not a change ID",
		"check " + f.settings + "none":                                  "no such file",
	}
	for arguments, expected := range cases {
		t.Run(arguments, func(t *testing.T) {
			code, out := f.run(strings.Fields(arguments)...)
			require.Equal(t, command.ExitBadInput, code, out)
			require.Contains(t, out, expected)
		})
	}
}

func TestUnknownOutcomeIsResolvedByChangeStatus(t *testing.T) {
	f := newFixture(t)
	code, out := f.run(createAuction...)
	require.Equal(t, command.ExitAccepted, code, out)
	entry, err := f.key.Read(context.Background())
	require.NoError(t, err)
	// The store applies the write late and does not answer it.
	f.kv.SetFaults(standinkv.Faults{LateWriteMilliseconds: 400})
	code, out = f.run("target", "auction", "--replicas", "5")
	f.kv.SetFaults(standinkv.Faults{})
	require.Contains(t, []int{command.ExitUnknown, command.ExitFailure}, code, out)
	after, err := f.key.Read(context.Background())
	require.NoError(t, err)
	if code == command.ExitFailure {
		require.Equal(t, entry, after, "a failure must mean that nothing was written")
	}
	document, err := operator.Decode(after)
	require.NoError(t, err)
	for _, c := range document.History {
		code, out = f.run("change", "status", c.ChangeID)
		require.Equal(t, command.ExitAccepted, code, out)
	}
	code, out = f.run("change", "status", "0-of-someone-else")
	require.Equal(t, command.ExitRejected, code, out)
}

func TestUnavailableStoreExitsWithFailure(t *testing.T) {
	f := newFixture(t)
	f.kv.SetFaults(standinkv.Faults{Down: true})
	code, out := f.run(createAuction...)
	require.Equal(t, command.ExitFailure, code, out)
	require.Contains(t, out, "not changed")
}

func TestStatusShowsProgressAndCheckNamesUnknownKey(t *testing.T) {
	f := newFixture(t)
	code, out := f.run("status")
	require.Equal(t, command.ExitAccepted, code, out)
	require.Regexp(t, `auction +1 +2 +0 +0 +3/8`, out)
	code, out = f.run("status", "--output", "json")
	require.Equal(t, command.ExitAccepted, code, out)
	var s status.Status
	require.NoError(t, json.Unmarshal([]byte(out), &s))
	require.Equal(t, "gateway-1", s.Planner)
	code, out = f.run("check", f.settings)
	require.Equal(t, command.ExitAccepted, code, out)
	require.NoError(t, os.WriteFile(f.settings, []byte("Operator: x\nColour: red\n"), 0o600))
	code, out = f.run("check", f.settings)
	require.Equal(t, command.ExitBadInput, code, out)
	require.Contains(t, out, ":2: key Colour")
}
