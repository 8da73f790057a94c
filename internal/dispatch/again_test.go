package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/outcome"
)

// A begun answer whose agent had ended was given up as soon as all others had refused it,
// within a tenth of a second.
func TestBegunAnswerWaitsForAnAgent(t *testing.T) {
	cut := func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
		a.start()
		a.tokens(0, 1)
		panic(http.ErrAbortHandler)
	}
	for _, reason := range []outcome.Reason{outcome.ReplicaBusy, outcome.NoReplicaServing, outcome.BackendUnreachable, outcome.BackendRefused} {
		for _, ms := range []int{200, 600} {
			t.Run(fmt.Sprintf("%s for %d ms", reason, ms), func(t *testing.T) {
				t.Parallel()
				freeAt := time.Now().Add(time.Duration(ms) * time.Millisecond)
				other := func(w http.ResponseWriter, r *http.Request, a answerWriter) {
					if time.Now().Before(freeAt) {
						refuse(reason)(w, r, a)
						return
					}
					completeAnswer(w, r, a)
				}
				request := completionRequest()
				d := newSilenceDispatcher(t, request, cut, other)
				var sink tokenRecorder
				_, o := d.Stream(context.Background(), request, &sink)
				requireAnswered(t, o, &sink)
			})
		}
	}
}

// The wait is bounded, and takes few retries from the budget.
func TestBegunAnswerEndsWhenAllAgentsRefuse(t *testing.T) {
	cut := func(_ http.ResponseWriter, _ *http.Request, a answerWriter) {
		a.start()
		a.tokens(0, 1)
		panic(http.ErrAbortHandler)
	}
	request := completionRequest()
	d := newSilenceDispatcher(t, request, cut, refuse(outcome.ReplicaBusy))
	start := time.Now()
	_, o := d.Stream(context.Background(), request, &tokenRecorder{})
	require.Equal(t, outcome.Failed{Reason: outcome.ReplicaBusy, Tokens: 2}, o)
	require.Less(t, time.Since(start), 3*time.Second)
	_, retries := d.Retries(request.Class.Name)
	require.LessOrEqual(t, retries, int64(12))
}
