package hosting_test

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/plannedstop"
	"almondreel.example/almondreel/platform/standin"
)

const (
	// unreadTime is the time after a request has been sent in which its connection may be
	// closed without a response, if the request has not run and its gateway ends.
	unreadTime = 200 * time.Millisecond
	// earlyRequestTime is the time after a signal to stop in which a request must have been
	// sent for its gateway not to be able to know that it takes too long.
	earlyRequestTime = 3 * time.Second
	// lastGraceParts is the number of parts of a grace period of which the last one is
	// for requests at which servers are still at work.
	lastGraceParts = 6
	// maxShownProblems is the number of problems of each kind that a failed run prints.
	maxShownProblems = 8
)

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

// servedRun is a run of a request at a server of a service.
type servedRun struct {
	standin.Run
	service string
}

// judge compares what callers got with what ran, which configurations may have been in
// force, and which gateways were stopped.
type judge struct {
	grace          time.Duration
	runs           map[string][]servedRun // by attempt
	configurations *plannedConfigurations
	downtimes      map[string][]plannedstop.Downtime // by gateway
	named          []time.Time                       // when versions were named
	silences       []plannedSilence
	ends           map[string][]endLine // by attempt
	versionEnds    map[string]bool      // attempts that gateways left because a version ended
}

// endLine is a gateway's log line on the end of a request.
type endLine struct {
	text, reason string
	begun        bool
}

// endPattern matches an event 4013 with the request, the reason and the time to the first byte.
var endPattern = regexp.MustCompile(`(?m)^.* Event=4013 Request="([^"]*)".* Reason="([^"]*)".* FirstMS=(\d+) .*$`)

// versionEndPattern matches an event 4003 or 4020 of a request whose server's version ended.
var versionEndPattern = regexp.MustCompile(`Event=(?:4003|4020) Request="([^"]*)".* Detail="model version ended before`)

// serverReasons are the reasons, in log lines, of requests that ended because of the servers
// at which the gateway tried them, or for want of one.
var serverReasons = []string{
	"BackendRefused", "BackendUnreachable", "BackendDied", "BackendFailed", "StreamCut", "NoReplicaServing",
	"ReplicaBusy", "ReplicaLeaving", "ReplicaServesOtherVersion", "ReplicaUnreachable", "QueueFull", "ProjectedWaitTooLong", "RetryBudgetSpent",
}

// addEnds reads the ends of requests from a gateway's log, which may lack lines.
func (j judge) addEnds(log string) {
	for _, m := range endPattern.FindAllStringSubmatch(log, -1) {
		j.ends[m[1]] = append(j.ends[m[1]], endLine{m[0], m[2], m[3] != "0"})
	}
	for _, m := range versionEndPattern.FindAllStringSubmatch(log, -1) {
		j.versionEnds[m[1]] = true
	}
}

// letGo reports whether o is a begun stream that its gateway says to have cut because of
// servers. No engine fails, so that is allowed at no time before o's deadline.
func (j judge) letGo(o plannedOutcome) bool {
	return o.begunStream() && o.Err != nil && o.ended.Before(j.timeout(o)) &&
		slices.ContainsFunc(j.ends[o.Attempt], func(l endLine) bool { return l.begun && slices.Contains(serverReasons, l.reason) })
}

// begunStream reports whether o's caller received the beginning of a stream.
func (o plannedOutcome) begunStream() bool {
	return o.path == standin.StreamPath && o.Status == http.StatusOK
}

// problem says in what o breaks the rules of planned work; empty: in nothing.
func (j judge) problem(o plannedOutcome) string {
	runs, inForce := j.runs[o.Attempt], j.configurations.inForce(o.began, o.ended)
	for _, r := range runs {
		if !anyOf(inForce, func(c standin.Configuration) bool { return allowed(c, o.path, o.key, r.service) }) {
			return fmt.Sprintf("ran at service %s, which no configuration in force allows", r.service)
		}
	}
	switch {
	case o.Status == http.StatusNotFound && !anyOf(inForce, func(c standin.Configuration) bool { return !routed(c, o.path) }):
		return "refused, though each configuration in force has its route"
	case o.Status == http.StatusUnauthorized && !anyOf(inForce, func(c standin.Configuration) bool { return !slices.Contains(c.Keys, o.key) }):
		return "refused, though each configuration in force has its credential"
	case o.refused() && len(runs) > 0:
		return "ran, but the answer says not run"
	case o.refused():
		return ""
	}
	ledger, engines := runCounts{}, runCounts{}
	for _, r := range runs {
		if r.service == standin.EngineService {
			engines[o.Attempt]++
		} else {
			ledger[o.Attempt]++
		}
	}
	o.deadline = j.timeout(o)
	problem := o.problem(ledger, engines)
	switch {
	case ledger[o.Attempt] > 1 || o.answered():
		return problem
	case j.letGo(o):
		return "begun stream was cut because of servers"
	case j.atWorkInLastGrace(o), j.versionEnded(o):
		return ""
	case o.budget != "" && o.Status > 0 && o.Err == nil: // its budget may be used up
		return ""
	case o.halfClosed && o.Status > 0: // it counts as withdrawn, so a begun response is cut
		return ""
	case o.budget == shortBudget && o.Status > 0: // it was used up after the response had begun
		return ""
	case problem == "" && o.Status == 0 && !o.Sent.IsZero() && !o.pastDeadline() && !j.down(o):
		return "got no answer from a gateway that was not stopped"
	}
	return problem
}

