package draw

import (
	"slices"
	"strconv"
	"time"

	"almondreel.example/almondreel/pkg/stripe"
)

const (
	// firstShare of the time that a version has passes before the engines
	// change over: until then most of them lack pieces.
	firstShare = 0.55
	// lastShare of it has passed when the last engine changes over; the rest is
	// left for its load and for one that is late.
	lastShare = 0.90
)

// Turn returns the moment from which the engine named name may change over to a
// version that was named at namedAt and must serve everywhere by by. The
// engines go one after the other, in an order that each of them works out from
// the names alone: what they hear of each other is too old to go by, since a
// change takes less time than the news of it.
func Turn(name string, version int64, engines []string, namedAt, by time.Time) time.Time {
	position := max(0, slices.Index(stripe.Rank(strconv.FormatInt(version, 10), engines), name))
	share := firstShare + (lastShare-firstShare)*float64(position)/float64(max(1, len(engines)))
	return namedAt.Add(time.Duration(share * float64(by.Sub(namedAt))))
}
