package schedule

import (
	"slices"
	"time"
)

// maxRecent bounds the values that recentMS keeps.
const maxRecent = 128

// recentMS holds the last values of a time, in milliseconds.
type recentMS struct {
	values [maxRecent]recentValue
	next   int // index of the next value
}

type recentValue struct {
	at time.Time // zero: there was no such value
	ms int64
}

func (r *recentMS) add(now time.Time, ms int64) {
	r.values[r.next] = recentValue{now, ms}
	r.next = (r.next + 1) % maxRecent
}

// longest returns the longest value of the last span, but for the share of the longest ones
// that is ignored, so that few outliers do not decide. count is the number of values of
// that time; without any the result is 0.
func (r *recentMS) longest(now time.Time, span time.Duration, ignoredShare float64) (ms int64, count int) {
	recent := make([]int64, 0, maxRecent)
	for _, v := range r.values {
		if !v.at.IsZero() && now.Sub(v.at) < span {
			recent = append(recent, v.ms)
		}
	}
	if len(recent) == 0 {
		return 0, 0
	}
	slices.Sort(recent)
	return recent[len(recent)-1-int(ignoredShare*float64(len(recent)))], len(recent)
}
