package backendproxy_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/settings"
)

// grantAllClaims grants every claim.
type grantAllClaims struct{}

func (grantAllClaims) Claim(context.Context, attempt.Request) (dispatch.Claim, *dispatch.Resolved) {
	return grantAllClaims{}, nil
}
func (grantAllClaims) Settle(context.Context, attempt.Answer, outcome.Outcome) {}
func (grantAllClaims) Release(context.Context)                                 {}

// discardTokens is a sink.
type discardTokens struct{}

func (discardTokens) Token(engine.Token) error { return nil }

// newEngineDispatcher returns a dispatcher of the class questions for agents beside
// engines at the addresses.
func newEngineDispatcher(t *testing.T, engines ...string) *dispatch.Dispatcher {
	t.Helper()
	table := membership.NewTable()
	for i, address := range engines {
		server := httptest.NewServer(newScriptedProxy(address, settings.KindEngine, fuzzDigest))
		t.Cleanup(server.Close)
		table.RecordHeartbeat(gateway.Member{
			Name: fmt.Sprint("agent-", i), Address: strings.TrimPrefix(server.URL, "http://"),
			Service: "assistant", Digest: fuzzDigest, Slots: 4, Sequence: 1, Started: 1,
		}, time.Now())
	}
	placed, err := json.Marshal(placement.Placement{Assignments: []placement.Assignment{{Class: "questions", Service: "assistant", Digest: fuzzDigest}}})
	require.NoError(t, err)
	state := desired.NewState()
	require.NoError(t, state.AdoptPlacement(gateway.Versioned{Value: placed, Revision: 1}, "test"))
	return dispatch.New(dispatch.Options{Gateway: "g", Desired: state, Members: table, Claims: grantAllClaims{}})
}

// An engine that repeats an earlier refusal on a kept connection must not make a request
// that may run once run at a second engine.
func TestRepeatedRefusalOfEngineRunsNoRequestTwice(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{} // by prompt
	faulty := func(earlier int, r *http.Request, body []byte) (string, bool) {
		var c engine.Completion
		if r.URL.Path != engine.CompletionsPath || json.Unmarshal(body, &c) != nil || c.Prompt == "refused" {
			return engineRefusal, false
		}
		mu.Lock()
		runs[c.Prompt]++
		mu.Unlock()
		text := tokenStream(t, c.RequestID)
		if earlier > 0 {
			text = engineRefusal + text
		}
		return text, false
	}
	d := newEngineDispatcher(t, startScripted(t, faulty), startScripted(t, faulty))
	for _, prompt := range []string{"refused", "p1", "p2", "p3", "p4", "p5", "p6"} {
		_, o := d.Stream(context.Background(), attempt.Request{
			ID: prompt, Prompt: prompt, Fingerprint: prompt, IdempotencyKey: prompt, MaxTokens: 1,
			Body:     []byte(fmt.Sprintf(`{"prompt":%q}`, prompt)),
			Class:    operator.Class{Name: "questions", Kind: operator.Model, Service: "assistant"},
			Deadline: time.Now().Add(5 * time.Second),
		}, discardTokens{})
		if prompt == "refused" {
			require.IsType(t, outcome.Refused{}, o)
			continue
		}
		require.Equal(t, outcome.Answered{Digest: string(fuzzDigest), Tokens: 1}, o, prompt)
		mu.Lock()
		require.Equal(t, 1, runs[prompt], prompt)
		mu.Unlock()
	}
}
