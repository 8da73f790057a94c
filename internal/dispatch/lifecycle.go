package dispatch

import (
	"almondreel.example/almondreel/charts"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/pkg/statechart"
)

var requestChart = charts.Load("request")

// requestLifecycle tracks one request in the state machine of charts/request.yaml.
type requestLifecycle struct {
	machine    *statechart.Machine
	mayHaveRun bool // a dispatch was sent and not refused
	ended      bool
}

func newRequestLifecycle() *requestLifecycle {
	return &requestLifecycle{machine: charts.Start(requestChart)}
}

func (l *requestLifecycle) fire(event string) {
	if event == "Interrupt" || event == "Begin" || event == "Answer" {
		l.mayHaveRun = true
	}
	charts.Fire(l.machine, event)
}

// finish records o as the request's outcome. It must be called only once.
func (l *requestLifecycle) finish(id string, o outcome.Outcome) outcome.Outcome {
	invariant.Assert(!l.ended, invariant.OneOutcome, "request %s got a second outcome %T", id, o)
	l.ended = true
	switch o.(type) {
	case outcome.Answered:
		l.fire("Answer")
	case outcome.Refused:
		invariant.Assert(!l.mayHaveRun, invariant.NotRunBeforeSend, "request %s is refused although it may have run", id)
		l.fire("Refuse")
	case outcome.Failed:
		l.fire("Fail")
	case outcome.Unknown:
		l.fire("Lose")
	case outcome.Cancelled:
		l.fire("Cancel")
	}
	return o
}
