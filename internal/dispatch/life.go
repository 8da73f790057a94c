package dispatch

import (
	"almondreel.example/almondreel/charts"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/pkg/chart"
)

var requestChart = charts.Load("request")

// life walks one request through charts/request.yaml.
type life struct {
	machine  *chart.Machine
	accepted bool // a dispatch was sent and not refused
	ended    bool
}

func newLife() *life {
	return &life{machine: charts.Start(requestChart)}
}

func (l *life) fire(event string) {
	if event == "Interrupt" || event == "Begin" || event == "Answer" {
		l.accepted = true
	}
	charts.Fire(l.machine, event)
}

// finish ends the request with o, once.
func (l *life) finish(id string, o outcome.Outcome) outcome.Outcome {
	invariant.Assert(!l.ended, invariant.OneOutcome, "request %s ends again with %T", id, o)
	l.ended = true
	switch o.(type) {
	case outcome.Answered:
		l.fire("Answer")
	case outcome.Refused:
		invariant.Assert(!l.accepted, invariant.NotRunBeforeSend, "request %s was dispatched and accepted", id)
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
