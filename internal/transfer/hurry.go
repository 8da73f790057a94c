package transfer

import "time"

const (
	rateSpan    = 10 * time.Second // over which a region's rate is measured
	rateMin     = 2 * time.Second  // before which nothing is projected
	rateSamples = 4096
)

// regionRate measures how fast chunks come into the region from other regions.
type regionRate struct {
	times []time.Time // of the newest chunks
}

func (r *regionRate) add(now time.Time) {
	r.times = append(r.times, now)
	if len(r.times) > rateSamples {
		r.times = r.times[len(r.times)-rateSamples/2:]
	}
}

// perSecond returns the chunks that came in a second, of those since from at the earliest.
func (r *regionRate) perSecond(now, from time.Time) float64 {
	if oldest := now.Add(-rateSpan); from.Before(oldest) {
		from = oldest
	}
	count := 0
	for k := len(r.times) - 1; k >= 0 && r.times[k].After(from); k-- {
		count++
	}
	return float64(count) / max(now.Sub(from).Seconds(), 0.001)
}

// hurry reports whether chunk i must be drawn from a source though another
// region holds it, because the region would miss the ready-by deadline.
//
// The links between regions go on with the lowest chunks; of the rest, those
// that they would not carry in time are drawn. Callers hold mu.
func (t *Transfer) hurry(i int, now time.Time) bool {
	if t.terms.ReadyBy.IsZero() || now.Sub(t.startedAt) < rateMin {
		return false
	}
	rate := t.regionRate.perSecond(now, t.startedAt)
	carried := rate * max(t.terms.ReadyBy.Sub(now).Seconds(), 0)
	before := 0
	for k := range t.chunks[:i] {
		if !t.region.Test(uint(k)) {
			before++
		}
	}
	return float64(before) >= carried
}
