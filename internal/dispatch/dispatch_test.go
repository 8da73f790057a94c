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

// lastToken is the index of the last token of each answer.
const lastToken = 3

// script is how a fake agent answers one dispatch.
type script func(w http.ResponseWriter, r *http.Request, a answerWriter)

// answerWriter writes the parts of an answer.
type answerWriter struct {
	w       http.ResponseWriter
	attempt string
}

func (a answerWriter) start() {
	a.w.Header().Set(agent.HeaderAttempt, a.attempt)
	a.w.Header().Set("Trailer", agent.TrailerEnd)
	a.w.WriteHeader(http.StatusOK)
}

func (a answerWriter) tokens(indices ...int) {
	for _, i := range indices {
		token := engine.Token{RequestID: a.attempt, Digest: digest, Index: i, Text: strconv.Itoa(i)}
		if i == lastToken {
			token.Finish = "length"
		}
		a.token(token)
	}
}

func (a answerWriter) token(t engine.Token) {
	text, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(a.w, "data: %s\n\n", text)
	a.w.(http.Flusher).Flush()
}

func (a answerWriter) end(trailer string) {
	fmt.Fprintf(a.w, "data: %s\n\n", engine.Done)
	a.w.Header().Set(agent.TrailerEnd, trailer)
}

// completeAnswer streams the tokens up to lastToken from the index that was asked for.
func completeAnswer(_ http.ResponseWriter, r *http.Request, a answerWriter) {
	from, err := strconv.Atoi(r.Header.Get(agent.HeaderResumeFrom))
	if err != nil {
		panic(err)
	}
	a.start()
	for i := from; i <= lastToken; i++ {
		a.tokens(i)
	}
	a.end(agent.EndWhole)
}

// newDispatcher returns a dispatcher for fake agents. Each dispatch, to any
// agent, takes the next script.
func newDispatcher(t *testing.T, scripts ...script) *dispatch.Dispatcher {
	t.Helper()
	next := make(chan script, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		(<-next)(w, r, answerWriter{w: w, attempt: r.Header.Get(agent.HeaderAttempt)})
	})
	table := membership.NewTable()
	for i := range 4 {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		for _, service := range []string{"assistant", "ledger"} {
			table.RecordHeartbeat(gateway.Member{
				Name: fmt.Sprintf("%s-%d", service, i), Address: server.Listener.Addr().String(),
				Service: service, Digest: digest, Slots: 4, Sequence: 1, Started: 1,
			}, time.Now())
		}
	}
	return dispatch.New(dispatch.Options{Gateway: "g", Desired: placedState(t), Members: table, Claims: grantAllClaims{}})
}

// placedState returns a state in which the classes are placed.
func placedState(t *testing.T) *desired.State {
	t.Helper()
	d := desired.NewState()
	placed, err := json.Marshal(placement.Placement{Assignments: []placement.Assignment{
		{Class: "questions", Service: "assistant", Digest: digest}, {Class: "lookups", Service: "ledger"}}})
	require.NoError(t, err)
	require.NoError(t, d.AdoptPlacement(gateway.Versioned{Value: placed, Revision: 1}, "test"))
	return d
}

// grantAllClaims grants every claim.
type grantAllClaims struct{}

func (grantAllClaims) Claim(context.Context, attempt.Request) (dispatch.Claim, *dispatch.Resolved) {
	return grantAllClaims{}, nil
}
func (grantAllClaims) Settle(context.Context, attempt.Answer, outcome.Outcome) {}
func (grantAllClaims) Release(context.Context)                                 {}

// tokenRecorder is a sink that records the indices of the tokens.
type tokenRecorder struct{ indices []int }

func (r *tokenRecorder) Token(t engine.Token) error {
	r.indices = append(r.indices, t.Index)
	return nil
}

func completionRequest() attempt.Request {
	return attempt.Request{
		ID: "r", Organisation: "north", Body: []byte("{}"), Prompt: "p", MaxTokens: 4, Fingerprint: "f",
		Class:    operator.Class{Name: "questions", Kind: operator.Model, Service: "assistant", Idempotent: true},
		Deadline: time.Now().Add(5 * time.Second),
	}
}

