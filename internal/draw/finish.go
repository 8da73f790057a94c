package draw

import "time"

const (
	// finishShare of its pieces held by some agent, a version is brought to its
	// end although a newer one is named: the rest takes less than half as long as
	// the newer one, and engines serve it meanwhile.
	finishShare = 0.6
	// finishTime is what must be left, to finish a version, of the time for which
	// it may serve: its rest, its load, and as long again in which it serves.
	finishTime = 2500 * time.Millisecond
)

// Finish reports whether a version of which so many pieces are held by any agent
// is to be finished before a newer one is begun. endsAt is the moment from which
// it may no longer serve. That its own time to serve everywhere is nearly over is no
// reason to give it up: what engines serve then ends, and the newer version
// would take longer.
func Finish(now time.Time, held, pieces int, endsAt time.Time) bool {
	return endsAt.Sub(now) >= finishTime && float64(held) >= finishShare*float64(pieces)
}
