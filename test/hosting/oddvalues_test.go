package hosting_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/standin"
)

// sendWithHeader sends a call with an additional header, and its body later than its head.
// It returns the status of the answer.
func sendWithHeader(t *testing.T, s *site, attempt, header, body string) int {
	t.Helper()
	conn := dialGateway(t, s)
	_, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n%s\r\n\r\n",
		standin.OncePath, standin.Host, attempt, apiKey, len(body), header)
	require.NoError(t, err)
	time.Sleep(5 * time.Millisecond)
	_, err = io.WriteString(conn, body)
	require.NoError(t, err)
	return readFinalAnswer(t, conn).StatusCode
}

// A time budget that was over before the body came ended a request without a byte of an
// answer, as it became the read deadline of the caller's connection. One of 0 or less stood
// for no budget, and one out of range for another one on each kind of machine.
func TestOddTimeBudgetsGetAnAnswer(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	for budget, status := range map[string]int{
		"0.0001": 503, "1": 503, "0": 503, "-5": 503, "-1e300": 503, "-Inf": 503,
		"1e20": 200, "1e300": 200, "+Inf": 200, "9223372036854775807": 200, "1e400": 200,
		"NaN": 200, "soon": 200, "": 200,
	} {
		for _, body := range []string{"", "{}"} {
			attempt := fmt.Sprint("odd-", budget, "-", len(body))
			if budget == "1" && body == "" { // nothing of the request is late
				continue
			}
			require.Equal(t, status, sendWithHeader(t, s, attempt, "X-Deadline-Ms: "+budget, body), "budget %s, body %q", budget, body)
			require.Equal(t, status == 200, s.ran(attempt))
		}
	}
}

// A body that was not sent in time ended its request without a byte of an answer.
func TestBodyThatComesTooLateIsRefused(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	conn := dialGateway(t, s)
	_, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: late\r\nAuthorization: Token %s\r\nContent-Length: 2\r\nX-Deadline-Ms: 200\r\n\r\n{", standin.OncePath, standin.Host, apiKey)
	require.NoError(t, err)
	began := time.Now()
	response := readFinalAnswer(t, conn)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Less(t, time.Since(began), time.Second)
	_, err = io.ReadFull(conn, make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the rest of the body could be taken for a request")
}
