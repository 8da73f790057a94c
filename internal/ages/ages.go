// Package ages converts the ages in messages between processes to times. Clocks of
// machines differ, so a message carries how long ago something was, not when.
package ages

import "time"

// maxMilliseconds is about 34 years, which a time.Duration holds.
const maxMilliseconds = 1 << 40

// At returns the time that is ageMilliseconds before now. A negative age counts as 0: a
// time in the future would keep what it belongs to, and hide what comes after, until
// then. An age that a time.Duration cannot hold counts as the longest one.
func At(now time.Time, ageMilliseconds int64) time.Time {
	return now.Add(-time.Duration(min(max(ageMilliseconds, 0), maxMilliseconds)) * time.Millisecond)
}
