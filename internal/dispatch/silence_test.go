package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/pkg/quarantine"
)

// silenceMembers returns the fake agents of newSilenceDispatcher, without addresses.
func silenceMembers() []gateway.Member {
	const agents = 6
	var members []gateway.Member
	for i := range agents {
		members = append(members, gateway.Member{Name: fmt.Sprint("assistant-", i), Service: "assistant", Digest: digest, Slots: 4, Sequence: 1, Started: 1})
	}
	return members
}

// newSilenceDispatcher returns a dispatcher for fake agents. The one to which the request
// goes first answers by silent. The others answer by other, or are unreachable if it is nil.
func newSilenceDispatcher(t *testing.T, request attempt.Request, silent, other script) *dispatch.Dispatcher {
	t.Helper()
	return newQuarantineDispatcher(t, request, silent, other, nil)
}

// newQuarantineDispatcher is newSilenceDispatcher with a quarantine table.
func newQuarantineDispatcher(t *testing.T, request attempt.Request, silent, other script, q *quarantine.Table) *dispatch.Dispatcher {
	t.Helper()
	members := silenceMembers()
	firstName := first(members, request.Affinity())
	table := membership.NewTable()
	for _, m := range members {
		answer := other
		if m.Name == firstName {
			answer = silent
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer(w, r, answerWriter{w: w, attempt: r.Header.Get(agent.HeaderAttempt)})
		}))
		t.Cleanup(server.Close)
		m.Address = server.Listener.Addr().String()
		if answer == nil {
			server.Close()
		}
		table.RecordHeartbeat(m, time.Now())
	}
	return dispatch.New(dispatch.Options{Gateway: "g", Desired: placedState(t), Members: table, Quarantine: q, Claims: grantAllClaims{}})
}

// pauses returns a script that streams an answer with a pause before a token.
func pauses(pause time.Duration, before int) script {
	return func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
		a.start()
		a.w.(http.Flusher).Flush()
		for i := range lastToken + 1 {
			if i == before {
				select {
				case <-r.Context().Done():
				case <-time.After(pause):
				}
			}
			a.tokens(i)
		}
		a.end(agent.EndWhole)
	}
}

func refuse(reason outcome.Reason) script {
	return func(w http.ResponseWriter, _ *http.Request, a answerWriter) {
		w.Header().Set(agent.HeaderAttempt, a.attempt)
		w.Header().Set(agent.HeaderRefused, string(reason))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func acceptAndCut(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
	a.start()
	a.w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// Begun completions were cut if their agent paused for over a second while all others
// refused or could not be reached: the gateway left it as soon as one had a free slot.
func TestSilentAgentIsKeptUntilAnotherGoesOn(t *testing.T) {
	others := map[string]script{
		"busy":          refuse(outcome.ReplicaBusy),
		"other version": refuse(outcome.ReplicaServesOtherVersion),
		"leaving":       refuse(outcome.ReplicaLeaving),
		"engine gone":   refuse(outcome.BackendUnreachable),
		"unreachable":   nil,
		"cut":           acceptAndCut,
	}
	classes := map[string]operator.Target{
		"least timeout":  {},
		"longer timeout": {FirstTokenMilliseconds: 400, BetweenTokensMilliseconds: 30}, // 1.2 s
	}
	pausesMS := []int{1300, 2600}
	for name, other := range others {
		for class, target := range classes {
			for _, ms := range pausesMS {
				for _, before := range []int{0, 2} {
					t.Run(fmt.Sprintf("%s/%s/%d ms before token %d", name, class, ms, before), func(t *testing.T) {
						t.Parallel()
						request := completionRequest()
						request.Class.Target = target
						d := newSilenceDispatcher(t, request, pauses(time.Duration(ms)*time.Millisecond, before), other)
						var sink tokenRecorder
						_, o := d.Stream(context.Background(), request, &sink)
						require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o)
						require.Equal(t, []int{0, 1, 2, 3}, sink.indices)
					})
				}
			}
		}
	}
}
