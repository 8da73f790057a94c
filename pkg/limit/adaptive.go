package limit

import (
	"math"
	"time"
)

const (
	windowSamples   = 8
	windowTime      = 100 * time.Millisecond
	overShare       = 0.1  // share of late samples in a window that lowers the limit
	lateAt          = 0.75 // share of the target from which a sample is late
	decrease        = 0.85
	busyDecrease    = 0.97
	increase        = 0.05 // share of the limit that a good window adds
	overloadBackoff = 100 * time.Millisecond
)

// adaptive is a concurrency limit that rises slowly while first results come
// in time and falls fast when they do not. It needs no load reports, so it does
// not suffer from their lag. It is a share of the ceiling, so it follows the
// ceiling both ways.
type adaptive struct {
	share     float64 // above 0, at most 1
	ceiling   float64
	openedAt  time.Time
	samples   int
	late      int
	wanted    bool
	loweredAt time.Time
}

func newAdaptive(ceiling int) adaptive {
	return adaptive{share: 1, ceiling: math.Max(1, float64(ceiling))}
}

func (a *adaptive) allowed() int { return int(math.Max(1, math.Round(a.share*a.ceiling))) }

func (a *adaptive) setCeiling(ceiling int) {
	a.ceiling = math.Max(1, float64(ceiling))
}

func (a *adaptive) observe(now time.Time, took, target int, busy bool) {
	if a.samples == 0 {
		a.openedAt = now
	}
	a.samples++
	a.wanted = a.wanted || busy
	if target > 0 && float64(took) > lateAt*float64(target) {
		a.late++
	}
	if a.samples < windowSamples || now.Sub(a.openedAt) < windowTime {
		return
	}
	switch {
	case float64(a.late) > overShare*float64(a.samples):
		a.lower(now, decrease)
	case a.wanted:
		a.share = math.Min(1, a.share+math.Max(1/a.ceiling, increase*a.share))
	}
	a.samples, a.late, a.wanted = 0, 0, false
}

func (a *adaptive) overloaded(now time.Time) {
	if now.Sub(a.loweredAt) >= overloadBackoff {
		a.lower(now, busyDecrease)
	}
}

func (a *adaptive) lower(now time.Time, factor float64) {
	a.share = math.Max(1/a.ceiling, a.share*factor)
	a.loweredAt = now
}
