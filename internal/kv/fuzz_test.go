package kv_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/kv"
)

// FuzzAnswer sends arbitrary responses to a write. The write must succeed only if the
// response has a revision, and be reported as without effect only if the status says
// so.
func FuzzAnswer(f *testing.F) {
	f.Add(200, []byte(`{"key":"a","value":"MQ==","revision":7}`))
	f.Add(200, []byte(`{}`))
	f.Add(200, []byte(`{"revision":`))
	f.Add(204, []byte(``))
	f.Add(409, []byte(`{"key":"a","revision":9}`))
	f.Add(409, []byte(`<html>`))
	f.Add(404, []byte(`{"error":"lease has lapsed"}`))
	f.Add(429, []byte(``))
	f.Add(500, []byte(`{"revision":7}`))
	f.Add(503, []byte(``))
	f.Add(302, []byte(``))
	var status int
	var body []byte
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	f.Cleanup(service.Close)
	client := kv.NewClient(service.URL)
	f.Fuzz(func(t *testing.T, answerStatus int, answerBody []byte) {
		if answerStatus < 200 || answerStatus > 599 {
			return
		}
		status, body = answerStatus, answerBody
		entry, err := client.Swap(context.Background(), kv.Swap{Key: "a", Value: []byte("1")})
		var unavailable *kv.Unavailable
		if errors.As(err, &unavailable) {
			require.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
		}
		if err == nil {
			require.Equal(t, http.StatusOK, status)
			require.Positive(t, entry.Revision)
		}
	})
}
