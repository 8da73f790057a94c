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

	"almondreel.example/almondreel/internal/assembly"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/standin/kv"
	"almondreel.example/almondreel/internal/standin/service"
	"almondreel.example/almondreel/pkg/client"
)

func TestRepeatsThroughAllGatewaysRunOnce(t *testing.T) {
	o := options()
	o.Gateways = 3
	s := start(t, o)
	faults := map[string]kv.Faults{
		"healthy":     {},
		"lost":        {LoseAnswersOneIn: 2},
		"late writes": {LateWriteMilliseconds: 60},
		"stale reads": {StaleReads: true},
		"flapping":    {FlapMilliseconds: 150},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			s.KeyValue.SetFaults(f)
			defer s.KeyValue.SetFaults(kv.Faults{})
			for i := range 5 {
				repeatAtOnce(t, s, fmt.Sprintf("%s-%d", name, i))
			}
		})
	}
}

// repeatAtOnce sends one posting through every gateway several times at once.
func repeatAtOnce(t *testing.T, s *assembly.Site, key string) {
	t.Helper()
	body := fmt.Sprintf(`{"posting":%q}`, key)
	var group sync.WaitGroup
	var mu sync.Mutex
	var ends []client.Answer
	for i := range 9 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			a, err := caller(s.Gateways[i%len(s.Gateways)]).Call(ctx, postings, key, []byte(body))
			if err != nil {
				t.Errorf("%s: %v", key, err)
			}
			mu.Lock()
			ends = append(ends, a)
			mu.Unlock()
		})
	}
	group.Wait()
	count := 0
	for _, b := range runs(s) {
		if b == body {
			count++
		}
	}
	require.LessOrEqual(t, count, 1, key)
	for _, a := range ends {
		if a.Record.Outcome == "Answered" {
			require.Equal(t, 1, count, key)
			require.Equal(t, string(service.Answer([]byte(body))), string(a.Body))
		}
	}
}

func TestKeyValueDownRefusesNotRun(t *testing.T) {
	s := start(t, options())
	g := s.Gateways[0]
	s.KeyValue.SetFaults(kv.Faults{Down: true})
	a := post(t, g, "down", `{"n":1}`)
	require.Equal(t, "Refused", a.Record.Outcome)
	require.Equal(t, "KeyValueUnavailable", a.Record.Reason)
	require.True(t, a.Record.NotRun)
	require.True(t, a.Record.RetryAt.After(time.Now().Add(-time.Second)))
	require.Empty(t, runs(s))
	requireWhole(t, complete(t, g, "still answered", 3), "still answered", 3)

	s.KeyValue.SetFaults(kv.Faults{})
	require.Eventually(t, func() bool {
		return post(t, g, "down", `{"n":1}`).Record.Outcome == "Answered"
	}, 5*time.Second, 50*time.Millisecond, "the refused call can be sent again with its key")
	require.Len(t, runs(s), 1)
}

func TestOutcomeIsRecordedThoughTheServiceFailsDuringTheCall(t *testing.T) {
	o := options()
	o.Service.AnswerMilliseconds = 200
	s := start(t, o)
	g := s.Gateways[0]
	done := make(chan client.Answer, 1)
	go func() { done <- post(t, g, "during", `{"n":1}`) }()
	require.Eventually(t, func() bool { return len(runs(s)) == 1 }, 2*time.Second, 5*time.Millisecond)
	s.KeyValue.SetFaults(kv.Faults{Down: true})
	require.Equal(t, "Answered", (<-done).Record.Outcome)
	s.KeyValue.SetFaults(kv.Faults{})
	require.Eventually(t, func() bool {
		a := post(t, g, "during", `{"n":1}`)
		return a.Record.Outcome == "Answered" && string(a.Body) == string(service.Answer([]byte(`{"n":1}`)))
	}, 5*time.Second, 50*time.Millisecond)
	require.Len(t, runs(s), 1)
}

// A gateway that stops after its claim leaves the truth: in progress, then unknown.
func TestClaimOfALostGateway(t *testing.T) {
	o := options()
	o.Gateways = 2
	o.Service.AnswerMilliseconds = 300
	s := start(t, o)
	done := make(chan client.Answer, 1)
	go func() { done <- post(t, s.Gateways[0], "frozen", `{"n":1}`) }()
	require.Eventually(t, func() bool { return len(runs(s)) == 1 }, 2*time.Second, 5*time.Millisecond)
	s.Gateways[0].StopDuties()
	a := post(t, s.Gateways[1], "frozen", `{"n":1}`)
	require.Equal(t, "Unknown", a.Record.Outcome)
	require.Equal(t, "ClaimPending", a.Record.Reason)
	require.False(t, a.Record.NotRun)
	require.True(t, a.Record.RetryAt.After(time.Now()))
	<-done
	require.Eventually(t, func() bool {
		a = post(t, s.Gateways[1], "frozen", `{"n":1}`)
		return a.Record.Reason == "ClaimHolderLost"
	}, 10*time.Second, 200*time.Millisecond)
	require.Equal(t, "Unknown", a.Record.Outcome)
	require.Len(t, runs(s), 1)
}

func TestKeysOfOrganisationsAreApart(t *testing.T) {
	s := start(t, options())
	g := s.Gateways[0]
	require.Equal(t, "Answered", post(t, g, "shared", `{"n":1}`).Record.Outcome)
	require.Equal(t, http.StatusOK, lookUp(t, g, "key-north", "shared").status)
	require.Equal(t, http.StatusNotFound, lookUp(t, g, "key-south", "shared").status)
	require.Equal(t, http.StatusUnauthorized, lookUp(t, g, "key-guess", "shared").status)
	require.Equal(t, "Answered", lookUp(t, g, "key-north", "shared").record.Outcome)

	south := client.New(g.URL, "key-south", nil)
	a, err := south.Call(context.Background(), postings, "shared", []byte(`{"n":1}`))
	require.NoError(t, err)
	require.Equal(t, "Answered", a.Record.Outcome)
	require.Len(t, runs(s), 2, "another organisation's equal key is its own")

	a = post(t, g, "shared", `{"n":2}`)
	require.Equal(t, "Refused", a.Record.Outcome)
	require.Equal(t, "IdempotencyKeyReused", a.Record.Reason)
	require.Len(t, runs(s), 2)
}

type lookedUp struct {
	status int
	record outcome.Record
}

func lookUp(t *testing.T, g *assembly.Gateway, key, name string) lookedUp {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, g.URL+"/v1/outcomes/"+name, nil)
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	out := lookedUp{status: response.StatusCode}
	if response.StatusCode == http.StatusOK {
		require.NoError(t, json.NewDecoder(response.Body).Decode(&out.record))
	}
	return out
}
