package transfer

import "time"

const (
	rateWindow     = 10 * time.Second // time over which the region's rate is measured
	minRateTime    = 2 * time.Second  // time after the start before which the rate is not used
	maxRateSamples = 4096             // kept by a regionRate, which then drops the older half
)

// regionRate measures the rate of chunks that arrive from other regions.
type regionRate struct {
	times []time.Time // arrivals, oldest first
}

func (r *regionRate) add(now time.Time) {
	r.times = append(r.times, now)
	if len(r.times) > maxRateSamples {
		r.times = r.times[len(r.times)-maxRateSamples/2:]
	}
}

// perSecond returns the chunks per second over rateWindow, or since the given
// time if that is later.
func (r *regionRate) perSecond(now, since time.Time) float64 {
	if oldest := now.Add(-rateWindow); since.Before(oldest) {
		since = oldest
	}
	count := 0
	for k := len(r.times) - 1; k >= 0 && r.times[k].After(since); k-- {
		count++
	}
	return float64(count) / max(now.Sub(since).Seconds(), 0.001)
}

// mustDownload reports whether the agents of the region must download chunk i
// from a source, although another region holds it, to meet ReadyBy. The links
// between regions carry the lowest missing chunks; those that they would not
// carry by then are downloaded. t.mu must be held.
func (t *Transfer) mustDownload(i int, now time.Time) bool {
	if t.current.ReadyBy.IsZero() || now.Sub(t.startedAt) < minRateTime {
		return false
	}
	rate := t.regionRate.perSecond(now, t.startedAt)
	expected := rate * max(t.current.ReadyBy.Sub(now).Seconds(), 0)
	missing := 0
	for k := range t.chunks[:i] {
		if !t.seenInRegion.Test(uint(k)) {
			missing++
		}
	}
	return float64(missing) >= expected
}
