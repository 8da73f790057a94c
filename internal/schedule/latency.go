package schedule

import "math"

// latencyEstimate estimates how long servers take to start a response, excluding
// prompt processing. The estimate grows with the load of the servers, so queued
// requests have to start earlier under load to meet their target.
type latencyEstimate struct {
	mean      float64 // milliseconds
	deviation float64 // milliseconds
	known     bool
}

const (
	// latencyWeight averages over about 30 responses, which is a fraction of a
	// second at the request rate of a gateway with queued requests.
	latencyWeight = 1.0 / 30
	// upperDeviations above the mean covers the start of about five of six responses.
	upperDeviations = 1.0
)

func (e *latencyEstimate) add(milliseconds float64) {
	if !e.known {
		e.mean, e.known = milliseconds, true
		return
	}
	difference := milliseconds - e.mean
	e.mean += latencyWeight * difference
	e.deviation += latencyWeight * (math.Abs(difference) - e.deviation)
}

// upper returns the milliseconds within which most responses start.
func (e *latencyEstimate) upper() float64 { return e.within(upperDeviations) }

// within returns the mean plus a number of deviations, in milliseconds.
func (e *latencyEstimate) within(deviations float64) float64 { return e.mean + deviations*e.deviation }