func TestInvalidStreamIsResumedOnAnotherAgent(t *testing.T) {
	cases := map[string]script{
		"doubled": func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
			a.start()
			a.tokens(0, 0, 1, 1, 0, 2, 3, 3)
			a.end(agent.EndWhole)
		},
		"gap": func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
			a.start()
			a.tokens(0, 2, 1, 3)
			a.end(agent.EndWhole)
		},
		"another request's token": func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
			a.start()
			a.token(engine.Token{RequestID: "other", Digest: digest, Index: 0})
			a.end(agent.EndWhole)
		},
		"another attempt's answer": func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
			a.attempt = "other"
			a.start()
			a.tokens(0, 1, 2, 3)
			a.end(agent.EndWhole)
		},
		"another version's token": func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
			a.start()
			a.token(engine.Token{RequestID: a.attempt, Digest: "sha256:bb", Index: 0})
			a.end(agent.EndWhole)
		},
		"cut": func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
			a.start()
			a.tokens(0, 1)
			panic(http.ErrAbortHandler)
		},
		"trailer reports a cut": func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
			a.start()
			a.tokens(0, 1)
			a.end(string(outcome.StreamCut))
		},
		"empty trailer": func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
			a.start()
			a.tokens(0)
			a.end("")
		},
		"token after the end": func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
			a.start()
			a.tokens(0)
			a.end("")
			a.tokens(1)
			a.end(agent.EndWhole)
		},
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			var sink tokenRecorder
			_, o := newDispatcher(t, first, completeAnswer).Stream(context.Background(), completionRequest(), &sink)
			require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o)
			require.Equal(t, []int{0, 1, 2, 3}, sink.indices)
		})
	}
}

// A faulty backend server keeps its stream active without sending new tokens.
// The progress timeout of 1 s must move the stream to another agent.
func TestStreamWithoutNewTokensTimesOut(t *testing.T) {
	const pause = 50 * time.Millisecond
	for name, part := range map[string]func(a answerWriter){
		"bytes":       func(a answerWriter) { fmt.Fprint(a.w, "x") },
		"comments":    func(a answerWriter) { fmt.Fprint(a.w, ": x\n\n") },
		"empty lines": func(a answerWriter) { fmt.Fprint(a.w, "\n") },
		"old tokens":  func(a answerWriter) { a.tokens(1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trickle := func(_ http.ResponseWriter, r *http.Request, a answerWriter) {
				a.start()
				a.tokens(0, 1)
				for r.Context().Err() == nil {
					part(a)
					a.w.(http.Flusher).Flush()
					time.Sleep(pause)
				}
			}
			var sink tokenRecorder
			start := time.Now()
			_, o := newDispatcher(t, trickle, completeAnswer).Stream(context.Background(), completionRequest(), &sink)
			require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o)
			require.Equal(t, []int{0, 1, 2, 3}, sink.indices)
			require.Less(t, time.Since(start), 2*time.Second)
		})
	}
}

// A stream with one token every 0.7 s is within the progress timeout and must
// not be moved to another agent.
func TestSlowStreamIsNotInterrupted(t *testing.T) {
	slow := func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
		a.start()
		for n := range 4 {
			time.Sleep(700 * time.Millisecond)
			a.tokens(n)
		}
		a.end(agent.EndWhole)
	}
	var sink tokenRecorder
	_, o := newDispatcher(t, slow).Stream(context.Background(), completionRequest(), &sink)
	require.Equal(t, outcome.Answered{Digest: string(digest), Tokens: 4}, o)
	require.Equal(t, []int{0, 1, 2, 3}, sink.indices)
}

func nonIdempotentRequest() attempt.Request {
	r := completionRequest()
	r.IdempotencyKey = "k"
	r.Class = operator.Class{Name: "lookups", Kind: operator.Plain, Service: "ledger"}
	return r
}

func refuseAttempt(attempt string) script {
	return func(w http.ResponseWriter, _ *http.Request, a answerWriter) {
		if attempt == "" {
			attempt = a.attempt
		}
		w.Header().Set(agent.HeaderAttempt, attempt)
		w.Header().Set(agent.HeaderRefused, string(outcome.ReplicaBusy))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func plainAnswer(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
	a.w.Header().Set(agent.HeaderStatus, "200")
	a.start()
	fmt.Fprint(a.w, "done")
	a.w.Header().Set(agent.TrailerEnd, agent.EndWhole)
}

func TestNonIdempotentCallIsRetriedOnlyAfterRefusal(t *testing.T) {
	a, o := newDispatcher(t, refuseAttempt(""), refuseAttempt(""), plainAnswer).Call(context.Background(), nonIdempotentRequest())
	require.Equal(t, outcome.Answered{}, o)
	require.Equal(t, "done", string(a.Body))

	_, o = newDispatcher(t, refuseAttempt("other"), plainAnswer).Call(context.Background(), nonIdempotentRequest())
	require.Equal(t, outcome.Unknown{Reason: outcome.StreamCut}, o, "a refusal of another attempt does not prove that this one was not run")

	closes := func(http.ResponseWriter, *http.Request, answerWriter) { panic(http.ErrAbortHandler) }
	_, o = newDispatcher(t, closes, plainAnswer).Call(context.Background(), nonIdempotentRequest())
	require.Equal(t, outcome.Unknown{Reason: outcome.ReplicaUnreachable}, o)

	_, o = newDispatcher(t, refuseAttempt(""), refuseAttempt(""), refuseAttempt(""), refuseAttempt(""), plainAnswer).Call(context.Background(), nonIdempotentRequest())
	refused, ok := o.(outcome.Refused)
	require.True(t, ok, "a request that every agent refused was not run")
	require.Equal(t, outcome.ReplicaBusy, refused.Reason)
	require.True(t, refused.RetryAt.After(time.Now()))
}