func anyOf(all []standin.Configuration, holds func(standin.Configuration) bool) bool {
	return slices.ContainsFunc(all, holds)
}

// timeout returns the time at which o's time was used up at the earliest.
func (j judge) timeout(o plannedOutcome) time.Time {
	at := o.deadline
	for _, c := range j.configurations.inForce(o.began, o.ended) {
		if t := o.began.Add(time.Duration(c.TimeoutMS) * time.Millisecond); t.Before(at) {
			at = t
		}
	}
	return at
}

// atWorkInLastGrace reports whether a server was at work on an early request in the last
// part of its gateway's grace period, when the gateway has to end.
func (j judge) atWorkInLastGrace(o plannedOutcome) bool {
	for _, d := range j.downtimes[o.gateway] {
		last := d.From.Add(j.grace - j.grace/lastGraceParts)
		if o.Sent.After(d.From.Add(earlyRequestTime)) || o.ended.Before(last) {
			continue
		}
		for _, r := range j.runs[o.Attempt] {
			if r.At.Before(d.From.Add(j.grace)) && (r.Ended.IsZero() || !r.Ended.Before(last)) {
				return true
			}
		}
		// A silent server notes a run only once it goes on. Its caller gets a final answer.
		// That of a begun stream has noted its run.
		if o.Status > 0 && !o.begunStream() && slices.ContainsFunc(servicesOf(o.path), func(service string) bool { return j.silent(service, last, o.ended) }) {
			return true
		}
	}
	return false
}

// servicesOf returns the services that may run the requests of a path.
func servicesOf(path string) []string {
	if path == standin.StreamPath {
		return []string{standin.EngineService}
	}
	return []string{standin.PlainService, standin.SpareService}
}

// silent reports whether a server of a service was silent at some time from from to to.
func (j judge) silent(service string, from, to time.Time) bool {
	return slices.ContainsFunc(j.silences, func(n plannedSilence) bool { return n.service == service && n.overlaps(from, to) })
}

// versionEnded reports whether o is a stream during which the version of a silent engine may
// have ended before an event had come. The engine may not begin it then, and nobody can know
// whether it had begun. If its gateway logged its end, it must name that cause.
func (j judge) versionEnded(o plannedOutcome) bool {
	unknown := o.Status == http.StatusBadGateway && o.Err == nil
	if o.path != standin.StreamPath || !unknown || !j.silent(standin.EngineService, o.began, o.ended) {
		return false
	}
	otherCause := func(l endLine) bool { return l.reason != "BackendFailed" && !j.versionEnds[o.Attempt] }
	if slices.ContainsFunc(j.ends[o.Attempt], otherCause) {
		return false
	}
	return slices.ContainsFunc(j.named, func(at time.Time) bool {
		return period{at, at.Add(versionMS*time.Millisecond + exchangeTime)}.overlaps(o.began, o.ended)
	})
}

// down reports whether o's gateway was to end, or did not run, at some time of o.
func (j judge) down(o plannedOutcome) bool {
	for _, d := range j.downtimes[o.gateway] {
		if !o.ended.Before(d.From) && (d.To.IsZero() || o.began.Before(d.To)) {
			return true
		}
	}
	return false
}

// refused reports whether the status promises that the request has not run.
func (o plannedOutcome) refused() bool {
	return o.NotRun() || o.Status == http.StatusNotFound || o.Status == http.StatusUnauthorized
}

