package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/placement"
)

const digest = manifest.Digest("sha256:aa")

// script is what a fake agent does with one dispatch.
type script func(w http.ResponseWriter, r *http.Request, a answerer)

// answerer writes the parts of an answer.
type answerer struct {
	w       http.ResponseWriter
	attempt string
}

func (a answerer) open() {
	a.w.Header().Set(agent.HeaderAttempt, a.attempt)
	a.w.Header().Set("Trailer", agent.TrailerEnd)
	a.w.WriteHeader(http.StatusOK)
}

func (a answerer) tokens(indices ...int) {
	for _, i := range indices {
		a.token(engine.Token{RequestID: a.attempt, Digest: digest, Index: i, Text: strconv.Itoa(i)})
	}
}

func (a answerer) token(t engine.Token) {
	text, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(a.w, "data: %s\n\n", text)
	a.w.(http.Flusher).Flush()
}

func (a answerer) end(how string) {
	fmt.Fprintf(a.w, "data: %s\n\n", engine.Done)
	a.w.Header().Set(agent.TrailerEnd, how)
}

func whole(_ http.ResponseWriter, r *http.Request, a answerer) {
	from, err := strconv.Atoi(r.Header.Get(agent.HeaderResumeFrom))
	if err != nil {
		panic(err)
	}
	a.open()
	for i := from; i < 4; i++ {
		a.tokens(i)
	}
	a.end(agent.EndWhole)
}

// site has fake agents that share one list of scripts, one a dispatch.
func site(t *testing.T, scripts ...script) *dispatch.Dispatcher {
	t.Helper()
	next := make(chan script, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		(<-next)(w, r, answerer{w: w, attempt: r.Header.Get(agent.HeaderAttempt)})
	})
	table := membership.NewTable()
	for i := range 4 {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		for _, service := range []string{"assistant", "ledger"} {
			table.Hear(gateway.Member{
				Name: fmt.Sprintf("%s-%d", service, i), Address: server.Listener.Addr().String(),
				Service: service, Digest: digest, Slots: 4, Sequence: 1, Started: 1,
			}, time.Now())
		}
	}
	d := desired.NewState()
	placed, err := json.Marshal(placement.Placement{Assignments: []placement.Assignment{
		{Class: "questions", Service: "assistant", Digest: digest}, {Class: "lookups", Service: "ledger"}}})
	require.NoError(t, err)
	require.NoError(t, d.AdoptPlacement(gateway.Versioned{Value: placed, Revision: 1}, "test"))
	return dispatch.New(dispatch.Options{Gateway: "g", Desired: d, Members: table, Claims: granted{}})
}

// granted grants every claim.
type granted struct{}

func (granted) Claim(context.Context, attempt.Request) (dispatch.Claim, *dispatch.Recalled) {
	return granted{}, nil
}
func (granted) Settle(context.Context, attempt.Answer, outcome.Outcome) {}
func (granted) Release(context.Context)                                 {}

// kept is a sink that keeps the indices of the tokens.
type kept struct{ indices []int }

func (k *kept) Token(t engine.Token) error {
	k.indices = append(k.indices, t.Index)
	return nil
}

func question() attempt.Request {
	return attempt.Request{
		ID: "r", Organisation: "north", Body: []byte("{}"), Prompt: "p", Tokens: 4, Fingerprint: "f",
		Class:    operator.Class{Name: "questions", Kind: operator.Model, Service: "assistant", Idempotent: true},
		Deadline: time.Now().Add(5 * time.Second),
	}
}

func TestCallerGetsTheWholeOfItsOwnAnswer(t *testing.T) {
	cases := map[string]script{
		"doubled": func(_ http.ResponseWriter, _ *http.Request, a answerer) {
			a.open()
			a.tokens(0, 0, 1, 1, 0, 2, 3, 3)
			a.end(agent.EndWhole)
		},
		"gap": func(_ http.ResponseWriter, _ *http.Request, a answerer) {
			a.open()
			a.tokens(0, 2, 1, 3)
			a.end(agent.EndWhole)
		},
		"another request's": func(_ http.ResponseWriter, _ *http.Request, a answerer) {
			a.open()
			a.token(engine.Token{RequestID: "other", Digest: digest, Index: 0})
			a.end(agent.EndWhole)
		},
		"another attempt's": func(_ http.ResponseWriter, _ *http.Request, a answerer) {
			a.attempt = "other"
			a.open()
			a.tokens(0, 1, 2, 3)
			a.end(agent.EndWhole)
		},
		"another version's": func(_ http.ResponseWriter, _ *http.Request, a answerer) {
			a.open()
			a.token(engine.Token{RequestID: a.attempt, Digest: "sha256:bb", Index: 0})
			a.end(agent.EndWhole)
		},
		"cut": func(_ http.ResponseWriter, _ *http.Request, a answerer) {
			a.open()
			a.tokens(0, 1)
			panic(http.ErrAbortHandler)
		},
		"said to be cut": func(_ http.ResponseWriter, _ *http.Request, a answerer) {
			a.open()
			a.tokens(0, 1)
			a.end(string(outcome.StreamCut))
		},
		"no word of its end": func(_ http.ResponseWriter, _ *http.Request, a answerer) {
			a.open()
			a.tokens(0)
			a.end("")
		},
		"token after the end": func(_ http.ResponseWriter, _ *http.Request, a answerer) {
			a.open()
			a.tokens(0)
			a.end("")
			a.tokens(1)
			a.end(agent.EndWhole)
		},
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			var sink kept
			_, o := site(t, first, whole).Stream(context.Background(), question(), &sink)
			require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o)
			require.Equal(t, []int{0, 1, 2, 3}, sink.indices)
		})
	}
}

