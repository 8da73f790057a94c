package requests_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/internal/standin/faultproxy"
	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

func httpResponse(status, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
}

// brokenAnswers are responses of an engine or agent that contain none of the tokens that
// a broken-off stream lacks.
var brokenAnswers = map[string]string{
	"500":                          httpResponse("500 Internal Server Error", "application/json", `{"error":"NOTATOKEN"}`),
	"503":                          httpResponse("503 Service Unavailable", "text/plain", "NOTATOKEN"),
	"400":                          httpResponse("400 Bad Request", "application/json", `{"error":"NOTATOKEN"}`),
	"502 that looks like events":   httpResponse("502 Bad Gateway", "text/event-stream", "data: {\"text\":\"NOTATOKEN\"}\n\ndata: [DONE]\n\n"),
	"307":                          "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://127.0.0.1:1/NOTATOKEN\r\nContent-Length: 0\r\n\r\n",
	"200 that is JSON":             httpResponse("200 OK", "application/json", `{"error":"NOTATOKEN"}`),
	"200 that is HTML":             httpResponse("200 OK", "text/html", "<p>NOTATOKEN</p>\n\ndata: [DONE]\n\n"),
	"200 without a body":           httpResponse("200 OK", "text/event-stream", ""),
	"204":                          "HTTP/1.1 204 No Content\r\n\r\n",
	"stream with the end only":     httpResponse("200 OK", "text/event-stream", "data: [DONE]\n\n"),
	"stream without an event":      streamHead,
	"error event":                  httpResponse("200 OK", "text/event-stream", "event: error\ndata: NOTATOKEN\n\ndata: [DONE]\n\n"),
	"error as data":                httpResponse("200 OK", "text/event-stream", "data: {\"error\":\"NOTATOKEN\"}\n\ndata: [DONE]\n\n"),
	"outcome event":                httpResponse("200 OK", "text/event-stream", "event: outcome\ndata: {\"Outcome\":\"Answered\",\"Reason\":\"NOTATOKEN\"}\n\ndata: [DONE]\n\n"),
	"head within the body":         httpResponse("200 OK", "text/event-stream", "HTTP/1.1 500 NOTATOKEN\r\n\r\n\r\ndata: [DONE]\n\n"),
	"head that is not HTTP":        "NOTATOKEN\r\n\r\n",
	"informational head, then 500": "HTTP/1.1 103 Early Hints\r\nLink: NOTATOKEN\r\n\r\n" + httpResponse("500 Internal Server Error", "text/plain", "NOTATOKEN"),
}

// requireTruthfulEnd checks the bytes of a stream that no engine could complete: tokens in
// sequence, then an outcome that counts them, and no end marker.
func requireTruthfulEnd(t *testing.T, text string) client.Record {
	t.Helper()
	require.NotContains(t, text, "NOTATOKEN")
	require.NotContains(t, text, "[DONE]")
	events := strings.Split(strings.TrimSuffix(text, "\n\n"), "\n\n")
	for i, e := range events[:len(events)-1] {
		data, found := strings.CutPrefix(e, "data: ")
		require.True(t, found, e)
		var token client.Token
		require.NoError(t, json.Unmarshal([]byte(data), &token), e)
		require.Equal(t, i, token.Index)
	}
	data, found := strings.CutPrefix(events[len(events)-1], "event: outcome\ndata: ")
	require.True(t, found, text)
	var r client.Record
	require.NoError(t, json.Unmarshal([]byte(data), &r))
	require.Equal(t, len(events)-1, r.Tokens)
	return r
}

// One engine breaks its stream off after two tokens, the other one or its agent answers
// without tokens. No caller may get anything of that answer, or a short response that
// looks complete.
func TestBrokenStreamIsFollowedByTokensOnly(t *testing.T) {
	for name, answer := range brokenAnswers {
		for peer, route := range routes {
			t.Run(name+" from "+peer, func(t *testing.T) {
				t.Parallel()
				o := options()
				o.Engines = 2
				s := startSite(t, o)
				s.Replicas[0].Engine.SetFaults(standinengine.Faults{CutAfterTokens: 2})
				broken := faultproxy.Flood{Head: answer, Milliseconds: 1}
				require.NoError(t, route(s.Replicas[1]).Set(faultproxy.Faults{ToCaller: broken}))
				requireTokensOnly(t, s)
			})
		}
	}
}

// requireTokensOnly sends completions until one began at the engine that breaks off.
func requireTokensOnly(t *testing.T, s *testsite.Site) {
	header := http.Header{"Authorization": {"Bearer key-north"}}
	began := 0
	for n := range 4 {
		body := fmt.Sprintf(`{"model":"questions","prompt":"lot %d","max_tokens":12,"stream":true}`, n)
		status, text := postRaw(t, s.Gateways[0], "/v1/completions", header, []byte(body))
		if status != http.StatusOK { // both may have refused
			require.NotContains(t, text, "NOTATOKEN")
			require.NotContains(t, text, `"Answered"`)
			continue
		}
		r := requireTruthfulEnd(t, text)
		require.Equal(t, "Failed", r.Outcome)
		if r.Tokens > 0 {
			began++
		}
	}
	require.Positive(t, began, "no stream began")
}
