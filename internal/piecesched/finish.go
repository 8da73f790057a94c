package piecesched

import "time"

const (
	// finishHeldShare is the share of a version's pieces, held across all
	// agents, from which the version is completed although a newer one is
	// announced. The remaining pieces take less than half as long as the newer
	// version, and engines serve the older one meanwhile.
	finishHeldShare = 0.6
	// finishMinTime is the least remaining time in which a version may serve
	// for it to be worth completing: time for the missing pieces and the load,
	// and as long again to serve.
	finishMinTime = 2500 * time.Millisecond
)

// ShouldFinish reports whether a version is to be completed before a newer one
// is started. held is the number of its pieces that at least one agent has,
// pieces the total, and endsAt the moment from which the version may no longer
// serve. A version is completed even close to its own deadline to serve
// everywhere: the version that engines serve now expires at that deadline, and
// the newer version would be ready later still.
func ShouldFinish(now time.Time, held, pieces int, endsAt time.Time) bool {
	return endsAt.Sub(now) >= finishMinTime && float64(held) >= finishHeldShare*float64(pieces)
}
