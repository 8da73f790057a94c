package callerapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/callerapi"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/settings"
)

// storedResult are claims that were all settled with the same answer.
type storedResult struct{ answer attempt.Answer }

func (c storedResult) Claim(context.Context, attempt.Request) (dispatch.Claim, *dispatch.Resolved) {
	return nil, &dispatch.Resolved{Answer: c.answer, Outcome: outcome.Answered{}}
}

// Guards against a stored result with a status that net/http panics on: the caller of a
// repeat got no answer.
func TestRepeatOfResultWithOddStatusIsAnswered(t *testing.T) {
	for _, status := range []int{-1, 0, 1, 99, 101, 199, 600, 1000, 1 << 40} {
		state := desired.NewState()
		require.NoError(t, state.AdoptConfiguration(gateway.Versioned{Value: []byte(fuzzClasses), Revision: 1}, "test"))
		placed, err := json.Marshal(placement.Placement{Assignments: []placement.Assignment{{Class: "settlement-postings", Service: "ledger"}}})
		require.NoError(t, err)
		require.NoError(t, state.AdoptPlacement(gateway.Versioned{Value: placed, Revision: 1}, "test"))
		members := membership.NewTable()
		members.RecordHeartbeat(gateway.Member{Name: "agent", Address: "127.0.0.1:1", Service: "ledger", Kind: settings.KindPlain, Slots: 4, Sequence: 1, Started: 1}, time.Now())
		claims := storedResult{attempt.Answer{Status: status, ContentType: "text/plain", Body: []byte("body")}}
		server := httptest.NewServer(callerapi.NewHandler(callerapi.Options{
			Settings:   settings.Gateway{MaxBodyBytes: maxFuzzBody, Organisations: []settings.Organisation{{Name: "ranchers", Key: fuzzKey}}},
			Desired:    state,
			Dispatcher: dispatch.New(dispatch.Options{Gateway: "g", Desired: state, Members: members, Claims: claims}),
			Record:     func(outcome.Record) {},
		}))
		r, err := http.NewRequest(http.MethodPost, server.URL+callerapi.CallsPath+"settlement-postings", strings.NewReader(`{"amount":7}`))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+fuzzKey)
		r.Header.Set(callerapi.HeaderIdempotencyKey, "key-1")
		response, err := server.Client().Do(r)
		require.NoError(t, err, "status %d", status)
		require.Equal(t, http.StatusOK, response.StatusCode, "status %d", status)
		require.Contains(t, response.Header.Get(callerapi.HeaderOutcome), outcome.NameAnswered)
		require.NoError(t, response.Body.Close())
		server.Close()
	}
}
