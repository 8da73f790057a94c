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
	standkv "almondreel.example/almondreel/internal/standin/kv"
	"almondreel.example/almondreel/internal/status"
)

// bench is a key-value service, a gateway's status and the operator's settings.
type bench struct {
	kv       *standkv.Server
	key      kv.Key
	settings string
}

func newBench(t *testing.T) *bench {
	b := &bench{kv: standkv.New(standkv.Options{})}
	keyValue := httptest.NewServer(b.kv)
	t.Cleanup(keyValue.Close)
	b.key = kv.Key{Client: kv.NewClient(keyValue.URL), Name: operator.ConfigurationKey}
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status.Status{Settled: true, Configuration: 3, Placement: 4, Planner: "gateway-1",
			Services: []status.Service{{Name: "assistant", Kind: "Engine", Instances: 6}},
			Classes:  []status.Class{{Name: "auction", Version: "1", Serving: 2, Placed: 4, ChunksHave: 3, ChunksWanted: 8}}})
	}))
	t.Cleanup(gateway.Close)
	b.settings = filepath.Join(t.TempDir(), "operator.yaml")
	text := "KeyValue: " + keyValue.URL + "\nOperator: anna\nGateways: [" + gateway.URL + "]\n"
	require.NoError(t, os.WriteFile(b.settings, []byte(text), 0o600))
	return b
}

func (b *bench) run(arguments ...string) (int, string) {
	var out bytes.Buffer
	code := command.Run(append([]string{"--settings", b.settings, "--wait", "500ms"}, arguments...), &out, &out)
	return code, out.String()
}

var create = strings.Fields("class create auction --kind Model --service assistant --model m --version 1 --replicas 4 --ready-within 90s --first-token 540ms --weighing Time --priority 3")

func TestClassIsCreatedShownAndChanged(t *testing.T) {
	b := newBench(t)
	code, out := b.run(create...)
	require.Equal(t, command.ExitAccepted, code, out)
	require.Contains(t, out, "accepted: change 0-")
	code, out = b.run("class", "show", "auction")
	require.Equal(t, command.ExitAccepted, code, out)
	require.Regexp(t, `FirstTokenMilliseconds +540`, out)
	require.Regexp(t, `Idempotent +true`, out)
	code, out = b.run("target", "auction", "--version", "2", "--replicas", "6", "--ready-within", "2m")
	require.Equal(t, command.ExitAccepted, code, out)
	code, out = b.run("class", "list")
	require.Equal(t, command.ExitAccepted, code, out)
	require.Regexp(t, `auction +Model +assistant +m +2 +6 +3`, out)
}

func TestImpossibleAndBadInputIsRefusedWithWhatWasExpected(t *testing.T) {
	b := newBench(t)
	code, out := b.run(create...)
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
		"check " + b.settings + "none":                                  "no such file",
	}
	for arguments, expected := range cases {
		t.Run(arguments, func(t *testing.T) {
			code, out := b.run(strings.Fields(arguments)...)
			require.Equal(t, command.ExitBadInput, code, out)
			require.Contains(t, out, expected)
		})
	}
}

func TestUnknownOutcomePrintsTheChangeAndIsSettledLater(t *testing.T) {
	b := newBench(t)
	code, out := b.run(create...)
	require.Equal(t, command.ExitAccepted, code, out)
	entry, err := b.key.Read(context.Background())
	require.NoError(t, err)
	// The write of the change is answered by nobody, and arrives late.
	b.kv.SetFaults(standkv.Faults{LateWriteMilliseconds: 400})
	code, out = b.run("target", "auction", "--replicas", "5")
	b.kv.SetFaults(standkv.Faults{})
	require.Contains(t, []int{command.ExitUnknown, command.ExitFailure}, code, out)
	after, err := b.key.Read(context.Background())
	require.NoError(t, err)
	if code == command.ExitFailure {
		require.Equal(t, entry, after, "a failure says that nothing was written")
	}
	document, err := operator.Decode(after)
	require.NoError(t, err)
	for _, c := range document.History {
		code, out = b.run("change", "status", c.ChangeID)
		require.Equal(t, command.ExitAccepted, code, out)
	}
	code, out = b.run("change", "status", "0-of-someone-else")
	require.Equal(t, command.ExitRejected, code, out)
}

func TestFailureOfTheServiceIsToldApartFromBadInput(t *testing.T) {
	b := newBench(t)
	b.kv.SetFaults(standkv.Faults{Down: true})
	code, out := b.run(create...)
	require.Equal(t, command.ExitFailure, code, out)
	require.Contains(t, out, "not changed")
}

func TestStatusAndCheck(t *testing.T) {
	b := newBench(t)
	code, out := b.run("status")
	require.Equal(t, command.ExitAccepted, code, out)
	require.Regexp(t, `auction +1 +2 +0 +0 +3/8`, out)
	code, out = b.run("status", "--output", "json")
	require.Equal(t, command.ExitAccepted, code, out)
	var s status.Status
	require.NoError(t, json.Unmarshal([]byte(out), &s))
	require.Equal(t, "gateway-1", s.Planner)
	code, out = b.run("check", b.settings)
	require.Equal(t, command.ExitAccepted, code, out)
	require.NoError(t, os.WriteFile(b.settings, []byte("Operator: x\nColour: red\n"), 0o600))
	code, out = b.run("check", b.settings)
	require.Equal(t, command.ExitBadInput, code, out)
	require.Contains(t, out, ":2: key Colour")
}