func (s *plannedSoak) newJudge(gateways []*plannedstop.Program) judge {
	j := judge{
		grace: s.grace, runs: map[string][]servedRun{}, configurations: &s.configurations, downtimes: map[string][]plannedstop.Downtime{},
		named: s.named, silences: s.silences, ends: map[string][]endLine{}, versionEnds: map[string]bool{},
	}
	add := func(service string, runs []standin.Run) {
		for _, r := range runs {
			j.runs[r.Attempt] = append(j.runs[r.Attempt], servedRun{r, service})
		}
	}
	add(standin.PlainService, s.ledger.Runs())
	add(standin.SpareService, s.spare.Runs())
	for _, e := range s.engines {
		add(standin.EngineService, e.Runs())
	}
	for _, g := range gateways {
		j.downtimes[g.Name] = g.Downtimes()
		j.addEnds(g.Log())
	}
	return j
}

// check requires that no outcome breaks the rules of planned work, and that every
// program ended as it must.
func (s *plannedSoak) check(gateways, agents []*plannedstop.Program) {
	s.t.Helper()
	j := s.newJudge(gateways)
	problems := map[string][]string{} // by kind
	answered, refused, excluded, unanswered, late, ended, withdrawn, further, furtherAnswered := 0, 0, 0, 0, 0, 0, 0, 0, 0
	for _, o := range s.outcomes {
		if p := j.problem(o); p != "" {
			problems[p] = append(problems[p], fmt.Sprintf("%s (key %s, budget %q) to %s: status %d, %v, body %q, began %s, sent %s, ended %s, runs %s%s", o.Attempt, o.key, o.budget, o.gateway,
				o.Status, o.Err, o.Body, o.began.Format(logTimeLayout), o.Sent.Format(logTimeLayout), o.ended.Format(logTimeLayout), describe(j.runs[o.Attempt]), j.surroundings(o)))
		}
		switch {
		case strings.HasPrefix(o.Attempt, burstPrefix), o.began.After(s.injected.calmSince):
			further++
			if o.answered() {
				furtherAnswered++
			}
		case o.answered():
			answered++
		case o.halfClosed, o.Status == http.StatusNotFound, o.Status == http.StatusUnauthorized:
			withdrawn++
		case s.noEngineRemained(o):
			excluded++
		case o.refused():
			refused++
		case j.versionEnded(o):
			ended++
		case !o.ended.Before(j.timeout(o)):
			late++
		default:
			unanswered++
		}
	}
	s.addLoadProblems(problems)
	stops := 0
	for _, p := range append(gateways, agents...) {
		stops += p.Stops()
		if lines := p.Problems(); len(lines) > 0 {
			problems[p.Name+" did not end as it must"] = lines
		}
	}
	s.t.Logf("grace period %v, %d processes, %d stops, %d configurations, %d requests: %d answered, %d refused, %d refused since no engine remained, %d of burst callers or after the last stop, %d withdrawn or not allowed, %d without an answer, %d past their deadline, %d unknown beside the end of a version, %d kinds of problems",
		s.grace, len(gateways)+len(agents), stops, s.configurationVersion, len(s.outcomes), answered, refused, excluded, further, withdrawn, unanswered, late, ended, len(problems))
	for kind, lines := range problems {
		s.t.Logf("%d times: %s:\n%s", len(lines), kind, strings.Join(lines[:min(maxShownProblems, len(lines))], "\n"))
	}
	require.Zero(s.t, len(problems), "kinds of problems")
	require.Greater(s.t, answered, (len(s.outcomes)-withdrawn-excluded-further)/10)
	require.Positive(s.t, furtherAnswered, "of burst callers or after the last stop")
}

// surroundings returns the silences, named versions and stops beside o, and what its gateway
// logged about its end.
func (j judge) surroundings(o plannedOutcome) string {
	text := ""
	for _, n := range j.silences {
		if n.overlaps(o.began, o.ended) {
			text += fmt.Sprintf("; %s silent %s to %s", n.service, n.From.Format(logTimeLayout), n.To.Format(logTimeLayout))
		}
	}
	for _, at := range j.named {
		if at.After(o.began.Add(-2*versionMS*time.Millisecond)) && at.Before(o.ended) {
			text += "; version named " + at.Format(logTimeLayout)
		}
	}
	for _, d := range j.downtimes[o.gateway] {
		if o.ended.After(d.From) && (d.To.IsZero() || o.began.Before(d.To)) {
			text += fmt.Sprintf("; stopped %s to %s", d.From.Format(logTimeLayout), d.To.Format(logTimeLayout))
		}
	}
	for _, l := range j.ends[o.Attempt] {
		text += "; " + l.text
	}
	return text
}

// describe returns the services and times of runs.
func describe(runs []servedRun) string {
	text := ""
	for _, r := range runs {
		text += fmt.Sprintf(" %s %s to %s", r.service, r.At.Format(logTimeLayout), r.Ended.Format(logTimeLayout))
	}
	return text
}
