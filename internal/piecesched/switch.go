package piecesched

import (
	"slices"
	"strconv"
	"time"

	"almondreel.example/almondreel/pkg/takeover"
)

const (
	// firstSwitchShare is the share of a version's rollout period that passes
	// before the first engine switches: until then most agents lack pieces.
	firstSwitchShare = 0.55
	// lastSwitchShare is the share that has passed when the last engine
	// switches. The rest is left for its load and for an engine that is late.
	lastSwitchShare = 0.90
)

// SwitchTime returns the moment from which the engine called name may switch to
// a version that was announced at announcedAt and must serve everywhere by the
// deadline. Engines switch one after the other, in an order that each agent
// computes from the names alone. Agents cannot coordinate by their reports,
// because a switch takes less time than its report needs to reach them all.
//
// The engine can switch from earliest on. If the version arrived late, engines whose
// turns have passed would all switch at once, so the rest of the time is divided again.
func SwitchTime(name string, version int64, engines []string, announcedAt, deadline, earliest time.Time) time.Time {
	period := float64(deadline.Sub(announcedAt))
	first := announcedAt.Add(time.Duration(firstSwitchShare * period))
	last := announcedAt.Add(time.Duration(lastSwitchShare * period))
	if earliest.After(first) {
		first = earliest
	}
	position := max(0, slices.Index(takeover.Rank(strconv.FormatInt(version, 10), engines), name))
	share := float64(position) / float64(max(1, len(engines)))
	return first.Add(time.Duration(share * float64(max(0, last.Sub(first)))))
}