// A server in trouble keeps its stream busy with what is no token, or none that
// is new. The stream goes on at another one within its patience of a second.
func TestATrickleWithoutANewTokenIsLeft(t *testing.T) {
	const pause = 50 * time.Millisecond
	for name, part := range map[string]func(a answerer){
		"bytes":       func(a answerer) { fmt.Fprint(a.w, "x") },
		"comments":    func(a answerer) { fmt.Fprint(a.w, ": x\n\n") },
		"empty lines": func(a answerer) { fmt.Fprint(a.w, "\n") },
		"old tokens":  func(a answerer) { a.tokens(1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trickle := func(_ http.ResponseWriter, r *http.Request, a answerer) {
				a.open()
				a.tokens(0, 1)
				for r.Context().Err() == nil {
					part(a)
					a.w.(http.Flusher).Flush()
					time.Sleep(pause)
				}
			}
			var sink kept
			began := time.Now()
			_, o := site(t, trickle, whole).Stream(context.Background(), question(), &sink)
			require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o)
			require.Equal(t, []int{0, 1, 2, 3}, sink.indices)
			require.Less(t, time.Since(began), 2*time.Second)
		})
	}
}

// A stream whose tokens come every 0.7 s is sound and stays where it is.
func TestASlowStreamStaysAtItsServer(t *testing.T) {
	slow := func(_ http.ResponseWriter, _ *http.Request, a answerer) {
		a.open()
		for n := range 4 {
			time.Sleep(700 * time.Millisecond)
			a.tokens(n)
		}
		a.end(agent.EndWhole)
	}
	var sink kept
	_, o := site(t, slow).Stream(context.Background(), question(), &sink)
	require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o)
	require.Equal(t, []int{0, 1, 2, 3}, sink.indices)
}

func posting() attempt.Request {
	r := question()
	r.Key = "k"
	r.Class = operator.Class{Name: "lookups", Kind: operator.Plain, Service: "ledger"}
	return r
}

func refuse(attempt string) script {
	return func(w http.ResponseWriter, _ *http.Request, a answerer) {
		if attempt == "" {
			attempt = a.attempt
		}
		w.Header().Set(agent.HeaderAttempt, attempt)
		w.Header().Set(agent.HeaderRefused, string(outcome.ReplicaBusy))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func plain(_ http.ResponseWriter, _ *http.Request, a answerer) {
	a.w.Header().Set(agent.HeaderStatus, "200")
	a.open()
	fmt.Fprint(a.w, "done")
	a.w.Header().Set(agent.TrailerEnd, agent.EndWhole)
}

func TestUnrepeatableCallIsSentAgainOnlyWhenRefused(t *testing.T) {
	a, o := site(t, refuse(""), refuse(""), plain).Call(context.Background(), posting())
	require.Equal(t, outcome.Answered{}, o)
	require.Equal(t, "done", string(a.Body))

	_, o = site(t, refuse("other"), plain).Call(context.Background(), posting())
	require.Equal(t, outcome.Unknown{Reason: outcome.StreamCut}, o, "a refusal of another attempt proves nothing")

	closes := func(http.ResponseWriter, *http.Request, answerer) { panic(http.ErrAbortHandler) }
	_, o = site(t, closes, plain).Call(context.Background(), posting())
	require.Equal(t, outcome.Unknown{Reason: outcome.ReplicaUnreachable}, o)

	_, o = site(t, refuse(""), refuse(""), refuse(""), refuse(""), plain).Call(context.Background(), posting())
	refused, ok := o.(outcome.Refused)
	require.True(t, ok, "every agent refused: not run")
	require.Equal(t, outcome.ReplicaBusy, refused.Reason)
	require.True(t, refused.RetryAt.After(time.Now()))
}
