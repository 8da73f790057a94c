package schedule

import "time"

// maxWindow is the maximum of recent values: those of the current period and of the one
// before.
type maxWindow struct {
	openedAt time.Time // start of the current period; zero: no values yet
	previous int64     // maximum of the previous period
	current  int64     // maximum of the current period
}

// at returns the window at a time, without values that are too old. span is the length of
// a period.
func (w maxWindow) at(now time.Time, span time.Duration) maxWindow {
	switch elapsed := now.Sub(w.openedAt); {
	case elapsed >= 2*span:
		return maxWindow{}
	case elapsed >= span:
		return maxWindow{openedAt: w.openedAt.Add(span), previous: w.current}
	}
	return w
}

// add returns the window at a time with one more value.
func (w maxWindow) add(now time.Time, span time.Duration, value int64) maxWindow {
	w = w.at(now, span)
	if !w.known() {
		w.openedAt = now
	}
	w.current = max(w.current, value)
	return w
}

// known reports whether there are recent values.
func (w maxWindow) known() bool { return !w.openedAt.IsZero() }

// longest returns the maximum.
func (w maxWindow) longest() int64 { return max(w.previous, w.current) }
