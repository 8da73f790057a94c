package requests_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/testsite"
)

func postRaw(t *testing.T, g *testsite.Gateway, path string, header http.Header, body []byte) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, g.URL+path, bytes.NewReader(body))
	require.NoError(t, err)
	r.Header = header
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

func TestMalformedRequestsAreRefusedNotRun(t *testing.T) {
	o := options()
	o.MaxBodyBytes = 4096
	s := startSite(t, o)
	authorised := http.Header{"Authorization": {"Bearer key-north"}}
	longKey := http.Header{"Authorization": {"Bearer key-north"}, "Idempotency-Key": {strings.Repeat("k", 300)}}
	badDeadline := http.Header{"Authorization": {"Bearer key-north"}, "Request-Deadline": {"tomorrow"}}
	pastDeadline := http.Header{"Authorization": {"Bearer key-north"}, "Request-Deadline": {time.Now().Add(-time.Hour).Format(time.RFC3339)}}
	cases := []struct {
		path   string
		header http.Header
		body   string
		status int
		reason string
	}{
		{"/v1/completions", http.Header{}, `{}`, 401, "Unauthorised"},
		{"/v1/completions", authorised, `{`, 400, "Malformed"},
		{"/v1/completions", authorised, `{"model":"questions","prompt":"x","colour":1}`, 400, "Malformed"},
		{"/v1/completions", authorised, `{"model":"questions","prompt":"x"} {}`, 400, "Malformed"},
		{"/v1/completions", authorised, `{"model":"questions","prompt":"x","max_tokens":-1}`, 400, "Malformed"},
		{"/v1/completions", authorised, `{"model":"postings","prompt":"x"}`, 404, "UnknownClass"},
		{"/v1/completions", authorised, `{"prompt":"` + strings.Repeat("a", 5000) + `"}`, 413, "TooLarge"},
		{"/v1/completions", badDeadline, `{"model":"questions","prompt":"x"}`, 400, "Malformed"},
		{"/v1/completions", pastDeadline, `{"model":"questions","prompt":"x"}`, 503, "DeadlinePassed"},
		{"/v1/calls/postings", longKey, `{}`, 400, "Malformed"},
		{"/v1/calls/postings", authorised, `{}`, 400, "IdempotencyKeyMissing"},
		{"/v1/calls/postings", authorised, `not json`, 400, "Malformed"},
	}
	for _, c := range cases {
		status, text := postRaw(t, s.Gateways[0], c.path, c.header, []byte(c.body))
		require.Equal(t, c.status, status, "%s %s", c.path, text)
		require.Contains(t, text, fmt.Sprintf("%q", c.reason))
		require.Contains(t, text, `"NotRun":true`)
	}
	require.Empty(t, servedBodies(s))
}

// Callers that announce large bodies and never send them, and callers whose bodies
// are too large, must use bounded memory. Other callers are answered meanwhile.
func TestSlowAndOversizedCallersUseBoundedMemory(t *testing.T) {
	s := startSite(t, options())
	address := strings.TrimPrefix(s.Gateways[0].URL, "http://")
	before := heapInUse()
	var conns []net.Conn
	for range 300 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-north\r\nContent-Length: 1000000\r\n\r\n{\"prompt\":\"")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			status, _ := postRaw(t, s.Gateways[0], "/v1/completions", http.Header{"Authorization": {"Bearer key-north"}}, make([]byte, 8<<20))
			if status != http.StatusRequestEntityTooLarge && status != http.StatusTooManyRequests {
				t.Errorf("status %d", status)
			}
		})
	}
	group.Wait()
	require.Less(t, heapInUse()-before, int64(64<<20))
	requireCompleteAnswer(t, sendCompletion(t, s.Gateways[0], "honest", 2), "honest", 2)
	for _, conn := range conns {
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool { return sendCompletion(t, s.Gateways[0], "honest", 2).Record.Outcome == "Answered" }, 5*time.Second, 20*time.Millisecond)
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
