package requests_test

import (
	"fmt"
	"strings"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/plannedstop"
)

const timeLayout = "15:04:05.000000" // of the daemons' logs

// check requires that no outcome breaks the rules of planned work, and that every program
// ended as it must.
func (s *plannedSoak) check(stopped []*plannedstop.Program) {
	s.t.Helper()
	runs := map[string]int{}
	for _, body := range postingRuns(s.t, s.Fleet) {
		runs[body]++
	}
	downtimes := map[string][]plannedstop.Downtime{}
	problems := map[string][]string{} // by kind
	stops := 0
	for _, p := range stopped {
		stops += p.Stops()
		downtimes[p.Name] = p.Downtimes()
		if lines := p.Problems(); len(lines) > 0 {
			problems[p.Name+" did not end as it must"] = lines
		}
	}
	counts := map[string]int{}
	for _, o := range s.outcomes {
		record := o.response.Record
		if p := o.problem(runs[o.body], downtimes[o.gateway]); p != "" {
			problems[p] = append(problems[p], fmt.Sprintf("%s to %s: %+v, %v, %d tokens, began %s, ended %s", o.what, o.gateway, record, o.err,
				len(o.response.Tokens), o.began.Format(timeLayout), o.ended.Format(timeLayout)))
		}
		if o.err != nil {
			record.Outcome = "without an answer"
		}
		counts[record.Outcome]++
	}
	s.t.Logf("%d processes, %d stops, requests: %v, %d kinds of problems", len(stopped), stops, counts, len(problems))
	for kind, lines := range problems {
		s.t.Logf("%d times: %s:\n%s", len(lines), kind, strings.Join(lines[:min(maxShownProblems, len(lines))], "\n"))
	}
	require.Zero(s.t, len(problems), "kinds of problems")
	require.Positive(s.t, counts["Answered"])
}
