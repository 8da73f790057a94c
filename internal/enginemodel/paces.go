package enginemodel

import "time"

// Paces holds how fast engines work, as the ratio of measured to expected times: 2 for
// an engine that takes twice as long. A pace counts until a deadline, so an engine that
// got no requests because it was slow is tried again. The zero value is ready to use.
type Paces struct {
	engines map[string]measuredPace
}

type measuredPace struct {
	value float64
	until time.Time // the pace is unknown from then on
}

const (
	// minPace and maxPace bound a pace. Engines slow down by a factor of up to 2.5; the
	// rest allows for load that is not known here.
	minPace = 0.5
	maxPace = 4
	// paceTTL is how long a measurement counts. Some engines are slow again and again, for
	// fractions of a second each time, and one of many gateways sends an engine a request
	// only every few seconds.
	paceTTL = 15 * time.Second
	// paceWeight is the weight of one measurement.
	paceWeight = 0.4
	// jitterMS is added to both measured and expected times, so that the jitter of the
	// network does not count as a slow engine when little time is expected.
	jitterMS = 40
	// maxPaces bounds the engines that are kept.
	maxPaces = 4096
)

// Pace returns the engine's pace, or 1 if it was not measured lately.
func (p *Paces) Pace(now time.Time, engine string) float64 {
	m, ok := p.engines[engine]
	if !ok || !now.Before(m.until) {
		return 1
	}
	return m.value
}

// Measure records a time at an engine that was expected to take expectedMS at pace 1.
func (p *Paces) Measure(now time.Time, engine string, expectedMS, measuredMS float64) {
	if !within(expectedMS, 0, maxMeasuredMS) || !(measuredMS >= 0) {
		return
	}
	if p.engines == nil {
		p.engines = map[string]measuredPace{}
	}
	if len(p.engines) >= maxPaces {
		p.prune(now)
	}
	ratio := min(max((measuredMS+jitterMS)/(expectedMS+jitterMS), minPace), maxPace)
	value := p.Pace(now, engine)
	value += paceWeight * (ratio - value)
	p.engines[engine] = measuredPace{value, now.Add(paceTTL)}
}

// maxMeasuredMS is above any expected time of a request that a caller still waits for.
const maxMeasuredMS = 1e6

// prune drops the paces that no longer count, or all if all do.
func (p *Paces) prune(now time.Time) {
	for engine, m := range p.engines {
		if !now.Before(m.until) {
			delete(p.engines, engine)
		}
	}
	if len(p.engines) >= maxPaces {
		clear(p.engines)
	}
}
