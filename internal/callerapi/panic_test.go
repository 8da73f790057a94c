package callerapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/callerapi"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/outcome"
)

// A defect of a request's handler closed the caller's connection without an answer.
func TestCallerOfAPanickingHandlerGetsAnAnswer(t *testing.T) {
	panicked := false
	handler := newTestHandler(t, func(outcome.Record) {
		if !panicked {
			panicked = true
			panic("recorder")
		}
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	panics := counter.Value("HandlerPanics")
	request, err := http.NewRequest(http.MethodPost, server.URL+callerapi.CompletionsPath, strings.NewReader(`{}`))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+fuzzKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err, "no answer and no refusal")
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Contains(t, response.Header.Get(callerapi.HeaderOutcome), `"Reason":"InternalError"`)
	require.Equal(t, panics+1, counter.Value("HandlerPanics"))
	require.Zero(t, handler.Running())
}
