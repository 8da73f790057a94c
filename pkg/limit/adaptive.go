package limit

import (
	"math"
	"time"
)

const (
	minWindowSamples = 8
	minWindowTime    = 100 * time.Millisecond
	maxLateShare     = 0.1                    // a larger share of late samples in a window lowers the limit
	lateThreshold    = 0.75                   // share of the target above which a sample is late
	lateDecrease     = 0.85                   // factor on the limit after a window with too many late samples
	overloadDecrease = 0.97                   // factor on the limit after a server reported overload
	increase         = 0.05                   // share of the limit added after a window without too many late samples
	overloadInterval = 100 * time.Millisecond // minimum time from a decrease to one for overload
)

// adaptiveLimit is a concurrency limit that rises slowly while first results
// arrive in time and falls fast when they are late. It does not use the
// servers' load reports, so their delay does not affect it. It is stored as a
// share of the ceiling, so it scales when the ceiling changes.
type adaptiveLimit struct {
	share       float64 // above 0, at most 1
	ceiling     float64
	windowStart time.Time
	samples     int  // in the window
	late        int  // samples above lateThreshold of their target
	saturated   bool // the limit was reached or requests waited during the window
	loweredAt   time.Time
}

func newAdaptiveLimit(ceiling int) adaptiveLimit {
	return adaptiveLimit{share: 1, ceiling: math.Max(1, float64(ceiling))}
}

func (a *adaptiveLimit) current() int { return int(math.Max(1, math.Round(a.share*a.ceiling))) }

func (a *adaptiveLimit) setCeiling(ceiling int) {
	a.ceiling = math.Max(1, float64(ceiling))
}

// observe records the latency and the target of a sample, in milliseconds, and
// adjusts the limit at the end of a window. Without saturation the limit does
// not rise.
func (a *adaptiveLimit) observe(now time.Time, latency, target int, saturated bool) {
	if a.samples == 0 {
		a.windowStart = now
	}
	a.samples++
	a.saturated = a.saturated || saturated
	if target > 0 && float64(latency) > lateThreshold*float64(target) {
		a.late++
	}
	if a.samples < minWindowSamples || now.Sub(a.windowStart) < minWindowTime {
		return
	}
	switch {
	case float64(a.late) > maxLateShare*float64(a.samples):
		a.lower(now, lateDecrease)
	case a.saturated:
		a.share = math.Min(1, a.share+math.Max(1/a.ceiling, increase*a.share))
	}
	a.samples, a.late, a.saturated = 0, 0, false
}

func (a *adaptiveLimit) lowerForOverload(now time.Time) {
	if now.Sub(a.loweredAt) >= overloadInterval {
		a.lower(now, overloadDecrease)
	}
}

func (a *adaptiveLimit) lower(now time.Time, factor float64) {
	a.share = math.Max(1/a.ceiling, a.share*factor)
	a.loweredAt = now
}
