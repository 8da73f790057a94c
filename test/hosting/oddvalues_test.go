package hosting_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// sendWithBudget sends a call with this text as its time budget, and its body later than
// its head. It returns the status of the answer.
func sendWithBudget(t *testing.T, s *site, attempt, budget, body string) int {
	t.Helper()
	conn := dialGateway(t, s)
	require.NoError(t, caller.WriteHead(conn, standin.OncePath+"x", attempt, apiKey, budget, len(body)))
	time.Sleep(5 * time.Millisecond)
	_, err := io.WriteString(conn, body)
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
			require.Equal(t, status, sendWithBudget(t, s, attempt, budget, body), "budget %s, body %q", budget, body)
			require.Equal(t, status == 200, s.ran(attempt))
		}
	}
}

// A body that was not sent in time ended its request without a byte of an answer.
func TestBodyThatComesTooLateIsRefused(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	conn := dialGateway(t, s)
	require.NoError(t, caller.WriteHead(conn, standin.OncePath+"x", "late", apiKey, "200", 2))
	_, err := io.WriteString(conn, "{")
	require.NoError(t, err)
	began := time.Now()
	response := readFinalAnswer(t, conn)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Less(t, time.Since(began), time.Second)
	_, err = io.ReadFull(conn, make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the rest of the body could be taken for a request")
}

// After one call with a time budget of 10^20 ms, calls with usual ones were refused at a
// service that had free places: the gateway took them for late repeats.
func TestLongTimeBudgetOfOneCallerRefusesNoOthers(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	require.Equal(t, 200, sendWithBudget(t, s, "long", "1e20", "{}"))
	s.ledger.SetDelayMS(300)
	const calls = 8 // the places of the service
	outcomes := make(chan caller.Outcome, calls)
	for n := range calls {
		go func() {
			c := caller.New(s.gateways[0].callerAddress)
			defer c.Close()
			outcomes <- c.Send(context.Background(), standin.OncePath+"x", fmt.Sprint("usual-", n), apiKey, time.Now().Add(requestTimeout))
		}()
	}
	for range calls {
		o := <-outcomes
		require.NoError(t, o.Err)
		require.Equal(t, 200, o.Status, o.Body)
	}
}

// A caller that sent a large body to a route or with a key that is not in the
// configuration got a reset connection in place of its refusal, if it read only after it
// had sent the whole request.
func TestRefusalOfALargeRequestReachesItsCaller(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	const pieces, pieceBytes, piecePause = 64, 16 << 10, 15 * time.Millisecond
	for name, c := range map[string]struct {
		path, key string
		status    int
	}{
		"no route": {"/none/x", apiKey, http.StatusNotFound},
		"no key":   {standin.OncePath + "x", "removed", http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dialGateway(t, s)
			require.NoError(t, caller.WriteHead(conn, c.path, "large", c.key, "3000", pieces*pieceBytes))
			for range pieces {
				_, err := conn.Write(make([]byte, pieceBytes))
				require.NoError(t, err, "the connection was closed before the whole request was read")
				time.Sleep(piecePause)
			}
			require.Equal(t, c.status, readFinalAnswer(t, conn).StatusCode)
		})
	}
}
