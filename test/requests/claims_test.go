package requests_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/outcome"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
	standinservice "almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/internal/testsite"
	"almondreel.example/almondreel/pkg/client"
)

func TestRepeatsThroughAllGatewaysRunAtMostOnce(t *testing.T) {
	o := options()
	o.Gateways = 3
	s := startSite(t, o)
	faults := map[string]standinkv.Faults{
		"healthy":     {},
		"lost":        {LoseAnswersOneIn: 2},
		"late writes": {LateWriteMilliseconds: 60},
		"stale reads": {StaleReads: true},
		"flapping":    {FlapMilliseconds: 150},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			s.KeyValue.SetFaults(f)
			defer s.KeyValue.SetFaults(standinkv.Faults{})
			for i := range 5 {
				callConcurrently(t, s, fmt.Sprintf("%s-%d", name, i))
			}
		})
	}
}

// callConcurrently sends one posting through every gateway several times
// concurrently. It must run at most once, and every answer must be that run's.
func callConcurrently(t *testing.T, s *testsite.Site, key string) {
	t.Helper()
	body := fmt.Sprintf(`{"posting":%q}`, key)
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []client.Response
	for i := range 9 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			a, err := newClient(s.Gateways[i%len(s.Gateways)]).Call(ctx, postings, key, []byte(body))
			if err != nil {
				t.Errorf("%s: %v", key, err)
			}
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	group.Wait()
	count := 0
	for _, b := range servedBodies(s) {
		if b == body {
			count++
		}
	}
	require.LessOrEqual(t, count, 1, key)
	for _, a := range answers {
		if a.Record.Outcome == "Answered" {
			require.Equal(t, 1, count, key)
			require.Equal(t, string(standinservice.ResponseBody([]byte(body))), string(a.Body))
		}
	}
}

func TestCallIsRefusedNotRunDuringKeyValueOutage(t *testing.T) {
	s := startSite(t, options())
	g := s.Gateways[0]
	s.KeyValue.SetFaults(standinkv.Faults{Down: true})
	a := sendPosting(t, g, "down", `{"n":1}`)
	require.Equal(t, "Refused", a.Record.Outcome)
	require.Equal(t, "KeyValueUnavailable", a.Record.Reason)
	require.True(t, a.Record.NotRun)
	require.True(t, a.Record.RetryAt.After(time.Now().Add(-time.Second)))
	require.Empty(t, servedBodies(s))
	requireCompleteAnswer(t, sendCompletion(t, g, "still answered", 3), "still answered", 3)

	s.KeyValue.SetFaults(standinkv.Faults{})
	require.Eventually(t, func() bool {
		return sendPosting(t, g, "down", `{"n":1}`).Record.Outcome == "Answered"
	}, 5*time.Second, 50*time.Millisecond, "a refused call can be retried with its key")
	require.Len(t, servedBodies(s), 1)
}

func TestOutcomeIsRecordedAfterKeyValueOutageDuringCall(t *testing.T) {
	o := options()
	o.Service.AnswerMilliseconds = 200
	s := startSite(t, o)
	g := s.Gateways[0]
	done := make(chan client.Response, 1)
	go func() { done <- sendPosting(t, g, "during", `{"n":1}`) }()
	require.Eventually(t, func() bool { return len(servedBodies(s)) == 1 }, 2*time.Second, 5*time.Millisecond)
	s.KeyValue.SetFaults(standinkv.Faults{Down: true})
	require.Equal(t, "Answered", (<-done).Record.Outcome)
	s.KeyValue.SetFaults(standinkv.Faults{})
	require.Eventually(t, func() bool {
		a := sendPosting(t, g, "during", `{"n":1}`)
		return a.Record.Outcome == "Answered" && string(a.Body) == string(standinservice.ResponseBody([]byte(`{"n":1}`)))
	}, 5*time.Second, 50*time.Millisecond)
	require.Len(t, servedBodies(s), 1)
}

// The claim of a gateway that has stopped must give retries the reason ClaimPending
// first and ClaimHolderLost once the holder counts as lost, never a second run.
func TestClaimOfLostGatewayIsPendingThenUnknown(t *testing.T) {
	o := options()
	o.Gateways = 2
	o.Service.AnswerMilliseconds = 300
	s := startSite(t, o)
	done := make(chan client.Response, 1)
	go func() { done <- sendPosting(t, s.Gateways[0], "frozen", `{"n":1}`) }()
	require.Eventually(t, func() bool { return len(servedBodies(s)) == 1 }, 2*time.Second, 5*time.Millisecond)
	s.Gateways[0].StopBackground()
	a := sendPosting(t, s.Gateways[1], "frozen", `{"n":1}`)
	require.Equal(t, "Unknown", a.Record.Outcome)
	require.Equal(t, "ClaimPending", a.Record.Reason)
	require.False(t, a.Record.NotRun)
	require.True(t, a.Record.RetryAt.After(time.Now()))
	<-done
	require.Eventually(t, func() bool {
		a = sendPosting(t, s.Gateways[1], "frozen", `{"n":1}`)
		return a.Record.Reason == "ClaimHolderLost"
	}, 10*time.Second, 200*time.Millisecond)
	require.Equal(t, "Unknown", a.Record.Outcome)
	require.Len(t, servedBodies(s), 1)
}

func TestIdempotencyKeysAreScopedByOrganisation(t *testing.T) {
	s := startSite(t, options())
	g := s.Gateways[0]
	require.Equal(t, "Answered", sendPosting(t, g, "shared", `{"n":1}`).Record.Outcome)
	require.Equal(t, http.StatusOK, getOutcome(t, g, "key-north", "shared").status)
	require.Equal(t, http.StatusNotFound, getOutcome(t, g, "key-south", "shared").status)
	require.Equal(t, http.StatusUnauthorized, getOutcome(t, g, "key-guess", "shared").status)
	require.Equal(t, "Answered", getOutcome(t, g, "key-north", "shared").record.Outcome)

	south := client.New(g.URL, "key-south", nil)
	a, err := south.Call(context.Background(), postings, "shared", []byte(`{"n":1}`))
	require.NoError(t, err)
	require.Equal(t, "Answered", a.Record.Outcome)
	require.Len(t, servedBodies(s), 2, "equal keys of two organisations are distinct")

	a = sendPosting(t, g, "shared", `{"n":2}`)
	require.Equal(t, "Refused", a.Record.Outcome)
	require.Equal(t, "IdempotencyKeyReused", a.Record.Reason)
	require.Len(t, servedBodies(s), 2)
}

type outcomeResponse struct {
	status int
	record outcome.Record
}

func getOutcome(t *testing.T, g *testsite.Gateway, key, name string) outcomeResponse {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, g.URL+"/v1/outcomes/"+name, nil)
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	out := outcomeResponse{status: response.StatusCode}
	if response.StatusCode == http.StatusOK {
		require.NoError(t, json.NewDecoder(response.Body).Decode(&out.record))
	}
	return out
}
