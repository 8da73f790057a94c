// Package pauseguard determines until when a process may act on its view of the site. A
// process that was stopped, or had no processor, for long has missed changes, and hears of
// them only some time after it runs again.
package pauseguard

import "time"

// catchUpTime is the time after a pause in which changes reach the process: the pause
// before the next call to the store, which is 250 ms with jitter after a failed one, the
// call, and two exchanges of 150 ms with other processes.
const catchUpTime = 800 * time.Millisecond

// Guard is the state of a process. Its zero value is that of one that has just started.
type Guard struct {
	until     time.Time // when a pause ends the use of the view
	pauseAt   time.Time // when a pause of the process counts, unless Next is called before
	heldUntil time.Time // the process catches up until then; zero: it does not
}

// Next returns the guard at now. The view is too old if Next is not called again before
// ends.
func (g Guard) Next(now, ends time.Time) Guard {
	if !g.pauseAt.IsZero() && now.After(g.pauseAt) {
		g.heldUntil = now.Add(catchUpTime)
	}
	g.pauseAt = ends
	if now.Before(g.heldUntil) {
		return g
	}
	return Guard{until: ends, pauseAt: ends}
}

// Until returns the time until which the process may act on its view.
func (g Guard) Until() time.Time { return g.until }
