package hosting_test

import (
	"fmt"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/plannedstop"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const (
	// unreadTime is the time after a request has been sent in which its connection may be
	// closed without a response, if the request has not run.
	unreadTime = 200 * time.Millisecond
	// maxShownProblems is the number of problems that a failed run prints.
	maxShownProblems = 30
)

// plannedOutcome is the outcome of a request during planned work.
type plannedOutcome struct {
	caller.Outcome
	path, gateway          string
	began, ended, deadline time.Time
}

// runCounts is the number of times that each attempt ran, by attempt.
type runCounts map[string]int

// problem says in what o breaks the rules of planned work; empty: in nothing. A request
// whose deadline has passed is not judged.
func (o plannedOutcome) problem(ledger, engines runCounts) string {
	ran := ledger[o.Attempt] + engines[o.Attempt]
	switch {
	case ledger[o.Attempt] > 1:
		return fmt.Sprintf("ran %d times", ledger[o.Attempt])
	case o.Status == http.StatusOK && o.Err == nil && o.path == standin.StreamPath:
		if err := o.CheckStream(); err != nil {
			return "stream is not whole: " + err.Error()
		}
	case o.Status == http.StatusOK && o.Err == nil:
		if o.Body != "done "+o.Attempt || ran != 1 {
			return fmt.Sprintf("answered %q, ran %d times", o.Body, ran)
		}
	case o.Status > 0 && o.NotRun() && ran > 0:
		return "ran, but the answer says not run"
	case o.Status > 0 && o.NotRun() || o.pastDeadline():
	case ran > 0:
		return "ran without a whole answer"
	case o.Status > 0:
		return "refused by an answer that does not say not run"
	case !o.Sent.IsZero() && o.ended.Sub(o.Sent) > unreadTime:
		return "got no answer, late"
	}
	return ""
}

// pastDeadline reports whether the request's time budget was used up.
func (o plannedOutcome) pastDeadline() bool { return !o.ended.Before(o.deadline) }

func (o plannedOutcome) answered() bool { return o.Status == http.StatusOK && o.Err == nil }

// check requires that no outcome breaks the rules of planned work, and that every
// program ended as it must.
func (s *plannedSoak) check(programs []*plannedstop.Program) {
	s.t.Helper()
	ledger, engines := runCounts{}, runCounts{}
	for _, r := range s.ledger.Runs() {
		ledger[r.Attempt]++
	}
	for _, e := range s.engines {
		for _, r := range e.Runs() {
			engines[r.Attempt]++
		}
	}
	var problems []string
	answered, refused, unanswered, late := 0, 0, 0, 0
	for _, o := range s.outcomes {
		if p := o.problem(ledger, engines); p != "" {
			problems = append(problems, fmt.Sprintf("%s to %s: %s: status %d, %v, body %q, began %s, sent %s, ended %s", o.Attempt, o.gateway, p, o.Status, o.Err, o.Body,
				o.began.Format(logTimeLayout), o.Sent.Format(logTimeLayout), o.ended.Format(logTimeLayout)))
		}
		switch {
		case o.answered():
			answered++
		case o.Status > 0 && o.NotRun():
			refused++
		case o.pastDeadline():
			late++
		default:
			unanswered++
		}
	}
	stops := 0
	for _, p := range programs {
		stops += p.Stops()
		problems = append(problems, p.Problems()...)
	}
	s.t.Logf("%d processes, %d stops, %d requests: %d answered, %d refused, %d without an answer, %d past their deadline, %d problems",
		len(programs), stops, len(s.outcomes), answered, refused, unanswered, late, len(problems))
	for _, p := range problems[:min(maxShownProblems, len(problems))] {
		s.t.Log(p)
	}
	require.Empty(s.t, problems[min(maxShownProblems, len(problems)):])
	require.Empty(s.t, problems)
	require.Greater(s.t, answered, len(s.outcomes)/10)
	for _, e := range s.engines {
		require.Empty(s.t, e.WrongPieceLoads())
	}
}
