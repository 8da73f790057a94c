package callerapi_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/callerapi"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/settings"
)

const (
	fuzzKey     = "credential"
	fuzzClasses = `{"Classes":[
		{"Name":"auction-questions","Kind":"Model","Service":"assistant","Idempotent":true,"Target":{"Model":"drover","Replicas":1,"AnswerMilliseconds":100}},
		{"Name":"settlement-postings","Kind":"Plain","Service":"ledger","Idempotent":false,"Target":{"Replicas":1,"AnswerMilliseconds":100}}]}`
	maxFuzzBody = 4096
)

// newTestHandler returns a handler without any agent, so that every request is
// refused.
func newTestHandler(t testing.TB, record callerapi.Recorder) *callerapi.Handler {
	desiredState := desired.NewState()
	require.NoError(t, desiredState.AdoptConfiguration(gateway.Versioned{Value: []byte(fuzzClasses), Revision: 1}, "test"))
	dispatcher := dispatch.New(dispatch.Options{Gateway: "g", Desired: desiredState, Members: membership.NewTable()})
	return callerapi.NewHandler(callerapi.Options{
		Settings: settings.Gateway{
			MaxBodyBytes:  maxFuzzBody,
			Organisations: []settings.Organisation{{Name: "ranchers", Key: fuzzKey}},
		},
		Desired:    desiredState,
		Dispatcher: dispatcher,
		Record:     record,
	})
}

// FuzzRequest sends arbitrary requests. Each must be refused as not run, and
// recorded once if it carries an organisation's credential, otherwise not at all.
func FuzzRequest(f *testing.F) {
	const bearer = "Bearer " + fuzzKey
	f.Add(true, "", bearer, "", "", []byte(`{"model":"auction-questions","prompt":"lot 12"}`))
	f.Add(true, "", bearer, "", "", []byte(`{"model":"auction-questions","prompt":"lot 12"} {}`))
	f.Add(true, "", bearer, "", "soon", []byte(`{"model":"auction-questions","prompt":"lot 12"}`))
	f.Add(true, "", bearer, "", "1999-01-01T00:00:00Z", []byte(`{"model":"auction-questions","prompt":"lot 12"}`))
	f.Add(true, "", "Bearer other", "", "", []byte(`{"model":"auction-questions"}`))
	f.Add(true, "", bearer, "", "", []byte(`{"model":"poetry","prompt":"x","max_tokens":-1}`))
	f.Add(true, "", bearer, "", "", []byte(`{"model":"auction-questions","colour":"red"}`))
	f.Add(true, "", bearer, "", "", bytes.Repeat([]byte("["), 2*maxFuzzBody))
	f.Add(false, "settlement-postings", bearer, "key-1", "", []byte(`{"amount":7}`))
	f.Add(false, "settlement-postings", bearer, "", "", []byte(`{"amount":7}`))
	f.Add(false, "auction-questions", bearer, "key-1", "", []byte(`{"amount":7}`))
	f.Add(false, "settlement-postings", bearer, "k\x00y", "9999-12-31T23:59:59Z", []byte(``))
	f.Add(false, "..", "", "", "", []byte(`{`))
	var records []outcome.Record
	handler := newTestHandler(f, func(r outcome.Record) { records = append(records, r) })
	f.Fuzz(func(t *testing.T, completion bool, class, authorization, key, deadline string, body []byte) {
		records = nil
		r := httptest.NewRequest(http.MethodPost, callerapi.CompletionsPath, bytes.NewReader(body))
		if !completion {
			r.URL.Path = callerapi.CallsPath + class
		}
		r.Header.Set("Authorization", authorization)
		r.Header.Set(callerapi.HeaderIdempotencyKey, key)
		r.Header.Set(callerapi.HeaderDeadline, deadline)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		require.Zero(t, handler.Running())
		if w.Code == http.StatusNotFound && w.Header().Get(callerapi.HeaderOutcome) == "" || w.Code < 400 {
			require.False(t, completion) // the path matches no route
			require.Empty(t, records)
			return
		}
		requireRefused(t, w, records, authorization == "Bearer "+fuzzKey)
	})
}

func requireRefused(t *testing.T, w *httptest.ResponseRecorder, records []outcome.Record, authenticated bool) {
	var record outcome.Record
	require.NoError(t, json.Unmarshal([]byte(w.Header().Get(callerapi.HeaderOutcome)), &record))
	require.Equal(t, outcome.NameRefused, record.Outcome)
	require.True(t, record.NotRun)
	require.NotEmpty(t, record.Reason)
	require.GreaterOrEqual(t, w.Code, 400)
	if !authenticated {
		require.Equal(t, http.StatusUnauthorized, w.Code)
		require.Empty(t, records)
		return
	}
	require.Len(t, records, 1)
	require.Equal(t, "ranchers", records[0].Organisation)
	require.Equal(t, record.Reason, records[0].Reason)
}
